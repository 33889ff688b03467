"""Faults of processes: kills, restarts, pauses, and control nodes that are replaced."""

import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.scenario as simulated_scenario

ms = durations.ms
fault = registry.CLIENT.register


@fault
def kill_master(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The leader is killed."""
    leader = scenario.world.leader()
    if leader:
        leader.kill()
        scenario.restart(leader, ms(5000))
    else:
        scenario.record_ineffective('kill_master')
    return ms(5000)


def act_on_leader(
    scenario: simulated_scenario.Scenario, action: typing.Callable[[simulated_node.Node], typing.Any]
) -> None:
    """Call action(leader) with the node that leads 20 to 1500 ms from now, amid the faults that began together."""

    def act_on_current_leader() -> None:
        """Call action with the leader, or log a miss if there is none."""
        leader = scenario.world.leader()
        if leader:
            action(leader)
        else:
            scenario.record_ineffective('at_master')

    scenario.later(ms(scenario.rng.uniform(20, 1500)), act_on_current_leader)


@fault
def kill_master_amid(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The leader is killed while other faults are in progress."""
    act_on_leader(scenario, lambda leader: scenario.kill_for(leader, ms(5000)))
    return ms(7000)


@fault
def freeze_master_amid(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The leader is paused while other faults are in progress."""
    act_on_leader(scenario, lambda leader: leader.pause(ms(scenario.rng.uniform(500, 5000))))
    return ms(7000)


@fault
def one_way_amid(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The leader's links are cut in one direction: either all that it sends is lost, or all that is sent to it."""
    is_outward = scenario.rng.random() < 0.5

    def cut(leader: simulated_node.Node) -> None:
        """Cut all links of the leader in one direction."""
        for other in scenario.world.nodes:
            if other != leader.name:
                link = (leader.name, other) if is_outward else (other, leader.name)
                scenario.world.cut(*link, both=False)
        scenario.later(ms(5000), scenario.world.heal)

    act_on_leader(scenario, cut)
    return ms(7000)


@fault
def masters_in_turn(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The current leader is killed, four times in succession."""
    scenario.repeat(4, ms(1800), act_on_leader, scenario, lambda leader: scenario.kill_for(leader, ms(2500)))
    return ms(11000)


@fault
def kill_one_each(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """One process of each role is killed."""
    for role in ('core', 'dir', 'prox'):
        node = scenario.pick(role)
        node.kill()
        scenario.restart(node, ms(scenario.rng.uniform(500, 6000)))
    return ms(6000)


@fault
def kill_many(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """Half of all processes are killed, some of them by a power loss."""
    nodes = list(scenario.world.nodes.values())
    for node in scenario.rng.sample(nodes, len(nodes) // 2):
        node.kill(power=scenario.rng.random() < 0.5)
        scenario.restart(node, ms(scenario.rng.uniform(500, 5000)))
    return ms(5000)


@fault
def kill_all(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """All machines lose power."""
    for node in scenario.world.nodes.values():
        node.kill(power=True)
        scenario.restart(node, ms(scenario.rng.uniform(1000, 3000)))
    return ms(3000)


@fault
def rolling_restart(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """All processes are stopped and started, one after another."""
    gap = ms(1500)
    for number, node in enumerate(scenario.world.nodes.values()):
        scenario.later(gap * number, lambda node=node: node.feed('stop'))
        scenario.later(gap * number + ms(1200), lambda node=node: node.kill())
        scenario.restart(node, gap * number + ms(1300))
    return gap * len(scenario.world.nodes) + ms(2000)


@fault
def graceful_proxy(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A proxy shuts down gracefully."""
    node = scenario.pick('prox')
    node.feed('stop')
    scenario.restart(node, ms(14000))
    return ms(14000)


@fault
def graceful_keeper(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A directory, which holds credit ledgers, shuts down gracefully."""
    node = scenario.pick('dir')
    node.feed('stop')
    scenario.restart(node, ms(5000))
    return ms(5000)


@fault
def freeze_proxy(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A proxy is paused."""
    scenario.pick('prox').pause(ms(scenario.rng.uniform(1000, 9000)))
    return ms(9000)


@fault
def freeze_dirs(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """All directories are paused, one after another; each serves the calls that arrived meanwhile when it resumes."""
    directories = scenario.world.of('dir')
    for number, node in enumerate(directories):
        scenario.later(
            ms(2600) * number, lambda node=node: node.up and node.pause(ms(scenario.rng.uniform(2100, 2500)))
        )
    return ms(2600) * len(directories)


@fault
def freeze_master(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The leader is paused."""
    leader = scenario.world.leader()
    if leader:
        leader.pause(ms(scenario.rng.uniform(500, 6000)))
    return ms(6000)


@fault
def replace_core(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A control node is lost permanently; a new one with an empty disk starts at a new address."""
    world = scenario.world
    old = scenario.pick('core')
    old.kill()
    name = f'core{10 + world.sequence}'
    new = world.add(name, 'core', old.location.cell, old.location.seeds, first_start=False)
    scenario.later(ms(2000), new.start)
    # Removed from the world, so that no other fault restarts it.
    scenario.later(ms(2000), lambda: world.nodes.pop(old.name))
    return ms(4000)
