"""Steps of boot.feature: a cluster forms from seeds alone, once, and nodes join it."""

import random

import behave

import features.support.first_start as first_start
import zinctrail.consensus.node_location as node_location
import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.actors.operator as operator_actor
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.first_starts as first_starts

ms = durations.ms
UNREACHABLE_SEEDS = ['10.99.0.1:1000', '10.99.0.2:1000', '10.99.0.3:1000']
# The share of unreachable addresses among the seeds of large first starts.
STALE_SHARE = 0.2


@behave.given('{control_nodes:d} cores and {directories:d} directories whose seeds are {seeds}')
def processes_with_seeds(context, control_nodes: int, directories: int, seeds: str):
    context.first_start = first_start.FirstStart(control_nodes, directories, seeds.split(','))


@behave.when('they first start together')
def start_together(context):
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        context.first_start.run(simulated, first_start.FORMING_TIME)


@behave.when('they first start with {group} partitioned from the rest')
def start_with_group_cut_off(context, group: str):
    for simulated in context.first_start.worlds:
        simulated.partition(group.split(','))
        context.first_start.start_partitioned(simulated)


@behave.when('they first start with cores split into halves that both reach dir0')
def start_with_halves(context):
    for simulated in context.first_start.worlds:
        for index in range(3):
            for other in range(3, 6):
                simulated.cut(f'core{index}', f'core{other}')
        context.first_start.start_partitioned(simulated)


@behave.when('they first start with core0 isolated for a while')
def start_with_one_isolated(context):
    for simulated in context.first_start.worlds:
        simulated.isolate('core0')
        context.first_start.start_partitioned(simulated)


@behave.when('they first start with {group} twenty seconds late')
def start_with_group_late(context, group: str):
    late = group.split(',')
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated, lambda node: ms(20000 if node.name in late else 0))
        context.first_start.run(simulated, ms(40000))


@behave.when('they first start one by one, four seconds apart')
def start_one_by_one(context):
    for simulated in context.first_start.worlds:
        order = list(simulated.nodes)
        random.Random(simulated.seed).shuffle(order)
        first_start.start_all(simulated, lambda node, order=order: ms(4000 * order.index(node.name)))
        context.first_start.run(simulated, ms(60000))


@behave.when('they first start with the node that forms the cluster killed as it does so')
def start_with_forming_node_killed(context):
    for simulated in context.first_start.worlds:
        control_nodes = simulated.of('core')
        first_start.start_all(simulated)
        simulated.run(
            ms(20000),
            lambda control_nodes=control_nodes: any(node.up and node.machine.cluster for node in control_nodes),
        )
        forming_node = next(node for node in control_nodes if node.machine.cluster)
        forming_node.kill(power=True)
        context.first_start.run(simulated, ms(20000))
        forming_node.start()
        context.first_start.run(simulated, first_start.FORMING_TIME)


@behave.when('they first start with core0 and dir0 never starting')
def start_without_two(context):
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated, skipped=('core0', 'dir0'))
        context.first_start.run(simulated, ms(30000))


@behave.when('they first start under loss of a tenth of all frames')
def start_under_loss(context):
    for simulated in context.first_start.worlds:
        simulated.loss = 0.1
        first_start.start_all(simulated)
        context.first_start.run(simulated, ms(60000))
        simulated.loss = 0.0
        context.first_start.run(simulated, first_start.FORMING_TIME)


@behave.then('in the end there is {count} cluster, and never two')
def cluster_count_is(context, count: str):
    for simulated in context.first_start.worlds:
        formed = context.first_start.seen[simulated]
        wanted = 1 if count == 'one' else 0
        assert len(formed) == wanted, (simulated.seed, formed, simulated.lines[-20:])
        if count == 'one':
            first_start.assert_all_joined(simulated, formed)


# -- nodes that join later ----------------------------------------------------------


@behave.when('core2 is lost and core9 starts empty with the same seeds')
def control_node_is_replaced(context):
    for simulated in context.first_start.worlds:
        simulated.nodes['core2'].kill()
        simulated.add('core9', 'core', 'r2/c0', simulated.nodes['core0'].location.seeds).start()
        context.first_start.run(simulated, ms(12000))


