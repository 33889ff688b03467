"""Two attempts of one request that share its body, with little room for an answer."""

import typing
import unittest.mock as mock

import hypothesis.strategies as st
import twisted.internet.defer as defer
import twisted.internet.protocol as protocol
import twisted.internet.reactor as reactor

import features.support.raw_server as raw_server
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.durations as durations
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.endpoint_client as endpoint_client
import zinctrail.transport.payload as payload

BODY = bytes(range(1, 251)) * 4000
ANSWER_BYTES = 400_000
TIMEOUT = durations.ms(20000)
# Events of the two attempts after the first has begun, in a drawn order.
EVENTS = ('second begins', 'first answers', 'second connects', 'first ends', 'second ends')


class Course(typing.NamedTuple):
    """The order of events, and how much room there is beside the body."""

    events: list[str]
    spare_bytes: int


COURSES = st.builds(Course, st.permutations(EVENTS), st.sampled_from([50_000, 100_000, 1_000_000]))


class Connection(protocol.Protocol):
    """The connection of an endpoint, which counts what it receives."""

    # The type that Twisted declares lacks the methods of TCP.
    transport: typing.Any

    def __init__(self, connections: list) -> None:
        self.connections, self.received = connections, bytearray()

    def connectionMade(self) -> None:
        """Register the connection."""
        self.connections.append(self)

    def dataReceived(self, data: bytes) -> None:
        """Collect what is received."""
        self.received += data


class Attempts:
    """One request, its attempts at two endpoints, and the account of what they hold."""

    def __init__(self, spare_bytes: int) -> None:
        self.connections: list[list[Connection]] = [[], []]
        self.ports = [self.listen(number) for number in range(2)]
        self.account = byte_account.ByteAccount(len(BODY) + spare_bytes, 0)
        self.client = endpoint_client.EndpointClient(reactor, self.account)
        self.body = payload.Payload.from_bytes(self.account, BODY)
        self.calls: list[defer.Deferred | None] = [None, None]
        self.results: list[list] = [[], []]
        self.held: defer.Deferred = defer.Deferred()

    def listen(self, number: int) -> typing.Any:
        """Start an endpoint; return its listening port."""
        return raw_server.listen(lambda: Connection(self.connections[number]))

    def begin(self, number: int) -> None:
        """Begin an attempt at an endpoint."""
        address = raw_server.address_of(self.ports[number])
        call = self.client.fetch(f'i{number}', address, 'PUT', '/x', {'host': 'h'}, self.body, TIMEOUT, False)
        self.calls[number] = call
        call.addBoth(self.results[number].append)

    def begin_second(self) -> None:
        """Begin the second attempt, whose connection waits."""
        original = protocol.ClientCreator.connectTCP

        def connect_later(creator, *args, **kwargs):
            return self.held.addCallback(lambda _: original(creator, *args, **kwargs))

        with mock.patch.object(protocol.ClientCreator, 'connectTCP', connect_later):
            self.begin(1)

    def connect_second(self) -> None:
        """Let the second attempt connect."""
        if not self.held.called:
            self.held.callback(None)

    def answer_first(self) -> None:
        """Let the first endpoint answer with more than there may be room for."""
        for connection in self.connections[0]:
            connection.transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % ANSWER_BYTES)
            connection.transport.write(b'a' * ANSWER_BYTES)

    def end(self, number: int) -> None:
        """Cancel an attempt that has begun and not ended."""
        call = self.calls[number]
        if call is not None and not self.results[number]:
            call.cancel()

    def cause(self, event: str) -> None:
        """Cause an event."""
        {
            'second begins': self.begin_second,
            'first answers': self.answer_first,
            'second connects': self.connect_second,
            'first ends': lambda: self.end(0),
            'second ends': lambda: self.end(1),
        }[event]()

    def assert_bodies(self) -> None:
        """Assert that no endpoint got a request that announces, or has, another body."""
        for connection in self.connections[0] + self.connections[1]:
            head, _, body = bytes(connection.received).partition(b'\r\n\r\n')
            if head:
                assert b'content-length: %d' % len(BODY) in head.lower(), head
                assert BODY.startswith(body), len(body)

    def close(self) -> None:
        """Close the listeners and connections."""
        for port in self.ports:
            port.stopListening()
        for connection in self.connections[0] + self.connections[1]:
            connection.transport.abortConnection()


def release(results: list) -> None:
    """Give back the body of a result."""
    for result in results:
        if hasattr(result, 'body'):
            payload.release_body(result.body)


def check_course(course: Course) -> None:
    """Two attempts share a body through any course of events."""
    attempts = Attempts(course.spare_bytes)
    reactor_thread.call(attempts.begin, 0)
    reactor_thread.wait_for(lambda: attempts.connections[0] and len(attempts.connections[0][0].received) >= len(BODY))
    for event in course.events:
        reactor_thread.call(attempts.cause, event)
        for _ in range(20):
            reactor_thread.call(lambda: None)
    reactor_thread.call(attempts.connect_second)
    for _ in range(50):
        reactor_thread.call(lambda: None)
    reactor_thread.call(attempts.assert_bodies)
    for number in range(2):
        reactor_thread.call(attempts.end, number)
    reactor_thread.call(attempts.close)
    reactor_thread.wait_for(lambda: all(attempts.results[n] or attempts.calls[n] is None for n in range(2)))
    for results in attempts.results:
        reactor_thread.call(release, results)
    assert attempts.body is not None
    reactor_thread.call(attempts.body.release)
    assert attempts.account.held_bytes == 0, attempts.account.held_bytes
