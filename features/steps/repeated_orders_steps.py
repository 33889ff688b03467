"""Steps of repeated_orders.feature: operations that are retried after many others."""

import behave

import features.support.operation_cases as operation_cases
import zinctrail.consensus.operations as operations
import zinctrail.control.evacuations as evacuations
import zinctrail.control.registers as registers
import zinctrail.runtime.durations as durations

KEY, GROUP = 'g.k', 'g.'
NUMBER = 'n'
ZONE = operation_cases.ZONE
BATCH_MS = 100
PUTS_PER_BATCH = 4
STEPS_PER_BATCH = 250


def serve_batch(leader: operation_cases.OperationLeader, operation: str, all_arguments: list[dict]) -> list[dict]:
    """Serve operations that arrive at the same moment; return their results."""
    results: list[dict] = []
    for arguments in all_arguments:
        leader.node.machine.serve(operation, arguments, results.append)
    leader.node.feed('wake')
    leader.node.run(BATCH_MS)
    assert len(results) == len(all_arguments), (operation, len(results))
    return results


# -- puts -------------------------------------------------------------------------------


def put_arguments(context, value: str) -> dict:
    """Return the arguments of a put, with the revision that the first put named if it is conditional."""
    arguments = {'name': KEY, 'value': value}
    return {**arguments, 'rev': context.base} if context.is_conditional else arguments


@behave.given('a control node that leads, and a put of A.1 at {condition} revision')
def first_put(context, condition: str):
    context.leader = operation_cases.OperationLeader()
    context.is_conditional = condition == 'its'
    context.base = context.leader.operate('cell.put', name=KEY, value='first')['rev']
    context.first = context.leader.operate('cell.put', **put_arguments(context, 'A.1'))
    assert context.first['status'] == 200, context.first


@behave.when('callers make {count:d} other puts on its key, 41 a second')
def other_puts(context, count: int):
    for first in range(0, count, PUTS_PER_BATCH):
        values = range(first, min(count, first + PUTS_PER_BATCH))
        results = serve_batch(
            context.leader, 'cell.put', [{'name': KEY, 'value': f'other.{number}'} for number in values]
        )
        assert all(result['status'] == 200 for result in results), results


@behave.when('callers make {count:d} other puts on its key and as many on other keys of its group, in turn')
def puts_in_turn(context, count: int):
    for number in range(count):
        names = (f'{GROUP}{number % 7}', KEY)
        serve_batch(context.leader, 'cell.put', [{'name': name, 'value': f'{name}/{number}'} for name in names])


@behave.when('the node leads again, and knows only the replicated state')
def node_leads_again(context):
    context.leader.node.lead_again()


@behave.then('the retried put gets its first revision, and nothing is written')
def put_is_retried(context):
    before = context.leader.operate('cell.get', name=KEY)
    again = context.leader.operate('cell.put', **put_arguments(context, 'A.1'))
    assert again == context.first, (context.first, again)
    assert context.leader.operate('cell.get', name=KEY) == before


@behave.then('a put of a new value, at {condition} revision, is refused or written accordingly')
def new_put(context, condition: str):
    before = context.leader.operate('cell.get', name=KEY)
    result = context.leader.operate('cell.put', **put_arguments(context, 'new'))
    if context.is_conditional:
        assert (result['status'], result['rev']) == (409, before['rev']), (before, result)
    else:
        assert (result['status'], result['rev']) == (200, before['rev'] + 1), (before, result)


@behave.when('twice the retention time of the history passes')
def history_expires(context):
    bounds = context.leader.node.machine.settings
    context.leader.node.run(2 * bounds.epochs_kept * durations.to_ms(bounds.epoch))


@behave.then('of the puts only the last values of the key are retained')
def only_last_values_are_retained(context):
    replica = context.leader.node.machine.replica
    assert replica.get(registers.CHANGES_TABLE) == {}, len(replica.get(registers.CHANGES_TABLE))
    row = replica.get(registers.TABLE, KEY)
    assert len(row['past']) <= registers.MAX_PAST_VALUES, len(row['past'])


# -- evacuations --------------------------------------------------------------------------


def send_command(context, command_id: str, is_evacuation: bool) -> dict:
    """Send a command on the zone, based on its current number; return the result."""
    number = context.leader.operate('cell.order', cell=ZONE)['number']
    return context.leader.operate('cell.empty', cell=ZONE, on=is_evacuation, id=command_id, number=number)


def is_evacuated(context) -> bool:
    """True if the zone is evacuated."""
    return bool((context.leader.node.machine.replica.get(evacuations.ZONES_TABLE, ZONE) or {}).get('emptied'))


@behave.given('a control node that leads, and a command that evacuates a zone')
def first_command(context):
    context.leader = operation_cases.OperationLeader()
    context.number = context.leader.operate('cell.order', cell=ZONE)['number']
    assert send_command(context, 'first', True)['status'] == 200 and is_evacuated(context)


