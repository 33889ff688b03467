"""Steps of open.feature: a proxy for open traffic shuts down, and its server drains real connections."""

import behave

import features.support.open_traffic_ingress as open_traffic_ingress
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


def drain_effects(proxy):
    """Return, for each drain effect of the proxy, whether its server must stop listening."""
    return [effect.stops_listening for effect in proxy.effects if isinstance(effect, effects.DrainOpenTraffic)]


@behave.then('it is not ready, and drains its connections')
def proxy_is_not_ready(context):
    assert context.proxy.machine.ready() == (False, 'leaving')
    assert drain_effects(context.proxy) == [False]


@behave.when('a request arrives {seconds:g} s later')
def request_arrives_later(context, seconds: float):
    context.proxy.run(1000 * seconds)
    context.request_id = context.proxy.request()


@behave.then('it is sent to an endpoint')
def request_is_sent(context):
    context.first_request_id = context.request_id
    assert len(context.proxy.fetches()) == 1 and context.proxy.response(context.request_id) is None


@behave.when('{seconds:g} s more go by')
def seconds_go_by(context, seconds: float):
    context.proxy.run(1000 * seconds)


@behave.then('it accepts no more connections')
def proxy_takes_no_connections(context):
    assert drain_effects(context.proxy) == [False, True]


@behave.then('it is refused as not run, with a Retry-After')
def request_is_refused(context):
    response = context.proxy.response(context.request_id)
    assert response.status == 503 and float(response.headers['retry-after']) > 0, response


@behave.then('it exits only after the first request got its response, within its grace period')
def proxy_exits_after_last_response(context):
    proxy = context.proxy
    proxy.run(300)
    assert not any(isinstance(effect, effects.Exit) for effect in proxy.effects)
    proxy.reply(proxy.fetches()[0])
    assert proxy.response(context.first_request_id).status == 200
    proxy.run(1000)
    assert isinstance(proxy.effects[-1], effects.Exit)
    assert proxy.now - context.stopped_at < open_traffic_proxy.GRACE


# -- the server over real connections ------------------------------------------


@behave.given('an ingress whose responses the scenario sends')
def ingress_with_controlled_responses(context):
    context.ingress = open_traffic_ingress.OpenTrafficIngress()


@behave.when('two clients connect, one of them sends a request, and the ingress drains')
def ingress_drains(context):
    ingress = context.ingress
    context.client, context.idle_client, context.slow_client = (ingress.connect() for _ in range(3))
    context.client.send(open_traffic_ingress.REQUEST)
    context.slow_client.send(open_traffic_ingress.REQUEST[:20])

    def requests_are_read():
        connections = ingress.server.connections
        idle_count = sum(connection.is_idle() for connection in connections)
        return len(connections) == 3 and ingress.requests and idle_count == 1

    reactor_thread.wait_for(requests_are_read)
    ingress.drain(stops_listening=False)


@behave.when('the response is sent')
def response_is_sent(context):
    context.ingress.respond()


@behave.then('its response is complete, and the last on its connection')
def response_is_the_last(context):
    received = context.client.read()
    assert received.lower().count(b'connection: close') == 1, received
    assert received.endswith(b'\r\n\r\n' + open_traffic_ingress.BODY), received


@behave.when('the ingress stops listening')
def ingress_stops_listening(context):
    context.ingress.drain(stops_listening=True)


@behave.then("the other client's connection is closed, and no new one is accepted")
def idle_connection_is_closed(context):
    assert context.idle_client.read() == b''
    try:
        context.ingress.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError('accepted')


@behave.then('a request that was half read by then still gets its response')
def unfinished_request_is_answered(context):
    context.slow_client.send(open_traffic_ingress.REQUEST[20:])
    reactor_thread.wait_for(lambda: len(context.ingress.requests) == 2)
    context.ingress.respond()
    received = context.slow_client.read()
    assert b'connection: close' in received.lower() and received.endswith(open_traffic_ingress.BODY), received
    reactor_thread.wait_for(lambda: not context.ingress.server.connections)
