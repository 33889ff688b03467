"""Faults of load: traffic surges, slow endpoints, short timeouts, retry storms."""

import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.caller as caller_actor
import zinctrail.simulation.actors.endpoint as endpoint_actor
import zinctrail.simulation.faults.endpoints as endpoint_faults
import zinctrail.simulation.faults.registry as registry

if typing.TYPE_CHECKING:
    import zinctrail.simulation.days as days

ms = durations.ms
fault = registry.CLIENT.register


@fault
def crowd(scenario: 'days.Scenario') -> datetime.timedelta:
    """Callers send four times the usual request rate, while all endpoints are slow."""
    for caller in scenario.deployment.callers:
        caller.rate *= 4
        scenario.later(ms(7000), lambda caller=caller: setattr(caller, 'rate', caller.rate / 4))
    _slow_down(scenario, (300, 900), ms(7000))
    return ms(9000)


def _slow_down(scenario: 'days.Scenario', work_ms: tuple[int, int], length: datetime.timedelta) -> None:
    """Set the work times of all endpoints, as minimum and maximum in ms, for `length`."""
    for endpoint in scenario.deployment.endpoints:
        endpoint.work_ms = work_ms
        scenario.later(length, setattr, endpoint, 'work_ms', endpoint_actor.DEFAULT_WORK_MS)


@fault
def impatient(scenario: 'days.Scenario') -> datetime.timedelta:
    """Callers time out before endpoints that warm up finish their work: abandoned requests still run."""
    for caller in scenario.deployment.callers:
        caller.timeout = ms(400)
        scenario.later(ms(8000), setattr, caller, 'timeout', caller_actor.DEFAULT_TIMEOUT)
    for endpoint in scenario.first_service_endpoints():
        if endpoint.up:
            endpoint.kill()
        endpoint.initial_warm_up = 0.8
        endpoint.warm_up_time = ms(12000)
        endpoint.work_ms = (300, 2500)
        scenario.later(ms(300), endpoint.start)
        scenario.later(ms(9000), setattr, endpoint, 'work_ms', endpoint_actor.DEFAULT_WORK_MS)
    return ms(10000)


@fault
def starved(scenario: 'days.Scenario') -> datetime.timedelta:
    """Each service has one slow endpoint left, at four times the request rate with half of the requests retried."""
    for service in sorted(scenario.shape['services']):
        endpoints = [endpoint for endpoint in scenario.deployment.endpoints if endpoint.service == service]
        for endpoint in endpoints[1:]:
            endpoint.kill()
            scenario.later(ms(9000), lambda endpoint=endpoint: endpoint.up or endpoint.start())
        endpoints[0].work_ms = (300, 900)
        scenario.later(ms(9000), setattr, endpoints[0], 'work_ms', endpoint_actor.DEFAULT_WORK_MS)
    for caller in scenario.deployment.callers:
        defaults = {
            'rate': caller.rate,
            'storm_chance': caller.storm_chance,
            'timeout': caller.timeout,
            'wild_chance': caller.wild_chance,
        }
        caller.rate = caller.rate * 4
        caller.storm_chance = 0.5
        caller.timeout = ms(300)
        caller.wild_chance = 0.0
        scenario.later(ms(8000), caller.__dict__.update, defaults)
    return ms(9500)


@fault
def slow_ends(scenario: 'days.Scenario') -> datetime.timedelta:
    """All endpoints are slow for six seconds."""
    _slow_down(scenario, (200, 3000), ms(6000))
    return ms(9000)


@fault
def storm(scenario: 'days.Scenario') -> datetime.timedelta:
    """Callers retry at once and many times, while responses are lost."""
    for caller in scenario.deployment.callers:
        caller.storm_chance = 0.5
        scenario.later(ms(8000), setattr, caller, 'storm_chance', 0.0)
    endpoint_faults.set_response_fault(scenario, 'loss_chance', 0.2)
    return ms(8000)
