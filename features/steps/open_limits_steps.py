"""Steps of open.feature: the operator's limits on the server for open traffic, over real connections."""

import behave

import features.support.open_traffic_ingress as open_traffic_ingress
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.effects as effects


def chunked_body(*sizes: int) -> bytes:
    """Return a body in chunks of the given sizes."""
    return b''.join(b'%x\r\n%s\r\n' % (size, b'x' * size) for size in sizes) + b'0\r\n\r\n'


HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
FORM = b'Content-Type: multipart/form-data\r\nContent-Length: 2000\r\n\r\n'
REQUESTS = {
    'a header line of 1500 bytes': b'GET /a HTTP/1.1\r\nA: %s\r\n' % (b'x' * 1500),
    'many header lines of 1500 bytes together': b'GET /a HTTP/1.1\r\n' + b'A: xxxxx\r\n' * 190,
    'a header of 900 bytes': b'GET /a HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n' % (b'x' * 870),
    'a body announced as 2001 bytes': HEAD + b'Content-Length: 2001\r\n\r\nx',
    'a body announced as 90000000 bytes': HEAD + b'Content-Length: 90000000\r\n\r\nx',
    'a body in chunks of 2500 bytes together': CHUNKED + chunked_body(1000, 1500),
    'a body of 2000 bytes in chunks': CHUNKED + chunked_body(500, 1500),
    'an unreadable form of 2000 bytes': HEAD + FORM + b'%' * 2000,
    'a line that is no header': b'GET /a HTTP/1.1\r\nwhat is this\r\n\r\n',
    'half a header, and then nothing': open_traffic_ingress.REQUEST[:30],
    'half a body, and then nothing': HEAD + b'Content-Length: 100\r\n\r\nhalf',
    'nothing at all': b'',
}


@behave.given(
    'an ingress with header_bytes {header:d}, body_bytes {body:d}, header_ms {header_ms:d}, idle_ms {idle_ms:d}'
)
def ingress_with_limits(context, header: int, body: int, header_ms: int, idle_ms: int):
    context.ingress = open_traffic_ingress.OpenTrafficIngress()
    context.limits = effects.Limits(header, body, header_ms, idle_ms)
    context.ingress.limit(context.limits)


@behave.when('a client sends {request}')
def client_sends(context, request: str):
    context.client, context.other_client = context.ingress.connect(), context.ingress.connect()
    reactor_thread.wait_for(lambda: len(context.ingress.server.connections) == 2)
    context.client.send(REQUESTS[request])


def index_of_request(ingress, has_id: bool) -> int:
    """Return the index of the request with an id, which only the other client sends, or of the one without."""
    return next(index for index, (_, call) in enumerate(ingress.requests) if bool(call.headers.get('zt-id')) == has_id)


def serve_other_client(context):
    """Serve a request of the other client, to show that it is not affected."""
    ingress = context.ingress
    context.other_client.send(open_traffic_ingress.REQUEST)
    reactor_thread.wait_for(lambda: any(call.headers.get('zt-id') for _, call in ingress.requests))
    ingress.respond(index_of_request(ingress, has_id=True))
    assert context.other_client.read(open_traffic_ingress.BODY).startswith(b'HTTP/1.1 200 ')


def serve_client(context):
    """Serve the request that is within the limits."""
    ingress = context.ingress
    reactor_thread.wait_for(lambda: len(ingress.requests) == 2)
    ingress.respond(index_of_request(ingress, has_id=False))
    assert context.client.read(open_traffic_ingress.BODY).startswith(b'HTTP/1.1 200 ')


@behave.then('it gets {status}, and another client is served meanwhile')
def response_by_limits(context, status: str):
    ingress = context.ingress
    serve_other_client(context)
    if status == '200':
        serve_client(context)
        return
    if status in ('408', 'close'):
        ingress.advance(0.1)
        assert len(ingress.server.connections) == 2
        # Twice, because a request that takes too long is refused first, and a connection that then stays open is closed.
        ingress.advance(3)
    received = context.client.read()
    context.client.socket.close()
    if status == 'close':
        assert received == b'', received
    else:
        assert received.startswith(b'HTTP/1.1 %s ' % status.encode()), received
    assert (b'Retry-After' in received) == (status == '503')
    assert len(ingress.requests) == 1
    reactor_thread.wait_for(lambda: all(not connection.is_refused for connection in ingress.server.connections))
    assert reactor_thread.call(lambda: ingress.server.buffered_bytes) == 0


@behave.when('a client is connected, and then the process holds all that it may')
def process_has_no_room(context):
    context.client = context.ingress.connect()
    reactor_thread.wait_for(lambda: context.ingress.server.connections)
    account = context.ingress.server.clients.account

    def hold_all():
        account.held_bytes = account.capacity_bytes

    reactor_thread.call(hold_all)


@behave.then('its request gets 503, and is not passed on')
def request_is_refused_for_lack_of_room(context):
    context.client.send(open_traffic_ingress.REQUEST)
    received = context.client.read()
    assert received.startswith(b'HTTP/1.1 503 ') and b'Retry-After' in received, received
    assert not context.ingress.requests, context.ingress.requests


