"""Steps of policy.feature: a pool's policy, a Lua function that chooses among endpoints."""

import behave

import zinctrail.control.configuration as configuration
import zinctrail.runtime.durations as durations

PREFERS_REGION_R2 = (
    'function choose(r, e) for i, x in ipairs(e) do if x.region == "r2" then return i end end return 1 end'
)
# Passes the sample of the configuration's check, whose request has this id, and fails on every real request.
FAILS_ON_REAL_REQUESTS = 'function choose(r, e) if r.id == "1.a" then return 1 end return nil end'


@behave.when('a pool has the policy {policy}')
def check_policy(context, policy: str):
    context.faults = configuration.check({'pools': {'p': {'service': 's', 'policy': policy}}})


@behave.then('the configuration is taken')
def configuration_accepted(context):
    assert context.faults == [], context.faults


@behave.then('the configuration is refused: {reason}')
def configuration_refused(context, reason: str):
    assert [path for path, _ in context.faults] == ['$.pools.p.policy'], context.faults
    assert reason in context.faults[0][1], context.faults


def put_policy(context, source):
    """Give the pool catalog a policy; `before` and `since` are the times around it."""
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
    """(requests to catalog executed in a time, the share of them in r2)"""
    runs = [run for run in context.deployment.records.runs if since < run.at <= until and run.service == 'catalog']
    return len(runs), sum(run.zone == 'r2/c0' for run in runs) / len(runs)


@behave.then("of catalog's further requests at least half as many again run in r2 as before")
def share_of_region_grew(context):
    context.world.run(durations.ms(15000))
    _, share_before = runs_in_r2(context, durations.ms(0), context.before)
    count, share = runs_in_r2(context, context.since, context.world.now)
    # Not all of them, because a policy chooses only among the endpoints at which a proxy holds credit.
    assert count > 100 and share >= 1.5 * share_before, (count, share_before, share)


@behave.when('the pool catalog gets a policy that fails when it meets a request')
def put_failing_policy(context):
    put_policy(context, FAILS_ON_REAL_REQUESTS)


@behave.then('requests run on by the built-in choice, and the fault is logged')
def built_in_choice_is_used(context):
    context.world.run(durations.ms(5000))
    runs = [run for run in context.deployment.records.runs if run.at > context.since and run.service == 'catalog']
    assert len(runs) > 20 and len({run.zone for run in runs}) == 3
    assert any('Policy of pool catalog failed' in text for node in context.world.of('prox') for _, text in node.logs)
