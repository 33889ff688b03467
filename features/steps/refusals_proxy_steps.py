"""Steps of refusals_proxy.feature: credit, claims and results that a proxy must not act on."""

import base64

import behave

import features.support.following_proxy as following_proxy
import features.support.machine_host as machine_host

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
    """A request is claimed, and waits for credit."""
    context.proxy = proxy = following_proxy.FollowingProxy()
    context.call = proxy.request(REQUEST_ID, **headers)
    proxy.respond_to_claim(got='claimed')
    proxy.pass_time(100)
    assert proxy.sent_all('want') and not proxy.fetches


# -- credit ---------------------------------------------------------------------


@behave.when('credit comes from the ledger of fence {fence:d} for the newest request')
def credit_comes(context, fence):
    context.proxy.grant_credit(fence)


@behave.when('credit comes from the ledger of fence {fence:d} for a request that was not made')
def credit_comes_unasked(context, fence):
    context.proxy.grant_credit(fence, NUMBER_NEVER_USED)


@behave.when('credit comes for an endpoint of r1')
def credit_comes_for_far(context):
    context.proxy.grant_credit(incarnation=following_proxy.FAR_INCARNATION)


@behave.then('the waiting request is sent')
def request_is_sent(context):
    assert [fetch.incarnation for fetch in context.proxy.fetches] == [following_proxy.INCARNATION]


@behave.then('the waiting request is not sent')
def request_is_not_sent(context):
    assert not context.proxy.fetches, context.proxy.fetches


@behave.when('{duration:d} ms go by, in which the ledger grants nothing')
def time_goes_by(context, duration):
    assert len(context.proxy.fetches) == 1
    context.proxy.pass_time(duration)


@behave.when('another request is claimed')
def another_is_claimed(context):
    context.proxy.request(SECOND_ID)
    context.proxy.respond_to_claim(got='claimed')


@behave.then('the second request is not sent')
def second_is_not_sent(context):
    assert len(context.proxy.fetches) == 1, context.proxy.fetches


@behave.when('a ledger of fence {fence:d} collects what is held')
def ledger_collects(context, fence):
    context.proxy.recv('c', 'collect', pool=following_proxy.POOL, fence=fence)


@behave.then('it is told nothing')
def ledger_told_nothing(context):
    assert not context.proxy.sent('held')


@behave.then('it is told what is held')
def ledger_told(context):
    assert [frame['held'] for frame in context.proxy.sent('held')] == [{}]


@behave.then('credit was asked for')
def credit_was_asked_for(context):
    assert len(context.proxy.sent_all('want')) > context.asked_before


@behave.then('no credit was asked for')
def no_credit_was_asked_for(context):
    assert len(context.proxy.sent_all('want')) == context.asked_before


# -- claims and results ---------------------------------------------------------


@behave.when('its claim is taken by {owner}, and {state}')
def claim_is_taken(context, owner, state):
    context.proxy.respond_to_claim(got='taken', by=owner, at=machine_host.address_of('p'), state=state, attempt=1)


@behave.then('its caller is told {status:d} "{outcome}", and nothing is sent')
def caller_is_told(context, status, outcome):
    told, document = context.proxy.responses[context.call]
    assert (told, document['outcome']) == (status, outcome), (told, document)
    assert not context.proxy.fetches


@behave.then('its caller is told nothing yet')
def caller_is_told_nothing(context):
    assert not context.proxy.responses, context.proxy.responses


def answer_query(context, request_id, result) -> None:
    """The claim's owner answers what it was asked."""
    key = context.proxy.sent_all('kept')[-1]['key']
    named = {} if request_id is None else {'id': request_id}
    context.proxy.recv('p', 'kept_re', key=key, **named, outcome=result, cell='')


@behave.when('p answers with the result of another request')
def answers_of_another(context):
    answer_query(context, SECOND_ID, RESULT)


@behave.when('p answers with the result of this request')
def answers_of_this(context):
    answer_query(context, REQUEST_ID, RESULT)


@behave.when('{duration:d} ms go by under the lease')
def goes_by_under_lease(context, duration):
    context.asked_before = len(context.proxy.sent_all('want'))
    context.proxy.pass_time(duration)


@behave.when('{duration:d} ms go by without a lease')
def goes_by_without_lease(context, duration):
    context.asked_before = len(context.proxy.sent_all('want'))
    for number in range(duration // 100):
        context.proxy.run(100)
        # The leader is there, and grants nothing.
        context.proxy.recv('b', 'chk', term=3, to=context.proxy.machine.node, round=100 + number, http='')
    assert context.proxy.machine.leader and not context.proxy.machine.has_lease()


@behave.then('its caller was answered once')
def answered_once(context):
    assert context.proxy.answered == [context.call], context.proxy.answered


@behave.when('p answers that it knows no result')
def answers_without_result(context):
    answer_query(context, REQUEST_ID, None)


@behave.when("p answers with a result and no request's id")
def answers_without_id(context):
    answer_query(context, None, RESULT)


@behave.when('a request with id {request_id} comes')
def request_comes(context, request_id):
    context.call = context.proxy.request(request_id)


@behave.then('no claim is asked for')
def no_claim_asked(context):
    assert not context.proxy.sent_all('ask')
