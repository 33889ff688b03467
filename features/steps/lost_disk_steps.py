"""Steps of lost_disks.feature: first starts, and the clusters that form where control nodes lost their disks."""

import collections.abc
import os
import subprocess
import sys
import tempfile

import behave

import features.support.first_start as first_start
import features.support.local_process as local_process
import features.support.repository as repository
import zinctrail.consensus.storage as storage
import zinctrail.runtime.durations as durations
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.world as world

ms = durations.ms
DARK_TIME = ms(30000)
SETTLING_TIME = ms(40000)
RESTART_SPREAD_MS = 300
# How long a node is frozen, unless it loses power earlier.
FROZEN = ms(60000)
# The longest time that forming a cluster may take.
FORMED_BY = ms(20000)


def lose_power(simulated: world.World) -> None:
    """Kill all processes at once; everything that was not synced to their disks is lost."""
    for node in simulated.nodes.values():
        node.kill(power=True)


def restart(simulated: world.World, nodes: collections.abc.Iterable[simulated_node.Node]) -> None:
    """Restart processes, each after a random delay."""
    for node in nodes:
        simulated.after(ms(simulated.rng.uniform(0, RESTART_SPREAD_MS)), node.start)


def restart_in_two_groups(context, simulated: world.World, early: collections.abc.Container[str]) -> None:
    """Restart the `early` control nodes and all other processes, and the other control nodes after DARK_TIME."""
    control_nodes = simulated.of('core')
    late = [node for node in control_nodes if node.name not in early]
    restart(simulated, [node for node in simulated.nodes.values() if node not in late])
    context.first_start.run(simulated, DARK_TIME)
    context.formed_meanwhile[simulated] = {
        node.machine.cluster for node in control_nodes if node.name in early and node.machine.cluster
    }
    restart(simulated, late)
    context.first_start.run(simulated, SETTLING_TIME)


@behave.given('{control_nodes:d} control nodes and {directories:d} directories whose seeds are {seeds}')
def processes_with_seeds(context, control_nodes: int, directories: int, seeds: str):
    context.first_start = first_start.FirstStart(control_nodes, directories, seeds.split(','))
    # The clusters that nodes formed or belonged to while the others were without power, by world.
    context.formed_meanwhile = {}


@behave.given('one cluster of {control_nodes:d} control nodes and {directories:d} directories whose seeds are {seeds}')
def one_cluster(context, control_nodes: int, directories: int, seeds: str):
    processes_with_seeds(context, control_nodes, directories, seeds)
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        context.first_start.run(simulated, first_start.FORMING_TIME)
        assert len(context.first_start.seen[simulated]) == 1, simulated.seed


@behave.when('all lose power, {lost} lose their disks, and the others come back 30 s later')
def disks_lost(context, lost: str):
    for simulated in context.first_start.worlds:
        lose_power(simulated)
        for name in lost.split(','):
            simulated.nodes[name].disk.wipe()
        restart_in_two_groups(context, simulated, lost.split(','))


@behave.when('all lose power, the data of {damaged} is damaged, and the others come back 30 s later')
def data_damaged(context, damaged: str):
    for simulated in context.first_start.worlds:
        lose_power(simulated)
        for name in damaged.split(','):
            simulated.nodes[name].disk.files['term'] = 'torn'
        restart_in_two_groups(context, simulated, damaged.split(','))


@behave.given(
    'a system that tolerates the loss of {losses:d}, of {control_nodes:d} control nodes and {directories:d} directories'
    ' whose seeds are {seeds}'
)
def processes_that_tolerate_losses(context, losses: int, control_nodes: int, directories: int, seeds: str):
    context.first_start = first_start.FirstStart(control_nodes, directories, seeds.split(','))
    for simulated in context.first_start.worlds:
        simulated.settings.least_voters = 2 * losses + 1


@behave.when('{late} first start {delay_s:d} s after the others')
def some_start_late(context, late: str, delay_s: int):
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated, lambda node: ms(1000 * delay_s if node.name in late.split(',') else 0))
        context.first_start.run(simulated, first_start.FORMING_TIME)


@behave.then('the cluster is formed by all six')
def formed_by_all(context):
    for simulated in context.first_start.worlds:
        assert len(context.first_start.seen[simulated]) == 1, simulated.seed
        formed = [
            fields['nodes']
            for node in simulated.of('core')
            for _, _, fields in node.log_records
            if is_cluster_formed(fields)
        ]
        assert [len(nodes) for nodes in formed] == [6], (simulated.seed, formed)


def is_cluster_formed(fields: dict | None) -> bool:
    """True if these fields of a log event report that a cluster was formed."""
    return bool(fields) and fields['event'] == 'form'


