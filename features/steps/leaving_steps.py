"""Steps of leaving.feature: processes of a small world leave, restart and are upgraded without being missed."""

import ast
import glob
import json
import os

import behave

import features.support.small_world as small_world
import zinctrail
import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as world

ms = durations.ms
NEXT_WIRE_LEVEL = zinctrail.WIRE_LEVEL + 1
# Packages whose code is given the time, and attributes by which it would read a clock.
PACKAGES_WITHOUT_CLOCK = ('consensus', 'control', 'directory', 'proxy')
CLOCK_READS = ('utcnow', 'today', 'monotonic')


@behave.when('a proxy is told to stop')
def proxy_is_stopped(context):
    context.node = context.world.of('prox')[0]
    context.node.feed('stop')
    context.readiness = context.node.machine.ready()
    context.world.run(ms(12000))


@behave.then('it reports that it is not ready at once, exits by itself, and no request fails')
def proxy_has_left(context):
    assert context.readiness == (False, 'leaving')
    assert context.node.exited and not context.node.machine.runner.requests
    small_world.assert_failures(context, 0)


@behave.when('the leader is told to stop')
def leader_is_stopped(context):
    simulated = context.world
    old_leader, stopped_at = simulated.leader(), simulated.now
    old_leader.feed('stop')
    successor = next(text for _, text in old_leader.logs if 'successor' in text).split()[2]
    assert simulated.run(ms(2000), lambda: simulated.leader() not in (None, old_leader))
    context.gap = simulated.now - stopped_at
    context.successor_leads = simulated.leader().machine.node == successor
    simulated.run(ms(5000))
    assert old_leader.exited


@behave.then('its named successor leads within {limit:d} ms, and no request fails')
def successor_leads_soon(context, limit: int):
    assert context.gap <= ms(limit) and context.successor_leads, context.gap
    small_world.assert_failures(context, 0)


# -- restarts in turn and wire levels ---------------------------------------------


def restart_in_turn(simulated, level: int | None = None):
    """Stop each process and start it again, at a wire level if one is given."""
    for node in list(simulated.nodes.values()):
        node.feed('stop')
        assert simulated.run(ms(20000), lambda node=node: node.exited), node.name
        node.level = level
        node.start()
        simulated.run(ms(4000))


@behave.when('every process is told to stop and started again, one after another')
def rolling_restart(context):
    restart_in_turn(context.world)


@behave.when('every process is told to stop and started again at the next wire level, one after another')
def rolling_upgrade(context):
    restart_in_turn(context.world, NEXT_WIRE_LEVEL)
    members = context.world.leader().machine.replica.get('members')
    assert all(member['level'] == NEXT_WIRE_LEVEL for member in members.values())


@behave.given('a small world whose proxies speak level {proxy_level:d} and others {other_level:d}')
def small_world_of_levels(context, proxy_level: int, other_level: int):
    context.world = world.World(small_world.SEED)
    context.deployment = client_deployment.Deployment(context.world, deployments.PRESETS['small'])
    for node in context.world.nodes.values():
        node.level = proxy_level if node.role == 'prox' else other_level
    context.deployment.start()
    context.deployment.start_callers()
    context.world.run(ms(8000))
    context.deployment.stop_load()


@behave.then('requests are served')
def requests_are_served(context):
    tally = context.deployment.tally()
    assert tally.get('ran', 0) > small_world.MIN_REQUESTS, tally


@behave.then('requests find no proxy')
def requests_find_no_proxy(context):
    tally = context.deployment.tally()
    assert not tally.get('ran'), tally
    logs = [text for node in context.world.nodes.values() for _, text in node.logs]
    assert any('refused: other wire level' in text for text in logs)


# -- what a node missed ------------------------------------------------------------


def full_state_count(simulated) -> int:
    """How often the leader has sent the whole state."""
    return simulated.leader().machine.counts['full']


@behave.when('a proxy is cut off for 5 s while the configuration changes')
def proxy_misses_a_change(context):
    simulated = context.world
    context.node = simulated.of('prox')[0]
    simulated.isolate(context.node.name)
    context.full_state_count = full_state_count(simulated)
    statuses = []
    context.deployment.operator.change(
        lambda config: config['labels'].update({'10.9.9.9:1': {'a': 'b'}}),
        lambda status, _: statuses.append(status),
    )
    simulated.run(ms(5000))
    assert statuses == [200]
    simulated.heal()
    simulated.run(ms(3000))


