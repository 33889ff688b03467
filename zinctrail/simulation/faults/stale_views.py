"""Faults that make a proxy act on a stale view: the proxy is cut off, and then the state of its zone changes."""

import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.endpoint as endpoint_actor
import zinctrail.simulation.faults.endpoints as endpoint_faults
import zinctrail.simulation.faults.network as network_faults
import zinctrail.simulation.faults.registry as registry

if typing.TYPE_CHECKING:
    import zinctrail.simulation.days as days

ms = durations.ms
fault = registry.CLIENT.register

CUT_SPAN = ms(8000)


def cut_off_near_endpoint(
    scenario: 'days.Scenario', length: datetime.timedelta = CUT_SPAN
) -> tuple[str, endpoint_actor.Endpoint]:
    """Cut a proxy off; return its zone and an endpoint, preferably in that zone, whose service needs no claims."""
    zone = network_faults.cut_proxy_off(scenario, length).location.cell
    endpoints = [
        endpoint
        for endpoint in scenario.deployment.endpoints
        if endpoint.up and endpoint.service not in scenario.shape['once']
    ]
    anywhere = (endpoints or scenario.deployment.endpoints)[0]
    return zone, next((endpoint for endpoint in endpoints if endpoint.zone == zone), anywhere)


@fault
def stale_drain(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint near the cut-off proxy drains."""
    _, endpoint = cut_off_near_endpoint(scenario)
    endpoint.set_state('draining')
    scenario.later(ms(9000), endpoint.kill)
    scenario.later(ms(9500), endpoint.start)
    return ms(9500)


@fault
def stale_gone(scenario: 'days.Scenario') -> datetime.timedelta:
    """An endpoint near the cut-off proxy is cut off from control nodes and directories, and continues to run."""
    # Longer than the other cuts: the endpoint is removed only after its heartbeats have been missed.
    _, endpoint = cut_off_near_endpoint(scenario, ms(13000))
    endpoint_faults.cut_heartbeats(scenario, endpoint)
    return ms(14000)


@fault
def stale_passed_on(scenario: 'days.Scenario') -> datetime.timedelta:
    """The address of an endpoint near the cut-off proxy is reused at once by another service."""
    _, endpoint = cut_off_near_endpoint(scenario)
    return endpoint_faults.reuse_address(scenario, endpoint, ms(0))


@fault
def stale_move(scenario: 'days.Scenario') -> datetime.timedelta:
    """The pool of an endpoint near the cut-off proxy moves to another region."""
    zone, endpoint = cut_off_near_endpoint(scenario)
    far = next(other for other in scenario.deployment.zones if other.split('/')[0] != zone.split('/')[0])
    operator = scenario.deployment.operator
    operator.change(lambda config: config['pools'][endpoint.service].update(selector={'cell': far}))
    scenario.later(ms(9000), operator.change, lambda config: config['pools'][endpoint.service].pop('selector', None))
    return ms(11000)


@fault
def stale_evacuate(scenario: 'days.Scenario') -> datetime.timedelta:
    """The zone of the cut-off proxy is evacuated."""
    zone, _ = cut_off_near_endpoint(scenario)
    scenario.deployment.operator.evacuate(zone)
    scenario.later(ms(9000), scenario.deployment.operator.evacuate, zone, False)
    return ms(12000)