@behave.given('an ingress that responds at once')
def ingress_that_responds(context):
    context.ingress = open_traffic_ingress.OpenTrafficIngress()
    record = context.ingress.host.feed

    def feed(kind, request_id, call=None):
        record(kind, request_id, call)
        if kind == 'front':
            context.ingress.server.respond(effects.HttpResponse(request_id, 404, {}, b''))

    context.ingress.host.feed = feed


@behave.when('{clients:d} clients each send {count:d} requests in a row')
def clients_send_rows(context, clients: int, count: int):
    context.clients = [context.ingress.connect() for _ in range(clients)]
    reactor_thread.wait_for(lambda: len(context.ingress.server.connections) == clients)

    def send_all():
        # On the reactor's thread, so that it finds the input of all clients at the same time.
        for number, client in enumerate(context.clients):
            client.send(b'GET /%d HTTP/1.1\r\nHost: h\r\nzt-id: 1\r\n\r\n' % number * count)

    reactor_thread.call(send_all)
    reactor_thread.wait_for(lambda: len(context.ingress.requests) == clients * count)


@behave.then("no client's next request is passed on before a request of every client")
def clients_take_turns(context):
    paths = [call.path for _, call in context.ingress.requests]
    size = len(context.clients)
    rounds = [sorted(paths[start : start + size]) for start in range(0, len(paths), size)]
    assert all(each == rounds[0] and len(set(each)) == size for each in rounds), paths


@behave.when('a request arrives on an idle connection just before room is made')
def request_arrives_before_eviction(context):
    ingress = context.ingress
    context.client = ingress.connect()
    reactor_thread.wait_for(lambda: ingress.server.connections)

    def send_and_make_room():
        context.client.send(open_traffic_ingress.REQUEST)
        ingress.server.clients.evict(None)

    reactor_thread.call(send_and_make_room)


@behave.then('it is passed on')
def request_is_passed_on(context):
    reactor_thread.wait_for(lambda: context.ingress.requests)


@behave.when("a client's request is served")
def client_is_served(context):
    context.client = context.ingress.connect()
    context.client.send(open_traffic_ingress.REQUEST)
    reactor_thread.wait_for(lambda: context.ingress.requests)
    context.ingress.respond()
    context.received = context.client.read(open_traffic_ingress.BODY)


@behave.then('its response says timeout={seconds:d}')
def response_states_timeout(context, seconds: int):
    assert b'timeout=%d\r\n' % seconds in context.received, context.received


@behave.when('the limits change to idle_ms {idle_ms:d}')
def limits_change(context, idle_ms: int):
    context.ingress.advance(5)
    assert len(context.ingress.server.connections) == 1
    context.ingress.limit(effects.Limits(1000, 2000, 300, idle_ms))
    context.ingress.advance(5)


@behave.then('the idle connection is closed cleanly')
def idle_connection_is_closed(context):
    assert context.client.socket.recv(10) == b''


@behave.when('the limits item sets idle_ms to {idle_ms:d}')
def limits_item_is_set(context, idle_ms: int):
    proxy = context.proxy
    rows = [['items', 'limits', {'v': 5, 'row': {'version': 5, 'idle_ms': idle_ms}}]]
    proxy.machine.replica.accept((1, proxy.version), rows=rows)
    proxy.machine.replica.commit((1, proxy.version))
    context.limits = []
    for _ in range(2):
        proxy.machine.applied(rows)
        context.limits += [effect for effect in proxy.machine.out if isinstance(effect, effects.Limits)]
        proxy.machine.out.clear()


@behave.then('the ingress gets idle_ms {idle_ms:d} once')
def server_gets_limits_once(context, idle_ms: int):
    assert context.limits == [effects.Limits(idle_ms=idle_ms)], context.limits


@behave.when("a client's request is served, with an empty line that comes {when} the response")
def request_with_empty_line(context, when: str):
    ingress = context.ingress
    context.client = ingress.connect()
    context.client.send(open_traffic_ingress.REQUEST + (b'\r\n' if when == 'before' else b''))
    reactor_thread.wait_for(lambda: ingress.requests)
    if when == 'before':
        reactor_thread.wait_for(lambda: all(connection._dataBuffer for connection in ingress.server.connections))
    ingress.respond()
    context.client.read(open_traffic_ingress.BODY)
    if when == 'after':
        context.client.send(b'\r\n')
        # By then the channel has read the empty line, and waits for a request's first line.
        reactor_thread.wait_for(
            lambda: all(connection._HTTPChannel__first_line == 2 for connection in ingress.server.connections)
        )


@behave.then('after 3 s its connection is still open, and serves')
def connection_still_serves(context):
    context.ingress.advance(3)
    context.client.send(open_traffic_ingress.REQUEST)
    reactor_thread.wait_for(lambda: len(context.ingress.requests) == 2)
    context.ingress.respond()
    assert context.client.read(open_traffic_ingress.BODY).startswith(b'HTTP/1.1 200 ')
