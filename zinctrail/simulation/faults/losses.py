"""Losses of machines, zones and regions, temporary or permanent, and seeds that change or go stale."""

import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.processes as process_faults
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.scenario as simulated_scenario

ms = durations.ms
fault = registry.CLIENT.register


def random_zone(scenario: simulated_scenario.Scenario) -> str:
    """Return the name of a random zone."""
    return scenario.rng.choice(scenario.deployment.zones)


def region_of(zone: str) -> str:
    """Return the region of a zone."""
    return zone.split('/')[0]


@fault
def cell_lost(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A zone loses power for five seconds."""
    lost = random_zone(scenario)
    _cut_power(scenario, lambda zone: zone == lost)
    return ms(6000)


@fault
def region_lost(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A region loses power for five seconds."""
    lost = region_of(random_zone(scenario))
    _cut_power(scenario, lambda zone: region_of(zone) == lost)
    return ms(6000)


def _cut_power(scenario: simulated_scenario.Scenario, is_lost: typing.Callable[[str], bool]) -> None:
    """Cut the power of all processes and endpoints in the matching zones, and restart them five seconds later."""
    for node in scenario.world.nodes.values():
        if is_lost(node.location.cell) and node.up:
            node.kill(power=True)
            scenario.restart(node, ms(5000 + scenario.rng.uniform(0, 500)))
    for endpoint in scenario.deployment.endpoints:
        if is_lost(endpoint.zone) and endpoint.up:
            endpoint.kill()
            scenario.later(ms(5000 + scenario.rng.uniform(0, 1000)), endpoint.start)


@fault
def region_for_good(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A region's machines are lost permanently, then one more control node if more than three remain."""
    lost = region_of(random_zone(scenario))
    _destroy_zones(scenario, lambda zone: region_of(zone) == lost)
    control_nodes = [node for node in scenario.world.of('core') if not node.destroyed]
    if len(control_nodes) > 3:
        scenario.later(ms(8000), lambda: _destroy([scenario.rng.choice(control_nodes)]))
        return ms(9000)
    return ms(1000)


@fault
def cell_for_good(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A zone's machines and endpoints are lost permanently."""
    lost = random_zone(scenario)
    _destroy_zones(scenario, lambda zone: zone == lost)
    return ms(1000)


@fault
def machine_for_good(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """One machine of each role is lost permanently."""
    for role in ('core', 'dir', 'prox'):
        _destroy([scenario.pick(role)])
    return ms(1000)


def _destroy_zones(scenario: simulated_scenario.Scenario, is_lost: typing.Callable[[str], bool]) -> None:
    """Destroy the machines in the matching zones, and end the endpoints there."""
    _destroy([node for node in scenario.world.nodes.values() if is_lost(node.location.cell)])
    for endpoint in scenario.deployment.endpoints:
        if is_lost(endpoint.zone) and endpoint.up:
            endpoint.kill()


def _destroy(nodes: typing.Iterable[simulated_node.Node]) -> None:
    """Cut the power of machines permanently."""
    for node in nodes:
        node.kill(power=True)
        node.destroyed = True


@fault
def swap_seeds(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """All seeds are replaced; a process that restarts knows only the new ones."""
    seeds = [scenario.world.nodes[name].location.addr for name in scenario.rng.sample(sorted(scenario.world.nodes), 3)]
    for node in scenario.world.nodes.values():
        node.location.seeds = list(seeds)
    node = scenario.pick('core')
    node.kill()
    scenario.restart(node, ms(1000))
    return ms(2000)


@fault
def stale_seeds(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """Two of the three seeds are unreachable addresses, and half of all processes are killed."""
    for node in scenario.world.nodes.values():
        node.location.seeds = ['10.99.0.1:1000', '10.99.0.2:1000', scenario.world.nodes['dir0'].location.addr]
    return process_faults.kill_many(scenario)
