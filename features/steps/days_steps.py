"""Steps of simulated scenarios: what checkers find, and must find when a guard is switched off."""

import contextlib
import os
import subprocess
import sys
import unittest.mock as mock

import behave

import zinctrail.client.seal as seal
import zinctrail.consensus.election as election
import zinctrail.consensus.member as member
import zinctrail.consensus.transactions as transactions
import zinctrail.control.claims as claims
import zinctrail.control.configuration as configuration
import zinctrail.control.coordination as coordination
import zinctrail.control.heartbeats as heartbeats
import zinctrail.control.retention as retention
import zinctrail.control.routing_table as routing_table
import zinctrail.proxy.at_most_once as at_most_once
import zinctrail.proxy.node as proxy_node
import zinctrail.proxy.pipeline as pipeline
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request_runner as request_runner
import zinctrail.proxy.retry_budget as retry_budget
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.days as days
import zinctrail.simulation.disk as simulated_disk
import zinctrail.simulation.world as world

ms = durations.ms
NEEDS_APPS = ('locks', 'numbers', 'keys', 'watches')


def run_scenario(names: list[str], seed: int, checker: str) -> days.Scenario:
    """Run a scenario for a checker.

    Plain endpoints only implement the interface and protect nothing, so that the guarantees rest on the system alone.
    """
    scenario = days.Scenario(
        seed,
        names,
        length=ms(15000),
        with_applications=checker in NEEDS_APPS,
        custom_settings=settings.Settings(),
        any_proxy_share=0.5,
        rate=60,
        plain=True,
        drift=0.02,
    )
    return scenario.run()


# -- guards, each switched off as narrowly as may be -----------------------


def replaced(owner, name, replacement):
    """The patches that put a replacement in place of an attribute."""
    return [mock.patch.object(owner, name, replacement)]


def claim_always(controller, transaction, arguments):
    """Whoever claims a request may run it."""
    return {'status': 200, 'got': 'claimed'}


def no_lease_needed():
    """The patches by which a member acts without a lease."""
    # Credit too, because it lapses by itself and would hide that the routing table is stale.
    return bounds_with(credit=ms(60000)) + [
        mock.patch.object(member.Member, 'has_lease', lambda self: True),
        mock.patch.object(member.Member, 'lease_remaining', lambda self: ms(2400)),
    ]


def bounds_with(**values):
    """Bounds made from now on have these values, whatever is checked at start."""
    init = settings.Settings.__init__

    def patched(self, *arguments, **options):
        init(self, *arguments, **options)
        self.__dict__.update(values)

    return [mock.patch.object(settings.Settings, '__init__', patched)]


def counting_early():
    """Stages that count first attempts and retries before they wait for credit."""
    original = pipeline.check_retry_budget

    def early(proxy, request):
        original(proxy, request)
        if request.is_charged:
            return True
        budget = proxy.retry_budgets.budget_of(request.pool)
        budget.spend(proxy.now) if request.is_retry else budget.earn()
        request.is_charged = True
        return True

    stages = [early if check is original else check for check in pipeline.STAGES]
    return replaced(pipeline, 'STAGES', stages) + replaced(pipeline, 'check_retry_budget', early)


def half_applied(transaction, document, base, original=configuration.apply):
    """A configuration that is refused is written all the same."""
    if configuration.check(document):
        for (table, key), row in configuration.to_rows(document).items():
            transaction.put(table, key, row)
        transaction.put('meta', 'conf', transaction.generation)
    return original(transaction, document, base)


def run_without_rollback(self, step):
    """What a step wrote stays, also where it is refused."""
    try:
        return step(self)
    except Exception as error:
        return error.to_result()


def any_base(transaction, document, base, original=configuration.apply):
    """A configuration is applied whatever it was made from."""
    return original(transaction, document, transaction.get('meta', 'conf') or 0)


def refuse_as_not_run(self, request, refusal, original=request_runner.RequestRunner.respond_refusal):
    """Every refusal says that the request did not run."""
    refusal.outcome = refusals.NOT_RUN
    attempt = request.attempt
    request.attempt = 1
    request.is_claimed = False
    original(self, request, refusal)
    request.attempt = attempt


def skip_forgotten(controller, transaction, arguments, original=coordination.OPERATIONS['key.watch'].function):
    """A watch skips ahead over what is no longer kept, and does not say so."""
    floor = transaction.get('numbers', '/floor') or 0
    return original(controller, transaction, dict(arguments, since=max(arguments.get('since', 0), floor)))


def expire_sooner(controller, transaction, arguments, original=coordination.OPERATIONS['lock.take'].function):
    """A lock is free after a quarter of its lease."""
    result = original(controller, transaction, arguments)
    deadline = transaction.now + ms(arguments['lease_ms'] / 4)
    controller.lock_expiry.deadlines[arguments['name']] = deadline
    return result


def run_each_time(controller, transaction, name, arguments, function):
    """An operation is carried out again for each copy, whatever its id is."""
    return function(controller, transaction, arguments)


def no_elections(own_election, original=election.Election.plan):
    """Nobody stands for election."""
    # Elections work at first, because the scenario has to start.
    if own_election.voter.now < ms(11000):
        original(own_election)


def forget_soon(transaction, epoch, kept, original=retention.drop_expired):
    """What is kept for some epochs is kept for one."""
    original(transaction, epoch, 1)