@behave.then('core9 is a voter of the only cluster and core2 is not')
def new_control_node_votes(context):
    for simulated in context.first_start.worlds:
        voting_set = simulated.leader().machine.replica.get('meta', 'vc')
        new, lost = simulated.nodes['core9'].machine.node, simulated.nodes['core2'].machine.node
        assert new in voting_set['accepted'] and voting_set['accepted'] == voting_set['committed'], voting_set
        assert lost not in voting_set['accepted'], voting_set
        assert len(context.first_start.seen[simulated]) == 1


@behave.when('core2 restarts with unreachable seeds')
def control_node_restarts_with_stale_seeds(context):
    for simulated in context.first_start.worlds:
        node = simulated.nodes['core2']
        node.kill()
        simulated.run(ms(10000))
        # Its disk is emptied too, so that it does not know the addresses of the others.
        node.disk.files = {}
        node.location.seeds = list(UNREACHABLE_SEEDS)
        node.start()
        context.first_start.run(simulated, ms(10000))


@behave.then('core2 follows the leader again')
def control_node_follows(context):
    for simulated in context.first_start.worlds:
        node = simulated.nodes['core2']
        is_in_order = node is simulated.leader() or node.machine.mode == 'follower'
        assert is_in_order, (simulated.seed, node.machine.status(), node.logs[-5:])


@behave.when('a core of another cluster learns the address of core0')
def node_of_other_cluster_comes(context):
    for simulated in context.first_start.worlds:
        other = simulated.add('other', 'core', 'r9/c9')
        other.location.seeds = [other.location.addr]
        for name in list(simulated.nodes):
            simulated.cut('other', name)
        other.start()
        simulated.run(ms(10000))
        simulated.heal()
        other.machine.record_node(simulated.nodes['core0'].location.addr, '', 'core')
        context.first_start.run(simulated, ms(10000))


@behave.then('it is refused, the refusal is logged, and it stays in its own cluster')
def node_of_other_cluster_is_refused(context):
    for simulated in context.first_start.worlds:
        other, own = simulated.nodes['other'].machine, simulated.nodes['core0'].machine
        assert other.cluster and other.cluster != own.cluster
        logs = [text for node in simulated.of('core') for _, text in node.logs]
        assert any('refused: other cluster' in text for text in logs)
        assert other.node not in own.replica.get('members')
        assert all(node.machine.leader for node in simulated.nodes.values())


# -- regions and large deployments ----------------------------------------------------


@behave.when('regions are configured')
def regions_configured(context):
    for simulated in context.first_start.worlds:
        # Without endpoints and callers, which an operator does not need.
        deployment = client_deployment.Deployment.__new__(client_deployment.Deployment)
        deployment.world, deployment.records = simulated, actor_records.Records()
        zones = [node.location.cell for node in simulated.nodes.values()]
        regions = {zone: {'region': zone.split('/')[0]} for zone in zones}
        statuses = []
        operator_actor.Operator(deployment).change(
            lambda config, regions=regions: config['cells'].update(regions),
            lambda status, _, statuses=statuses: statuses.append(status),
        )
        simulated.run(ms(8000))
        assert statuses == [200]


@behave.then('five cores vote, and no region has more than two of them')
def voters_span_regions(context):
    for simulated in context.first_start.worlds:
        replica = simulated.leader().machine.replica
        voters = replica.get('meta', 'vc')['accepted']
        zones = [replica.get('members')[voter]['cell'] for voter in voters]
        regions = [node_location.region_of(replica.get('cells'), zone) for zone in zones]
        largest_count = max(regions.count(region) for region in regions)
        assert len(regions) == 5 and largest_count == 2, (simulated.seed, voters, regions)


@behave.when('accra first starts {how} under seeds {first:d} to {last:d}')
def large_deployment_starts(context, how: str, first: int, last: int):
    shape = deployments.PRESETS['accra']
    context.starts = [first_starts.FirstStart(seed, shape, STALE_SHARE, how).run() for seed in range(first, last + 1)]


@behave.then('one cluster forms and all nodes join it')
def large_deployment_formed(context):
    for start in context.starts:
        assert start.verdict() == '', (start.seed, start.mode, start.verdict())


@behave.then('core1 reports the silent seeds in its log and its status')
def silent_seeds_are_reported(context):
    for simulated in context.first_start.worlds:
        node = simulated.nodes['core1']
        silent = sorted(simulated.nodes[name].location.addr for name in ('core0', 'dir0'))
        assert node.machine.status()['waits_to_form']['silent'] == silent
        assert any('Waits to form' in text and silent[0] in text for _, text in node.logs), node.logs[-3:]
