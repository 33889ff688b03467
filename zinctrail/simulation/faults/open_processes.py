"""Faults of processes on days of open traffic: power losses, kills, SIGTERM in many ways, pauses, new seeds."""

import dataclasses
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.disks
import zinctrail.simulation.faults.losses
import zinctrail.simulation.faults.network as network_faults
import zinctrail.simulation.faults.open_operators as open_operators
import zinctrail.simulation.faults.processes  # noqa: F401 (registers its faults)
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_actors.notes as open_notes
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_days as open_days

ms = durations.ms
fault = registry.OPEN.register

# Faults that do the same to the machines of a day whatever the traffic: name here -> name on the other days.
SHARED = {
    'node_kill_master': 'kill_master',
    'node_kill_amid': 'kill_master_amid',
    'freeze_master': 'freeze_master',
    'disk_full': 'disk_full',
    'disk_stall': 'disk_stalls',
    'zone_loss': 'cell_lost',
    'core_cut': 'split_core',
    'core_cut_leader': 'isolate_master_alive',
    'core_cut_one_way': 'one_way_amid',
    'node_cut': 'isolate_proxy',
    'node_cut_all': 'isolate_one',
    'node_freeze': 'freeze_proxy',
    'die_confirming': 'die_confirming',
    'masters_in_turn': 'masters_in_turn',
    'core_cut_from_rest': 'split_core_from_rest',
    'replace_core': 'replace_core',
}
registry.OPEN.update({name: registry.CLIENT[theirs] for name, theirs in SHARED.items()})


# -- closing faults --------------------------------------------------------------
# `node`: the name of the machine that has just acknowledged a change, where one is known.


@fault
def power_off_all(day: 'open_days.Day', node: str | None = None) -> datetime.timedelta:
    """All machines lose power."""
    for each in day.world.nodes.values():
        each.kill(power=True)
        day.restart(each, ms(day.rng.uniform(1500, 3000)))
    return ms(3000)


@fault
def kill_all(day: 'open_days.Day', node: str | None = None) -> datetime.timedelta:
    """All processes are killed; their machines keep power."""
    for each in day.world.nodes.values():
        each.kill()
        day.restart(each, ms(day.rng.uniform(1500, 3000)))
    return ms(3000)


@fault
def wipe_after_ack(day: 'open_days.Day', node: str | None = None) -> datetime.timedelta:
    """A control node's disk is lost right after it acknowledged a change; the others may lose power too."""
    if node is None:
        return after_ack_wipe(day)
    wipe(day, day.world.nodes[node])
    for other in day.world.of('core'):
        if other.name != node and day.rng.random() < 0.7:
            other.kill(power=True)
            day.restart(other, ms(day.rng.uniform(1500, 3000)))
    return ms(3000)


def wipe(day: 'open_days.Day', node: simulated_node.Node) -> None:
    """Lose a machine's power and disk; it comes back empty."""
    node.kill(power=True)
    node.disk.wipe()
    day.restart(node, ms(day.rng.uniform(1500, 3000)))


# -- kills -------------------------------------------------------------------------


@fault
def node_kill(day: 'open_days.Day') -> datetime.timedelta:
    """A control node and a proxy are killed or lose power."""
    for role in ('core', 'prox'):
        node = day.pick(role)
        node.kill(power=day.rng.random() < 0.5)
        day.restart(node, ms(day.rng.uniform(300, 3500)))
    return ms(4000)


@fault
def herd_kill(day: 'open_days.Day') -> datetime.timedelta:
    """More than half of all processes are killed or lose power."""
    nodes = list(day.world.nodes.values())
    for node in day.rng.sample(nodes, round(len(nodes) * 0.55)):
        node.kill(power=day.rng.random() < 0.5)
        day.restart(node, ms(day.rng.uniform(300, 2500)))
    return ms(4000)


@fault
def herd_kill_core(day: 'open_days.Day') -> datetime.timedelta:
    """All control nodes are killed or lose power."""
    for node in day.world.of('core'):
        node.kill(power=day.rng.random() < 0.5)
        day.restart(node, ms(day.rng.uniform(300, 2500)))
    return ms(4000)


@fault
def herd_kill_fronts(day: 'open_days.Day') -> datetime.timedelta:
    """All proxies are killed."""
    for node in day.world.of('prox'):
        node.kill()
        day.restart(node, ms(day.rng.uniform(300, 2500)))
    return ms(4000)


# -- graceful ends -------------------------------------------------------------------


def terminate(day: 'open_days.Day', node: simulated_node.Node, again: bool = True) -> None:
    """SIGTERM, SIGKILL when the grace is over, and, if `again`, a new start as soon as the process has ended."""
    if not node.up or node.paused is not None:
        return
    node.feed('stop')
    incarnation = node.incarnation
    deadline = day.world.now + terms.TERMS.grace

    def look() -> None:
        """Wait for the process to end, and kill it once its grace is over."""
        if node.incarnation != incarnation or not node.up:
            if again:
                day.later(ms(200), day.start_unless_up, node)
        elif day.world.now >= deadline:
            node.kill()
            day.later(ms(200), look)
        else:
            day.later(ms(100), look)

    look()


