"""Steps of internal_errors.feature: exceptions are planted in the handling of calls at control nodes."""

import contextlib
import json
import os
import unittest.mock

import behave

import features.support.stored_items as stored_items
import zinctrail.consensus.replication as replication
import zinctrail.consensus.storage as storage
import zinctrail.consensus.version_receiver as version_receiver
import zinctrail.control.configuration_changes as configuration_changes
import zinctrail.control.configuration_items as configuration_items
import zinctrail.control.controller as controller
import zinctrail.control.http_api as http_api
import zinctrail.control.lock_expiry as lock_expiry
import zinctrail.control.routing_table as routing_table
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

ms = durations.ms
KEPT_POOL = 'kept'
BAD_POOL = 'bad'
NEXT_POOL = 'next'


class PlantedError(Exception):
    """An exception that nobody foresees."""


def pool(name: str, version: int = 1, **fields) -> dict:
    """Return a pool of the configuration."""
    return {'name': name, 'version': version, **fields}


def raising(original, applies=lambda *arguments: True, after=False):
    """Return a function that raises PlantedError when `applies`, before or `after` the original one, and else calls it."""

    def planted(*arguments, **options):
        if not applies(*arguments):
            return original(*arguments, **options)
        if after:
            original(*arguments, **options)
        raise PlantedError('planted')

    return planted


def names_bad_pool(*arguments) -> bool:
    """True if the bad pool is named in any of the arguments."""
    return any(BAD_POOL in repr(argument) for argument in arguments)


def writes_bad_pool(effect) -> bool:
    """True for a write that has the bad pool."""
    return BAD_POOL in getattr(effect, 'text', '')


def is_bad_call(call) -> bool:
    """True for the call that brings the bad pool."""
    return BAD_POOL.encode() in call.body


def is_response(call_id, result, headers=None) -> bool:
    """True for the response to a change that was carried out."""
    return result['status'] == 200 and 'took' in result


def patched(owner, name: str, applies=names_bad_pool, after=False):
    """Return a context in which a function of the product raises an exception."""
    return unittest.mock.patch.object(owner, name, raising(getattr(owner, name), applies, after))


def planted_at(stage: str):
    """Return a context in which a stage of the bad call raises an exception."""
    if stage == 'the call is read':
        return patched(http_api, 'read_body', is_bad_call)
    if stage == 'its operation is begun':
        return patched(configuration_changes.ConfigurationChanges, 'serve_items')
    if stage == 'it is decided, after its first write':
        return patched(configuration_items, 'apply', after=True)
    if stage == 'the version is encoded':
        return patched(storage, 'encode')
    if stage == 'the version is read back':
        return patched(storage, 'decode')
    if stage == 'the routes of the version are derived':
        return patched(routing_table, 'rehearse')
    assert stage == 'its response is written', stage
    return patched(http_api, 'to_response', is_response)


def log_texts(context) -> list[str]:
    """Return the log lines of the leader about internal errors."""
    return [text for text in context.node.logged if text.startswith('core: Internal error')]


@behave.given('a leader with a pool on disk')
def leader_with_pool(context):
    context.node = stored_items.StoringNode({})
    assert context.node.set_pools(pool(KEPT_POOL)) == 200
    context.acknowledged = {KEPT_POOL}


@behave.given('a leader with a pool on disk whose frames may have 200000 bytes')
def leader_with_small_frames(context):
    context.node = stored_items.StoringNode({}, frame_most=200000 + 65536)
    assert context.node.set_pools(pool(KEPT_POOL)) == 200
    context.acknowledged = {KEPT_POOL}


@behave.when('an exception is planted while {stage}, and a change is sent')
def change_with_exception(context, stage: str):
    if stage == 'the version is stored':
        send_change_that_ends_the_process(context, patched(context.node.disk, 'carry_out', writes_bad_pool))
        return
    if stage == 'the version is sent to the followers':
        send_change_that_ends_the_process(context, patched(replication.Replication, '_send_publication'))
        return
    change = {'set': {'pools': [pool(BAD_POOL), pool(BAD_POOL + '2')]}}
    with planted_at(stage):
        context.status, context.document = context.node.call('PATCH', '/v1/items', change)


@behave.then('its caller gets 500 with an id that stands in the log, and the metric of internal errors counts 1')
def caller_gets_id(context):
    assert context.status == 500, (context.status, context.document)
    error_id = context.document['error_id']
    assert error_id in context.document['fault'], context.document
    lines = log_texts(context)
    assert len(lines) == 1 and error_id in lines[0] and 'PlantedError' in lines[0], lines
    values = [row[3] for row in context.node.machine.measures() if row[1] == 'internal_errors']
    assert values == [[({}, 1)]], values


