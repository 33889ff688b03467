"""Steps of refusals_open.feature: open traffic that a proxy does not send to endpoints, or not a second time."""

import behave

import features.support.open_traffic_proxy as open_traffic_proxy
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects


@behave.given('a proxy of open traffic whose rule allows {attempts:d} attempts')
def proxy_with_attempts(context, attempts):
    rule = {'once': False, 'attempts': attempts}
    context.proxy = open_traffic_proxy.OpenTrafficProxy(endpoints=3, rule=rule)


@behave.when('a request gets no response for {duration:d} ms')
def request_is_slow(context, duration):
    context.proxy.request()
    context.proxy.run(duration)


@behave.when('a request gets no response for {duration:d} ms, and the lease ends after {lease:d} ms')
def request_outlives_lease(context, duration, lease):
    proxy = context.proxy
    proxy.request()
    proxy.machine.lease_until = proxy.now + durations.ms(lease)
    proxy.run(duration)


@behave.when('the endpoint of a request is unreachable, and the lease has expired by then')
def unreachable_after_lease(context):
    proxy = context.proxy
    proxy.request()
    (fetch,) = proxy.fetches()
    proxy.machine.lease_until = proxy.now
    proxy.feed('fetched', fetch.fetch_id, effects.HttpResult(sent=False, fault='ConnectionRefusedError'))
    proxy.run(500)


@behave.when('a request arrives with an id of {length:d} characters')
def request_with_id(context, length):
    context.proxy.request(**{'zt-id': 'x' * length})


@behave.then('it has been sent {count:d} times')
def request_was_sent_times(context, count):
    assert len(context.proxy.sent) == count, context.proxy.sent


@behave.given('a proxy of open traffic that may hold {most:d} requests, and whose endpoints are silent')
def proxy_with_request_limit(context, most):
    context.proxy = open_traffic_proxy.OpenTrafficProxy(endpoints=3)
    context.proxy.machine.settings.queue_most = most


@behave.given('a proxy of open traffic whose rule gives pool s all of the weight, and the pool after it none')
def proxy_with_shares(context):
    context.proxy = proxy = open_traffic_proxy.OpenTrafficProxy(endpoints=3)
    rule = {name: value for name, value in proxy.rule.items() if name != 'pool'}
    # Pool t has no endpoints, so that a request routed to it would not be sent.
    rule['shares'] = [{'pool': 's', 'weight': 1.0}, {'pool': 't', 'weight': 0.0}]
    proxy.put_rows([['items', 'rules/x', {'v': 2, 'row': rule}]])


@behave.when('{count:d} requests arrive')
def requests_arrive(context, count):
    context.calls = [context.proxy.request() for _ in range(count)]


@behave.then('{count:d} of them are refused at once as {reason}')
def requests_are_refused_as_busy(context, count, reason):
    responses = [context.proxy.response(call) for call in context.calls]
    refused = [response for response in responses if response and response.status == 503]
    assert len(refused) == count and all(response.body.decode() == f'{reason}\n' for response in refused), responses
