"""Faults of the network between processes: partitions, one-way cuts, lost frames and responses."""

import datetime

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.scenario as simulated_scenario

ms = durations.ms
fault = registry.CLIENT.register


@fault
def isolate_one(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """One process is cut off from all other processes and from the endpoints."""
    node = scenario.rng.choice(list(scenario.world.nodes.values()))
    scenario.world.isolate(node.name)
    scenario.later(ms(6000), scenario.world.heal)
    return ms(6000)


@fault
def isolate_master(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The leader is cut off from all other processes and from the endpoints."""
    leader = scenario.world.leader()
    if leader:
        scenario.world.isolate(leader.name)
    scenario.later(ms(6000), scenario.world.heal)
    return ms(6000)


@fault
def isolate_master_alive(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The leader is cut off from the other control nodes only; directories and proxies still reach it."""
    leader = scenario.world.leader()
    if leader:
        scenario.world.partition([leader.name], [node.name for node in scenario.world.of('core')])
    scenario.later(ms(6000), scenario.world.heal)
    return ms(6000)


def cut_proxy_off(scenario: simulated_scenario.Scenario, length: datetime.timedelta) -> simulated_node.Node:
    """Cut a proxy off from the system's other processes, and return it; callers and endpoints still reach it."""
    node = scenario.pick('prox')
    scenario.world.partition([node.name])
    scenario.later(length, scenario.world.heal)
    return node


@fault
def isolate_proxy(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A proxy is cut off from the system's other processes only."""
    cut_proxy_off(scenario, ms(8000))
    return ms(8000)


@fault
def split_core(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The control nodes are cut into two halves."""
    names = [node.name for node in scenario.world.of('core')]
    scenario.rng.shuffle(names)
    half = names[: len(names) // 2]
    scenario.world.partition(half)
    scenario.later(ms(6000), scenario.world.heal)
    return ms(6000)


@fault
def split_with_master(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A partition: the leader, a directory and a proxy on one side, all other processes on the other."""
    leader = scenario.world.leader()
    if leader is None:
        scenario.record_ineffective('split_with_master')
        return ms(0)
    scenario.world.partition([leader.name, scenario.pick('dir').name, scenario.pick('prox').name])
    scenario.later(ms(6000), scenario.world.heal)
    return ms(6000)


@fault
def split_core_from_rest(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """The control nodes reach one another, but no other process reaches them."""
    scenario.world.partition([node.name for node in scenario.world.of('core')])
    scenario.later(ms(5000), scenario.world.heal)
    return ms(5000)


@fault
def one_way(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """Between some pairs of processes, frames pass in one direction only."""
    names = list(scenario.world.nodes)
    for _ in range(len(names)):
        source, target = scenario.rng.sample(names, 2)
        scenario.world.cut(source, target, both=False)
    scenario.later(ms(6000), scenario.world.heal)
    return ms(6000)


@fault
def lossy(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """Frames are lost, duplicated and delayed."""
    world = scenario.world
    world.loss = 0.03
    world.duplication = 0.03
    world.extra_delay = ms(scenario.rng.uniform(0, 30))

    def end_fault() -> None:
        """End the loss, duplication and delay of frames."""
        world.loss = world.duplication = 0.0
        world.extra_delay = ms(0)

    scenario.later(ms(6000), end_fault)
    return ms(6000)


@fault
def replies_lost(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """Responses to callers, applications and operators are lost in transit."""
    deployment = scenario.deployment
    for name in [user.name for user in deployment.callers + deployment.applications] + ['op']:
        scenario.world.response_loss[name] = 0.2
    scenario.later(ms(8000), scenario.world.response_loss.clear)
    return ms(8000)
