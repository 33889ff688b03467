"""Steps of unformed.feature: control nodes whose own cluster never formed because another cluster did."""

import behave

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as world

ms = durations.ms
# The rounds with an unchanged view that a control node has counted just before it forms its cluster.
ROUNDS_BEFORE_FORMING = 3


def is_about_to_form(node) -> bool:
    """True if a control node forms a cluster in its next round."""
    return node.machine.bootstrap.stable_rounds == ROUNDS_BEFORE_FORMING


def has_proposed(node) -> bool:
    """True if a control node has proposed a cluster, which it forms once it has received the promises."""
    return node.machine.formation.proposal is not None


MOMENTS = {'in the round before it forms': is_about_to_form, 'after it has proposed its cluster': has_proposed}


def start_with_frozen_node(seed, length_ms, is_at_moment):
    """Return (world, node) of a first start whose forming node is frozen once it satisfies a condition."""
    small_world = world.World(seed)
    client_deployment.Deployment(small_world, deployments.PRESETS['small'])
    for node in small_world.nodes.values():
        small_world.after(ms(small_world.rng.uniform(0, 300)), node.start)
    small_world.run(ms(301))
    forming_node = min(small_world.of('core'), key=lambda node: node.machine.node)
    assert small_world.run(ms(20000), lambda: is_at_moment(forming_node)), seed
    forming_node.pause(ms(length_ms))
    return small_world, forming_node


def has_abandoned_cluster(node):
    """True if a node has logged that it abandons its own cluster."""
    return any(fields and fields['event'] == 'abandon' for _, _, fields in node.log_records)


@behave.given('a small first start whose forming node is frozen for {length:d} ms {moment}')
def start_frozen(context, length: int, moment: str):
    context.starts = [start_with_frozen_node(seed, length, MOMENTS[moment]) for seed in range(1, 5)]


@behave.when('30 s have passed')
def wait_30_s(context):
    for small_world, _ in context.starts:
        small_world.run(ms(30000))


@behave.when('it has abandoned its own cluster, it is {how}, and 30 s have passed')
def interrupt_after_abandoning(context, how: str):
    for small_world, forming_node in context.starts:
        assert small_world.run(ms(30000), lambda forming_node=forming_node: has_abandoned_cluster(forming_node)), (
            small_world.seed
        )
        if 'next write' in how:
            small_world.power_loss_after_write = lambda node, effect, forming_node=forming_node: node is forming_node
            assert small_world.run(ms(5000), lambda forming_node=forming_node: not forming_node.up), small_world.seed
            small_world.power_loss_after_write = None
        else:
            forming_node.kill(power='power' in how)
        forming_node.start()
        small_world.run(ms(30000))


@behave.then('one cluster remains, and all three control nodes vote in it')
def one_cluster_leads(context):
    for small_world, forming_node in context.starts:
        cores = small_world.of('core')
        assert len({node.machine.cluster for node in cores}) == 1, (
            small_world.seed,
            [node.machine.cluster for node in cores],
        )
        voting_set = small_world.leader().machine.replica.get('meta', 'vc')
        assert voting_set['committed'] == voting_set['accepted'] == sorted(node.machine.node for node in cores), (
            small_world.seed,
            voting_set,
            forming_node.name,
        )


@behave.given('a control node whose own cluster has reached a term above 0')
def lone_control_node(context):
    small_world = world.World(1)
    node = small_world.add('core0', 'core', 'r0/c0')
    node.location.seeds = [node.location.addr]
    node.start()
    small_world.run(ms(10000))
    assert node.machine.term > 0
    context.node = node


@behave.when('a node of another cluster responds to its probe and names a leader')
def answer_probe_from_another(context):
    machine = context.node.machine
    context.cluster = machine.cluster
    member = {'role': 'core', 'addr': '10.7.0.1:1000', 'http': '10.7.0.1:80', 'cell': 'r9/c9', 'level': machine.level}
    context.node.feed(
        'recv',
        {
            't': 'probe_re',
            'v': machine.level,
            'c': 'another',
            'f': 'stranger',
            'a': '10.7.0.1:1000',
            'member': member,
            'term': 3,
            'master': {'id': 'stranger', 'addr': '10.7.0.1:1000', 'http': '10.7.0.1:80'},
            'partners': [],
            'seeds': [],
        },
    )


@behave.then('it stays in its own cluster')
def stays_in_its_cluster(context):
    assert context.node.machine.cluster == context.cluster and context.node.machine.mode == 'leader'
