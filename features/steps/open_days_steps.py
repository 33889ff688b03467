"""Steps of simulated scenarios of open traffic: what checkers must find when a guard is off, and regression seeds.

The steps "checker ... finds nothing" and "with guard ... off" are those of days_steps.py.
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
    """Run a scenario of open traffic with drifting clocks, and with applications if the checker needs them."""
    return open_days.Scenario(seed, names, length=ms(12000), with_applications=checker in NEEDS_APPS, drift=0.02).run()


# -- guards, each switched off as narrowly as may be -----------------------


def off(obj, name, new):
    """Replace an attribute for as long as a guard is off."""
    return [mock.patch.object(obj, name, new)]


def repeatable(original=open_pipeline.match_route):
    """Whatever a rule says, a request may be sent again after it may have run."""

    def match(proxy, request):
        got = original(proxy, request)
        request.at_most_once = False
        return got

    return swap(original, match)


def swap(old, new):
    """Replace one stage of the pipeline."""
    return off(open_pipeline, 'STAGES', [new if p is old else p for p in open_pipeline.STAGES])


def only_faults(rec, res):
    """Judge an answer by the connection alone, whosever answer it is."""
    return res.fault


def no_faults(rec, res):
    """Take an answer that was cut short for a complete one."""
    # Taken for whole, though it was cut short.
    if res.fault == 'reply cut short':
        res.fault = ''
    return res.fault


def not_run_at_all(self, request, refusal, original=open_responses.OpenResponses.respond_refusal):
    """Promise with every refusal that the request has not run."""
    original(self, request, refusals.Refusal(503, str(refusal)))


def altered(self, request, original=open_upstream.OpenUpstream.send):
    """Send a request under another id than its own."""
    original(self, request)
    self.proxy.out[-1].headers['zt-id'] += 'x'


def unnamed(self, request, original=open_upstream.OpenUpstream.send):
    """Send a request without the incarnation that is meant."""
    original(self, request)
    self.proxy.out[-1].headers.pop('zt-inc')


def any_state(self, inc):
    """Take an endpoint for usable whatever its state."""
    row = self.endpoint(inc)
    return row is not None and not self.is_emptied(row['cell'])


def any_version(txn, doc, original=configuration_items.apply):
    """Apply a change of the items whatever its version."""
    res = original(txn, doc)
    for key, version, row in configuration_items.to_changes(doc):
        txn.put('items', key, {'v': version, 'row': row})
    return res


def at_once(self):
    """End a process that is told to stop, without draining."""
    self.out.append(effects.Exit(0))


def never_given_up(self, request, until):
    """Let a request wait in the queue without an end."""
    request.waiting_for = request_record.Waiting.ROOM


def no_elections(own_election, original=election.Election.plan):
    """Stand for no election, so that a lost leader is not replaced."""
    # Elections work at first, because the scenario has to start.
    if own_election.voter.now < ms(9000):
        original(own_election)


def sooner(core, txn, args, original=coordination.OPERATIONS['lock.hold'].function):
    """Let the leader forget a lock at a quarter of its time."""
    res = original(core, txn, args)
    core.lock_expiry.deadlines[args['name']] = txn.now + ms(args['lease_ms'] / 4)
    return res


def put_anew(core, txn, args, original=coordination.OPERATIONS['cell.put'].function):
    """Put a value anew before each put, so that its past is lost."""
    row = txn.get('values', args['name'])
    if row:
        txn.put('values', args['name'], dict(row, past=[], value=row['value'] + ' '))
    return original(core, txn, args)


def any_revision(core, txn, args, original=coordination.OPERATIONS['cell.put'].function):
    """Put whatever revision the caller expects."""
    return original(core, txn, {k: v for k, v in args.items() if k != 'rev'})


def skipping(core, txn, args, original=coordination.OPERATIONS['cell.watch'].function):
    """Leave out the first event of a watch."""
    res = original(core, txn, args)
    return dict(res, events=res['events'][1:])


def forget_soon(txn, epoch, kept, original=retention.drop_expired):
    """Keep the history of one epoch alone."""
    original(txn, epoch, 1)


def op(name, fn):
    """Replace the function of one coordination operation."""
    return [mock.patch.dict(coordination.OPERATIONS, {name: coordination.OPERATIONS[name]._replace(function=fn)})]


GUARDS = {
    'at most once': repeatable,
    'unknown outcomes': lambda: off(open_responses.OpenResponses, 'respond_refusal', not_run_at_all),
    'whose answer it is': lambda: off(open_responses, 'response_error', only_faults),
    'whole answers': lambda: off(open_responses, 'response_error', no_faults),
    'the id as it came': lambda: off(open_upstream.OpenUpstream, 'send', altered),
    # Backing off as well, because an endpoint that refuses connections is avoided for longer than an address takes to
    # be reused.
    'naming the incarnation': lambda: (
        off(open_upstream.OpenUpstream, 'send', unnamed)
        + off(open_upstream.OpenUpstream, 'back_off_endpoint', lambda self, incarnation: None)
    ),
    'publishing to proxies': lambda: (
        off(proxy_node.Proxy, 'applied', lambda self, rows: None)
        + off(routing_table.RoutingTable, 'invalidate', lambda self: None)
    ),
    'versions': lambda: off(configuration_items, 'apply', any_version),
    'checking items': lambda: off(configuration_items, 'check', lambda doc, pools=None: []),
    'syncing': lambda: off(simulated_disk.Disk, 'syncs', False),
    'elections': lambda: off(election.Election, 'plan', no_elections),
    'drain marks': lambda: off(routing_table.RoutingTable, 'is_usable', any_state),
    'finishing before the end': lambda: off(proxy_node.Proxy, 'timer_drain', at_once),
    'cancelling': lambda: off(open_upstream.OpenUpstream, 'cancel', lambda self, request: None),
    'homes of lookups': lambda: off(routing_table.RoutingTable, 'homes_of_host', lambda self, host: frozenset()),
    'patience': lambda: off(open_queue.OpenQueue, 'add', never_given_up),
    'the repeat bound': lambda: off(retry_budget.RetryBudget, 'allows', lambda self, now, proxies: True),
    'turns at the cold': lambda: off(slow_start.SlowStart, 'is_throttled', lambda self, incarnation, row: False),
    'home': lambda: off(routing_table.RoutingTable, 'region_of', lambda self, cell: 'r0'),
    'contents of versions': lambda: off(configuration_items, '_may_acknowledge', lambda *args: True),
    'emptied cells': lambda: off(routing_table.RoutingTable, 'is_emptied', lambda self, cell: False),
    'lock terms': lambda: op('lock.hold', sooner),
    'values known again': lambda: op('cell.put', put_anew),
    'concerns': lambda: op('cell.put', any_revision),
    'whole watches': lambda: op('cell.watch', skipping),
    'history': lambda: off(retention, 'drop_expired', forget_soon),
}


@behave.given('open days of {names} under seeds {seeds}')
def open_days_under_seeds(context, names, seeds):
    context.names, context.seeds = names.split(','), [int(s) for s in seeds.split(',')]
    context.make, context.guards = run_scenario, GUARDS


@behave.given('an open scenario of {names} under seed {seed:d}, {shape}')
def open_scenario_under_seed(context, names, seed, shape):
    context.simulated_scenario = open_days.Scenario(seed, names.split(','), shape, ms(20000)).run()


@behave.then('checker {checker} finds nothing in it')
def checker_finds_nothing_in_it(context, checker):
    findings = context.simulated_scenario.verdicts(checker)
    assert not findings, (findings[:5], context.simulated_scenario.replay_command())
