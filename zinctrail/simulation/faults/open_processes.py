"""Faults of processes in scenarios of open traffic: power losses, kills, terminations, pauses, new seeds."""

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
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_days as open_days

ms = durations.ms
fault = registry.OPEN.register

# Faults shared with the scenarios of the client library: name here -> name there.
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
# `node`: the name of the node that has just acknowledged a change, if known.


@fault
def power_off_all(scenario: 'open_days.Scenario', node: str | None = None) -> datetime.timedelta:
    """All machines lose power."""
    for process in scenario.world.nodes.values():
        process.kill(power=True)
        scenario.restart(process, ms(scenario.rng.uniform(1500, 3000)))
    return ms(3000)


@fault
def kill_all(scenario: 'open_days.Scenario', node: str | None = None) -> datetime.timedelta:
    """All processes are killed; their machines keep power."""
    for process in scenario.world.nodes.values():
        process.kill()
        scenario.restart(process, ms(scenario.rng.uniform(1500, 3000)))
    return ms(3000)


@fault
def wipe_after_ack(scenario: 'open_days.Scenario', node: str | None = None) -> datetime.timedelta:
    """A control node loses its disk right after it acknowledged a change; each other one may lose power too."""
    if node is None:
        return after_ack_wipe(scenario)
    wipe(scenario, scenario.world.nodes[node])
    for other in scenario.world.of('core'):
        if other.name != node and scenario.rng.random() < 0.7:
            other.kill(power=True)
            scenario.restart(other, ms(scenario.rng.uniform(1500, 3000)))
    return ms(3000)


def wipe(scenario: 'open_days.Scenario', node: simulated_node.Node) -> None:
    """Cut a machine's power and wipe its disk; the process restarts with an empty disk."""
    node.kill(power=True)
    node.disk.wipe()
    scenario.restart(node, ms(scenario.rng.uniform(1500, 3000)))


# -- kills -------------------------------------------------------------------------


