"""Steps of simulator.feature: the fault registry, the effects of cuts and resets, and the limits of the checkers."""

import behave

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.days as days
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.open_actors.endpoint as open_endpoint
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_checks as open_checks
import zinctrail.simulation.open_days as open_days
import zinctrail.simulation.search as search

ms = durations.ms

WAIT = ms(1000)
RULE = {'name': 'r-new', 'host': 'new.example', 'prefix': '/new/', 'pool': 'search', 'once': False}


@behave.then("the simulator's fault registry has {faults}")
def registry_has_faults(context, faults):
    missing = [name for name in faults.split() if name not in open_days.FAULTS]
    assert not missing, missing


# -- a world with its deployment -----------------------------------------------------------


@behave.given('a simulated scenario with {traffic}')
def create_scenario(context, traffic):
    kind = {'library calls': days, 'open traffic': open_days}[traffic]
    context.simulated_scenario = kind.Scenario(1, drift=0.0)
    context.world, context.deployment = context.simulated_scenario.world, context.simulated_scenario.deployment
    context.deployment.start()
    context.path = '/zt/live' if kind is days else '/health'


def call(context, source, end, **headers):
    """Make one call from a process to an endpoint; returns its outcome."""
    got = []
    deferred = context.world.fetch(source, end.address, 'GET', context.path, headers, b'', WAIT)
    deferred.addCallback(got.append)
    context.world.run(WAIT * 2, lambda: bool(got))
    return got[0]


@behave.when('a proxy is isolated')
def isolate_proxy(context):
    context.proxy = context.world.of('prox')[0]
    context.world.isolate(context.proxy.name)


@behave.then('its calls to each endpoint end without a response')
def calls_end_without_response(context):
    answered = [e.name for e in context.deployment.endpoints if not call(context, context.proxy.name, e).fault]
    assert not answered, answered


@behave.then('after the partition is healed they get responses')
def calls_succeed_after_healing(context):
    context.world.heal()
    lost = [e.name for e in context.deployment.endpoints if call(context, context.proxy.name, e).fault]
    assert not lost, lost


# -- constructed records ---------------------------------------------------------------


def acknowledged(records, version, at):
    """Record that a version of the rule was acknowledged."""
    row = dict(RULE, version=version)
    command = open_records.Command('change', size=1, sent_at=at - ms(50))
    change = open_records.Change('rules/r-new', version, row, command.sent_at, command, responded_at=at, status=200)
    records.changes.append(change)


def turned_away(records, number, at):
    """Record a request that got 404."""
    request = open_records.Request(
        number=str(number),
        rule='r-new',
        runs_once=False,
        host='new.example',
        path='/',
        method='GET',
        body=b'',
        home=[],
        sent_at=at,
        until=at + ms(1000),
    )
    attempt = open_records.Attempt(
        id=f'{number:016x}',
        request=request,
        proxy='prox0',
        proxy_incarnation=1,
        sent_at=at,
        responded_at=at + ms(5),
        status=404,
    )
    records.attempts.append(attempt)


def seconds(text):
    """Convert a text with a number of seconds to a duration."""
    return ms(1000 * float(text))


@behave.given('records of a rule acknowledged at {acked} s, and {requests:d} requests for it at {at} s that got 404')
def record_rule_and_requests(context, acked, requests, at):
    context.deployment = open_days.Scenario(1).deployment
    acknowledged(context.deployment.records, 1, seconds(acked))
    for number in range(requests):
        turned_away(context.deployment.records, number, seconds(at))


@behave.given(
    'records of a rule in force since {acked} s, changed at {changed} s,'
    ' with {requests:d} requests for it at {at} s that got 404'
)
def record_changed_rule_and_requests(context, acked, changed, requests, at):
    context.deployment = open_days.Scenario(1).deployment
    acknowledged(context.deployment.records, 1, seconds(acked))
    acknowledged(context.deployment.records, 2, seconds(changed))
    for number in range(requests):
        turned_away(context.deployment.records, number, seconds(at))


@behave.then('checker {checker} says {verdict:w}')
def checker_says(context, checker, verdict):
    found = open_checks.run(context.deployment, checker)
    assert bool(found) == (verdict == 'something'), found


# -- endpoints -----------------------------------------------------------------------------


def an_endpoint(context):
    """Return one endpoint of the deployment, always the same."""
    return context.deployment.endpoints[0]


@behave.when('a simulated endpoint drains')
def drain_endpoint(context):
    an_endpoint(context).drain()
    records = context.deployment.records
    assert context.world.run(ms(6000), lambda: bool(records.states))
    context.acked_at = records.states[-1].acknowledged_at


@behave.then('it is up {up} s after the acknowledgement, and down at {gone} s')
def endpoint_up_then_down(context, up, gone):
    end, world = an_endpoint(context), context.world
    world.run(context.acked_at + seconds(up) - world.now)
    assert end.up
    world.run(context.acked_at + seconds(gone) - world.now)
    assert not end.up