GUARDS = {
    'claims': lambda: (
        replaced(claims, 'claim', claim_always)
        + replaced(at_most_once.AtMostOnce, 'begin_result', lambda self, request: None)
    ),
    'unknown outcomes': lambda: replaced(request_runner.RequestRunner, 'respond_refusal', refuse_as_not_run),
    'closing claims': lambda: replaced(request_runner.RequestRunner, 'respond_refusal', refuse_as_not_run),
    'the seal': lambda: replaced(seal, 'is_intact', lambda *arguments: True),
    'view leases': no_lease_needed,
    'credit until the work ends': lambda: bounds_with(linger=ms(0)),
    'counting what is sent': counting_early,
    'ids of calls': lambda: replaced(coordination, 'run_once', run_each_time),
    'homes of claims': lambda: replaced(at_most_once.AtMostOnce, 'is_outside_home', lambda self, request, zone: False),
    'keeping the gone': lambda: replaced(heartbeats, 'require_not_removed', lambda state, incarnation: None),
    'asking who is there': lambda: replaced(world.World, 'verifies_incarnations', False),
    'publishing to proxies': lambda: (
        replaced(proxy_node.Proxy, 'applied', lambda self, rows: None)
        + replaced(routing_table.RoutingTable, 'invalidate', lambda self: None)
    ),
    'syncing': lambda: replaced(simulated_disk.Disk, 'syncs', False),
    'all or nothing': lambda: (
        replaced(configuration, 'apply', half_applied) + replaced(transactions.Transaction, 'run', run_without_rollback)
    ),
    'bases': lambda: replaced(configuration, 'apply', any_base),
    'evacuation': lambda: replaced(routing_table.RoutingTable, 'is_evacuated', lambda self, cell: False),
    'warmth': lambda: replaced(routing_table.RoutingTable, 'capacity', lambda self, incarnation, pool: 8),
    'the repeat bound': lambda: replaced(retry_budget.RetryBudget, 'allows', lambda self, now, proxies: True),
    'home': lambda: replaced(routing_table.RoutingTable, 'region_of', lambda self, cell: 'r0'),
    'lock terms': lambda: [
        mock.patch.dict(coordination.OPERATIONS, {'lock.take': coordination.Operation(expire_sooner)})
    ],
    'telling the floor': lambda: [
        mock.patch.dict(coordination.OPERATIONS, {'key.watch': coordination.Operation(skip_forgotten)}),
        mock.patch.object(retention, 'drop_expired', forget_soon),
    ],
    'elections': lambda: replaced(election.Election, 'plan', no_elections),
}


@behave.given('days of {names} under seeds {seeds}')
def days_of_faults_under_seeds(context, names: str, seeds: str):
    context.names = names.split(',')
    context.seeds = [int(seed) for seed in seeds.split(',')]
    context.make, context.guards = run_scenario, GUARDS


@behave.then('checker {checker} finds nothing')
def checker_finds_nothing(context, checker: str):
    context.checker = checker
    for seed in context.seeds:
        scenario = context.make(context.names, seed, checker)
        assert scenario.verdicts(checker) == [], (scenario.verdicts(checker)[:5], scenario.replay_command())
        # A scenario in which no requests ran, or a fault had no target, would prove nothing.
        assert len(scenario.deployment.records.runs) > 500, scenario.deployment.tally()
        assert not scenario.ineffective, scenario.ineffective


@behave.then('with guard {guard} off it finds something')
def checker_finds_something_without_guard(context, guard: str):
    found = []
    for seed in context.seeds:
        with contextlib.ExitStack() as stack:
            for patch in context.guards[guard]():
                stack.enter_context(patch)
            scenario = context.make(context.names, seed, context.checker)
            found += scenario.verdicts(context.checker)
        if found:
            return
    raise AssertionError(f'checker {context.checker} is blind to the loss of {guard}')


DIGEST = """
import hashlib, sys
import zinctrail.runtime.durations as durations
import zinctrail.simulation.days as days
scenario = days.Scenario(int(sys.argv[1]), sys.argv[2].split(','), length=durations.ms(10000)).run()
records = scenario.world.lines, scenario.world.inputs, scenario.deployment.records.responses
print(hashlib.sha256(repr(records).encode()).hexdigest())
"""


def digest_of_scenario(names: str, seed: int, hash_seed: str) -> str:
    """Run a scenario in a separate process; returns a digest of all that happened in it."""
    done = subprocess.run(
        [sys.executable, '-c', DIGEST, str(seed), names],
        text=True,
        check=True,
        stdout=subprocess.PIPE,
        env=dict(os.environ, PYTHONHASHSEED=hash_seed),
    )
    return done.stdout


@behave.when('the scenario {names} of seed {seed:d} runs under two hash seeds')
def scenario_runs_under_two_hash_seeds(context, names: str, seed: int):
    context.digests = [digest_of_scenario(names, seed, hash_seed) for hash_seed in ('1', '2')]


@behave.then('both runs are identical')
def runs_are_the_same(context):
    assert len(context.digests[0]) == 65 and len(set(context.digests)) == 1, context.digests


@behave.given('a day of {names} under seed {seed:d}')
def day_of_faults_under_seed(context, names: str, seed: int):
    context.simulated_scenario = days.Scenario(seed, names.split(','), length=ms(30000)).run()


@behave.then('nothing that must never happen happened')
def no_violation_happened(context):
    violations = context.simulated_scenario.verdicts()
    assert not violations, (violations[:5], context.simulated_scenario.replay_command())
    assert len(context.simulated_scenario.deployment.records.runs) > 300, context.simulated_scenario.deployment.tally()


@behave.given('{shape} at {rate:d} a second, a day of {names}, seed {seed:d}')
def day_of_shape_and_rate(context, shape: str, rate: int, names: str, seed: int):
    context.simulated_scenario = days.Scenario(
        seed, names.split(','), shape, ms(16000), rate=rate, plain=True, drift=0.02
    ).run()


@behave.then('the fault found its mark')
def fault_found_its_mark(context):
    assert not context.simulated_scenario.ineffective, context.simulated_scenario.ineffective