@behave.when('two seeds are frozen from the round in which a cluster forms until all lose power')
def seeds_miss_cluster_forming(context):
    context.missed = {}
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        simulated.run(ms(301))
        forming_node = min(simulated.of('core'), key=lambda node: node.machine.node)
        assert simulated.run(FORMED_BY, lambda forming_node=forming_node: forming_node.machine.cluster != ''), (
            simulated.seed
        )
        seeds = [node for node in simulated.of('core') if node.location.addr in node.location.seeds]
        missed = [node for node in seeds if node is not forming_node and not node.machine.cluster][:2]
        # If the frames that were on their way reached them, they did not miss the forming: skip this world.
        if len(missed) == 2:
            context.missed[simulated] = [node.name for node in missed]
        for node in missed:
            node.pause(FROZEN)
        context.first_start.run(simulated, first_start.FORMING_TIME)
        lose_power(simulated)
    assert context.missed, 'no world has two seeds that missed the forming'


@behave.when('these two come back, and the others 30 s later')
def missed_come_back(context):
    context.first_start.worlds = list(context.missed)
    for simulated, missed in context.missed.items():
        restart_in_two_groups(context, simulated, missed)


@behave.then('no cluster was formed meanwhile, and all are in the original cluster')
def no_second_cluster(context):
    for simulated in context.first_start.worlds:
        assert context.formed_meanwhile[simulated] == set(), (simulated.seed, context.formed_meanwhile[simulated])
        assert len(context.first_start.seen[simulated]) == 1, (simulated.seed, context.first_start.seen[simulated])
        first_start.assert_all_joined(simulated, context.first_start.seen[simulated])


def lose_power_and_restart(context, simulated: world.World, lost: int) -> None:
    """Cut the power of all processes, wipe some control nodes' disks, restart all, and wait until they settle."""
    lose_power(simulated)
    for node in simulated.rng.sample(simulated.of('core'), lost):
        node.disk.wipe()
    restart(simulated, simulated.nodes.values())
    context.first_start.run(simulated, SETTLING_TIME)


@behave.when('all lose power between {first:d} and {last:d} ms after the first start, and {lost:d} of them their disks')
def first_start_cut_short(context, first: int, last: int, lost: int):
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        context.first_start.run(simulated, ms(simulated.rng.uniform(first, last)))
        lose_power_and_restart(context, simulated, lost)


@behave.when('all lose power once {count:d} of them have accepted its first version, and {lost:d} of them their disks')
def forming_cut_short(context, count: int, lost: int):
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        control_nodes = simulated.of('core')

        def is_accepted_by_count(control_nodes=control_nodes) -> bool:
            return sum(node.up and node.machine.cluster != '' for node in control_nodes) >= count

        assert simulated.run(FORMED_BY, is_accepted_by_count), simulated.seed
        lose_power_and_restart(context, simulated, lost)


@behave.then('no cluster is formed, and those without their disks report in log and status that they only join')
def only_joins_is_reported(context):
    for simulated in context.first_start.worlds:
        assert context.first_start.seen[simulated] == set(), simulated.seed
        reporting = [
            node
            for node in simulated.of('core')
            if any('Waits to join' in text for _, text in node.logs)
            and node.machine.status()['waits_to_form']['only_joins']
        ]
        assert len(reporting) == 2, (simulated.seed, [node.name for node in reporting])


# -- the program on real folders ------------------------------------------------------------


def identity_after_start(context, folder: str, *flags: str) -> storage.NodeFile:
    """Start zinctrail-controller on a folder, kill it once it has started, and return the file `node` it wrote."""
    port = local_process.free_ports(2)
    command = [sys.executable, '-m', 'zinctrail.cli.controller', f'--data={folder}', '--cell=r/c', *flags]
    command += [f'--addr=127.0.0.1:{port}', f'--http=127.0.0.1:{port + 1}', '--seeds=127.0.0.1:1']
    process = subprocess.Popen(command, cwd=repository.ROOT, stderr=subprocess.PIPE, text=True)
    timer = local_process.limit_time(process)
    context.add_cleanup(timer.cancel)
    assert any('Starts as' in line for line in process.stderr), process.wait()
    process.kill()
    process.wait()
    with open(os.path.join(folder, 'node'), encoding='utf-8') as file:
        return storage.decode('node', file.read())


@behave.when('zinctrail-controller starts on damaged data, and again on what a loss of power leaves of its folder')
def program_starts_on_damaged_data(context):
    folder = tempfile.mkdtemp(prefix='zt-damaged-')
    with open(os.path.join(folder, 'node'), 'w', encoding='utf-8') as file:
        file.write('torn')
    first = identity_after_start(context, folder)
    os.remove(os.path.join(folder, 'node'))

    context.identities = [first, identity_after_start(context, folder)]


@behave.when('zinctrail-controller starts on an empty folder with {flags}, and again with {later}')
def program_starts_twice(context, flags: str, later: str):
    folder = tempfile.mkdtemp(prefix='zt-empty-')
    context.identities = [identity_after_start(context, folder, flags_of_start) for flags_of_start in (flags, later)]


@behave.then('both times its folder records that it may form {what} cluster')
def may_form_is_remembered(context, what: str):
    assert [identity['may_form'] for identity in context.identities] == [what == 'a'] * 2, context.identities
