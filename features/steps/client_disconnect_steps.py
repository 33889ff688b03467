"""Steps of client_disconnects.feature: clients that leave, seen by a proxy's state machine and over real connections."""

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
# As many as the two endpoints take, and those beyond wait for room.
FULL = 12
# Longer than an endpoint may be silent before the request is hedged.
UNTIL_HEDGED_MS = 700
FAST_MS = 100


# -- the state machine ---------------------------------------------------------


def wait_for_lease(proxy: Proxy) -> tuple[str, int]:
    """A request waits for a lease."""
    proxy.machine.lease_until = proxy.now
    return proxy.request()


def wait_for_room(proxy: Proxy) -> tuple[str, int]:
    """A request waits for room, since others have taken all of it."""
    for _ in range(FULL):
        proxy.request()
    assert len(proxy.fetches()) == FULL
    proxy.effects.clear()
    return proxy.request()


def reach_endpoint(proxy: Proxy) -> tuple[str, int]:
    """A request is at an endpoint."""
    request_id = proxy.request()
    assert len(proxy.fetches()) == 1
    return request_id


def reach_endpoint_and_drain(proxy: Proxy) -> tuple[str, int]:
    """A request is at an endpoint, and the proxy is told to stop."""
    request_id = reach_endpoint(proxy)
    proxy.feed('stop')
    return request_id


def reach_endpoint_and_lose_lease(proxy: Proxy) -> tuple[str, int]:
    """A request is at an endpoint, and the proxy may not act on its state any more."""
    request_id = reach_endpoint(proxy)
    proxy.machine.lease_until = proxy.now
    return request_id


def reach_both(proxy: Proxy) -> tuple[str, int]:
    """A request is at two endpoints, since the first was silent."""
    request_id = reach_endpoint(proxy)
    proxy.run(UNTIL_HEDGED_MS)
    assert len(proxy.fetches()) == 2
    return request_id


def reach_second_after_refusal(proxy: Proxy) -> tuple[str, int]:
    """A request is at the second endpoint, since the first did not run it."""
    request_id = reach_endpoint(proxy)
    proxy.reply(proxy.fetches()[0], status=503, zt_not_run='1')
    assert len(proxy.fetches()) == 2
    return request_id


def reach_second_after_error(proxy: Proxy) -> tuple[str, int]:
    """A request is at the second endpoint, and the first has answered an error meanwhile."""
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


@behave.when('its request is {state}, and the caller goes away')
def caller_goes_away(context, state: str):
    context.request_id = STATES[state](context.proxy)
    context.attempt_id = f'id{context.request_id[1]}'
    context.at_disconnect = context.proxy.feed('hung_up', context.request_id)


def cancelled(proxy: Proxy) -> set[int]:
    """The ids of the calls that were cancelled."""
    return {effect.fetch_id for effect in proxy.effects if isinstance(effect, effects.CancelFetch)}


def calls_of(context) -> list[effects.HttpFetch]:
    """The calls to endpoints that were made for the request."""
    return [fetch for fetch in context.proxy.fetches() if fetch.headers['zt-id'] == context.attempt_id]


@behave.then('{count:d} calls to endpoints are cancelled, and {left:d} run on')
def calls_are_cancelled(context, count: int, left: int):
    now = {effect.fetch_id for effect in context.at_disconnect if isinstance(effect, effects.CancelFetch)}
    in_flight = {
        fetch.fetch_id for fetch in calls_of(context) if fetch.fetch_id in context.proxy.machine.open_upstream.fetches
    }
    assert (len(now), len(in_flight)) == (count, left), (now, in_flight)
    assert now <= {fetch.fetch_id for fetch in calls_of(context)}


