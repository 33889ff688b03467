"""Scenarios of open traffic: what the checkers must find once a guard is off, and seeds that once found a fault.

The steps that run the checkers ("checker ... finds nothing", "with guard ... off")
are in days_steps.py.
"""

import unittest.mock as mock

import behave

import zinctrail.consensus.election as election
import zinctrail.control.configuration_items as configuration_items
import zinctrail.control.coordination as coordination
import zinctrail.control.retention as retention
import zinctrail.control.routing_table as routing_table
import zinctrail.proxy.node as proxy_node
import zinctrail.proxy.open_pipeline as open_pipeline
import zinctrail.proxy.open_queue as open_queue
import zinctrail.proxy.open_responses as open_responses
import zinctrail.proxy.open_upstream as open_upstream
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.proxy.retry_budget as retry_budget
import zinctrail.proxy.slow_start as slow_start
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.disk as simulated_disk
import zinctrail.simulation.open_days as open_days

ms = durations.ms
NEEDS_APPS = ('one', 'order', 'stale', 'value', 'history')


def run_scenario(names, seed, checker):
    """Run a scenario of open traffic whose clocks drift, with applications where the checker needs them."""
    return open_days.Scenario(seed, names, length=ms(12000), with_applications=checker in NEEDS_APPS, drift=0.02).run()


# -- guards, each switched off as narrowly as may be -----------------------


def replaced(owner, name, replacement):
    """Return the patches that replace an attribute while a guard is off."""
    return [mock.patch.object(owner, name, replacement)]


def repeat_always(original=open_pipeline.match_route):
    """Let a request be sent again after it may have run, whatever its rule says."""

    def match(proxy, request):
        matched = original(proxy, request)
        request.at_most_once = False
        return matched

    return replaced_stage(original, match)


def replaced_stage(stage, replacement):
    """Return the patches that replace a stage of the pipeline."""
    return replaced(open_pipeline, 'STAGES', [replacement if each is stage else each for each in open_pipeline.STAGES])


def accept_any_response(request, result):
    """Reject a response for an error of its connection only, not for the id of another request."""
    return result.fault


def accept_cut_short(request, result):
    """Accept a response that was cut short as a complete one."""
    if result.fault == 'reply cut short':
        result.fault = ''
    return result.fault


def refuse_as_not_run(self, request, refusal, original=open_responses.OpenResponses.respond_refusal):
    """Say with every refusal that the request has not run."""
    original(self, request, refusals.Refusal(503, str(refusal)))


def send_other_id(self, request, original=open_upstream.OpenUpstream.send):
    """Send a request with another id than its own."""
    original(self, request)
    self.proxy.out[-1].headers['zt-id'] += 'x'


def send_without_incarnation(self, request, original=open_upstream.OpenUpstream.send):
    """Send a request without the incarnation of the endpoint that it is for."""
    original(self, request)
    self.proxy.out[-1].headers.pop('zt-inc')


def is_usable_in_any_state(self, incarnation):
    """Return True for an endpoint in any state, unless its zone is evacuated."""
    row = self.endpoint(incarnation)
    return row is not None and not self.is_emptied(row['cell'])


def apply_any_version(transaction, document, original=configuration_items.apply):
    """Apply a change of the items in spite of its versions."""
    result = original(transaction, document)
    for key, version, row in configuration_items.to_changes(document):
        transaction.put('items', key, {'v': version, 'row': row})
    return result


def exit_at_once(self):
    """End a process that is asked to stop, without draining."""
    self.out.append(effects.Exit(0))


def queue_without_timeout(self, request, until):
    """Let a request wait in the queue without a timeout."""
    request.waiting_for = request_record.Waiting.ROOM


def no_elections(own_election, original=election.Election.plan):
    """Start no election, so that a lost leader is not replaced."""
    # Not during the first 9 s, because the scenario needs a leader to begin.
    if own_election.voter.now < ms(9000):
        original(own_election)


def expire_sooner(core, transaction, arguments, original=coordination.OPERATIONS['lock.hold'].function):
    """Let the leader expire a lock after a quarter of its lease."""
    result = original(core, transaction, arguments)
    core.lock_expiry.deadlines[arguments['name']] = transaction.now + ms(arguments['lease_ms'] / 4)
    return result


def lose_past_values(core, transaction, arguments, original=coordination.OPERATIONS['cell.put'].function):
    """Discard the past values of a register before each put."""
    row = transaction.get('values', arguments['name'])
    if row:
        transaction.put('values', arguments['name'], dict(row, past=[], value=row['value'] + ' '))
    return original(core, transaction, arguments)


