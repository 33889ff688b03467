"""Steps of refusals_proxy.feature: credit, claims and results that a proxy must ignore or refuse."""

import base64

import behave

import features.support.following_proxy as following_proxy
import features.support.machine_host as machine_host
import zinctrail.proxy.at_most_once as at_most_once
import zinctrail.proxy.request as request_record

REQUEST_ID = f'{following_proxy.EPOCH}.a'
SECOND_ID = f'{following_proxy.EPOCH}.b'
NUMBER_NEVER_USED = 999
RESULT = [200, {'zt-outcome': 'ran'}, base64.b64encode(b'{}').decode()]


@behave.given('a proxy with a lease')
def proxy_with_lease(context):
    context.proxy = following_proxy.FollowingProxy()


@behave.given('a proxy with a lease, and a request that waits for its claim')
def request_waits_for_claim(context):
    context.proxy = following_proxy.FollowingProxy()
    context.call = context.proxy.request(REQUEST_ID)
    assert context.proxy.sent_all('ask')[-1]['op'] == 'claim'


@behave.given('a proxy with a lease, and a claimed request that waits for credit')
def request_waits_for_credit(context):
    wait_for_credit(context)


@behave.given('a proxy with a lease, and a claimed request for home r0 that waits for credit')
def home_request_waits_for_credit(context):
    wait_for_credit(context, **{'zt-home': 'r0'})


def wait_for_credit(context, **headers: str) -> None:
    """Start a proxy with a claimed request that waits for credit."""
    context.proxy = proxy = following_proxy.FollowingProxy()
    context.call = proxy.request(REQUEST_ID, **headers)
    proxy.respond_to_claim(got='claimed')
    proxy.pass_time(100)
    assert proxy.sent_all('want') and not proxy.fetches


# -- credit ---------------------------------------------------------------------


@behave.when('credit arrives from the ledger with fence {fence:d} for the newest request')
def credit_arrives(context, fence):
    context.proxy.grant_credit(fence)


@behave.when('credit arrives from the ledger with fence {fence:d} for a request that was not made')
def unrequested_credit_arrives(context, fence):
    context.proxy.grant_credit(fence, NUMBER_NEVER_USED)


@behave.when('credit arrives for an endpoint of r1')
def credit_arrives_for_other_region(context):
    context.proxy.grant_credit(incarnation=following_proxy.FAR_INCARNATION)


@behave.then('the waiting request is sent')
def request_is_sent(context):
    assert [fetch.incarnation for fetch in context.proxy.fetches] == [following_proxy.INCARNATION]


@behave.then('the waiting request is not sent')
def request_is_not_sent(context):
    assert not context.proxy.fetches, context.proxy.fetches


@behave.when('{duration:d} ms pass, in which the ledger grants nothing')
def time_passes_without_credit(context, duration):
    assert len(context.proxy.fetches) == 1
    context.proxy.pass_time(duration)


@behave.when('another request is claimed')
def another_request_is_claimed(context):
    context.proxy.request(SECOND_ID)
    context.proxy.respond_to_claim(got='claimed')


@behave.then('the second request is not sent')
def second_request_is_not_sent(context):
    assert len(context.proxy.fetches) == 1, context.proxy.fetches


@behave.when('a ledger with fence {fence:d} collects the credit that proxies hold')
def ledger_collects_credit(context, fence):
    context.proxy.recv('c', 'collect', pool=following_proxy.POOL, fence=fence)


@behave.then('the proxy reports nothing')
def proxy_reports_nothing(context):
    assert not context.proxy.sent('held')


@behave.then('the proxy reports what it holds')
def proxy_reports_held_credit(context):
    assert [frame['held'] for frame in context.proxy.sent('held')] == [{}]


@behave.then('credit was requested')
def credit_was_requested(context):
    assert len(context.proxy.sent_all('want')) > context.requests_before


@behave.then('no credit was requested')
def no_credit_was_requested(context):
    assert len(context.proxy.sent_all('want')) == context.requests_before