def ask(context, rid):
    """Send one request as a proxy does to an endpoint; returns its outcome and how often it ran."""
    end, got = an_endpoint(context), []
    headers = {'zt-id': rid, 'zt-inc': end.incarnation_id, 'zt-left-ms': '900'}
    fetch = effects.HttpFetch(1, end.address, end.incarnation_id, 'GET', '/x', headers, b'', WAIT, plain=True)
    context.world.fetch_endpoint('prox0', fetch).addCallback(got.append)
    context.world.run(WAIT * 2, lambda: bool(got))
    return got[0].fault or str(got[0].status), sum(run.id == rid for run in context.deployment.records.runs)


@behave.when('an endpoint drops connections that were idle for {rest:d} ms')
def drop_idle_connections(context, rest):
    an_endpoint(context).idle_limit = ms(rest)
    an_endpoint(context).work_ms = 20


@behave.then(
    'a call right after another succeeds, one {rest:d} ms later is reset and does not run, and the next succeeds'
)
def later_call_is_reset(context, rest):
    assert [ask(context, 'a1'), ask(context, 'a2')] == [('200', 1), ('200', 1)]
    context.world.run(ms(rest))
    assert ask(context, 'a3') == ('connection lost', 0)
    assert ask(context, 'a4') == ('200', 1)


@behave.when('an endpoint fails every request by {how:w}')
def fail_every_request_by(context, how):
    an_endpoint(context).failure_mode, an_endpoint(context).failure_share = how, 1.0


@behave.then('a call there ends as {outcome}, and ran {runs:d} times')
def call_ends_and_ran(context, outcome, runs):
    assert sorted(open_endpoint.FAILURE_MODES) == ['busy', 'errors', 'hang', 'mute', 'reset', 'shed']
    got = ask(context, 'b1')
    assert got == (outcome, runs), got


# -- resets -------------------------------------------------------------------------------------


@behave.when('all connections of a proxy are reset while it has pending calls')
def reset_connections_with_pending_calls(context):
    context.deployment.start_clients()
    context.proxy = context.world.of('prox')[0]
    assert context.world.run(ms(9000), lambda: len(context.proxy.requests) > 1)
    records = context.deployment.records
    context.pending_attempts = [
        tr for tr in records.attempts if tr.responded_at is None and tr.proxy == context.proxy.name
    ]
    assert context.pending_attempts
    context.world.reset(context.proxy, 1.0)
    context.reset_at = context.world.now


@behave.then('their callers notice that the connection was lost')
def callers_notice_lost_connection(context):
    context.world.run(ms(200))
    faults = {tr.fault for tr in context.pending_attempts}
    assert 'connection lost' in faults, faults
    assert all(tr.responded_at is not None for tr in context.pending_attempts), context.pending_attempts


@behave.then('the proxy serves again within a second')
def proxy_serves_again(context):
    context.world.run(ms(3000))
    served = [
        tr
        for tr in context.deployment.records.attempts
        if tr.proxy == context.proxy.name and tr.sent_at > context.reset_at and tr.is_success()
    ]
    assert served
    assert min(tr.responded_at for tr in served) < context.reset_at + ms(1000), served[0].responded_at


# -- sequences of faults -------------------------------------------------------------------------


@behave.given('an open scenario of "{group}" whose faults are recorded as they begin')
def open_scenario_recording_faults(context, group):
    scenario = open_days.Scenario(1, drift=0.0)
    context.begun = []

    def recorder(name):
        def begin(scenario):
            context.begun.append((scenario.world.now, name))
            return ms(500)

        return begin

    scenario.faults = {name: recorder(name) for name in registry.names_of(group)}
    scenario.inject(group)
    assert [name for _, name in context.begun] == registry.names_of(group), context.begun


@behave.then('the first two begin together, and each of the others 0.1 to 3 s after the one before')
def faults_begin_in_order(context):
    times = [at for at, _ in context.begun]
    assert times[0] == times[1]
    assert all(ms(100) <= b - a <= ms(3000) for a, b in zip(times[1:], times[2:], strict=False)), times


@behave.then('of {count:d} planned scenarios some have faults that begin together and some that follow')
def planned_scenarios_have_both_orders(context, count):
    text = ' '.join(' '.join(search.plan(seed, open_days)) for seed in range(count))
    assert '+' in text and ':' in text


@behave.then('"{group}" without its first fault is "{second}", and without its second "{first}"')
def group_without_one_fault(context, group, second, first):
    pairs = search.split_group(group)
    assert search.join_group(pairs) == group
    assert search.join_group(pairs[1:]) == second
    assert search.join_group(pairs[:1] + pairs[2:]) == first
