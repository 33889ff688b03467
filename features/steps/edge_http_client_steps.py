"""Steps of edge.feature: responses that are late, cut short or garbage, and connections to another incarnation."""

import json

import behave
import twisted.internet.defer as defer
import twisted.internet.reactor as reactor

import features.support.raw_server as raw_server
import features.support.reactor_thread as reactor_thread
import zinctrail.client.endpoint as endpoint
import zinctrail.runtime.durations as durations
import zinctrail.transport.http_client as http_client
import zinctrail.transport.web as web

ms = durations.ms
RESPONSE_TIMEOUT = ms(20000)
MAX_BODY_BYTES = 1 << 20


def serve(context, respond):
    """Start a raw server that responds by respond(connection, head), and create a client for it."""
    context.port = raw_server.listen(lambda: raw_server.RawConnection(respond))
    context.address = raw_server.address_of(context.port)
    context.http_client = http_client.HttpClient(reactor)


def fetch(context, path, wait=RESPONSE_TIMEOUT):
    """Send a request, and return its deferred result."""
    return context.http_client.fetch('k', context.address, 'GET', path, {}, b'', wait)


def response_with(body):
    """Return the bytes of a complete response."""
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (len(body), body)


@behave.given('an endpoint that responds to each request only when the next one arrives')
def endpoint_that_responds_late(context):
    waiting = []

    def respond(connection, head):
        path = head.split(b' ')[1]
        if path == b'/first':
            waiting.append(connection)
            return
        for earlier in waiting:
            # The response to the earlier request arrives together with the next request.
            if earlier.transport:
                earlier.transport.write(response_with(b'/first'))
        connection.transport.write(response_with(path))

    serve(context, respond)


@behave.when('a request over a pooled connection times out and another is sent')
def request_follows_abandoned_request(context):
    reactor_thread.call(fetch, context, '/warm')
    context.first = reactor_thread.call(fetch, context, '/first', ms(200))
    context.second = reactor_thread.call(fetch, context, '/second')


@behave.then('the second request does not get the response to the first')
def second_request_gets_own_response(context):
    assert context.first.fault and context.first.sent, context.first
    assert context.second.body == b'/second' and not context.second.fault, context.second


RESPONSES = {
    'a body cut short': b'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf',
    'a body without an end': b'HTTP/1.1 200 OK\r\n\r\nhalf',
    'headers cut short': b'HTTP/1.1 200 OK\r\ncontent-le',
    'garbage': b'\x00\xff\x00garbage\r\n\r\n',
    'a chunked body cut short': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\nhalf',
}


@behave.given('a server that responds with {response_name}')
def server_with_faulty_response(context, response_name: str):
    def respond(connection, head):
        if response_name == 'a body above the bound':
            connection.transport.write(response_with(b'x' * (http_client.MAX_RESPONSE_BYTES + 1)))
        else:
            connection.transport.write(RESPONSES[response_name])
            connection.transport.loseConnection()

    serve(context, respond)


@behave.when('the server gets a request')
def server_is_requested(context):
    context.result = reactor_thread.call(fetch, context, '/x')


@behave.then('the error of the response is {expected}')
def response_has_error(context, expected: str):
    assert context.result.fault and context.result.sent, context.result
    assert expected == 'some' or context.result.fault == expected, context.result


@behave.given('a listening endpoint of the client library')
def endpoint_of_library(context):
    context.handled_ids = []

    def handler(method, path, headers, body):
        context.handled_ids.append(headers['zt-id'])
        return 200, b'{}'

    context.endpoint = endpoint.Endpoint(reactor, '127.0.0.1:1', 's', 'c', 8, handler, ['127.0.0.1:1'])

    def listen():
        site = web.make_site(endpoint.RequestResource(context.endpoint), MAX_BODY_BYTES, reactor)
        return reactor.listenTCP(0, site, interface='127.0.0.1')

    port = reactor_thread.call(listen)
    context.address = f'127.0.0.1:{port.getHost().port}'
    context.http_client = http_client.HttpClient(reactor, verifies=True)


def send_to(context, incarnation, number):
    """Send the request of a number to the endpoint's address, addressed to an incarnation; return the deferred result."""
    headers = {
        'zt-id': f'1.{number}',
        'zt-attempt': '1',
        'zt-inc': incarnation,
        'zt-left-ms': '20000',
        'zt-once': '0',
    }
    return context.http_client.fetch(incarnation, context.address, 'POST', '/x', headers, b'{}', RESPONSE_TIMEOUT)


@behave.when('a request for another incarnation is sent to the address of the endpoint')
def request_for_another_incarnation(context):
    context.result = reactor_thread.call(send_to, context, 'another', 0)


@behave.then('the request is not sent, and the endpoint has handled none')
def request_is_not_sent(context):
    assert not context.result.sent and not context.handled_ids, (context.result, context.handled_ids)


@behave.when('four requests for the endpoint are sent at once and one after them')
def requests_follow_each_other(context):
    incarnation = context.endpoint.admission.incarnation

    def send_four():
        return defer.gatherResults([send_to(context, incarnation, number) for number in range(1, 5)])

    context.results = reactor_thread.call(send_four)
    context.results.append(reactor_thread.call(send_to, context, incarnation, 5))


@behave.then('all are executed over four connections, each verified once')
def connections_are_verified_once(context):
    for result in context.results:
        assert result.status == 200 and result.headers['zt-outcome'] == 'ran', context.results
    client = context.http_client
    # Five rather than four: the connection of the request for another incarnation was verified as well.
    assert client.connector.opened == 5, client.connector.opened
    assert client.verifications == 5, client.verifications
    assert json.loads(context.results[0].body) == {}