@behave.when('the proxy goes on for {duration:d} ms')
def time_goes_by(context, duration: int):
    proxy = context.proxy
    for fetch in proxy.fetches():
        # Others that had taken the room end, so that whoever waits could be sent.
        if fetch.headers['zt-id'] != context.attempt_id and fetch.fetch_id not in cancelled(proxy):
            proxy.reply(fetch)
    proxy.machine.lease_until = open_traffic_proxy.LEASE_END
    proxy.run(duration)
    for fetch in calls_of(context):
        if fetch.fetch_id in proxy.machine.open_upstream.fetches:
            proxy.reply(fetch, fault='late')


@behave.then('it was sent {times:d} times in all, and no work is counted at any endpoint')
def sent_in_all(context, times: int):
    machine = context.proxy.machine
    assert len(calls_of(context)) == times, calls_of(context)
    mine = {fetch.fetch_id for fetch in calls_of(context)}
    assert not mine & set(machine.open_upstream.fetches)
    in_use = sum(view.in_use for view in machine.endpoint_selection.endpoint_views.values())
    assert in_use == len(machine.open_upstream.fetches), in_use


@behave.then('the proxy holds no request')
def proxy_holds_none(context):
    held = context.proxy.machine.runner.requests
    assert context.request_id not in held, held


@behave.when('the result of the cancelled call comes')
def cancelled_result_comes(context):
    (fetch,) = calls_of(context)
    context.proxy.reply(fetch)


@behave.when('the caller of one at the endpoint goes away')
def one_at_endpoint_leaves(context):
    context.proxy.feed('hung_up', ('front', 1))


@behave.then('the proxy ends as soon as it takes no more connections')
def proxy_ends_early(context):
    proxy = context.proxy
    proxy.run(3000)
    ends = [effect for effect in proxy.effects if isinstance(effect, effects.Exit)]
    assert ends and proxy.now - open_traffic_proxy.START < open_traffic_proxy.GRACE, proxy.effects


@behave.when(
    'e0 is silent, e1 takes {took:d} ms, and {count:d} callers come {gap:d} ms apart, who go away after {patience:d} ms'
)
def impatient_callers_come(context, took: int, count: int, gap: int, patience: int):
    proxy = context.proxy
    # What is due: (time, kind, request id or call), in the order of its times.
    due: list[tuple] = []
    for _ in range(count):
        known = len(proxy.fetches())
        request_id = proxy.request()
        due.append((proxy.now + ms(patience), 'leaves', request_id))
        due += [
            (proxy.now + ms(took), 'answers', fetch) for fetch in proxy.fetches()[known:] if fetch.incarnation == 'e1'
        ]
        end = proxy.now + ms(gap)
        for at, kind, what in sorted((row for row in due if row[0] <= end), key=lambda row: row[0]):
            proxy.now = at
            proxy.reply(what) if kind == 'answers' else proxy.feed('hung_up', what)
        due = [row for row in due if row[0] > end]
        proxy.run(0)
        proxy.now = end


@behave.then('e0 has been sent less than a third of them')
def silent_one_is_avoided(context):
    sent = [incarnation for _, incarnation in context.proxy.sent]
    assert 0 < sent.count('e0') < len(sent) / 3, (sent.count('e0'), len(sent))


# -- clients that link our library -----------------------------------------------

REQUEST_ID = f'{following_proxy.EPOCH}.a'


@behave.given('a proxy with a lease, whose rule says {times}')
def proxy_with_client_rule(context, times: str):
    context.proxy = following_proxy.FollowingProxy(runs_once=times == 'once')
    context.times = times


@behave.when("a client's request is {state}, and the client goes away")
def library_client_goes_away(context, state: str):
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


@behave.when('credit comes for all that waits')
def credit_for_all(context):
    context.proxy.grant_credit()


@behave.then('it was sent {times:d} times to endpoints')
def sent_to_endpoints(context, times: int):
    assert len(context.proxy.fetches) == times, context.proxy.fetches


