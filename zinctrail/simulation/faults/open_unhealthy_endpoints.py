"""Faults of endpoints in scenarios of open traffic: partial failures, wrong health reports, dropped connections, exits.

Each is named after the platform's fault and its variant.
"""

import datetime
import functools
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.open_endpoints as open_endpoints
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.open_actors.endpoint as open_endpoint
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_days as open_days

ms = durations.ms
fault = registry.OPEN.register

SPAN = ms(5000)
TERMINATION_NOTICE = ms(2000)
SILENT_SPAN = ms(4500)


# -- unhealthy endpoints -------------------------------------------------------------------


def fail_requests(scenario: 'open_days.Scenario', how: str, share: float) -> datetime.timedelta:
    """Some endpoints of a service fail a share of their requests in one way, while their health checks pass."""
    for endpoint in scenario.sample_of_a_service(0.3):
        endpoint.failure_mode = how
        endpoint.failure_share = share
        scenario.later(SPAN, setattr, endpoint, 'failure_mode', None)
    return SPAN + ms(1000)


for _how in ('errors', 'shed', 'busy', 'hang', 'mute', 'reset'):
    registry.OPEN[f'srv_grey_{_how}'] = functools.partial(fail_requests, how=_how, share=0.4)


@fault
def srv_grey_slow(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints of a service are eight times as slow."""
    open_endpoints.slow_down(scenario, share=0.3, factor=8, length=SPAN)
    return SPAN + ms(1000)


@fault
def srv_lying_health(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints of a service pass health checks, but fail every request in one way."""
    return fail_requests(scenario, scenario.rng.choice(('errors', 'hang', 'reset')), 1.0)


@fault
def srv_lying_health_bad(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Half of a service's endpoints fail health checks, but serve requests well."""
    for endpoint in scenario.sample_of_a_service(0.5):
        endpoint.reports_unhealthy = True
        scenario.later(SPAN, setattr, endpoint, 'reports_unhealthy', False)
    return SPAN + ms(1000)


@fault
def idle_race(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Half of the endpoints drop connections that were idle for 300 ms, without notice."""
    for endpoint in scenario.sample(scenario.deployment.endpoints, 0.5):
        endpoint.idle_limit = ms(300)
        scenario.later(SPAN, setattr, endpoint, 'idle_limit', None)
    return SPAN + ms(1000)


# -- endpoints that stop and start -----------------------------------------------------------


@fault
def srv_flap(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints of a service repeatedly crash and restart."""
    for endpoint in scenario.sample_of_a_service(0.3):
        for number in range(3):
            scenario.later(ms(2000) * number, endpoint.kill)
            scenario.later(ms(2000) * number + ms(1000), endpoint.start)
    return ms(7000)


@fault
def srv_crash_all(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All endpoints of a service are down for 4.5 seconds."""
    service = scenario.rng.choice(sorted(terms.SERVICES))
    for endpoint in scenario.deployment.running_endpoints(service):
        endpoint.kill()
        scenario.later(ms(4500), endpoint.start)
    return ms(5000)


def end_silently_for(
    scenario: 'open_days.Scenario',
    endpoint: open_endpoint.Endpoint,
    then: typing.Callable[[], typing.Any] = lambda: None,
    length: datetime.timedelta = SILENT_SPAN,
) -> None:
    """End an endpoint silently: its connections stay open without responses for `length`; then call then()."""
    world = scenario.world
    open_endpoints.end_silently(scenario, endpoint)

    def reconnect() -> None:
        """Reconnect the endpoint's machine, and unregister its address unless it was reused."""
        world.heal(endpoint.name)
        if world.endpoints.get(endpoint.address) is endpoint:
            del world.endpoints[endpoint.address]
        then()

    scenario.later(length, reconnect)


@fault
def cold_return_dark(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All endpoints of a zone end silently and restart together, and need to warm up."""
    zone = scenario.rng.choice(scenario.deployment.zones)
    for endpoint in [endpoint for endpoint in scenario.deployment.endpoints if endpoint.zone == zone and endpoint.up]:
        end_silently_for(scenario, endpoint, endpoint.start)
    return ms(7000)


@fault
def replace_with_reuse_dark(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Endpoints end silently, and their addresses are reused by another service."""
    for endpoint in scenario.sample_of_a_service(0.25):
        end_silently_for(
            scenario, endpoint, functools.partial(open_endpoints.reuse_address, scenario, endpoint), TERMINATION_NOTICE
        )
    return ms(9000)


@fault
def scale_in_spot(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Endpoints drain and end two seconds after the notice; new ones start four seconds later."""
    for endpoint in scenario.sample_of_a_service(0.3):
        endpoint.drain()
        scenario.later(TERMINATION_NOTICE, endpoint.kill)
        scenario.later(
            TERMINATION_NOTICE + ms(4000), scenario.deployment.add_endpoint(endpoint.service, endpoint.zone).start
        )
    return ms(8000)


@fault
def scale_out(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Three endpoints are added to a service, one after another."""
    service = scenario.rng.choice(sorted(terms.SERVICES))
    for number in range(3):
        scenario.later(
            ms(700) * number,
            scenario.deployment.add_endpoint(service, scenario.rng.choice(scenario.deployment.zones)).start,
        )
    return ms(4000)
