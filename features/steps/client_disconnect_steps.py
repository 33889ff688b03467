"""Steps of client_disconnects.feature: disconnects of clients, at a proxy's state machine and on real connections."""

import collections.abc

import behave
import twisted.internet.defer as defer
import twisted.internet.reactor as reactor
import twisted.internet.task as task
import twisted.python.log as twisted_log

import features.support.following_proxy as following_proxy
import features.support.open_traffic_proxy as open_traffic_proxy
import features.support.raw_server as raw_server
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.transport.endpoint_client as endpoint_client

ms = durations.ms
Proxy = open_traffic_proxy.OpenTrafficProxy
# As many requests as the two endpoints accept; further ones wait for room.
FULL = 12
# Longer than an endpoint may be silent before the request is hedged.
UNTIL_HEDGED_MS = 700
FAST_MS = 100


# -- the state machine ---------------------------------------------------------


def wait_for_lease(proxy: Proxy) -> tuple[str, int]:
    """Let a request wait for a lease; return its id."""
    proxy.machine.lease_until = proxy.now
    return proxy.request()


def wait_for_room(proxy: Proxy) -> tuple[str, int]:
    """Let a request wait for room, because others fill the endpoints; return its id."""
    for _ in range(FULL):
        proxy.request()
    assert len(proxy.fetches()) == FULL
    proxy.effects.clear()
    return proxy.request()


def reach_endpoint(proxy: Proxy) -> tuple[str, int]:
    """Send a request to an endpoint; return its id."""
    request_id = proxy.request()
    assert len(proxy.fetches()) == 1
    return request_id


def reach_endpoint_and_drain(proxy: Proxy) -> tuple[str, int]:
    """Send a request to an endpoint, and tell the proxy to stop; return the request's id."""
    request_id = reach_endpoint(proxy)
    proxy.feed('stop')
    return request_id


def reach_endpoint_and_lose_lease(proxy: Proxy) -> tuple[str, int]:
    """Send a request to an endpoint, and let the proxy's lease expire; return the request's id."""
    request_id = reach_endpoint(proxy)
    proxy.machine.lease_until = proxy.now
    return request_id


def reach_both(proxy: Proxy) -> tuple[str, int]:
    """Send a request to a second endpoint, because the first is silent; return its id."""
    request_id = reach_endpoint(proxy)
    proxy.run(UNTIL_HEDGED_MS)
    assert len(proxy.fetches()) == 2
    return request_id


def reach_second_after_refusal(proxy: Proxy) -> tuple[str, int]:
    """Send a request to a second endpoint, because the first did not run it; return its id."""
    request_id = reach_endpoint(proxy)
    proxy.reply(proxy.fetches()[0], status=503, zt_not_run='1')
    assert len(proxy.fetches()) == 2
    return request_id


def reach_second_after_error(proxy: Proxy) -> tuple[str, int]:
    """Send a request to both endpoints, and let the first respond with an error; return its id."""
    request_id = reach_both(proxy)
    proxy.reply(proxy.fetches()[0], status=500)
    return request_id


STATES: dict[str, collections.abc.Callable[[Proxy], tuple[str, int]]] = {
    'waiting for a lease': wait_for_lease,
    'waiting for room': wait_for_room,
    'at an endpoint': reach_endpoint,
    'at an endpoint, and the proxy drains': reach_endpoint_and_drain,
    'at an endpoint, and the lease is over': reach_endpoint_and_lose_lease,
    'at two endpoints': reach_both,
    'at the second after the first refused it': reach_second_after_refusal,
    'at the second after the first was silent, and the first answered 500': reach_second_after_error,
}


@behave.when('its request is {state}, and the caller disconnects')
def caller_disconnects(context, state: str):
    context.request_id = STATES[state](context.proxy)
    context.attempt_id = f'id{context.request_id[1]}'
    context.at_disconnect = context.proxy.feed('hung_up', context.request_id)


def cancelled(proxy: Proxy) -> set[int]:
    """Return the ids of the calls that were cancelled."""
    return {effect.fetch_id for effect in proxy.effects if isinstance(effect, effects.CancelFetch)}


def calls_for_request(context) -> list[effects.HttpFetch]:
    """Return the calls to endpoints that were made for the request."""
    return [fetch for fetch in context.proxy.fetches() if fetch.headers['zt-id'] == context.attempt_id]


@behave.then('{count:d} calls to endpoints are cancelled, and {left:d} continue')
def calls_are_cancelled(context, count: int, left: int):
    now = {effect.fetch_id for effect in context.at_disconnect if isinstance(effect, effects.CancelFetch)}
    in_flight = {
        fetch.fetch_id
        for fetch in calls_for_request(context)
        if fetch.fetch_id in context.proxy.machine.open_upstream.fetches
    }
    assert (len(now), len(in_flight)) == (count, left), (now, in_flight)
    assert now <= {fetch.fetch_id for fetch in calls_for_request(context)}


