"""Steps of policy.feature: a pool's policy, a Lua function that selects an endpoint."""

import behave

import zinctrail.control.configuration as configuration
import zinctrail.control.policies as policies
import zinctrail.runtime.durations as durations

PREFERS_REGION_R2 = (
    'function choose(r, e) for i, x in ipairs(e) do if x.region == "r2" then return i end end return 1 end'
)
# Succeeds on the sample request of the configuration check, which has this id, and fails on every real request.
FAILS_ON_REAL_REQUESTS = 'function choose(r, e) if r.id == "1.a" then return 1 end return nil end'


@behave.when('a pool has the policy {policy}')
def check_policy(context, policy: str):
    context.faults = configuration.check({'pools': {'p': {'service': 's', 'policy': policy}}})


@behave.then('the configuration is accepted')
def configuration_accepted(context):
    assert context.faults == [], context.faults


@behave.then('the configuration is refused: {reason}')
def configuration_refused(context, reason: str):
    assert [path for path, _ in context.faults] == ['$.pools.p.policy'], context.faults
    assert reason in context.faults[0][1], context.faults


def put_policy(context, source):
    """Set the policy of pool catalog; `context.before` and `context.since` are the times before and after."""
    context.before = context.world.now
    statuses = []
    context.deployment.operator.change(
        lambda config: config['pools']['catalog'].update(policy=source),
        lambda status, _: statuses.append(status),
    )
    context.world.run(durations.ms(4000))
    assert statuses == [200], statuses
    context.since = context.world.now


@behave.when('the pool catalog gets a policy that prefers region r2')
def put_policy_for_region(context):
    # The share of r2 without a policy is measured on these ten seconds.
    context.world.run(durations.ms(10000))
    put_policy(context, PREFERS_REGION_R2)


def runs_in_r2(context, since, until):
    """Return (requests to catalog that were executed in a period, the share of them in r2)."""
    runs = [run for run in context.deployment.records.runs if since < run.at <= until and run.service == 'catalog']
    return len(runs), sum(run.zone == 'r2/c0' for run in runs) / len(runs)


@behave.then("the share of catalog's requests that run in r2 is at least 1.5 times what it was")
def share_of_region_grew(context):
    context.world.run(durations.ms(15000))
    _, share_before = runs_in_r2(context, durations.ms(0), context.before)
    count, share = runs_in_r2(context, context.since, context.world.now)
    # Not all requests run in r2, because a policy chooses only among the endpoints at which a proxy holds credit.
    assert count > 100 and share >= 1.5 * share_before, (count, share_before, share)


@behave.when('the pool catalog gets a policy that fails on each request')
def put_failing_policy(context):
    put_policy(context, FAILS_ON_REAL_REQUESTS)


@behave.then('requests run on with the built-in choice, and the error is logged')
def built_in_choice_is_used(context):
    context.world.run(durations.ms(5000))
    runs = [run for run in context.deployment.records.runs if run.at > context.since and run.service == 'catalog']
    assert len(runs) > 20 and len({run.zone for run in runs}) == 3
    assert any('Policy of pool catalog failed' in text for node in context.world.of('prox') for _, text in node.logs)


@behave.then('the policy "return {value}" chooses nothing, with an error of the policy')
def policy_chooses_nothing(context, value: str):
    policy = policies.Policy(f'function choose(request, ends) return {value} end')
    error = None
    try:
        policy.choose(policies.SAMPLE_REQUEST, policies.SAMPLE_ENDPOINTS)
    except policies.PolicyError as caught:
        error = caught
    assert error is not None and 'chose' in str(error), error
