"""Steps of unformed.feature: control nodes whose own cluster never formed, because another one did."""

import behave

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as world

ms = durations.ms
# The rounds of the same view that a control node has seen just before it forms its cluster.
ROUNDS_BEFORE_FORMING = 3


def is_about_to_form(node) -> bool:
    """Whether a control node forms a cluster in its next round."""
    return node.machine.bootstrap.stable_rounds == ROUNDS_BEFORE_FORMING


def has_proposed(node) -> bool:
    """Whether a control node has proposed a cluster, which it forms once the promises have reached it."""
    return node.machine.formation.proposal is not None


MOMENTS = {'in the round before it forms': is_about_to_form, 'once it has proposed its cluster': has_proposed}


def start_with_frozen_node(seed, length_ms, has_come):
    """(world, node): a start whose node that forms the cluster is frozen once a moment has come for it."""
    small_world = world.World(seed)
    client_deployment.Deployment(small_world, deployments.PRESETS['small'])
    for node in small_world.nodes.values():
        small_world.after(ms(small_world.rng.uniform(0, 300)), node.start)
    small_world.run(ms(301))
    former = min(small_world.of('core'), key=lambda node: node.machine.node)
    assert small_world.run(ms(20000), lambda: has_come(former)), seed
    former.pause(ms(length_ms))
    return small_world, former


def has_abandoned_cluster(node):
    """Whether a node has logged that it gives its own cluster up."""
    return any(fields and fields['event'] == 'abandon' for _, _, fields in node.log_records)


@behave.given('a small start whose former is frozen for {length:d} ms {moment}')
def start_frozen(context, length: int, moment: str):
    context.starts = [start_with_frozen_node(seed, length, MOMENTS[moment]) for seed in range(1, 5)]


@behave.when('30 s have gone by')
def wait_30_s(context):
    for small_world, _ in context.starts:
        small_world.run(ms(30000))


@behave.when('it has given its own cluster up it is {how}, and 30 s have gone by')
def interrupt_after_giving_up(context, how: str):
    for small_world, former in context.starts:
        assert small_world.run(ms(30000), lambda former=former: has_abandoned_cluster(former)), small_world.seed
        if 'next write' in how:
            small_world.power_loss_after_write = lambda node, effect, former=former: node is former
            assert small_world.run(ms(5000), lambda former=former: not former.up), small_world.seed
            small_world.power_loss_after_write = None
        else:
            former.kill(power='power' in how)
        former.start()
        small_world.run(ms(30000))


@behave.then('one cluster leads, and all three control nodes vote in it')
def one_cluster_leads(context):
    for small_world, former in context.starts:
        cores = small_world.of('core')
        assert len({node.machine.cluster for node in cores}) == 1, (
            small_world.seed,
            [node.machine.cluster for node in cores],
        )
        voting_set = small_world.leader().machine.replica.get('meta', 'vc')
        assert voting_set['committed'] == voting_set['accepted'] == sorted(node.machine.node for node in cores), (
            small_world.seed,
            voting_set,
            former.name,
        )


@behave.given('a control node whose own cluster has had a term')
def lone_control_node(context):
    small_world = world.World(1)
    node = small_world.add('core0', 'core', 'r0/c0')
    node.location.seeds = [node.location.addr]
    node.start()
    small_world.run(ms(10000))
    assert node.machine.term > 0
    context.node = node


@behave.when('a node of another cluster answers its probe with a leader')
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


@behave.then('it stays in its own')
def stays_in_its_cluster(context):
    assert context.node.machine.cluster == context.cluster and context.node.machine.mode == 'leader'