def zone_commands(first: int, count: int) -> list[dict]:
    """Return commands that evacuate the zone and withdraw that, in turn, each based on the one before."""
    return [
        {'cell': ZONE, 'on': number % 2 == 1, 'id': f'other.{number}', 'number': 1 + number}
        for number in range(first, first + count)
    ]


@behave.when('{count:d} other commands on the zone are acknowledged, the last of which withdraws the evacuation')
def other_commands(context, count: int):
    base = context.leader.operate('cell.order', cell=ZONE)['number']
    assert base == 1, base
    for first in range(0, count, PUTS_PER_BATCH):
        batch = zone_commands(first, min(PUTS_PER_BATCH, count - first))
        results = serve_batch(context.leader, 'cell.empty', batch)
        assert all(result['status'] == 200 for result in results), results
    assert not is_evacuated(context)


@behave.then('the retried command is acknowledged, and the zone stays as it is')
def command_is_retried(context):
    again = context.leader.operate('cell.empty', cell=ZONE, on=True, id='first', number=context.number)
    assert again['status'] == 200, again
    assert not is_evacuated(context)


@behave.when('commands on the zone arrive without a pause until one is refused')
def commands_arrive_until_refused(context):
    most = 2 * evacuations.MAX_COMMAND_IDS
    for first in range(0, most, STEPS_PER_BATCH):
        results = serve_batch(context.leader, 'cell.empty', zone_commands(first, STEPS_PER_BATCH))
        context.refused = [result for result in results if result['status'] != 200]
        if context.refused:
            return
    raise AssertionError(f'{most} commands were all accepted')


@behave.then('it was refused with 503 and did nothing')
def command_was_refused(context):
    # The commands after it are based on numbers that were never reached, because this one was refused.
    assert context.refused[0]['status'] == 503, context.refused[:3]
    row = context.leader.node.machine.replica.get(evacuations.TABLE, ZONE)
    assert row['number'] == evacuations.MAX_COMMAND_IDS, row['number']


@behave.then('after two epochs a command is accepted, and few are retained')
def command_is_accepted_later(context):
    context.leader.node.run(2 * durations.to_ms(context.leader.node.machine.settings.epoch) + BATCH_MS)
    assert send_command(context, 'later', True)['status'] == 200
    row = context.leader.node.machine.replica.get(evacuations.TABLE, ZONE)
    assert len(row['ids']) + len(row.get('past', ())) <= 2, row


# -- operations that b requests -------------------------------------------------------------


def request_steps(context, keys: list[str]) -> dict[str, dict]:
    """Let b request steps of the number at the same moment; return their results by key."""
    node = context.leader.node
    before = len(node.sent('ask_re'))
    for key in keys:
        node.recv('b', 'ask', key=key, op='number.step', args={'name': NUMBER}, seen=context.leader.newest_round())
    node.run(BATCH_MS)
    return {frame['key']: frame['result'] for frame in node.sent('ask_re')[before:]}


@behave.given('a control node that leads, and a step of a number that b requests')
def first_step(context):
    context.leader = operation_cases.OperationLeader()
    context.first = request_steps(context, ['k.first'])['k.first']
    assert context.first['status'] == 200, context.first


@behave.when('b requests {count:d} other steps within 2 s')
def other_steps(context, count: int):
    for first in range(0, count, STEPS_PER_BATCH):
        results = request_steps(context, [f'k.{number}' for number in range(first, first + STEPS_PER_BATCH)])
        assert all(result['status'] == 200 for result in results.values()), results
    assert count // STEPS_PER_BATCH * BATCH_MS <= 2000


@behave.then('a copy of the first request gets the same number')
def step_is_retried(context):
    again = request_steps(context, ['k.first'])['k.first']
    assert again == context.first, (context.first, again)


@behave.given('a control node that leads, with room for {count:d} results')
def leader_with_few_results(context, count: int):
    context.add_cleanup(setattr, operations, 'MAX_RESULTS', operations.MAX_RESULTS)
    context.leader = operation_cases.OperationLeader()
    operations.MAX_RESULTS = count


@behave.when('b requests {count:d} steps of a number at once')
def many_steps(context, count: int):
    context.keys = [f'k.{number}' for number in range(count)]
    context.results = request_steps(context, context.keys)
    assert len(context.results) == count, len(context.results)


@behave.then('{count:d} of them are carried out, and the others are refused and never carried out')
def excess_steps_are_refused(context, count: int):
    done = {key for key, result in context.results.items() if result['status'] == 200}
    assert len(done) == count, len(done)
    refused = {key: result for key, result in context.results.items() if key not in done}
    assert all(result['status'] == 503 for result in refused.values()), refused
    assert context.leader.node.machine.replica.get('numbers', NUMBER) == count


@behave.then('after the retention time of a result, steps are carried out again')
def steps_are_carried_out_later(context):
    context.leader.node.run(durations.to_ms(operations.RESULT_RETENTION) + BATCH_MS)
    assert request_steps(context, ['k.later'])['k.later']['status'] == 200
    assert len(context.leader.node.machine.operation_service.results) == 1
