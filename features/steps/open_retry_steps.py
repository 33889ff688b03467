"""Steps of open.feature: when a proxy sends a request a second time, which response its caller gets, and headers."""

import behave

import features.support.open_traffic_proxy as open_traffic_proxy
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

ms = durations.ms
RULES = {'once': {'once': True}, 'often': {}, 'often, one attempt': {'attempts': 1}}
# The arguments of OpenTrafficProxy.reply, by what an endpoint does.
REPLIES = {
    'cuts its answer off': {'fault': 'reply cut short'},
    'answers to another': {'zt_id': 'other'},
    'answers 500': {'status': 500},
    'answers 503 as not run': {'status': 503, 'zt_not_run': '1'},
    'answers 421': {'status': 421},
    'answers 503 and nothing else': {'status': 503},
    'can not be reached': {'sent': False, 'fault': 'refused'},
    'answers in an encoding': {'content_encoding': 'gzip'},
}


@behave.given('a proxy for open traffic with {count:d} endpoints, whose rule says {rule}')
def proxy_with_rule(context, count: int, rule: str):
    context.proxy = open_traffic_proxy.OpenTrafficProxy(count, rule=RULES[rule])


@behave.when('{duration:d} ms pass without a response')
def no_answer_for(context, duration: int):
    context.proxy.run(duration)


@behave.then('it was sent to both endpoints')
def sent_to_both(context):
    assert sorted(fetch.incarnation for fetch in context.proxy.fetches()) == ['e0', 'e1']


@behave.when('the {which} endpoint responds')
def one_endpoint_responds(context, which: str):
    context.proxy.reply(context.proxy.fetches()[0 if which == 'first' else 1])


@behave.then('its caller gets that response')
def caller_gets_response(context):
    assert context.proxy.response(context.request_id).status == 200


@behave.then('it gets one response, and no endpoint has a request in progress')
def caller_gets_one_response(context):
    proxy = context.proxy
    assert sum(isinstance(effect, effects.HttpResponse) for effect in proxy.effects) == 1
    assert [view.in_use for view in proxy.machine.endpoint_selection.endpoint_views.values()] == [0, 0]
    assert not proxy.machine.open_upstream.fetches


@behave.when('its endpoint {does}')
def endpoint_does(context, does: str):
    proxy = context.proxy
    if does.startswith('stays silent'):
        proxy.run(900)
        return
    fetch = proxy.fetches()[0]
    if does == 'answers 200 without a stamp':
        headers = {'zt-id': fetch.headers['zt-id']}
        proxy.feed('fetched', fetch.fetch_id, effects.HttpResult(200, headers, b'x'))
    else:
        proxy.reply(fetch, **REPLIES[does])


@behave.then('it is sent {times:d} times, and its caller gets {status}')
def request_is_sent_times_and_caller_gets(context, times: int, status: str):
    response = context.proxy.response(context.request_id)
    assert len(context.proxy.fetches()) == times, context.proxy.fetches()
    assert (str(response.status) if response else 'none') == status, response
    if status == '502':
        assert 'retry-after' not in response.headers


@behave.when('the lease expires')
def lease_expires(context):
    context.proxy.machine.lease_until = context.proxy.now


@behave.then('after 90 ms it has no response, and after 140 ms it is refused, with a third of its time as Retry-After')
def refused_after_a_wait(context):
    proxy = context.proxy
    proxy.run(90)
    assert proxy.response(context.request_id) is None
    proxy.run(50)
    response = proxy.response(context.request_id)
    assert response.status == 503 and 0.6 < float(response.headers['retry-after']) < 0.65, response


@behave.when('the lease is renewed {duration:d} ms later')
def lease_is_renewed(context, duration: int):
    context.proxy.run(duration)
    context.proxy.machine.lease_until = open_traffic_proxy.LEASE_END
    context.proxy.run(30)


@behave.then('the request is sent')
def waiting_request_is_sent(context):
    assert len(context.proxy.fetches()) == 1


@behave.when('{count:d} requests get no response, and others are served {gap:d} ms apart')
def many_requests_get_no_response(context, count: int, gap: int):
    proxy = context.proxy
    silent_ids = [f'id{index + 1}' for index in range(count)]
    for _ in range(count):
        proxy.request()
    context.retried_at = []
    # Only these requests stay without a response, because further silent ones would be retried in their place.
    proxy.effects = []
    for _ in range(36):
        proxy.run(gap)
        proxy.request()
        for fetch in proxy.fetches():
            if fetch.headers['zt-id'] in silent_ids:
                context.retried_at.append(proxy.now)
            proxy.reply(fetch)
        proxy.effects.clear()


@behave.then('all {count:d} were sent to a second endpoint, not all at once')
def retried_over_time(context, count: int):
    retried_at = context.retried_at
    assert len(retried_at) == count and retried_at[-1] - retried_at[0] >= ms(200), retried_at


# -- headers ----------------------------------------------------------------------


def parse_headers(text: str) -> dict[str, str]:
    """Return the headers of a text `name=value and name=value`."""
    pairs = (part.partition('=') for part in text.split(' and '))
    return {name: value for name, _, value in pairs}


@behave.when('a request arrives with headers {text}')
def request_with_headers(context, text: str):
    context.request_id = context.proxy.request(**parse_headers(text))


@behave.then('its endpoint gets headers {text}, the time that it has left and its incarnation')
def endpoint_gets_headers(context, text: str):
    headers = dict(context.proxy.fetches()[0].headers)
    assert headers.pop('zt-inc') == 'e0' and int(headers.pop('zt-left-ms')) <= 2000
    assert headers == parse_headers(text), headers