@behave.when('the proxy runs for another {duration:d} ms')
def proxy_runs_on(context, duration: int):
    proxy = context.proxy
    for fetch in proxy.fetches():
        # The requests that filled the endpoints complete, so that a waiting one could be sent.
        if fetch.headers['zt-id'] != context.attempt_id and fetch.fetch_id not in cancelled(proxy):
            proxy.reply(fetch)
    proxy.machine.lease_until = open_traffic_proxy.LEASE_END
    proxy.run(duration)
    for fetch in calls_for_request(context):
        if fetch.fetch_id in proxy.machine.open_upstream.fetches:
            proxy.reply(fetch, fault='late')


@behave.then('it was sent {times:d} times in all, and no call of it counts as in progress')
def sent_in_all(context, times: int):
    machine = context.proxy.machine
    assert len(calls_for_request(context)) == times, calls_for_request(context)
    mine = {fetch.fetch_id for fetch in calls_for_request(context)}
    assert not mine & set(machine.open_upstream.fetches)
    in_use = sum(view.in_use for view in machine.endpoint_selection.endpoint_views.values())
    assert in_use == len(machine.open_upstream.fetches), in_use


@behave.then('the proxy no longer holds the request')
def proxy_dropped_request(context):
    held = context.proxy.machine.runner.requests
    assert context.request_id not in held, held


@behave.when('the result of the cancelled call arrives')
def cancelled_result_arrives(context):
    (fetch,) = calls_for_request(context)
    context.proxy.reply(fetch)


@behave.when('the caller of a request at the endpoint disconnects')
def caller_at_endpoint_disconnects(context):
    context.proxy.feed('hung_up', ('front', 1))


@behave.then('the proxy exits as soon as it accepts no more connections')
def proxy_exits_early(context):
    proxy = context.proxy
    proxy.run(3000)
    ends = [effect for effect in proxy.effects if isinstance(effect, effects.Exit)]
    assert ends and proxy.now - open_traffic_proxy.START < open_traffic_proxy.GRACE, proxy.effects


@behave.when(
    'e0 is silent, e1 takes {took:d} ms, and {count:d} callers connect {gap:d} ms apart and disconnect after {patience:d} ms'
)
def impatient_callers_come(context, took: int, count: int, gap: int, patience: int):
    proxy = context.proxy
    # Events to come: (time, kind, request id or call).
    events: list[tuple] = []
    for _ in range(count):
        known = len(proxy.fetches())
        request_id = proxy.request()
        events.append((proxy.now + ms(patience), 'disconnects', request_id))
        events += [
            (proxy.now + ms(took), 'responds', fetch) for fetch in proxy.fetches()[known:] if fetch.incarnation == 'e1'
        ]
        end = proxy.now + ms(gap)
        for at, kind, subject in sorted((row for row in events if row[0] <= end), key=lambda row: row[0]):
            proxy.now = at
            proxy.reply(subject) if kind == 'responds' else proxy.feed('hung_up', subject)
        events = [row for row in events if row[0] > end]
        proxy.run(0)
        proxy.now = end


@behave.then('e0 has been sent less than a third of them')
def silent_one_is_avoided(context):
    sent = [incarnation for _, incarnation in context.proxy.sent]
    assert 0 < sent.count('e0') < len(sent) / 3, (sent.count('e0'), len(sent))


# -- clients that use the zinctrail library --------------------------------------

REQUEST_ID = f'{following_proxy.EPOCH}.a'


@behave.given('a proxy with a lease, whose rule says {times}')
def proxy_with_client_rule(context, times: str):
    context.proxy = following_proxy.FollowingProxy(runs_once=times == 'once')
    context.times = times


@behave.when("a client's request is {state}, and the client disconnects")
def library_client_disconnects(context, state: str):
    proxy = context.proxy
    context.call = proxy.request(REQUEST_ID)
    if context.times == 'once':
        proxy.respond_to_claim(got='claimed')
    proxy.pass_time(100)
    if state == 'at an endpoint':
        proxy.grant_credit()
    assert len(proxy.fetches) == (1 if state == 'at an endpoint' else 0)
    context.at_disconnect = proxy.feed('hung_up', context.call)


@behave.then('{count:d} of its calls are cancelled, and the proxy holds {held:d} request of it')
def library_calls_are_cancelled(context, count: int, held: int):
    cancelled_ids = [effect.fetch_id for effect in context.at_disconnect if isinstance(effect, effects.CancelFetch)]
    assert cancelled_ids == [fetch.fetch_id for fetch in context.proxy.fetches][:count], cancelled_ids
    machine = context.proxy.machine
    assert len(machine.runner.requests) == held
    assert len(machine.credit.pool_credit(following_proxy.POOL).queue) == (held and not context.proxy.fetches)


