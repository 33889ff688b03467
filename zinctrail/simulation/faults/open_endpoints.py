"""Faults of clients and endpoints in scenarios of open traffic: crashes, releases, reused addresses, bad responses."""

import datetime
import functools
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.open_actors.endpoint as open_endpoint
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_days as open_days

ms = durations.ms
fault = registry.OPEN.register

SPAN = ms(5500)


# -- clients ---------------------------------------------------------------------


@fault
def retry_abuse(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A third of the clients immediately send three extra retries for each failed request."""
    clients = scenario.deployment.clients
    for client in scenario.rng.sample(clients, max(1, len(clients) // 3)):
        client.extra_retries = 3
        scenario.later(SPAN, setattr, client, 'extra_retries', 0)
    return ms(6000)


@fault
def give_up(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Half of the clients abandon requests within 300 ms, while most endpoints of a service are slow."""
    clients = scenario.deployment.clients
    for client in scenario.rng.sample(clients, max(1, len(clients) // 2)):
        client.abandon_timeout = ms(300)
        scenario.later(SPAN, setattr, client, 'abandon_timeout', None)
    slow_down(scenario, share=0.7, factor=12, length=SPAN)
    return ms(6500)


@fault
def crowd(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Clients send five times the usual request rate: endpoints fill up and refuse requests, or reset connections."""
    for client in scenario.deployment.clients:
        client.rate *= 5
        scenario.later(ms(6000), lambda client=client: setattr(client, 'rate', client.rate / 5))
    return ms(8000)


# -- crashes and replacements --------------------------------------------------------


@fault
def srv_crash(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints of a service crash and restart."""
    for endpoint in scenario.sample_of_a_service():
        endpoint.kill()
        scenario.later(ms(4500), endpoint.start)
    return ms(5000)


@fault
def srv_crash_dark(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints of a service go silent: their connections stay open without responses; they restart later."""
    for endpoint in scenario.sample_of_a_service():
        end_silently(scenario, endpoint)

        def come_back(endpoint: open_endpoint.Endpoint = endpoint) -> None:
            """Reconnect the endpoint and start it."""
            scenario.world.heal(endpoint.name)
            endpoint.start()

        scenario.later(ms(4500), come_back)
    return ms(5000)


def end_silently(scenario: 'open_days.Scenario', endpoint: open_endpoint.Endpoint) -> None:
    """End an endpoint silently: its connections stay open, and no response arrives on them."""
    for node in scenario.world.nodes:
        scenario.world.cut(endpoint.name, node)
    endpoint.kill(silently=True)
    # Its address stays registered: a silent machine does not refuse connections.
    scenario.world.endpoints[endpoint.address] = endpoint


@fault
def srv_crash_gone(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints of a service crash permanently."""
    for endpoint in scenario.sample_of_a_service():
        endpoint.kill()
    return ms(7000)


@fault
def release(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Half of a service's endpoints are replaced: each new one starts before the old one drains."""
    endpoints = scenario.sample_of_a_service(0.5)
    for number, endpoint in enumerate(endpoints):
        scenario.later(ms(1000) * number, _replace, scenario, endpoint)
    return ms(1000) * len(endpoints) + ms(5000)


def _replace(scenario: 'open_days.Scenario', endpoint: open_endpoint.Endpoint) -> None:
    """Start a replacement for an endpoint, and drain the old one half a second later."""
    scenario.deployment.add_endpoint(endpoint.service, endpoint.zone).start()
    scenario.later(ms(500), endpoint.drain)


@fault
def replace_with_reuse(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Endpoints crash, and their addresses are reused by another service."""
    for endpoint in scenario.sample_of_a_service(0.25):
        endpoint.kill()
        reuse_address(scenario, endpoint)
    return ms(7000)


@fault
def replace_with_reuse_drain(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Endpoints drain, and their addresses are reused by another service."""
    for endpoint in scenario.sample_of_a_service(0.25):
        endpoint.drain(functools.partial(reuse_address, scenario, endpoint))
    return ms(9000)


def reuse_address(scenario: 'open_days.Scenario', endpoint: open_endpoint.Endpoint) -> None:
    """Start an endpoint of another service at an endpoint's address, after the platform's minimum time for reuse."""
    service = scenario.rng.choice([name for name in sorted(terms.SERVICES) if name != endpoint.service])
    new_endpoint = scenario.deployment.add_endpoint(service, endpoint.zone, endpoint.address)
    # A new endpoint of the same service takes over the work.
    scenario.deployment.add_endpoint(endpoint.service, endpoint.zone).start()
    scenario.later(terms.TERMS.reuse, new_endpoint.start)


@fault
def scale_in(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints of a service drain permanently."""
    for endpoint in scenario.sample_of_a_service(0.3):
        endpoint.drain()
    return ms(6000)


@fault
def cold_return(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All endpoints of a zone crash and restart together, and need to warm up."""
    zone = scenario.rng.choice(scenario.deployment.zones)
    for endpoint in [each for each in scenario.deployment.endpoints if each.zone == zone and each.up]:
        endpoint.kill()
        scenario.later(ms(4000 + scenario.rng.uniform(0, 300)), endpoint.start)
    return ms(8000)


@fault
def cold_crowd(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All endpoints of a service crash; one restarts soon and the rest later, each warming up under high load."""
    service = scenario.rng.choice(sorted(terms.SERVICES))
    endpoints = scenario.deployment.running_endpoints(service)
    for endpoint in endpoints:
        endpoint.kill()
    for number, endpoint in enumerate(endpoints):
        scenario.later(ms(500 if number == 0 else 6000), endpoint.start)
    return crowd(scenario)


# -- bad and slow responses -------------------------------------------------------------


@fault
def answer_lost(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Half of the endpoints close the connection instead of sending a tenth of their responses."""
    return _set_response_faults(scenario, {'loss_chance': 0.1})


@fault
def answer_lost_often(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All endpoints close the connection instead of sending most of their responses."""
    return _set_response_faults(scenario, {'loss_chance': 0.6}, 1.0)


@fault
def garble(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Half of the endpoints truncate some responses, or send malformed HTTP."""
    return _set_response_faults(scenario, {'truncation_chance': 0.04, 'malformed_chance': 0.04})


@fault
def garble_extra(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Endpoints send some responses a second time in place of the next response."""
    return _set_response_faults(scenario, {'duplicate_chance': 0.1, 'malformed_chance': 0.02}, 0.6)


def _set_response_faults(
    scenario: 'open_days.Scenario', chances: dict[str, float], share: float = 0.5
) -> datetime.timedelta:
    """Set the given probabilities of bad responses at a share of the endpoints, for SPAN."""
    for endpoint in scenario.sample(scenario.deployment.endpoints, share):
        for attribute, chance in chances.items():
            setattr(endpoint, attribute, chance)
            scenario.later(SPAN, setattr, endpoint, attribute, 0.0)
    return ms(6000)


@fault
def slow_ends(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Most endpoints of a service are twelve times as slow."""
    slow_down(scenario, share=0.7, factor=12, length=SPAN)
    return ms(6500)


def slow_down(scenario: 'open_days.Scenario', share: float, factor: int, length: datetime.timedelta) -> None:
    """Make a share of a random service's endpoints `factor` times as slow, for `length`."""
    for endpoint in scenario.sample_of_a_service(share):
        default_work_ms = endpoint.work_ms
        endpoint.work_ms = default_work_ms * factor
        scenario.later(length, setattr, endpoint, 'work_ms', default_work_ms)
