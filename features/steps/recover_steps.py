"""Steps of recover.feature: a core that permanently lost its majority is recovered on new control nodes."""

import json
import typing

import behave

import zinctrail.control.recovery as recovery
import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as world

ms = durations.ms
CALL_TIMEOUT = ms(4000)
# How long the remaining nodes run before their copies are read.
SETTLING_TIME = ms(4000)
SEED = 7
LOCK_LEASE_MS = 60000
# A recovery whose state is empty.
EMPTY_RECOVERY = {'cluster': 'x', 'term': 1, 'generation': 1, 'tables': {}}


class Response(typing.NamedTuple):
    """An operator's response to a call."""

    status: int
    document: dict[str, typing.Any]


class OldCounters(typing.NamedTuple):
    """The identity and counters of the lost cluster."""

    cluster: str
    term: int
    version_number: int
    epoch: int


def call(context, node, method, path, body=None):
    """Call a node as an operator does; return its response."""
    results = []
    data = json.dumps(body).encode() if body is not None else b''
    deferred = context.world.fetch('operator', node.location.http, method, path, {}, data, CALL_TIMEOUT)
    deferred.addCallback(results.append)
    assert context.world.run(ms(20000), lambda: bool(results))
    (result,) = results
    return Response(result.status, json.loads(result.body) if result.body else {})


def copies(context):
    """Return the copies of the state that the running nodes hold."""
    responses = [call(context, node, 'GET', '/v1/copy') for node in context.world.nodes.values() if node.up]
    return [response.document for response in responses if response.status == 200]


def running_node(context, role):
    """Return the first running node of a role."""
    return next(node for node in context.world.of(role) if node.up)


@behave.given('a small world with settings, keys, numbers and a lock')
def world_with_state(context):
    simulated = context.world = world.World(SEED)
    deployment = context.deployment = client_deployment.Deployment(simulated, deployments.PRESETS['small'])
    deployment.start()
    deployment.start_callers()
    write_state(context)
    change_settings(context)
    simulated.run(ms(2000))
    context.configuration = call(context, simulated.of('dir')[1], 'GET', '/v1/config').document
    leader = simulated.leader().machine
    context.old = OldCounters(
        leader.cluster, leader.term, leader.replica.committed[1], leader.replica.get('meta', 'epoch')
    )
    context.old_runs = [run for run in deployment.records.runs if run.service == 'loans'][-5:]


def write_state(context):
    """Create numbers, a key and a lock."""
    directory = context.world.of('dir')[1]
    epoch = directory.machine.replica.get('meta', 'epoch')
    for index in range(5):
        body = {'name': 'n', 'id': f'{epoch}.n{index}'}
        assert call(context, directory, 'POST', '/v1/number/next', body).status == 200
    key = {'key': 'k', 'value': 'v', 'id': f'{epoch}.k'}
    context.key = call(context, directory, 'POST', '/v1/key/put', key).document
    lock = {'name': 'l', 'holder': 'x', 'lease_ms': LOCK_LEASE_MS}
    context.lock = call(context, directory, 'POST', '/v1/lock/take', lock).document
    context.locked_at = context.world.now


def change_settings(context):
    """Set a pool, and give an endpoint a label."""
    directory = context.world.of('dir')[1]
    context.pools = [{'name': 'kept', 'version': 3}]
    assert call(context, directory, 'PATCH', '/v1/items', {'set': {'pools': context.pools}}).status == 200
    statuses = []
    context.deployment.operator.change(
        lambda document: document['labels'].update({'10.9.9.9:1': {'kept': 'yes'}}),
        lambda status, document: statuses.append(status),
        wait=True,
    )
    assert context.world.run(ms(9000), lambda: bool(statuses)) and statuses == [200]


def lose(nodes):
    """Kill nodes and destroy their disks."""
    for node in nodes:
        node.kill(power=True)
        node.destroyed = True


def recover(context):
    """Recover the core on new control nodes from the copies of the remaining nodes."""
    simulated = context.world
    simulated.run(SETTLING_TIME)
    seeds = [node.location.addr for node in simulated.of('dir') + simulated.of('prox') if node.up][:3]
    for index in range(3):
        simulated.add(f'new{index}', 'core', context.deployment.zones[index], seeds).start()
    simulated.run(ms(1000))
    target = simulated.nodes['new0']
    plan = recovery.RecoveryPlan(copies(context), target.location.http)
    assert not plan.faults, plan.faults
    assert len(plan.summary()) >= 6 and any('lost' in line for line in plan.summary())
    response = call(context, target, 'POST', '/v1/recover', plan.request_body())
    assert response.status == 200, response
    context.recovered_at = simulated.now


