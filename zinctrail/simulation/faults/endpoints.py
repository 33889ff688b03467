"""Faults of endpoints: crashes, drains, lost heartbeats, reused addresses, warm-ups, damaged responses."""

import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.endpoint as endpoint_actor
import zinctrail.simulation.faults.processes as process_faults
import zinctrail.simulation.faults.registry as registry

if typing.TYPE_CHECKING:
    import zinctrail.simulation.days as days

ms = durations.ms
fault = registry.CLIENT.register


def random_endpoint(scenario: 'days.Scenario') -> endpoint_actor.Endpoint:
    """Return a random endpoint among those that are up."""
    return scenario.rng.choice([endpoint for endpoint in scenario.deployment.endpoints if endpoint.up])


@fault
def end_crashes(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint crashes and restarts five seconds later."""
    endpoint = random_endpoint(scenario)
    endpoint.kill()
    scenario.later(ms(5000), endpoint.start)
    return ms(5000)


@fault
def end_vanishes(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint is cut off from every process, for longer than the heartbeat timeout."""
    endpoint = random_endpoint(scenario)
    scenario.world.isolate(endpoint.name)
    scenario.later(ms(9000), scenario.world.heal)
    return ms(10000)


def cut_heartbeats(scenario: 'days.Scenario', endpoint: endpoint_actor.Endpoint) -> None:
    """Cut an endpoint off from the control nodes and directories, which receive its heartbeats and probe it.

    Proxies still reach it.
    """
    scenario.world.partition(
        [endpoint.name], [node.name for node in scenario.world.of('core') + scenario.world.of('dir')]
    )


@fault
def beats_cut(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint's heartbeats and the control nodes' probes are lost; it continues to serve requests."""
    cut_heartbeats(scenario, random_endpoint(scenario))
    scenario.later(ms(12000), scenario.world.heal)
    return ms(12000)


@fault
def beats_late(scenario: 'days.Scenario') -> datetime.timedelta:
    """Heartbeats of a removed incarnation arrive again while the leader changes."""
    cut_heartbeats(scenario, random_endpoint(scenario))
    scenario.later(ms(7500), scenario.world.heal)
    scenario.later(ms(7300), lambda: process_faults.kill_master(scenario))
    return ms(13000)


@fault
def ends_replaced(scenario: 'days.Scenario') -> datetime.timedelta:
    """All endpoints are restarted, one after another."""
    endpoints = [endpoint for endpoint in scenario.deployment.endpoints if endpoint.up]
    for number, endpoint in enumerate(endpoints):
        scenario.later(ms(1500) * number, endpoint.kill)
        scenario.later(ms(1500) * number + ms(300), endpoint.start)
    return ms(1500) * len(endpoints)


@fault
def end_drains(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint drains, ends and restarts."""
    return _leave_gracefully(scenario, 'draining')


@fault
def end_leaves(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint announces that it leaves, ends and restarts."""
    return _leave_gracefully(scenario, 'leaving')


def _leave_gracefully(scenario: 'days.Scenario', state: str) -> datetime.timedelta:
    """Let an endpoint announce a state, end six seconds later, and restart a second after that."""
    endpoint = random_endpoint(scenario)
    endpoint.set_state(state)
    scenario.later(ms(6000), endpoint.kill)
    scenario.later(ms(7000), endpoint.start)
    return ms(7000)


@fault
def address_passed_on(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint crashes, and 50 ms later an endpoint of another service starts at its address."""
    return reuse_address(scenario, random_endpoint(scenario), ms(50))


def reuse_address(
    scenario: 'days.Scenario', endpoint: endpoint_actor.Endpoint, gap: datetime.timedelta
) -> datetime.timedelta:
    """Kill an endpoint and start one of another service at its address, `gap` later."""
    service = scenario.rng.choice([name for name in scenario.shape['services'] if name != endpoint.service])
    endpoint.kill()
    new = endpoint_actor.Endpoint(
        scenario.deployment, endpoint.name, endpoint.address, service, endpoint.zone, endpoint.slots
    )
    scenario.deployment.endpoints.append(new)
    scenario.later(gap, new.start)
    return ms(3000)


@fault
def cold_return(scenario: 'days.Scenario') -> datetime.timedelta:
    """Two endpoints restart and need to warm up."""
    for endpoint in scenario.rng.sample(scenario.deployment.endpoints, 2):
        if endpoint.up:
            endpoint.kill()
        endpoint.initial_warm_up = 0.9
        endpoint.warm_up_time = ms(8000)
        scenario.later(ms(500), endpoint.start)
    return ms(3000)


@fault
def cold_crowd(scenario: 'days.Scenario') -> datetime.timedelta:
    """All endpoints of a service crash; one restarts soon and must warm up while it gets all the requests."""
    endpoints = scenario.first_service_endpoints()
    for endpoint in endpoints:
        endpoint.kill()
        endpoint.work_ms = (100, 400)
    endpoints[0].initial_warm_up = 0.9
    endpoints[0].warm_up_time = ms(9000)
    scenario.later(ms(500), endpoints[0].start)
    for endpoint in endpoints[1:]:
        scenario.later(ms(9000), endpoint.start)
    for endpoint in endpoints:
        scenario.later(ms(9000), setattr, endpoint, 'work_ms', endpoint_actor.DEFAULT_WORK_MS)
    return ms(10000)


@fault
def outcome_lost(scenario: 'days.Scenario') -> datetime.timedelta:
    """Endpoints close some connections instead of responding."""
    set_response_fault(scenario, 'loss_chance', 0.3)
    return ms(6000)


@fault
def garbled(scenario: 'days.Scenario') -> datetime.timedelta:
    """Some responses are corrupted, truncated, or sent to another request."""
    for chance in ('garbling_chance', 'truncation_chance', 'misrouting_chance'):
        set_response_fault(scenario, chance, 0.2)
    return ms(6000)


def set_response_fault(scenario: 'days.Scenario', attribute: str, chance: float) -> None:
    """Set one of all endpoints' probabilities of a bad response, for six seconds."""
    for endpoint in scenario.deployment.endpoints:
        setattr(endpoint, attribute, chance)
        scenario.later(ms(6000), setattr, endpoint, attribute, 0.0)