@behave.then('the change {outcome}')
def change_outcome(context, outcome: str):
    found = set(context.node.pools()) - {KEPT_POOL}
    assert found == (set() if outcome == 'is not there' else {BAD_POOL, BAD_POOL + '2'}), found
    context.acknowledged |= found


def assert_goes_on(context) -> None:
    """Assert that the next change is acknowledged, and that a restart keeps all that was acknowledged."""
    assert context.node.machine.mode == 'leader'
    assert context.node.set_pools(pool(NEXT_POOL)) == 200
    context.acknowledged.add(NEXT_POOL)
    assert set(context.node.pools()) == context.acknowledged
    context.node.restart()
    assert set(context.node.pools()) == context.acknowledged


@behave.then('the next change is acknowledged, and all that was acknowledged is there after a restart')
def node_goes_on(context):
    assert_goes_on(context)


def send_at_once(node: stored_items.StoringNode, changes: list[dict]) -> list[int]:
    """Send changes so that they come with one version; return the statuses."""
    calls = []
    # The first is published at once, and those after it together.
    for change in [{'set': {'pools': [pool('first')]}}, *changes]:
        node.calls += 1
        calls.append(node.calls)
        body = json.dumps(change).encode()
        node.feed('http', node.calls, effects.HttpRequest('PATCH', '/v1/items', {}, body))
    node.run(1000)
    return [node.responses.pop(call).status for call in calls][1:]


@behave.when('two changes are sent at once, and the first raises an exception as it is decided')
def two_changes(context):
    changes = [{'set': {'pools': [pool(BAD_POOL)]}}, {'set': {'pools': [pool('good')]}}]
    with patched(configuration_items, 'apply', after=True):
        context.statuses = send_at_once(context.node, changes)


@behave.then('the first caller gets 500, the second 200, and only the second change is there')
def second_change_is_there(context):
    assert context.statuses == [500, 200], context.statuses
    assert set(context.node.pools()) == {KEPT_POOL, 'first', 'good'}, set(context.node.pools())


@behave.when('an exception is planted while the items are read, and they are read')
def read_with_exception(context):
    with patched(configuration_items, 'read', lambda *arguments: True):
        context.status, context.document = context.node.call('GET', '/v1/items')


def submit_at_once(node: stored_items.StoringNode, sizes: list[int]) -> list[int]:
    """Submit changes that write rows of these sizes, all before the next version is published; return the statuses."""
    statuses: dict[int, int] = {}

    def submit(number: int, size: int) -> None:
        def work(txn):
            txn.put('keys', f'large{number}', {'value': 'n' * size, 'rev': 1})
            return {'status': 200}

        node.machine.submit(work, lambda result: statuses.update({number: result['status']}))

    for number, size in enumerate(sizes):
        submit(number, size)
    node.run(1000)
    return [statuses[number] for number in range(len(sizes))]


@behave.when('a change of {size:d} bytes is submitted, and then a small one and three of {each:d} bytes at once')
def large_changes(context, size: int, each: int):
    context.first_statuses = submit_at_once(context.node, [size])
    context.statuses = submit_at_once(context.node, [1, each, each, each])


@behave.then('the first gets 413, and the others are acknowledged and there after a restart')
def three_are_there(context):
    assert context.first_statuses == [413], context.first_statuses
    assert context.statuses == [200] * 4, context.statuses
    assert_goes_on(context)
    lengths = [len(row['value']) for row in context.node.machine.replica.get('keys').values()]
    assert lengths == [1, 90000, 90000, 90000], lengths


@behave.when('the expiry of locks raises an exception each time, for 5 s')
def expiry_raises(context):
    with patched(lock_expiry.LockExpiry, 'drop_expired', lambda *arguments: True):
        context.node.run(5000)


@behave.then('it still leads, the metric counts the exceptions, and the next change is acknowledged')
def still_leads(context):
    assert context.node.machine.counts['internal_errors']
    assert_goes_on(context)


@behave.when('the discovery of nodes raises an exception once')
def discovery_raises(context):
    with patched(controller.Controller, 'timer_discovery', lambda *arguments: True):
        while not context.node.machine.counts['internal_errors']:
            context.node.run(50)
    assert context.node.machine.counts['internal_errors'] == 1


@behave.then('the timer is set again, and it still leads')
def timer_is_set(context):
    assert 'discovery' in context.node.machine.timers, context.node.machine.timers
    context.node.run(5000)
    assert context.node.machine.counts['internal_errors'] == 1
    assert_goes_on(context)


INPUTS = {
    "an endpoint's answer to a check": ('fetched', (1, None)),
    'a caller that has disconnected': ('hung_up', (1,)),
    'a connection that has ended': ('lost', ('10.0.0.9:1000',)),
    'settings that were read anew': ('settings', (None, None)),
}