@fault
def roll_term(day: 'open_days.Day') -> datetime.timedelta:
    """All processes are terminated and started again, one after another, in random order."""
    nodes = list(day.world.nodes.values())
    day.rng.shuffle(nodes)
    gap = ms(1300)
    for number, node in enumerate(nodes):
        day.later(gap * number, terminate, day, node)
    return gap * len(nodes) + ms(6000)


@fault
def roll_term_fronts(day: 'open_days.Day') -> datetime.timedelta:
    """All proxies are terminated and started again, one after another."""
    proxies = day.world.of('prox')
    for number, node in enumerate(proxies):
        day.later(ms(1000) * number, terminate, day, node)
    return ms(1000) * len(proxies) + ms(6000)


@fault
def roll_term_region(day: 'open_days.Day') -> datetime.timedelta:
    """The proxies of a home region are terminated and started again, so close that one or none of them stays."""
    proxies = [node for node in day.world.of('prox') if day.deployment.region_of(node.name) == 'r1']
    gap = ms(1400)
    for number, node in enumerate(proxies):
        day.later(gap * number, terminate, day, node)
    return gap * len(proxies) + ms(6000)


@fault
def roll_term_remove(day: 'open_days.Day') -> datetime.timedelta:
    """A proxy is terminated and stays away for a while."""
    proxies = [node for node in day.world.of('prox') if node.up]
    if len(proxies) > 2:
        node = day.rng.choice(proxies)
        terminate(day, node, again=False)
        day.later(ms(9000), day.start_unless_up, node)
    else:
        day.miss('roll_term_remove')
    return ms(9000)


@fault
def term_master(day: 'open_days.Day') -> datetime.timedelta:
    """The leader is terminated."""
    leader = day.world.leader()
    if leader:
        terminate(day, leader)
    else:
        day.miss('term_master')
    return ms(5000)


@fault
def replace_core_planned(day: 'open_days.Day') -> datetime.timedelta:
    """A new control node starts first, then the old one is terminated for good."""
    world = day.world
    old = day.pick('core')
    name = f'core{10 + world.sequence}'
    new = world.add(name, 'core', old.location.cell, list(old.location.seeds), directory=True, first_start=False)
    new.start()
    day.later(ms(1500), terminate, day, old, False)
    day.later(ms(8500), lambda: world.nodes.pop(old.name, None))
    return ms(9000)


# -- right after an acknowledgement ------------------------------------------------------


@fault
def after_ack_kill(day: 'open_days.Day') -> datetime.timedelta:
    """The control node that acknowledges a change loses power."""
    return strike_after_acknowledgement(day, lambda node: day.kill_for(node, ms(3000), power=True))


@fault
def after_ack_wipe(day: 'open_days.Day') -> datetime.timedelta:
    """The control node that acknowledges a change loses its disk."""
    return strike_after_acknowledgement(day, lambda node: wipe(day, node))


def strike_after_acknowledgement(
    day: 'open_days.Day', strike: typing.Callable[[simulated_node.Node], typing.Any]
) -> datetime.timedelta:
    """Do something to the machine that acknowledges the next change, within 4 ms."""
    struck: list[str] = []

    def acknowledged(name: str) -> None:
        """Strike the first node that acknowledges a change."""
        if not struck:
            struck.append(name)
            node = day.world.nodes.get(name)
            if node:
                day.later(ms(day.rng.uniform(0, 4)), strike, node)

    def over() -> None:
        """Stop listening, and note a miss if no change was acknowledged."""
        day.deployment.on_acknowledged = None
        if not struck:
            day.miss('after_ack')

    day.deployment.on_acknowledged = acknowledged
    open_operators.change_timeout(day)
    day.later(ms(5000), over)
    return ms(8000)


# -- pauses, losses, seeds ------------------------------------------------------------------


@fault
def clock_step(day: 'open_days.Day') -> datetime.timedelta:
    """The time of day jumps; processes do not read it, so that they only stand still for a moment."""
    for node in day.rng.sample(list(day.world.nodes.values()), max(1, len(day.world.nodes) // 3)):
        if node.up and node.paused is None:
            node.pause(ms(day.rng.uniform(1, 50)))
    return ms(2000)


@fault
def lossy(day: 'open_days.Day') -> datetime.timedelta:
    """Frames are lost, duplicated and delayed."""
    day.deployment.notes.lossy.append(open_notes.Span(day.world.now, day.world.now + ms(6000)))
    return network_faults.lossy(day)


@fault
def seed_turnover(day: 'open_days.Day') -> datetime.timedelta:
    """The seeds are exchanged for other machines; whoever restarts knows only the new ones."""
    world = day.world
    seeds = day.rng.sample([node.location.addr for node in world.nodes.values()], 3)
    for node in world.nodes.values():
        # A running process is told of the new file; one that starts later reads it.
        if node.up and node.paused is None:
            node.feed('settings', dataclasses.replace(node.location, seeds=list(seeds)), world.settings)
        node.location.seeds = list(seeds)
    for node in day.rng.sample(list(world.nodes.values()), 2):
        node.kill()
        day.restart(node, ms(1500))
    return ms(4000)
