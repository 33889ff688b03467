"""Steps of platform_chain.feature: raw bytes that are no valid request, sent to a real deployment."""

import collections.abc

import behave

import features.support.deployment_client as deployment_client
import features.support.http_calls as http_calls

# Requests that a server recognizes as incomplete only at the end of input.
ENDS_EARLY = ('nothing', 'a body that ends early')
SMUGGLED_ID = 'smuggled'
SMUGGLED = b'GET /r1/smuggled HTTP/1.1\r\nHost: hulo.example\r\nZinctrail-Attempt-Id: smuggled\r\n\r\n'
REQUEST_LINE = b'POST /r1/raw HTTP/1.1'
EMPTY = b'Content-Length: 0'
CHUNKED = b'Transfer-Encoding: chunked'


class RawRequests:
    """The raw requests of an attempt; the large ones are built when they are sent."""

    def __init__(self, attempt_id: str):
        self.host = b'Host: hulo.example'
        self.close = b'Connection: close'
        self.attempt_id = b'Zinctrail-Attempt-Id: ' + attempt_id.encode()
        self.deadline = b'Zinctrail-Deadline-Remaining: 1000'
        self.valid_headers = [self.host, self.close, self.attempt_id, self.deadline]

    def request(
        self, *more: bytes, line: bytes = REQUEST_LINE, headers: list[bytes] | None = None, body: bytes = b''
    ) -> bytes:
        """Return a request with valid headers, or with the given ones, followed by more headers."""
        return b'\r\n'.join([line, *(self.valid_headers if headers is None else headers), *more]) + b'\r\n\r\n' + body

    def invalid_headers(self) -> dict[str, bytes]:
        """Return requests whose headers or request line are invalid, by name."""
        return {
            'no id': self.request(EMPTY, headers=[self.host, self.close, self.deadline]),
            'an id of 5000 letters': self.request(
                EMPTY, headers=[self.host, self.close, b'Zinctrail-Attempt-Id: ' + b'x' * 5000]
            ),
            'a time left of soon': self.request(
                EMPTY, headers=[self.host, self.close, self.attempt_id, b'Zinctrail-Deadline-Remaining: soon']
            ),
            'no host': self.request(EMPTY, headers=[self.close, self.attempt_id, self.deadline]),
            'two hosts': self.request(b'Host: other.example', EMPTY),
            'a header without a colon': self.request(b'nonsense'),
            'a blank before the colon': self.request(b'Content-Length : 3', body=b'abc'),
            'a request line of one word': self.request(line=b'POST'),
            'headers above the bound': self.request(b'X: ' + b'y' * 200000),
            'a request line above the bound': self.request(line=b'GET /r1/' + b'x' * 200000 + b' HTTP/1.1'),
            'the preface of another protocol': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
            'nothing': b'',
        }

    def invalid_bodies(self) -> dict[str, bytes]:
        """Return requests whose body contradicts the headers, so that it may smuggle a request, or ends early, by name."""
        return {
            'two lengths': self.request(EMPTY, b'Content-Length: %d' % len(SMUGGLED), body=SMUGGLED),
            'a length of minus one': self.request(b'Content-Length: -1', body=SMUGGLED),
            'a length and chunks': self.request(b'Content-Length: 5', CHUNKED, body=b'0\r\n\r\n' + SMUGGLED),
            'chunks under another name': self.request(b'Transfer-Encoding: xchunked', body=b'0\r\n\r\n' + SMUGGLED),
            'a chunk of a wrong size': self.request(CHUNKED, body=b'zz\r\nabc\r\n0\r\n\r\n'),
            'a body that ends early': self.request(b'Content-Length: 100', body=b'abc'),
            'cut-short JSON': self.request(b'Content-Length: 3', line=b'PATCH /v1/configuration HTTP/1.1', body=b'{"u'),
        }

    def large_bodies(self) -> dict[str, collections.abc.Callable[[int], bytes]]:
        """Return builders of requests with a body above the size limit, by name."""
        return {
            'a body above the bound': lambda size: self.request(b'Content-Length: %d' % size, body=b'z' * 1000),
            'a body above the bound in chunks': lambda size: self.request(
                CHUNKED, body=b'%x\r\n%s\r\n0\r\n\r\n' % (size, b'z' * size)
            ),
        }

    def named(self, name: str) -> bytes:
        """Return the raw request with a name."""
        large = self.large_bodies().get(name)
        if large:
            return large(deployment_client.running().items['limits']['max_body_bytes'] + 1)
        return {**self.invalid_headers(), **self.invalid_bodies()}[name]


def send_raw(context, address: str, name: str) -> None:
    """Send the raw request with a name; store the bytes received and the requests executed meanwhile in the context."""
    deployment = deployment_client.running()
    context.attempt_id = deployment.new_attempt_id()
    before = len(deployment.executed)
    # The server needs the end of input only where the bytes end early.
    context.received = http_calls.exchange_bytes(
        address,
        RawRequests(context.attempt_id).named(name),
        timeout_s=deployment_client.RESPONSE_TIMEOUT_S,
        end_of_input=name in ENDS_EARLY,
    )
    context.executed = deployment.executed[before:]


@behave.when('a client of the deployment sends the raw bytes of {name}')
def raw_sent_to_proxy(context, name: str):
    send_raw(context, deployment_client.running().edges[0].ingress, name)


@behave.when('the raw bytes of {name} are sent to a control node')
def raw_sent_to_control_node(context, name: str):
    send_raw(context, deployment_client.running().cores[0].control, name)


@behave.then('the raw response is {wanted}')
def raw_response_is(context, wanted: str):
    line = context.received.split(b'\r\n')[0]
    status = line.split(b' ')[1].decode() if line else 'closed'
    assert status in wanted.split(' or '), context.received[:500]
    # One response only: the bytes after an invalid request must not be parsed as another request.
    assert context.received.count(b'HTTP/1.1 ') <= 1, context.received[:1000]


@behave.then('no part of it was executed')
def nothing_was_executed(context):
    attempt_ids = (context.attempt_id, SMUGGLED_ID)
    assert not [request for request in context.executed if request['id'] in attempt_ids], context.executed


@behave.then('a valid request gets a correct response')
def valid_request_is_served(context):
    for process in deployment_client.running().edges:
        deployment_client.wait_for_good_response(process.ingress)


@behave.then("the operator's next call succeeds")
def next_call_succeeds(context):
    response = deployment_client.running().call_control('GET', '/v1/configuration')
    assert response.status == 200, response


@behave.when('a client of the deployment sends two pipelined requests')
def pipelined_requests_sent(context):
    context.attempt_ids = [deployment_client.running().new_attempt_id() for _ in range(2)]
    requests = [
        b'GET /r1/p%d HTTP/1.1\r\nHost: hulo.example\r\nZinctrail-Attempt-Id: %s\r\n%s\r\n'
        % (index, attempt_id.encode(), b'Connection: close\r\n' if index else b'')
        for index, attempt_id in enumerate(context.attempt_ids)
    ]
    context.received = http_calls.exchange_bytes(context.ingress, b''.join(requests), end_of_input=False)


@behave.then('both responses arrive in that order, each with its own id')
def both_responses_arrive(context):
    rest, received = context.received, []
    while rest:
        response, rest = http_calls.parse_response(rest)
        received.append((response.status, response.headers['zinctrail-attempt-id']))
    assert received == [(200, attempt_id) for attempt_id in context.attempt_ids], received
