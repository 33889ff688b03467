"""Steps of open.feature: which endpoint gets a request, how cold ones warm up, and which requests wait."""

import random

import behave

import features.support.open_traffic_proxy as open_traffic_proxy
import zinctrail.runtime.durations as durations

ms = durations.ms
SECOND = ms(1000)
# The time that a request to cold endpoints has left; one that waits longer is refused.
COLD_LEFT_MS = 300
FAST_MS = 60


@behave.given(
    'a proxy for open traffic, one of {proxies:d}, with {count:d} endpoints that take {most:d} connections each'
)
def proxy_with_limited_endpoints(context, proxies: int, count: int, most: int):
    context.proxy = open_traffic_proxy.OpenTrafficProxy(count, pool={'connections': most}, proxies=proxies)


@behave.when('{count:d} requests arrive at once')
def requests_arrive_at_once(context, count: int):
    context.request_ids = [context.proxy.request() for _ in range(count)]


@behave.then('each endpoint has been sent {count:d} of them')
def each_endpoint_was_sent(context, count: int):
    sent = [fetch.incarnation for fetch in context.proxy.fetches()]
    assert sorted(sent) == sorted(['e0', 'e1'] * count), sent


# -- cold endpoints -------------------------------------------------------------


@behave.given('{count:d} proxies and {ends:d} cold endpoints with a capacity of {rate:g} requests a second each')
def proxies_with_cold_endpoints(context, count: int, ends: int, rate: float):
    context.cold_rate = rate
    pool = {'cold_per_s': rate, 'connections': 5000}
    context.proxies = [
        open_traffic_proxy.OpenTrafficProxy(ends, pool=pool, proxies=count, number=index, seed=index, are_cold=True)
        for index in range(count)
    ]


def respond_to_all(proxy):
    """Respond to all sent requests, and to those sent then: requests in progress would keep others in the queue."""
    while proxy.fetches():
        fetches, proxy.effects = proxy.fetches(), []
        for fetch in fetches:
            proxy.reply(fetch)


def lose_a_third(proxies):
    """Remove each third proxy, all in one version as when a zone is lost; they get no more requests."""
    lost = range(0, len(proxies), 3)
    for proxy in proxies:
        proxy.put_rows([['members', f'm{index}', None] for index in lost])
    for index in lost:
        proxies[index].request = lambda **_: None


@behave.when('each proxy gets {rate:d} requests a second for {seconds:d} s, and {change}')
def proxies_get_requests(context, rate: int, seconds: int, change: str):
    rng = random.Random(5)
    gap_ms = 1000 / rate
    for step in range(seconds * rate):
        for proxy in context.proxies:
            proxy.run(gap_ms * rng.random() * 2)
            proxy.now = max(proxy.now, open_traffic_proxy.START + ms(gap_ms * step))
            proxy.request(left=COLD_LEFT_MS)
            respond_to_all(proxy)
        if step == seconds * rate // 2 and change.startswith('a third'):
            lose_a_third(context.proxies)


def most_in_a_second(times) -> int:
    """Return how many of the times, at most, fall within one second."""
    return max(sum(1 for time in times if start <= time < start + SECOND) for start in times)


@behave.then('in no second is any of them sent more than {times:g} times its capacity plus {slack:d}')
def sent_at_most(context, times: float, slack: int):
    context.times_by_endpoint = {}
    for proxy in context.proxies:
        for time, incarnation in proxy.sent:
            context.times_by_endpoint.setdefault(incarnation, []).append(time)
    most = max(most_in_a_second(sent_times) for sent_times in context.times_by_endpoint.values())
    assert most <= times * context.cold_rate + slack, most


@behave.then('each is sent at least {share:g} of its capacity over the whole time')
def sent_at_least(context, share: float):
    for incarnation, times in context.times_by_endpoint.items():
        seconds = (max(times) - open_traffic_proxy.START) / SECOND
        assert seconds > 5 and len(times) >= share * context.cold_rate * seconds, (incarnation, len(times), seconds)


# -- endpoints that fail or are slow ----------------------------------------------


@behave.when('endpoint e0 truncates its responses')
def endpoint_truncates_responses(context):
    proxy = context.proxy
    for _ in range(30):
        # Several at once, because single ones would all go to the other endpoint after the first failure.
        for _ in range(6):
            proxy.request()
        for fetch in proxy.fetches():
            proxy.reply(fetch, fault='reply cut short' if fetch.incarnation == 'e0' else '')
        proxy.effects.clear()
        proxy.run(20)
    proxy.sent.clear()


def endpoints_sent_to(proxy) -> list[str]:
    """Return the endpoint of each request that was sent."""
    return [incarnation for _, incarnation in proxy.sent]


@behave.then('after a while only {incarnation} gets requests')
def only_one_gets_requests(context, incarnation: str):
    for _ in range(4):
        context.proxy.request()
    assert endpoints_sent_to(context.proxy) == [incarnation] * 4, context.proxy.sent


@behave.when('endpoint e1 is removed')
def endpoint_is_removed(context):
    context.proxy.put_rows([['endpoints', 'e1', None]])
    context.proxy.sent.clear()
    context.proxy.request()


