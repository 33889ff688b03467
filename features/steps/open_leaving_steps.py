"""Steps of open.feature: a proxy for open traffic leaves, and so does its server over real connections."""

import behave

import features.support.open_traffic_front as open_traffic_front
import features.support.open_traffic_proxy as open_traffic_proxy
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.effects as effects


@behave.given('a proxy for open traffic with {count:d} endpoints')
def proxy_with_endpoints(context, count: int):
    context.proxy = open_traffic_proxy.OpenTrafficProxy(count)


@behave.when('it is told to stop')
def proxy_is_stopped(context):
    context.proxy.feed('stop')
    context.stopped_at = context.proxy.now


def drains(proxy):
    """Whether the server was told to take no more connections, for each time it was told to drain."""
    return [effect.stops_listening for effect in proxy.effects if isinstance(effect, effects.DrainOpenTraffic)]


@behave.then('it is not ready, and tells its connections to go elsewhere')
def proxy_is_not_ready(context):
    assert context.proxy.machine.ready() == (False, 'leaving')
    assert drains(context.proxy) == [False]


@behave.when('a request comes {seconds:g} s later')
def request_comes_later(context, seconds: float):
    context.proxy.run(1000 * seconds)
    context.request_id = context.proxy.request()


@behave.then('it is sent to an endpoint')
def request_is_sent(context):
    context.first_request_id = context.request_id
    assert len(context.proxy.fetches()) == 1 and context.proxy.response(context.request_id) is None


@behave.when('{seconds:g} s more go by')
def seconds_go_by(context, seconds: float):
    context.proxy.run(1000 * seconds)


@behave.then('it takes no more connections')
def proxy_takes_no_connections(context):
    assert drains(context.proxy) == [False, True]


@behave.then('it is refused as not run, with a time to come back')
def request_is_refused(context):
    response = context.proxy.response(context.request_id)
    assert response.status == 503 and float(response.headers['retry-after']) > 0, response


@behave.then('it ends only once the first request is answered, within its grace')
def proxy_ends_after_last_response(context):
    proxy = context.proxy
    proxy.run(300)
    assert not any(isinstance(effect, effects.Exit) for effect in proxy.effects)
    proxy.reply(proxy.fetches()[0])
    assert proxy.response(context.first_request_id).status == 200
    proxy.run(1000)
    assert isinstance(proxy.effects[-1], effects.Exit)
    assert proxy.now - context.stopped_at < open_traffic_proxy.GRACE


# -- the server over real connections ------------------------------------------


@behave.given('a front whose machine answers when told to')
def front_that_waits(context):
    context.front = open_traffic_front.OpenTrafficFront()


@behave.when('two clients connect, one of them sends a request, and the front leaves')
def front_leaves(context):
    front = context.front
    context.client, context.idle_client, context.slow_client = (front.connect() for _ in range(3))
    context.client.send(open_traffic_front.REQUEST)
    context.slow_client.send(open_traffic_front.REQUEST[:20])

    def requests_are_read():
        connections = front.server.connections
        idle_count = sum(connection.is_idle() for connection in connections)
        return len(connections) == 3 and front.requests and idle_count == 1

    reactor_thread.wait_for(requests_are_read)
    front.drain(stops_listening=False)


@behave.when('the request is answered')
def front_responds(context):
    context.front.respond()


@behave.then("its answer is whole, and its connection's last")
def response_is_the_last(context):
    received = context.client.read()
    assert received.lower().count(b'connection: close') == 1, received
    assert received.endswith(b'\r\n\r\n' + open_traffic_front.BODY), received


@behave.when('the front is shut')
def front_is_shut(context):
    context.front.drain(stops_listening=True)


@behave.then("the other client's connection is closed, and no new one is accepted")
def idle_connection_is_closed(context):
    assert context.idle_client.read() == b''
    try:
        context.front.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError('accepted')


@behave.then('a request half read at that time is still answered')
def unfinished_request_is_answered(context):
    context.slow_client.send(open_traffic_front.REQUEST[20:])
    reactor_thread.wait_for(lambda: len(context.front.requests) == 2)
    context.front.respond()
    received = context.slow_client.read()
    assert b'connection: close' in received.lower() and received.endswith(open_traffic_front.BODY), received
    reactor_thread.wait_for(lambda: not context.front.server.connections)