@behave.when('the handling of {event} raises an exception')
def input_raises(context, event: str):
    kind, arguments = INPUTS[event]
    with patched(controller.Controller, 'on_' + kind, lambda *arguments: True):
        context.node.feed(kind, *arguments)


def send_change_that_ends_the_process(context, planted) -> None:
    """Send a change that raises an exception after its version was accepted in memory."""
    context.error = None
    with planted:
        try:
            context.node.set_pools(pool(BAD_POOL))
        except PlantedError as error:
            context.error = error


@behave.then('the exception ends the process, and it starts again from its disk with all that was acknowledged')
def process_starts_again(context):
    # The host ends a process that has a disk.
    assert context.error is not None
    context.node.restart()
    assert set(context.node.pools()) == context.acknowledged
    assert_goes_on(context)


def files_of(folder: str) -> dict[str, bytes]:
    """Return the contents of the files in a folder."""
    contents = {}
    for name in sorted(os.listdir(folder)):
        with open(os.path.join(folder, name), 'rb') as file:
            contents[name] = file.read()
    return contents


@behave.when('it is started while reading the disk raises an exception')
def start_raises(context):
    context.files = files_of(context.node.folder.name)
    context.error = None
    with patched(storage, 'decode', lambda *arguments: True):
        try:
            context.node.restart()
        except PlantedError as error:
            context.error = error


@behave.then('it does not start, its files are as they were, and the next start has all that was acknowledged')
def next_start_has_all(context):
    assert context.error is not None
    assert files_of(context.node.folder.name) == context.files
    context.node.restart()
    assert_goes_on(context)


# -- in a cluster -------------------------------------------------------------------


@behave.given('three control nodes that bear unforeseen exceptions')
def cluster(context):
    context.bounded = stored_items.BoundedWorld(1 << 20)
    context.control_nodes = context.bounded.world.of('core')
    for node in context.control_nodes:
        node.machine.guard.passes_on = False


def follower_of(context):
    """Return a control node that follows."""
    leader = context.bounded.world.leader()
    return next(node for node in context.control_nodes if node is not leader)


def planted_in_cluster(context, planted: str):
    """Return a context in which control nodes raise exceptions."""
    followers_receiver = follower_of(context).machine.version_receiver
    if planted == 'deciding raises an exception at every node':
        return patched(configuration_items, 'apply', after=True)
    if planted == 'begun operations raise an exception everywhere':
        return patched(configuration_changes.ConfigurationChanges, 'serve_items')
    if planted == 'taking up a version raises one at every node':
        return patched(controller.Controller, 'applied')
    if planted == 'a follower raises one at each published version':
        return patched(followers_receiver, 'on_publish', lambda message: True)
    assert planted == 'a follower raises one as it catches up', planted
    stack = contextlib.ExitStack()
    stack.enter_context(patched(followers_receiver, 'on_publish', lambda message: True))
    stack.enter_context(patched(version_receiver.VersionReceiver, 'accept_transfer', lambda *arguments: True))
    return stack


def counting_nodes(context) -> int:
    """Return how many control nodes counted an internal error."""
    return sum(node.machine.counts['internal_errors'] > 0 for node in context.control_nodes)


@behave.when('{planted}, and a change is sent through a follower')
def change_through_follower(context, planted: str):
    follower = follower_of(context)
    number = context.bounded.http_addresses.index(follower.location.http)
    with planted_in_cluster(context, planted):
        change = {'set': {'pools': [pool(BAD_POOL)]}}
        context.status, context.document = context.bounded.call('PATCH', '/v1/items', change, number)
        context.bounded.world.run(ms(3000))
    context.follower_number = number


@behave.then('its caller gets {status:d}, {nodes} counted an exception, and all control nodes run')
def caller_gets(context, status: int, nodes: str):
    assert context.status == status, (context.status, context.document)
    expected = 1 if nodes == 'one node' else len(context.control_nodes)
    assert counting_nodes(context) == expected, [node.machine.counts for node in context.control_nodes]
    assert all(node.up for node in context.control_nodes)


@behave.then(
    'once nothing is planted any more, each control node has the same state and the next change is acknowledged'
)
def nodes_are_equal(context):
    world = context.bounded.world
    status, document = context.bounded.call('PATCH', '/v1/items', {'set': {'pools': [pool(NEXT_POOL)]}})
    assert status == 200, document

    def are_equal() -> bool:
        items = [node.machine.replica.get('items') for node in context.control_nodes]
        return all(rows == items[0] and f'pools/{NEXT_POOL}' in rows for rows in items)

    assert world.run(ms(10000), are_equal), [node.machine.replica.get('items') for node in context.control_nodes]
    assert world.leader() is not None