@behave.then('e0 gets requests again')
def failed_one_gets_requests_again(context):
    assert endpoints_sent_to(context.proxy) == ['e0']


@behave.when('e0 takes {first_ms:d} ms and e1 takes {second_ms:d} ms, and {count:d} requests arrive, {gap:d} ms apart')
def endpoints_differ_in_speed(context, first_ms: int, second_ms: int, count: int, gap: int):
    proxy, pending_responses = context.proxy, []
    latency = {'e0': ms(first_ms), 'e1': ms(second_ms)}
    for _ in range(count):
        proxy.request()
        pending_responses += [(proxy.now + latency[fetch.incarnation], fetch) for fetch in proxy.fetches()]
        proxy.effects.clear()
        until = proxy.now + ms(gap)
        for time, fetch in sorted(pending_responses, key=lambda pending: pending[0]):
            if time <= until:
                proxy.now = max(proxy.now, time)
                proxy.reply(fetch)
        pending_responses = [pending for pending in pending_responses if pending[0] > until]
        proxy.run(0)
        proxy.now = until


@behave.then('e1 is sent more than twice as many as e0')
def fast_one_is_sent_more(context):
    sent = endpoints_sent_to(context.proxy)
    assert sent.count('e1') > 2 * sent.count('e0') > 0, (sent.count('e1'), sent.count('e0'))


def place_in_two_zones(proxy):
    """Put the endpoints in two zones, with room: else the load that piles up at a silent one would divert requests."""
    rows = []
    for incarnation, zone in (('e0', 'r/c'), ('e1', 'q/c')):
        row = proxy.machine.replica.get('endpoints', incarnation)
        rows.append(['endpoints', incarnation, dict(row, slots=40, cell=zone)])
    proxy.put_rows(rows)


@behave.when('e0 stops responding, and {count:d} requests arrive, {gap:d} ms apart')
def endpoint_stops_responding(context, count: int, gap: int):
    proxy, pending_responses = context.proxy, []
    place_in_two_zones(proxy)
    for _ in range(count):
        proxy.request()
        pending_responses += [
            (proxy.now + ms(FAST_MS), fetch) for fetch in proxy.fetches() if fetch.incarnation == 'e1'
        ]
        proxy.effects.clear()
        proxy.run(gap)
        for time, fetch in pending_responses:
            if time <= proxy.now:
                proxy.reply(fetch)
        pending_responses = [pending for pending in pending_responses if pending[0] > proxy.now]


@behave.then('e0 has been sent no more than {most:d} of them, and e1 the rest')
def silent_one_is_sent_few(context, most: int):
    sent = endpoints_sent_to(context.proxy)
    assert 0 < sent.count('e0') <= most and len(sent) == 60, (sent.count('e0'), len(sent))


# -- requests that wait ----------------------------------------------------------


@behave.when('the endpoint is full, and requests of rank 2, 0 and 1 wait')
def ranked_requests_wait(context):
    proxy = context.proxy
    rules = [dict(proxy.rule, name=f'r{rank}', host=f'h{rank}', rank=rank) for rank in range(3)]
    proxy.put_rows([['items', f'rules/{rule["name"]}', {'v': 1, 'row': rule}] for rule in rules])
    for _ in range(6):
        proxy.request()
    context.held_fetches = proxy.fetches()
    context.waiting = {rank: proxy.request(host=f'h{rank}') for rank in (2, 0, 1)}
    assert len(proxy.fetches()) == len(context.held_fetches) == 6
    proxy.effects.clear()


@behave.when('their callers disconnect')
def callers_disconnect(context):
    for request_id in context.waiting.values():
        context.proxy.feed('hung_up', request_id)


@behave.when('the endpoint has room for one more')
def endpoint_has_room(context):
    context.proxy.reply(context.held_fetches[0])


@behave.then('the one of rank 0 is sent')
def lowest_rank_is_sent(context):
    assert [fetch.headers['host'] for fetch in context.proxy.fetches()] == ['h0']


@behave.then('none of them is sent')
def none_is_sent(context):
    context.proxy.run(500)
    assert not context.proxy.fetches()


@behave.when('{seconds:d} s pass for the proxy')
def time_passes_for_proxy(context, seconds: int):
    context.proxy.run(1000 * seconds)


@behave.then('each waiting request gets 503')
def waiting_are_refused(context):
    responses = [context.proxy.response(request_id) for request_id in context.waiting.values()]
    assert [response.status for response in responses] == [503] * 3


@behave.when('the endpoint is full, and {count:d} more requests arrive')
def many_requests_wait(context, count: int):
    proxy = context.proxy
    for _ in range(count + 6):
        proxy.request()
    context.held_fetches = proxy.fetches()
    proxy.effects.clear()
    context.selections = []
    choose_endpoint = proxy.machine.endpoint_selection.choose_endpoint

    def choose_and_record(request):
        context.selections.append(request)
        return choose_endpoint(request)

    proxy.machine.endpoint_selection.choose_endpoint = choose_and_record


@behave.then('one of them is sent, and endpoint selection ran no more than {most:d} times')
def endpoints_are_selected_rarely(context, most: int):
    assert len(context.proxy.fetches()) == 1 and len(context.selections) <= most, len(context.selections)
