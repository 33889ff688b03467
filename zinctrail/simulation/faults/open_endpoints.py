"""Faults of clients and endpoints on days of open traffic: crashes, releases, reused addresses, spoilt answers."""

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
def retry_abuse(day: 'open_days.Day') -> datetime.timedelta:
    """A third of the clients send three more requests at once for each one that fails."""
    clients = day.deployment.clients
    for client in day.rng.sample(clients, max(1, len(clients) // 3)):
        client.extra_repeats = 3
        day.later(SPAN, setattr, client, 'extra_repeats', 0)
    return ms(6000)


@fault
def give_up(day: 'open_days.Day') -> datetime.timedelta:
    """Half of the clients give requests up within 300 ms, while most endpoints of a service are slow."""
    clients = day.deployment.clients
    for client in day.rng.sample(clients, max(1, len(clients) // 2)):
        client.patience = ms(300)
        day.later(SPAN, setattr, client, 'patience', None)
    slow_down(day, share=0.7, factor=12, length=SPAN)
    return ms(6500)


@fault
def crowd(day: 'open_days.Day') -> datetime.timedelta:
    """Five times the traffic: endpoints fill up and refuse, each in its way."""
    for client in day.deployment.clients:
        client.rate *= 5
        day.later(ms(6000), lambda client=client: setattr(client, 'rate', client.rate / 5))
    return ms(8000)


# -- crashes and replacements --------------------------------------------------------


@fault
def srv_crash(day: 'open_days.Day') -> datetime.timedelta:
    """Some endpoints of a service crash and come back."""
    for endpoint in day.sample_of_a_service():
        endpoint.kill()
        day.later(ms(4500), endpoint.start)
    return ms(5000)


@fault
def srv_crash_dark(day: 'open_days.Day') -> datetime.timedelta:
    """Some endpoints of a service go silent: connections stay, and nothing comes back."""
    for endpoint in day.sample_of_a_service():
        silence(day, endpoint)

        def come_back(endpoint: open_endpoint.Endpoint = endpoint) -> None:
            """Reconnect the endpoint and start it."""
            day.world.heal(endpoint.name)
            endpoint.start()

        day.later(ms(4500), come_back)
    return ms(5000)


def silence(day: 'open_days.Day', endpoint: open_endpoint.Endpoint) -> None:
    """End an endpoint without a sign: its connections stay, and nothing comes back."""
    for node in day.world.nodes:
        day.world.cut(endpoint.name, node)
    endpoint.kill(dark=True)
    # It stays listening, since nobody refuses on behalf of a dark machine.
    day.world.endpoints[endpoint.address] = endpoint


@fault
def srv_crash_gone(day: 'open_days.Day') -> datetime.timedelta:
    """Some endpoints of a service crash for good."""
    for endpoint in day.sample_of_a_service():
        endpoint.kill()
    return ms(7000)


@fault
def release(day: 'open_days.Day') -> datetime.timedelta:
    """Half of a service's endpoints are replaced: the new one starts first, the old one drains."""
    endpoints = day.sample_of_a_service(0.5)
    for number, endpoint in enumerate(endpoints):
        day.later(ms(1000) * number, _replace, day, endpoint)
    return ms(1000) * len(endpoints) + ms(5000)


def _replace(day: 'open_days.Day', endpoint: open_endpoint.Endpoint) -> None:
    """Start a replacement of an endpoint, and drain the old one half a second later."""
    day.deployment.add_endpoint(endpoint.service, endpoint.cell).start()
    day.later(ms(500), endpoint.drain)


@fault
def replace_with_reuse(day: 'open_days.Day') -> datetime.timedelta:
    """Endpoints crash, and their addresses pass to another service."""
    for endpoint in day.sample_of_a_service(0.25):
        endpoint.kill()
        reuse_address(day, endpoint)
    return ms(7000)


@fault
def replace_with_reuse_drain(day: 'open_days.Day') -> datetime.timedelta:
    """Endpoints drain, and their addresses pass to another service."""
    for endpoint in day.sample_of_a_service(0.25):
        endpoint.drain(functools.partial(reuse_address, day, endpoint))
    return ms(9000)


def reuse_address(day: 'open_days.Day', endpoint: open_endpoint.Endpoint) -> None:
    """Start an endpoint of another service at an address, once the platform's least time for that is over."""
    service = day.rng.choice([name for name in sorted(terms.SERVICES) if name != endpoint.service])
    newcomer = day.deployment.add_endpoint(service, endpoint.cell, endpoint.address)
    # A new endpoint of the same service comes too: its work goes on elsewhere.
    day.deployment.add_endpoint(endpoint.service, endpoint.cell).start()
    day.later(terms.TERMS.reuse, newcomer.start)


@fault
def scale_in(day: 'open_days.Day') -> datetime.timedelta:
    """Some endpoints of a service drain for good."""
    for endpoint in day.sample_of_a_service(0.3):
        endpoint.drain()
    return ms(6000)


@fault
def cold_return(day: 'open_days.Day') -> datetime.timedelta:
    """A cell's endpoints go and come back together, cold."""
    cell = day.rng.choice(day.deployment.cells)
    for endpoint in [each for each in day.deployment.endpoints if each.cell == cell and each.up]:
        endpoint.kill()
        day.later(ms(4000 + day.rng.uniform(0, 300)), endpoint.start)
    return ms(8000)


@fault
def cold_crowd(day: 'open_days.Day') -> datetime.timedelta:
    """All endpoints of a service go; one comes back cold and the rest later, under many requests."""
    service = day.rng.choice(sorted(terms.SERVICES))
    endpoints = day.deployment.of(service)
    for endpoint in endpoints:
        endpoint.kill()
    for number, endpoint in enumerate(endpoints):
        day.later(ms(500 if number == 0 else 6000), endpoint.start)
    return crowd(day)


# -- spoilt and slow answers -------------------------------------------------------------


@fault
def answer_lost(day: 'open_days.Day') -> datetime.timedelta:
    """Half of the endpoints break off a tenth of their answers."""
    return _spoil(day, {'loss_chance': 0.1})


@fault
def answer_lost_often(day: 'open_days.Day') -> datetime.timedelta:
    """All endpoints break off most of their answers."""
    return _spoil(day, {'loss_chance': 0.6}, 1.0)


@fault
def garble(day: 'open_days.Day') -> datetime.timedelta:
    """Half of the endpoints cut answers short or send what is no HTTP."""
    return _spoil(day, {'truncation_chance': 0.04, 'malformed_chance': 0.04})


@fault
def garble_extra(day: 'open_days.Day') -> datetime.timedelta:
    """Endpoints send answers a second time, in the place of the next one."""
    return _spoil(day, {'duplicate_chance': 0.1, 'malformed_chance': 0.02}, 0.6)


def _spoil(day: 'open_days.Day', chances: dict[str, float], share: float = 0.5) -> datetime.timedelta:
    """Give a share of the endpoints these chances of a spoilt answer, for a while."""
    for endpoint in day.sample(day.deployment.endpoints, share):
        for attribute, chance in chances.items():
            setattr(endpoint, attribute, chance)
            day.later(SPAN, setattr, endpoint, attribute, 0.0)
    return ms(6000)


@fault
def slow_ends(day: 'open_days.Day') -> datetime.timedelta:
    """Most endpoints of a service take twelve times as long."""
    slow_down(day, share=0.7, factor=12, length=SPAN)
    return ms(6500)


def slow_down(day: 'open_days.Day', share: float, factor: int, length: datetime.timedelta) -> None:
    """A share of a random service's endpoints take `factor` times as long, for a while."""
    for endpoint in day.sample_of_a_service(share):
        usual = endpoint.work_ms
        endpoint.work_ms = usual * factor
        day.later(length, setattr, endpoint, 'work_ms', usual)