def put_at_any_revision(core, transaction, arguments, original=coordination.OPERATIONS['cell.put'].function):
    """Put a value in spite of the revision that the caller expects."""
    return original(core, transaction, {name: value for name, value in arguments.items() if name != 'rev'})


def skip_first_event(core, transaction, arguments, original=coordination.OPERATIONS['cell.watch'].function):
    """Leave out the first event of a watch's response."""
    result = original(core, transaction, arguments)
    return dict(result, events=result['events'][1:])


def forget_soon(transaction, epoch, kept, original=retention.drop_expired):
    """Retain the history of only one epoch."""
    original(transaction, epoch, 1)


def replaced_operation(name, function):
    """Return the patches that replace the function of a coordination operation."""
    return [mock.patch.dict(coordination.OPERATIONS, {name: coordination.OPERATIONS[name]._replace(function=function)})]


GUARDS = {
    'at most once': repeat_always,
    'unknown outcomes': lambda: replaced(open_responses.OpenResponses, 'respond_refusal', refuse_as_not_run),
    'whose answer it is': lambda: replaced(open_responses, 'response_error', accept_any_response),
    'whole answers': lambda: replaced(open_responses, 'response_error', accept_cut_short),
    'the id as it came': lambda: replaced(open_upstream.OpenUpstream, 'send', send_other_id),
    # Backing off as well, because an endpoint that refuses connections is avoided for longer than an address takes to
    # be reused.
    'naming the incarnation': lambda: (
        replaced(open_upstream.OpenUpstream, 'send', send_without_incarnation)
        + replaced(open_upstream.OpenUpstream, 'back_off_endpoint', lambda self, incarnation: None)
    ),
    'publishing to proxies': lambda: (
        replaced(proxy_node.Proxy, 'applied', lambda self, rows: None)
        + replaced(routing_table.RoutingTable, 'invalidate', lambda self: None)
    ),
    'versions': lambda: replaced(configuration_items, 'apply', apply_any_version),
    'checking items': lambda: replaced(configuration_items, 'check', lambda document, pools=None: []),
    'syncing': lambda: replaced(simulated_disk.Disk, 'syncs', False),
    'elections': lambda: replaced(election.Election, 'plan', no_elections),
    'drain marks': lambda: replaced(routing_table.RoutingTable, 'is_usable', is_usable_in_any_state),
    'finishing before the end': lambda: replaced(proxy_node.Proxy, 'timer_drain', exit_at_once),
    'cancelling': lambda: replaced(open_upstream.OpenUpstream, 'cancel', lambda self, request: None),
    'homes of lookups': lambda: replaced(routing_table.RoutingTable, 'homes_of_host', lambda self, host: frozenset()),
    'patience': lambda: replaced(open_queue.OpenQueue, 'add', queue_without_timeout),
    'the repeat bound': lambda: replaced(retry_budget.RetryBudget, 'allows', lambda self, now, proxies: True),
    'turns at the cold': lambda: replaced(slow_start.SlowStart, 'is_throttled', lambda self, incarnation, row: False),
    'home': lambda: replaced(routing_table.RoutingTable, 'region_of', lambda self, cell: 'r0'),
    'contents of versions': lambda: replaced(configuration_items, '_may_acknowledge', lambda *arguments: True),
    'emptied cells': lambda: replaced(routing_table.RoutingTable, 'is_emptied', lambda self, cell: False),
    'lock terms': lambda: replaced_operation('lock.hold', expire_sooner),
    'values known again': lambda: replaced_operation('cell.put', lose_past_values),
    'concerns': lambda: replaced_operation('cell.put', put_at_any_revision),
    'whole watches': lambda: replaced_operation('cell.watch', skip_first_event),
    'history': lambda: replaced(retention, 'drop_expired', forget_soon),
}


@behave.given('open days of {names} under seeds {seeds}')
def open_days_under_seeds(context, names, seeds):
    context.names, context.seeds = names.split(','), [int(seed) for seed in seeds.split(',')]
    context.make, context.guards = run_scenario, GUARDS


@behave.given('an open scenario of {names} under seed {seed:d}, {shape}')
def open_scenario_under_seed(context, names, seed, shape):
    context.simulated_scenario = open_days.Scenario(seed, names.split(','), shape, ms(20000)).run()


@behave.then('checker {checker} finds nothing in it')
def checker_finds_nothing_in_it(context, checker):
    findings = context.simulated_scenario.verdicts(checker)
    assert not findings, (findings[:5], context.simulated_scenario.replay_command())