@fault
def node_kill(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A control node and a proxy are each killed or lose power."""
    for role in ('core', 'prox'):
        node = scenario.pick(role)
        node.kill(power=scenario.rng.random() < 0.5)
        scenario.restart(node, ms(scenario.rng.uniform(300, 3500)))
    return ms(4000)


@fault
def herd_kill(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """More than half of all processes are killed or lose power."""
    nodes = list(scenario.world.nodes.values())
    for node in scenario.rng.sample(nodes, round(len(nodes) * 0.55)):
        node.kill(power=scenario.rng.random() < 0.5)
        scenario.restart(node, ms(scenario.rng.uniform(300, 2500)))
    return ms(4000)


@fault
def herd_kill_core(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All control nodes are killed or lose power."""
    for node in scenario.world.of('core'):
        node.kill(power=scenario.rng.random() < 0.5)
        scenario.restart(node, ms(scenario.rng.uniform(300, 2500)))
    return ms(4000)


@fault
def herd_kill_fronts(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All proxies are killed."""
    for node in scenario.world.of('prox'):
        node.kill()
        scenario.restart(node, ms(scenario.rng.uniform(300, 2500)))
    return ms(4000)


# -- graceful shutdowns -------------------------------------------------------------------


def terminate(scenario: 'open_days.Scenario', node: simulated_node.Node, again: bool = True) -> None:
    """Send SIGTERM, and SIGKILL after the grace period; restart the process once it has ended if `again`."""
    if not node.up or node.paused is not None:
        return
    node.feed('stop')
    incarnation = node.incarnation
    deadline = scenario.world.now + terms.TERMS.grace

    def poll() -> None:
        """Poll until the process has ended, and kill it once the grace period is over."""
        if node.incarnation != incarnation or not node.up:
            if again:
                scenario.later(ms(200), scenario.start_unless_up, node)
        elif scenario.world.now >= deadline:
            node.kill()
            scenario.later(ms(200), poll)
        else:
            scenario.later(ms(100), poll)

    poll()


@fault
def roll_term(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All processes are terminated and restarted, one after another in random order."""
    nodes = list(scenario.world.nodes.values())
    scenario.rng.shuffle(nodes)
    gap = ms(1300)
    for number, node in enumerate(nodes):
        scenario.later(gap * number, terminate, scenario, node)
    return gap * len(nodes) + ms(6000)


@fault
def roll_term_fronts(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All proxies are terminated and restarted, one after another."""
    proxies = scenario.world.of('prox')
    for number, node in enumerate(proxies):
        scenario.later(ms(1000) * number, terminate, scenario, node)
    return ms(1000) * len(proxies) + ms(6000)


@fault
def roll_term_region(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The proxies of a home region are restarted in such quick succession that at most one of them is up at a time."""
    proxies = [node for node in scenario.world.of('prox') if scenario.deployment.region_of(node.name) == 'r1']
    gap = ms(1400)
    for number, node in enumerate(proxies):
        scenario.later(gap * number, terminate, scenario, node)
    return gap * len(proxies) + ms(6000)


@fault
def roll_term_remove(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A proxy is terminated, and restarted nine seconds later."""
    proxies = [node for node in scenario.world.of('prox') if node.up]
    if len(proxies) > 2:
        node = scenario.rng.choice(proxies)
        terminate(scenario, node, again=False)
        scenario.later(ms(9000), scenario.start_unless_up, node)
    else:
        scenario.record_ineffective('roll_term_remove')
    return ms(9000)


@fault
def term_master(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The leader is terminated."""
    leader = scenario.world.leader()
    if leader:
        terminate(scenario, leader)
    else:
        scenario.record_ineffective('term_master')
    return ms(5000)


@fault
def replace_core_planned(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A new control node starts, then an old one is terminated permanently."""
    world = scenario.world
    old = scenario.pick('core')
    name = f'core{10 + world.sequence}'
    new = world.add(name, 'core', old.location.cell, list(old.location.seeds), directory=True, first_start=False)
    new.start()
    scenario.later(ms(1500), terminate, scenario, old, False)
    scenario.later(ms(8500), lambda: world.nodes.pop(old.name, None))
    return ms(9000)


# -- right after an acknowledgement ------------------------------------------------------


@fault
def after_ack_kill(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The control node that acknowledges a change loses power."""
    return act_after_acknowledgement(scenario, lambda node: scenario.kill_for(node, ms(3000), power=True))


@fault
def after_ack_wipe(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The control node that acknowledges a change loses its disk."""
    return act_after_acknowledgement(scenario, lambda node: wipe(scenario, node))


def act_after_acknowledgement(
    scenario: 'open_days.Scenario', action: typing.Callable[[simulated_node.Node], typing.Any]
) -> datetime.timedelta:
    """Send a change, and call action(node) within 4 ms after a node acknowledges it or another change."""
    affected: list[str] = []

    def on_acknowledged(name: str) -> None:
        """Schedule action for the first node that acknowledges a change."""
        if not affected:
            affected.append(name)
            node = scenario.world.nodes.get(name)
            if node:
                scenario.later(ms(scenario.rng.uniform(0, 4)), action, node)

    def stop_waiting() -> None:
        """Remove the callback, and log a miss if no change was acknowledged."""
        scenario.deployment.on_acknowledged = None
        if not affected:
            scenario.record_ineffective('after_ack')

    scenario.deployment.on_acknowledged = on_acknowledged
    open_operators.change_timeout(scenario)
    scenario.later(ms(5000), stop_waiting)
    return ms(8000)


# -- pauses, losses, seeds ------------------------------------------------------------------


@fault
def clock_step(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The wall clock steps; processes do not read it, so the only effect is a pause of 1 to 50 ms."""
    for node in scenario.rng.sample(list(scenario.world.nodes.values()), max(1, len(scenario.world.nodes) // 3)):
        if node.up and node.paused is None:
            node.pause(ms(scenario.rng.uniform(1, 50)))
    return ms(2000)


@fault
def lossy(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Frames are lost, duplicated and delayed."""
    scenario.deployment.records.lossy.append(open_records.Span(scenario.world.now, scenario.world.now + ms(6000)))
    return network_faults.lossy(scenario)


@fault
def seed_turnover(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The seeds are replaced by other machines; a process that restarts knows only the new ones."""
    world = scenario.world
    seeds = scenario.rng.sample([node.location.addr for node in world.nodes.values()], 3)
    for node in world.nodes.values():
        # A running process reloads its settings; a process that starts later reads the new seeds.
        if node.up and node.paused is None:
            node.feed('settings', dataclasses.replace(node.location, seeds=list(seeds)), world.settings)
        node.location.seeds = list(seeds)
    for node in scenario.rng.sample(list(world.nodes.values()), 2):
        node.kill()
        scenario.restart(node, ms(1500))
    return ms(4000)