def lose_region(context, region):
    """Destroy all nodes of a region, and kill its endpoints."""
    lose([node for node in context.world.nodes.values() if node.location.cell.startswith(region)])
    for endpoint in context.deployment.endpoints:
        if endpoint.zone.startswith(region):
            endpoint.kill()


@behave.when('{lost} are permanently lost, and the core is recovered on new ones')
def control_nodes_are_lost_and_recovered(context, lost: str):
    control_nodes = context.world.of('core')
    context.survivor = control_nodes[0] if lost == 'two control nodes' else None
    lose(control_nodes[1:] if lost == 'two control nodes' else control_nodes)
    if 'region' in lost:
        lose_region(context, 'r2')
    recover(context)


@behave.then('the settings are read back in full, and requests run again within {seconds:d} s')
def settings_are_recovered(context, seconds: int):
    simulated = context.world
    runs = context.deployment.records.runs
    before = len(runs)
    assert simulated.run(ms(1000 * seconds), lambda: len(runs) > before + 20), 'no service'
    assert simulated.now <= context.recovered_at + ms(1000 * seconds)
    directory = running_node(context, 'dir')
    response = call(context, directory, 'GET', '/v1/config')
    assert response.status == 200, response
    assert response.document['config'] == context.configuration['config'], response
    response = call(context, directory, 'GET', '/v1/items')
    assert response.status == 200 and response.document['items']['pools'] == context.pools, response


@behave.then('numbers, revisions, fences, generations, terms and epochs are above the old ones')
def counters_are_above_old_ones(context):
    old = context.old
    directory = context.directory = running_node(context, 'dir')
    leader = context.world.leader().machine
    assert leader.cluster != old.cluster
    assert leader.term > old.term
    assert leader.replica.committed[1] > old.version_number
    epoch = leader.replica.get('meta', 'epoch')
    assert epoch > old.epoch + context.world.settings.epochs_kept
    configuration = call(context, directory, 'GET', '/v1/config').document
    assert configuration['generation'] > context.configuration['generation']
    for name in ('n', 'unheard'):
        body = {'name': name, 'id': f'{epoch}.{name}'}
        assert call(context, directory, 'POST', '/v1/number/next', body).document['number'] > 5
    body = {'key': 'other', 'value': 'v', 'id': f'{epoch}.k'}
    assert call(context, directory, 'POST', '/v1/key/put', body).document['rev'] > context.key['rev']
    # The watch gets 410, because the events in between are not known any more.
    watch = {'prefix': '', 'since': context.key['rev']}
    assert call(context, directory, 'POST', '/v1/key/watch', watch).status == 410


@behave.then('keys are {expected}')
def keys_are_as_expected(context, expected: str):
    response = call(context, context.directory, 'POST', '/v1/key/get', {'key': 'k'})
    expectations = {'none': (404, None), 'as before': (200, 'v')}
    assert (response.status, response.document.get('value')) == expectations[expected], response


@behave.then('no lock is granted to another holder before the old lease has expired')
def locks_wait_for_old_holders(context):
    simulated = context.world
    body = {'name': 'l', 'holder': 'y', 'lease_ms': 5000}
    response = call(context, context.directory, 'POST', '/v1/lock/take', body)
    assert response.status == 503, response
    while response.status != 200:
        assert simulated.now < context.recovered_at + ms(100000), response
        simulated.run(ms(1000))
        response = call(context, context.directory, 'POST', '/v1/lock/take', body)
    assert simulated.now > context.locked_at + ms(LOCK_LEASE_MS), response
    assert response.document['fence'] > context.lock['fence'], response


def execution_counts(context):
    """Return how often each of the old requests ran, by id."""
    runs = context.deployment.records.runs
    return {old.id: sum(run.id == old.id for run in runs) for old in context.old_runs}


def resend(context, request_id):
    """Send an old request again through a running proxy; return the result."""
    headers = {'zt-id': request_id, 'zt-attempt': '2', 'zt-left-ms': '3000'}
    address = running_node(context, 'prox').location.http
    results = []
    deferred = context.world.fetch('someone', address, 'POST', '/r/loans/x', headers, b'{}', CALL_TIMEOUT)
    deferred.addCallback(results.append)
    context.world.run(CALL_TIMEOUT, lambda: bool(results))
    return results[0]


@behave.then('old requests get an unknown outcome, and do not run again')
def old_ids_are_unknown(context):
    before = execution_counts(context)
    for old in context.old_runs:
        result = resend(context, old.id)
        assert json.loads(result.body)['outcome'] == 'unknown', result
    after = execution_counts(context)
    assert before == after and len(before) == 5, (before, after)


@behave.when('the surviving old control node keeps running with its old disk')
def surviving_node_keeps_running(context):
    context.world.run(ms(5000))