@behave.when('a follower core restarts after 3 s')
def follower_restarts(context):
    simulated = context.world
    context.node = next(node for node in simulated.of('core') if node is not simulated.leader())
    context.full_state_count = full_state_count(simulated)
    context.node.kill(power=True)
    simulated.run(ms(3000))
    context.node.start()
    simulated.run(ms(3000))


@behave.then('it is up to date again without the full state being sent')
def node_got_a_difference(context):
    leader = context.world.leader().machine
    committed, wanted = context.node.machine.replica.committed, tuple(leader.replica.get('meta', 'routes'))
    assert committed >= wanted, (committed, wanted)
    assert leader.counts['full'] == context.full_state_count, (leader.counts, context.full_state_count)


# -- ids of calls --------------------------------------------------------------------


def call_directory(context, directory, path: str, body: dict):
    """A call of an application; its (status, document) is appended to the list that is returned."""
    responses = []
    data = json.dumps(body).encode()
    call = context.world.fetch('someone', directory.location.http, 'POST', path, {}, data, ms(3000))
    call.addCallback(lambda response: responses.append((response.status, json.loads(response.body))))
    return responses


@behave.when('a number, a key and a lock are requested twice with one id each, through different directories')
def calls_are_made_twice(context):
    directories = context.world.of('dir')[:2]
    epoch = context.epoch = context.world.of('dir')[0].machine.replica.get('meta', 'epoch')
    # By path and id: the two responses, (status, document) each.
    context.responses = {}
    for path, body in (
        ('/v1/number/next', {'name': 'n', 'id': f'{epoch}.a'}),
        ('/v1/key/put', {'key': 'k', 'value': 'v', 'rev': 0, 'id': f'{epoch}.b'}),
        ('/v1/key/drop', {'key': 'k', 'id': f'{epoch}.b'}),
        ('/v1/number/next', {'name': 'n', 'id': '999.a'}),
        ('/v1/lock/take', {'name': 'l', 'holder': 'x', 'lease_ms': 5000, 'id': 'x'}),
        ('/v1/lock/take', {'name': 'l', 'holder': 'y', 'lease_ms': 5000, 'id': 'y'}),
    ):
        responses = [call_and_wait(context, directory, path, body) for directory in directories]
        context.responses[path, body['id']] = [response for answered in responses for response in answered]


def call_and_wait(context, directory, path: str, body: dict):
    """The responses to a call after a second: one, or none."""
    responses = call_directory(context, directory, path, body)
    context.world.run(ms(1000))
    return responses


@behave.then('each request was applied once')
def each_call_acted_once(context):
    responses, epoch = context.responses, context.epoch
    assert all(len(pair) == 2 for pair in responses.values()), responses
    for (path, _), (first, second) in responses.items():
        assert first == second or first[0] == 409, (path, first, second)
    statuses = {call: pair[0][0] for call, pair in responses.items()}
    assert statuses == {
        ('/v1/number/next', f'{epoch}.a'): 200,
        ('/v1/key/put', f'{epoch}.b'): 200,
        ('/v1/key/drop', f'{epoch}.b'): 409,
        ('/v1/number/next', '999.a'): 400,
        ('/v1/lock/take', 'x'): 200,
        ('/v1/lock/take', 'y'): 409,
    }, statuses
    assert responses['/v1/number/next', f'{epoch}.a'][0][1]['number'] == 1
    assert context.world.leader().machine.replica.get('numbers', 'n') == 1


# -- clocks ----------------------------------------------------------------------------


def assert_reads_no_clock(path: str) -> None:
    """A module neither imports time nor asks for the present."""
    with open(path, encoding='utf-8') as source:
        tree = ast.parse(source.read())
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            assert 'time' not in [alias.name for alias in node.names], path
        if isinstance(node, ast.Attribute):
            assert node.attr not in CLOCK_READS, path


@behave.then('no module of consensus, control, directory or proxy imports time or reads the current time')
def no_machine_reads_a_clock(context):
    root = os.path.dirname(zinctrail.__file__)
    paths = [path for package in PACKAGES_WITHOUT_CLOCK for path in glob.glob(os.path.join(root, package, '*.py'))]
    for path in paths:
        assert_reads_no_clock(path)
    assert len(paths) > 10
