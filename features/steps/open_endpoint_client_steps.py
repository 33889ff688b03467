"""Steps of open.feature: endpoints that send malformed, misdirected or unsolicited responses on real connections."""

import collections.abc

import behave
import twisted.internet.protocol as protocol
import twisted.internet.reactor as reactor
import twisted.internet.task as task
import twisted.python.log as twisted_log

import features.support.raw_server as raw_server
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.durations as durations
import zinctrail.transport.endpoint_client as endpoint_client

TIMEOUT = durations.ms(3000)
# The pause between segments of a response, so that each is read separately.
SEGMENT_GAP_S = 0.005
# How long to wait until late bytes have arrived and closes have been seen.
SETTLE_S = 0.05

# Returns the segments of the response to the request with an id; None closes the connection.
Segments = collections.abc.Callable[[bytes], list[bytes | None]]


class AheadReactor:
    """The reactor, with a clock that can be advanced."""

    def __init__(self):
        self.ahead_s = 0.0

    def seconds(self):
        """Return the reactor's time plus the advance."""
        return reactor.seconds() + self.ahead_s

    def __getattr__(self, name):
        return getattr(reactor, name)


def response(request_id: bytes, body: bytes = b'own', head: bytes = b'') -> bytes:
    """Return a full response to the request with an id."""
    return b'HTTP/1.1 200 OK\r\nzt-id: %s\r\n%scontent-length: %d\r\n\r\n%s' % (request_id, head, len(body), body)


OTHER = response(b'other', b'theirs')
RESPONSES: dict[str, Segments] = {
    'a full response': lambda request_id: [response(request_id)],
    'a full response and more bytes': lambda request_id: [response(request_id) + b'more'],
    'a full response, and a second one late': lambda request_id: [response(request_id), OTHER],
    "another's response and then its own": lambda request_id: [OTHER, response(request_id)],
    "another's empty response and then its own": lambda request_id: [response(b'other', b''), response(request_id)],
    "another's response and its own in one segment": lambda request_id: [OTHER + response(request_id)],
    'three responses to others': lambda request_id: [OTHER * 3],
    "another's response, and then a close": lambda request_id: [OTHER, None],
    'a response that says close': lambda request_id: [response(request_id, head=b'Connection: Close\r\n')],
    'a response that says Keep-Alive: timeout=0': lambda request_id: [
        response(request_id, head=b'Keep-Alive: timeout=0\r\n')
    ],
    'a response that says timeout=5': lambda request_id: [
        response(request_id, head=b'Keep-Alive: timeout=5, max=100\r\n')
    ],
    'a response that says timeout=1': lambda request_id: [response(request_id, head=b'Keep-Alive: timeout=1\r\n')],
    'a response of two framings': lambda request_id: [
        response(request_id, b'3\r\nown\r\n0\r\n\r\n', b'Transfer-Encoding: chunked\r\n')
    ],
    'a response cut short': lambda request_id: [response(request_id)[:-1], None],
    'a response in another protocol': lambda request_id: [response(request_id).replace(b'HTTP', b'ICAP', 1)],
    'noise and no response': lambda request_id: [b'\x00\x01 noise\r\n\r\n\xff' * 20],
    'a chunked response': lambda request_id: [
        b'HTTP/1.1 200 OK\r\nzt-id: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n2\r\nwn\r\n0\r\n\r\n' % request_id
    ],
}


def write_segments(connection, segments: list[bytes | None]) -> None:
    """Write a response in segments, as long as the connection is open."""
    if not segments or connection.transport.disconnected:
        return
    if segments[0] is None:
        connection.transport.loseConnection()
    else:
        connection.transport.write(segments[0])
    reactor.callLater(SEGMENT_GAP_S, write_segments, connection, segments[1:])


def start_endpoint(context, segments_of: Segments) -> None:
    """Start an endpoint and a client; `context.connections` lists the connections that carried requests, in order."""
    context.connections = []

    def respond(connection, head):
        if connection not in context.connections:
            context.connections.append(connection)
        request_id = head.lower().split(b'zt-id: ')[1].split(b'\r\n')[0]
        write_segments(connection, segments_of(request_id))

    context.address = raw_server.address_of(raw_server.listen(lambda: raw_server.RawConnection(respond)))
    context.reactor = AheadReactor()
    context.endpoint_client = endpoint_client.EndpointClient(context.reactor)


@behave.given('an endpoint that responds with {response_kind}')
def endpoint_that_responds(context, response_kind: str):
    start_endpoint(context, RESPONSES[response_kind])


@behave.given('an endpoint that closes after each response, without announcing it')
def endpoint_that_closes(context):
    start_endpoint(context, lambda request_id: [response(request_id), None])


def send_request(context, request_id: str, once: bool = True):
    """Send a request and return its result; with `once` it uses no connection that may have been closed."""

    def is_ours(headers):
        return headers.get('zt-id') in (None, request_id)

    headers = {'zt-id': request_id, 'host': 'h'}
    return reactor_thread.call(
        lambda: context.endpoint_client.fetch('i', context.address, 'GET', '/x', headers, b'', TIMEOUT, once, is_ours)
    )


def settle():
    """Wait until late bytes have arrived and closes have been seen."""
    reactor_thread.call(lambda: task.deferLater(reactor, SETTLE_S))


@behave.when('two requests are sent to it, one after the other')
def two_requests_sent(context):
    context.result = send_request(context, '1')
    settle()
    send_request(context, '2')


def assert_connections(context, over: str):
    """Assert that the second request used the same connection as the first, or another one."""
    assert len(context.connections) == (1 if over == 'the same' else 2), len(context.connections)


@behave.then('the first gets {expected}, and the second goes over {over} connection')
def first_result_is(context, expected: str, over: str):
    result = context.result
    if expected == 'its own':
        assert (result.fault, result.body, result.headers.get('zt-id')) == ('', b'own', '1'), result
    elif expected == "another's":
        assert result.headers.get('zt-id') == 'other', result
    else:
        assert result.fault and result.sent, result
    assert_connections(context, over)


@behave.when('a request is sent, and after {seconds:g} s one that may run {times}')
def second_request_sent_later(context, seconds: float, times: str):
    send_request(context, '1')
    context.reactor.ahead_s = seconds
    send_request(context, '2', times == 'once')


@behave.then('it goes over {over} connection')
def second_request_goes_over(context, over: str):
    assert_connections(context, over)


@behave.given('an endpoint that {action} as soon as it is connected')
def endpoint_that_acts_on_connect(context, action: str):
    start_endpoint(context, RESPONSES['a full response'])

    class UnsolicitedConnection(protocol.Protocol):
        """A connection that closes or writes noise before any request arrives."""

        def connectionMade(self):
            self.transport.loseConnection() if action == 'closes' else self.transport.write(b'noise')

    context.address = raw_server.address_of(raw_server.listen(UnsolicitedConnection))


@behave.when('a request is sent to it alone')
def one_request_sent(context):
    context.errors = []

    def record_error(event):
        if event.get('isError'):
            context.errors.append(event)

    reactor_thread.call(lambda: twisted_log.addObserver(record_error))
    context.result = send_request(context, '1')
    settle()
    reactor_thread.call(lambda: twisted_log.removeObserver(record_error))


@behave.then('it gets an error, and no exception is logged')
def error_without_exception(context):
    assert context.result.fault and not context.errors, (context.result, context.errors)