@behave.when('credit arrives for every waiting request')
def credit_arrives_for_all(context):
    context.proxy.grant_credit()


@behave.then('it was sent {times:d} times to endpoints')
def sent_to_endpoints(context, times: int):
    assert len(context.proxy.fetches) == times, context.proxy.fetches


@behave.then('its slot stays reserved, and is released after its time')
def slot_is_reserved(context):
    pool = context.proxy.machine.credit.pool_credit(following_proxy.POOL)
    assert pool.in_use == {following_proxy.INCARNATION: 1}, pool.in_use
    context.proxy.pass_time(3000)
    assert not pool.in_use, pool.in_use


@behave.when("the result of the client's cancelled call arrives")
def late_result_arrives(context):
    context.proxy.feed('fetched', context.proxy.fetches[0].fetch_id, effects.HttpResult(200, {}, b'{}'))


@behave.then('no response is sent for it')
def no_response_is_sent(context):
    assert context.call not in context.proxy.answered
    assert not context.proxy.machine.upstream.fetches


# -- real connections ------------------------------------------------------------

TIMEOUT = ms(10000)
# How long to wait until a close has been seen.
SETTLE_S = 0.05
HEAD = b'HTTP/1.1 200 OK\r\nzt-id: 1\r\ncontent-length: 5\r\n\r\n'
BODY = b'whole'
PARTS = {'nothing': b'', 'a part of its headers': HEAD[:20], 'a part of its body': HEAD + BODY[:2]}


@behave.given('an endpoint that responds in full, but first only with {part}')
def endpoint_responds_partially(context, part: str):
    context.heads, context.ended, context.errors = [], [], []
    context.is_cancelled = False

    def respond(connection, head):
        context.heads.append(connection)
        connection.transport.write(HEAD + BODY if context.is_cancelled else PARTS[part])

    port = raw_server.listen(lambda: raw_server.RawConnection(respond, context.ended.append))
    context.address = raw_server.address_of(port)
    context.endpoint_client = endpoint_client.EndpointClient(reactor)


def fetch(context) -> defer.Deferred:
    """Send a request to the endpoint; must run on the reactor's thread."""
    headers = {'zt-id': '1', 'host': 'h'}
    return context.endpoint_client.fetch('i', context.address, 'GET', '/x', headers, b'', TIMEOUT, False)


def error_recorder(context) -> collections.abc.Callable[[dict], None]:
    """Return a log observer that records unhandled errors."""
    return lambda event: context.errors.append(event) if event.get('isError') else None


def cancel_at(context, is_time: collections.abc.Callable[[], bool]) -> None:
    """Send a request, and cancel it as soon as `is_time` returns true."""
    observer = error_recorder(context)
    reactor_thread.call(lambda: twisted_log.addObserver(observer))
    calls: list[defer.Deferred] = []

    def send() -> None:
        calls.append(fetch(context))
        cancel_in_time()

    def cancel_in_time() -> bool:
        if is_time():
            calls[0].cancel()
        return is_time()

    reactor_thread.call(send)
    reactor_thread.wait_for(cancel_in_time)
    reactor_thread.call(lambda: task.deferLater(reactor, SETTLE_S))
    reactor_thread.call(lambda: twisted_log.removeObserver(observer))
    context.result = reactor_thread.call(lambda: calls[0])
    context.is_cancelled = True


@behave.when('a request to it is cancelled before it is connected')
def cancelled_at_once(context):
    cancel_at(context, lambda: True)


@behave.when('a request to it is cancelled once the endpoint has it')
def cancelled_at_endpoint(context):
    cancel_at(context, lambda: bool(context.heads))


@behave.when('a request to it is cancelled once a part of the answer has come')
def cancelled_within_response(context):
    def has_begun() -> bool:
        # The endpoint has the request, and its first bytes are written: the reactor has no more of them buffered.
        return bool(context.heads) and not context.heads[0].transport.dataBuffer

    cancel_at(context, has_begun)


@behave.then('the connection is closed, and no exception is logged')
def connection_is_closed(context):
    assert context.result.fault, context.result
    assert len(context.ended) == len(context.heads), (context.heads, context.ended)
    assert not context.errors, context.errors
    assert not reactor_thread.call(lambda: context.endpoint_client.is_distrusted('i'))


@behave.then('the next request gets its response over another connection')
def next_request_gets_response(context):
    before = list(context.heads)
    result = reactor_thread.call(lambda: fetch(context))
    assert (result.status, result.body, result.fault) == (200, BODY, ''), result
    assert context.heads[-1] not in before


@behave.when('a request is sent, and cancelled after its response')
def cancelled_after_response(context):
    for _ in range(2):
        calls = []
        reactor_thread.call(lambda calls=calls: calls.append(fetch(context)))
        reactor_thread.wait_for(lambda calls=calls: calls[0].called and not isinstance(calls[0].result, defer.Deferred))
        reactor_thread.call(calls[0].cancel)