@behave.then('its slot is reserved, and given back after its time')
def slot_is_reserved(context):
    pool = context.proxy.machine.credit.pool_credit(following_proxy.POOL)
    assert pool.in_use == {following_proxy.INCARNATION: 1}, pool.in_use
    context.proxy.pass_time(3000)
    assert not pool.in_use, pool.in_use


@behave.when("the result of the client's cancelled call comes")
def library_result_comes_late(context):
    context.proxy.feed('fetched', context.proxy.fetches[0].fetch_id, effects.HttpResult(200, {}, b'{}'))


@behave.then('nothing of it is answered')
def nothing_is_answered(context):
    assert context.call not in context.proxy.answered
    assert not context.proxy.machine.upstream.fetches


# -- real connections ------------------------------------------------------------

TIMEOUT = ms(10000)
# By then a close has been seen.
SETTLE_S = 0.05
HEAD = b'HTTP/1.1 200 OK\r\nzt-id: 1\r\ncontent-length: 5\r\n\r\n'
BODY = b'whole'
PARTS = {'nothing of it': b'', 'a part of its head': HEAD[:20], 'a part of its body': HEAD + BODY[:2]}


@behave.given('an endpoint that answers with a whole answer, but first as far as {part}')
def endpoint_answers_in_part(context, part: str):
    context.heads, context.ended, context.errors = [], [], []
    context.is_cancelled = False

    def answer(connection, head):
        context.heads.append(connection)
        connection.transport.write(HEAD + BODY if context.is_cancelled else PARTS[part])

    port = raw_server.listen(lambda: raw_server.RawConnection(answer, context.ended.append))
    context.address = raw_server.address_of(port)
    context.endpoint_client = endpoint_client.EndpointClient(reactor)


def fetch(context) -> defer.Deferred:
    """A request to the endpoint, on the reactor's thread."""
    headers = {'zt-id': '1', 'host': 'h'}
    return context.endpoint_client.fetch('i', context.address, 'GET', '/x', headers, b'', TIMEOUT, False)


def note_error(context) -> collections.abc.Callable[[dict], None]:
    """An observer that keeps errors that nobody handled."""
    return lambda event: context.errors.append(event) if event.get('isError') else None


def cancel_at(context, is_time: collections.abc.Callable[[], bool]) -> None:
    """Send a request, and cancel it as soon as it is time."""
    observer = note_error(context)
    reactor_thread.call(lambda: twisted_log.addObserver(observer))
    calls: list[defer.Deferred] = []

    def begin() -> None:
        calls.append(fetch(context))
        cancel_in_time()

    def cancel_in_time() -> bool:
        if is_time():
            calls[0].cancel()
        return is_time()

    reactor_thread.call(begin)
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
def cancelled_within_answer(context):
    def has_begun() -> bool:
        # The request is with its endpoint, and what it wrote has come: its turn of the reactor is over.
        return bool(context.heads) and not context.heads[0].transport.dataBuffer

    cancel_at(context, has_begun)


@behave.then('the connection is closed, and nothing broke')
def connection_is_closed(context):
    assert context.result.fault, context.result
    assert len(context.ended) == len(context.heads), (context.heads, context.ended)
    assert not context.errors, context.errors
    assert not reactor_thread.call(lambda: context.endpoint_client.is_distrusted('i'))


@behave.then('the next request is answered over another connection')
def next_request_is_answered(context):
    before = list(context.heads)
    result = reactor_thread.call(lambda: fetch(context))
    assert (result.status, result.body, result.fault) == (200, BODY, ''), result
    assert context.heads[-1] not in before


@behave.when('a request is sent, and cancelled after its answer')
def cancelled_after_answer(context):
    for _ in range(2):
        calls = []
        reactor_thread.call(lambda calls=calls: calls.append(fetch(context)))
        reactor_thread.wait_for(lambda calls=calls: calls[0].called and not isinstance(calls[0].result, defer.Deferred))
        reactor_thread.call(calls[0].cancel)