# -- claims and results ---------------------------------------------------------


@behave.when('its claim belongs to {owner}, and is {state}')
def claim_belongs_to_other(context, owner, state):
    context.proxy.respond_to_claim(got='taken', by=owner, at=machine_host.address_of('p'), state=state, attempt=1)


@behave.then('its caller gets {status:d} "{outcome}", and nothing is sent')
def caller_gets_outcome(context, status, outcome):
    received, document = context.proxy.responses[context.call]
    assert (received, document['outcome']) == (status, outcome), (received, document)
    assert not context.proxy.fetches


@behave.then('its caller gets no response yet')
def caller_gets_no_response(context):
    assert not context.proxy.responses, context.proxy.responses


def respond_to_query(context, request_id, result) -> None:
    """Let p, which owns the claim, respond to the query for the request's result."""
    key = context.proxy.sent_all('kept')[-1]['key']
    named = {} if request_id is None else {'id': request_id}
    context.proxy.recv('p', 'kept_re', key=key, **named, outcome=result, cell='')


@behave.when('p responds with the result of another request')
def response_has_result_of_another(context):
    respond_to_query(context, SECOND_ID, RESULT)


@behave.when('p responds with the result of this request')
def response_has_result_of_request(context):
    respond_to_query(context, REQUEST_ID, RESULT)


@behave.when('{duration:d} ms pass under the lease')
def time_passes_under_lease(context, duration):
    context.requests_before = len(context.proxy.sent_all('want'))
    context.proxy.pass_time(duration)


@behave.when('{duration:d} ms pass without a lease')
def time_passes_without_lease(context, duration):
    context.requests_before = len(context.proxy.sent_all('want'))
    for number in range(duration // 100):
        context.proxy.run(100)
        # The leader sends heartbeats, but grants no lease.
        context.proxy.recv('b', 'chk', term=3, to=context.proxy.machine.node, round=100 + number, http='')
    assert context.proxy.machine.leader and not context.proxy.machine.has_lease()


@behave.then('its caller got one response')
def caller_got_one_response(context):
    assert context.proxy.answered == [context.call], context.proxy.answered


@behave.when('p responds that it has no result')
def response_has_no_result(context):
    respond_to_query(context, REQUEST_ID, None)


@behave.when("p responds with a result without a request's id")
def response_has_no_request_id(context):
    respond_to_query(context, None, RESULT)


@behave.when('a request with id {request_id} arrives')
def request_arrives(context, request_id):
    context.call = context.proxy.request(request_id)


@behave.then('no claim is requested')
def no_claim_is_requested(context):
    assert not context.proxy.sent_all('ask')


# -- stored results ---------------------------------------------------------------------


@behave.given('a proxy with a lease, on a machine of {memory_mb:d} MB')
def proxy_on_machine(context, memory_mb: int):
    context.proxy = following_proxy.FollowingProxy()
    context.proxy.machine.settings.memory_mb = memory_mb


@behave.when('{count:d} requests that run at most once end with a result of {size:d} bytes')
def requests_end_with_results(context, count: int, size: int):
    results = context.proxy.machine.at_most_once
    for number in range(count):
        request = request_record.Request(number, None, context.proxy.now, id=f'{following_proxy.EPOCH}.{number}')
        results.begin_result(request)
        response = at_most_once.StoredResponse(200, {}, b'r' * size)
        results.end_result(request, results.stored_results[request.id], response, has_run=True)
    context.newest, context.result_bytes = request.id, size


@behave.then('the stored results have {limit:d} bytes at most, and the newest is among them')
def stored_results_are_limited(context, limit: int):
    results = context.proxy.machine.at_most_once
    # The limit is enforced when the next request begins.
    assert results.stored_bytes <= limit + context.result_bytes, results.stored_bytes
    assert results.stored_bytes == sum(len(each.response.body) for each in results.stored_results.values())
    assert context.newest in results.stored_results