@behave.then('it knows that its cluster was superseded, also after a restart, and is no member')
def surviving_node_knows_it_was_replaced(context):
    survivor = context.survivor
    for _ in range(2):
        machine = survivor.machine
        assert machine.cluster_replacement.replaced_by, machine.status()
        assert machine.mode == 'candidate' and not machine.ready()[0], machine.status()
        assert machine.node not in context.world.leader().machine.replica.get('members')
        survivor.kill()
        survivor.start()
        context.world.run(ms(5000))


@behave.when('all old control nodes are cut off, and the core is recovered on new ones')
def control_nodes_are_cut_off_and_recovered(context):
    simulated = context.world
    context.old_control_nodes = simulated.of('core')
    names = {node.name for node in context.old_control_nodes}
    # From the nodes that do not exist yet as well, because the old control nodes must be unreachable to them, too.
    simulated.partition(names, [*simulated.nodes, 'new0', 'new1', 'new2', 'operator'])
    recover(context)
    simulated.run(ms(4000))


@behave.when('the old control nodes are reachable again')
def old_control_nodes_return(context):
    context.world.heal()
    context.world.run(ms(8000))


@behave.then('one new leader leads all nodes, and no old control node leads')
def one_new_leader_leads(context):
    old_nodes = context.old_control_nodes
    assert all(node.machine.cluster_replacement.replaced_by and node.machine.mode != 'leader' for node in old_nodes)
    leader = context.world.leader()
    assert leader.name.startswith('new')
    others = [node for node in context.world.nodes.values() if node not in old_nodes]
    assert {node.machine.leader['id'] for node in others} == {leader.machine.node}


# -- recoveries that are refused ----------------------------------------------


def plan_recovery(context, target):
    """Plan a recovery on the node at an address; `context.refusal` holds the reasons against it."""
    plan = recovery.RecoveryPlan(copies(context), target)
    context.refusal = ' '.join(plan.faults)


def plan_recovery_on_first(context):
    """Plan a recovery on the first control node."""
    plan_recovery(context, context.world.of('core')[0].location.http)


@behave.when('nothing is lost')
def nothing_is_lost(context):
    plan_recovery_on_first(context)


@behave.when('one control node is lost')
def one_core_is_lost(context):
    follower = next(node for node in context.world.of('core') if node is not context.world.leader())
    lose([follower])
    context.world.run(SETTLING_TIME)
    plan_recovery_on_first(context)


@behave.when('a majority of the voters runs without a leader')
def majority_has_no_leader(context):
    control_nodes = context.world.of('core')
    for node in control_nodes:
        node.kill()
    context.world.run(SETTLING_TIME)
    for node in control_nodes[:2]:
        node.start()
    plan_recovery_on_first(context)


def lose_control_nodes(context):
    """Destroy all control nodes."""
    lose(context.world.of('core'))
    context.world.run(SETTLING_TIME)


@behave.when('all control nodes are lost and no target is named')
def no_target_is_named(context):
    lose_control_nodes(context)
    plan_recovery(context, None)


@behave.when('the target is a directory')
def target_is_directory(context):
    lose_control_nodes(context)
    plan_recovery(context, context.world.of('dir')[0].location.http)


def start_empty_control_node(context):
    """Start a new control node whose only seed address belongs to no node."""
    node = context.world.add('new0', 'core', 'r0/c0', ['10.99.0.1:1'])
    node.start()
    return node


@behave.when('no node holds a copy')
def no_node_holds_copy(context):
    lose(list(context.world.nodes.values()))
    plan_recovery(context, start_empty_control_node(context).location.http)


@behave.when('garbage is sent to an empty control node')
def garbage_is_sent_to_empty_node(context):
    node = start_empty_control_node(context)
    bodies = (
        {},
        {'cluster': 'x'},
        dict(EMPTY_RECOVERY, term=-1),
        dict(EMPTY_RECOVERY, tables={'meta': 3}),
        dict(EMPTY_RECOVERY, more=1),
    )
    statuses = {call(context, node, 'POST', '/v1/recover', body).status for body in bodies}
    assert node.machine.is_empty() and len(statuses) == 1, statuses
    context.refusal = str(statuses)


@behave.when('a recovery is sent to a node with state')
def recovery_is_sent_to_node_with_state(context):
    nodes = context.world.of('core') + context.world.of('dir')
    statuses = {call(context, node, 'POST', '/v1/recover', EMPTY_RECOVERY).status for node in nodes}
    assert len(statuses) == 1, statuses
    context.refusal = str(statuses)


@behave.then('the recovery is refused, since {reason}')
def recovery_is_refused(context, reason: str):
    assert reason in context.refusal, context.refusal
