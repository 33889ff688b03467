"""Steps of lost_disks.feature: first starts, and what forms where control nodes lost their disks."""

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
# How long a node is frozen that stands still until it loses power.
FROZEN = ms(60000)
# By when a cluster forms, at the latest.
FORMED_BY = ms(20000)


def lose_power(simulated: world.World) -> None:
    """All processes end at once, and what their disks had not synced is lost."""
    for node in simulated.nodes.values():
        node.kill(power=True)


def start_again(simulated: world.World, nodes: collections.abc.Iterable[simulated_node.Node]) -> None:
    """Start processes again, each after a while of its own."""
    for node in nodes:
        simulated.after(ms(simulated.rng.uniform(0, RESTART_SPREAD_MS)), node.start)


def come_back_in_two_parts(context, simulated: world.World, early: collections.abc.Container[str]) -> None:
    """Some control nodes and all other processes come back, and the other control nodes once the dark time is over."""
    control_nodes = simulated.of('core')
    late = [node for node in control_nodes if node.name not in early]
    start_again(simulated, [node for node in simulated.nodes.values() if node not in late])
    context.first_start.run(simulated, DARK_TIME)
    context.formed_meanwhile[simulated] = {
        node.machine.cluster for node in control_nodes if node.name in early and node.machine.cluster
    }
    start_again(simulated, late)
    context.first_start.run(simulated, SETTLING_TIME)


@behave.given('{control_nodes:d} control nodes and {directories:d} directories whose seeds are {seeds}')
def processes_with_seeds(context, control_nodes: int, directories: int, seeds: str):
    context.first_start = first_start.FirstStart(control_nodes, directories, seeds.split(','))
    # The clusters that nodes formed or belonged to while the others were dark, by world.
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
        come_back_in_two_parts(context, simulated, lost.split(','))


@behave.when('all lose power, the data of {damaged} is damaged, and the others come back 30 s later')
def data_damaged(context, damaged: str):
    for simulated in context.first_start.worlds:
        lose_power(simulated)
        for name in damaged.split(','):
            simulated.nodes[name].disk.files['term'] = 'torn'
        come_back_in_two_parts(context, simulated, damaged.split(','))


@behave.given(
    'a system to bear the loss of {losses:d}, of {control_nodes:d} control nodes and {directories:d} directories'
    ' whose seeds are {seeds}'
)
def processes_that_bear_losses(context, losses: int, control_nodes: int, directories: int, seeds: str):
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
            fields['nodes'] for node in simulated.of('core') for _, _, fields in node.log_records if is_form(fields)
        ]
        assert [len(nodes) for nodes in formed] == [6], (simulated.seed, formed)


def is_form(fields: dict | None) -> bool:
    """Whether a line of the log tells of a cluster that is formed."""
    return bool(fields) and fields['event'] == 'form'


@behave.when('two seeds stand still from the round in which a cluster forms until all lose power')
def seeds_miss_the_forming(context):
    context.missed = {}
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        simulated.run(ms(301))
        former = min(simulated.of('core'), key=lambda node: node.machine.node)
        assert simulated.run(FORMED_BY, lambda former=former: former.machine.cluster != ''), simulated.seed
        seeds = [node for node in simulated.of('core') if node.location.addr in node.location.seeds]
        missed = [node for node in seeds if node is not former and not node.machine.cluster][:2]
        # What had been sent to them may have arrived: then this world shows nothing.
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
        come_back_in_two_parts(context, simulated, missed)


@behave.then('no cluster was formed meanwhile, and all are in the one that was there before')
def no_second_cluster(context):
    for simulated in context.first_start.worlds:
        assert context.formed_meanwhile[simulated] == set(), (simulated.seed, context.formed_meanwhile[simulated])
        assert len(context.first_start.seen[simulated]) == 1, (simulated.seed, context.first_start.seen[simulated])
        first_start.assert_all_joined(simulated, context.first_start.seen[simulated])


def cut_short(context, simulated: world.World, lost: int) -> None:
    """All lose power, and some control nodes their disks; all come back, and time enough goes by."""
    lose_power(simulated)
    for node in simulated.rng.sample(simulated.of('core'), lost):
        node.disk.wipe()
    start_again(simulated, simulated.nodes.values())
    context.first_start.run(simulated, SETTLING_TIME)


@behave.when('all lose power between {first:d} and {last:d} ms after the first start, and {lost:d} of them their disks')
def first_start_cut_short(context, first: int, last: int, lost: int):
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        context.first_start.run(simulated, ms(simulated.rng.uniform(first, last)))
        cut_short(context, simulated, lost)


@behave.when('all lose power once {taken:d} of them have its first version, and {lost:d} of them their disks')
def forming_cut_short(context, taken: int, lost: int):
    for simulated in context.first_start.worlds:
        first_start.start_all(simulated)
        control_nodes = simulated.of('core')

        def has_been_taken(control_nodes=control_nodes) -> bool:
            return sum(node.up and node.machine.cluster != '' for node in control_nodes) >= taken

        assert simulated.run(FORMED_BY, has_been_taken), simulated.seed
        cut_short(context, simulated, lost)


@behave.then('no cluster is formed, and those without their disks say in log and status that they only join')
def only_joins_is_told(context):
    for simulated in context.first_start.worlds:
        assert context.first_start.seen[simulated] == set(), simulated.seed
        told = [
            node
            for node in simulated.of('core')
            if any('Waits to join' in text for _, text in node.logs)
            and node.machine.status()['waits_to_form']['only_joins']
        ]
        assert len(told) == 2, (simulated.seed, [node.name for node in told])


# -- the program on real folders ------------------------------------------------------------


def identity_after_start(context, folder: str, *flags: str) -> storage.NodeFile:
    """The file `node` that zinctrail-controller leaves in its folder once it has started, and is killed."""
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


@behave.when('zinctrail-controller starts on damaged data, and once more on what a loss of power leaves of its folder')
def program_starts_on_damaged_data(context):
    folder = tempfile.mkdtemp(prefix='zt-damaged-')
    with open(os.path.join(folder, 'node'), 'w', encoding='utf-8') as file:
        file.write('torn')
    first = identity_after_start(context, folder)
    os.remove(os.path.join(folder, 'node'))

    context.identities = [first, identity_after_start(context, folder)]


@behave.when('zinctrail-controller starts on an empty folder with {flags}, and once more with {later}')
def program_starts_twice(context, flags: str, later: str):
    folder = tempfile.mkdtemp(prefix='zt-empty-')
    context.identities = [identity_after_start(context, folder, words) for words in (flags, later)]


@behave.then('both times its folder says that it may form {what} cluster')
def may_form_is_remembered(context, what: str):
    assert [identity['may_form'] for identity in context.identities] == [what == 'a'] * 2, context.identities
