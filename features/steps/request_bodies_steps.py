"""Steps of request_bodies.feature: two attempts of one request that share its body, and a client with little room."""

import unittest.mock as mock

import behave
import twisted.internet.defer as defer
import twisted.internet.protocol as protocol
import twisted.internet.reactor as reactor

import features.support.raw_server as raw_server
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.durations as durations
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.endpoint_client as endpoint_client
import zinctrail.transport.payload as payload

# More than the buffers of a loopback connection take.
BODY_BYTES = 24_000_000
ANSWER_BYTES = 4_000_000
# Too little for the answer beside the body.
SPARE_BYTES = 1_000_000
TIMEOUT = durations.ms(20000)


class Endpoint(protocol.Protocol):
    """The connection of an endpoint, which counts what it receives; `is_reading` says whether it reads at first."""

    def __init__(self, connections: list, is_reading: bool):
        self.connections, self.is_reading, self.received = connections, is_reading, bytearray()

    def connectionMade(self):
        """Register the connection."""
        self.connections.append(self)
        if not self.is_reading:
            self.transport.pauseProducing()

    def dataReceived(self, data):
        """Collect what is received."""
        self.received += data

    def body(self) -> bytes:
        """Return the body that was received so far."""
        return bytes(self.received.partition(b'\r\n\r\n')[2])

    def answer_head(self):
        """Write the header of an answer."""
        self.transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % ANSWER_BYTES)

    def answer_body(self):
        """Write the body of an answer."""
        self.transport.write(b'a' * ANSWER_BYTES)


class Attempt:
    """A fetch of the client under test, and its result."""

    def __init__(self, context, address: str):
        self.results: list = []
        self.call = context.client.fetch(
            'i' + address, address, 'PUT', '/x', {'host': 'h'}, context.body, TIMEOUT, False
        )
        self.call.addBoth(self.results.append)


def begin(context, address: str) -> Attempt:
    """Begin an attempt at an address."""
    return reactor_thread.call(Attempt, context, address)


def hold_connections(context):
    """Let connections that are opened from now on wait until `release_connections`."""
    context.held = defer.Deferred()
    original = protocol.ClientCreator.connectTCP

    def connect_later(creator, *args, **kwargs):
        return context.held.addCallback(lambda _: original(creator, *args, **kwargs))

    context.patch = mock.patch.object(protocol.ClientCreator, 'connectTCP', connect_later)
    context.patch.start()
    context.add_cleanup(context.patch.stop)


@behave.given('two endpoints, and a client with room for little more than one body')
def client_with_little_room(context):
    context.connections = [[], []]
    context.addresses = [
        raw_server.address_of(
            raw_server.listen(lambda number=number: Endpoint(context.connections[number], not number))
        )
        for number in range(2)
    ]
    # One eighth is for small holdings only.
    capacity = BODY_BYTES + SPARE_BYTES
    context.account = byte_account.ByteAccount(capacity, 0)
    context.client = endpoint_client.EndpointClient(reactor, context.account)
    context.body = payload.Payload.from_bytes(context.account, bytes(range(1, 251)) * (BODY_BYTES // 250))


@behave.given('an attempt at the first endpoint, which has begun to answer with more than there is room for')
def first_attempt_is_answered(context):
    context.first = begin(context, context.addresses[0])
    reactor_thread.wait_for(lambda: context.connections[0] and len(context.connections[0][0].body()) == BODY_BYTES)


def answer_first(context):
    """Let the first endpoint answer; return once the client has looked for room several times."""
    reactor_thread.call(context.connections[0][0].answer_head)
    reactor_thread.wait_for(lambda: context.body.is_released or context.client.waiting_readers.readers)


def begin_second(context, state: str):
    """Begin the second attempt, and leave it in a state."""
    if 'connect' in state and state != 'can not connect':
        hold_connections(context)
    context.second = begin(context, context.addresses[1])
    if 'written' in state:
        reactor_thread.wait_for(lambda: context.connections[1])


@behave.when('another attempt at the second endpoint {state}')
def second_attempt_is_in_state(context, state: str):
    if state == 'can not connect':
        context.second = begin(context, '127.0.0.1:1')
        reactor_thread.wait_for(lambda: context.second.results)
        assert not context.second.results[0].sent
    else:
        begin_second(context, state)
        if 'cancelled' in state:
            reactor_thread.call(context.second.call.cancel)
    answer_first(context)


@behave.then('the body is still held')
def body_is_held(context):
    assert not context.body.is_released
    assert len(context.body) == BODY_BYTES


@behave.then('the second endpoint gets the whole body, once it can be sent')
def second_endpoint_gets_body(context):
    if hasattr(context, 'held'):
        reactor_thread.call(context.held.callback, None)
        reactor_thread.wait_for(lambda: context.connections[1])
    connection = context.connections[1][0]
    reactor_thread.call(connection.transport.resumeProducing)
    reactor_thread.wait_for(lambda: len(connection.body()) >= BODY_BYTES)
    assert connection.body() == bytes(range(1, 251)) * (BODY_BYTES // 250)
    assert b'content-length: %d' % BODY_BYTES in bytes(connection.received[:1000]).lower()


@behave.then('the first answer is read once the second attempt has ended')
def first_answer_is_read(context):
    reactor_thread.call(context.connections[1][0].transport.abortConnection)
    reactor_thread.wait_for(lambda: context.second.results)
    read_first_answer(context)


def read_first_answer(context):
    """Let the first endpoint write the body of its answer, and wait for the result."""
    reactor_thread.wait_for(lambda: context.body.is_released)
    reactor_thread.call(context.connections[0][0].answer_body)
    reactor_thread.wait_for(lambda: context.first.results)
    result = context.first.results[0]
    assert (result.status, result.fault, len(result.body)) == (200, '', ANSWER_BYTES), result
    reactor_thread.call(result.body.release)


@behave.then('the body is dropped for the first answer, which is read')
def body_is_dropped(context):
    read_first_answer(context)


@behave.then('nothing is held any more')
def nothing_is_held(context):
    assert context.body.senders == 0
    assert context.account.held_bytes == 0, context.account.held_bytes


@behave.when('the body is dropped for the answer, and another attempt begins')
def attempt_after_body_was_dropped(context):
    answer_first(context)
    assert context.body.is_released
    context.second = begin(context, context.addresses[1])


@behave.then('it ends at once with an unknown outcome, and the second endpoint gets nothing')
def attempt_is_not_sent(context):
    (result,) = context.second.results
    assert result.sent and result.fault, result
    assert not context.connections[1]
