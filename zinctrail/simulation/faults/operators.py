"""Commands and faults of operators: evacuations, conflicting, invalid and large changes, lost responses."""

import copy
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.caller as caller_actor
import zinctrail.simulation.actors.operator as operator_actor
import zinctrail.simulation.faults.registry as registry

if typing.TYPE_CHECKING:
    import zinctrail.simulation.days as days

ms = durations.ms
fault = registry.CLIENT.register

LARGE_CONFIG_LABEL_COUNT = 4000


@fault
def evacuate(scenario: 'days.Scenario') -> datetime.timedelta:
    """A zone is evacuated, and the evacuation ends ten seconds later."""
    zone = scenario.rng.choice(scenario.deployment.zones)
    scenario.deployment.operator.evacuate(zone)
    scenario.later(ms(10000), scenario.deployment.operator.evacuate, zone, False)
    return ms(14000)


@fault
def homes_change(scenario: 'days.Scenario') -> datetime.timedelta:
    """Callers retry a request id with home regions that differ from those of its first attempt."""
    for caller in scenario.deployment.callers:
        for _ in range(12):
            scenario.later(ms(scenario.rng.uniform(0, 6000)), _retry_with_other_homes, scenario, caller)
    return ms(8000)


def _retry_with_other_homes(scenario: 'days.Scenario', caller: caller_actor.Caller) -> None:
    """Send three attempts of one request id directly to proxies, each with a random home region."""
    if not caller.library.lookup_result:
        return
    request_id = caller.new_request_id()
    service = scenario.rng.choice(sorted(scenario.shape['services']))
    proxies = scenario.world.of('prox')
    regions = sorted({proxy.location.cell.split('/')[0] for proxy in proxies})
    after = ms(0)
    for attempt in (1, 2, 3):
        home = scenario.rng.choice(regions)
        proxy = scenario.rng.choice([proxy for proxy in proxies if proxy.location.cell.split('/')[0] == home])
        after += ms(scenario.rng.choice((3, 40, 300)))
        scenario.later(after, caller.send_directly, proxy, request_id, service, attempt, [home])


def label(config: dict, address: str, **labels) -> None:
    """Set the labels of an address in a configuration."""
    config['labels'].update({address: labels})


@fault
def apply_lost(scenario: 'days.Scenario') -> datetime.timedelta:
    """An operator retries changes with the same id while responses are lost; another operator's changes interleave."""
    scenario.world.response_loss['op0'] = 0.7
    for number in range(4):
        one = operator_actor.Operator(scenario.deployment, 'op0')
        other = operator_actor.Operator(scenario.deployment, 'op1')
        scenario.later(
            ms(1500) * number, one.change, lambda config, number=number: label(config, f'10.9.9.{number}:1', by='lost')
        )
        scenario.later(
            ms(1500) * number + ms(300),
            other.change,
            lambda config, number=number: label(config, f'10.9.8.{number}:1', by='other'),
        )
    scenario.later(ms(7000), scenario.world.response_loss.clear)
    return ms(8000)


@fault
def move_pool(scenario: 'days.Scenario') -> datetime.timedelta:
    """A pool's selector changes from all zones to one zone and back."""
    service = scenario.rng.choice(sorted(scenario.shape['services']))
    zones = {endpoint.zone for endpoint in scenario.deployment.endpoints if endpoint.service == service}
    zone = scenario.rng.choice(sorted(zones))
    operator = scenario.deployment.operator
    operator.change(lambda config: config['pools'][service].update(selector={'cell': zone}))
    scenario.later(ms(8000), operator.change, lambda config: config['pools'][service].pop('selector', None))
    return ms(11000)


@fault
def operators_collide(scenario: 'days.Scenario') -> datetime.timedelta:
    """Two operators repeatedly set the same label to the same value at the same time."""

    def collide(number: int) -> None:
        """Let both operators set the same label, and schedule the next collision."""
        for who in range(2):
            operator = operator_actor.Operator(scenario.deployment, f'op{who}')
            operator.change(lambda config: label(config, f'10.9.9.{number}:1', by='1'))
        if number < 8:
            scenario.later(ms(500), collide, number + 1)

    collide(0)
    return ms(6000)


@fault
def invalid_config(scenario: 'days.Scenario') -> datetime.timedelta:
    """An operator applies configurations with an invalid rule."""

    def apply(document: dict | None) -> None:
        """Apply the configuration that was read, with a rule whose pool does not exist."""
        if document:
            config = copy.deepcopy(document['config'])
            label(config, '10.9.9.200:1', half='applied')
            config['rules']['broken'] = {'pool': 'nowhere', 'order': -1}
            scenario.deployment.operator.apply(config, document['generation'])

    scenario.repeat(4, ms(700), scenario.deployment.operator.read, apply)
    return ms(4000)


@fault
def large_config(scenario: 'days.Scenario') -> datetime.timedelta:
    """Four thousand labels are added and later dropped."""
    labels = {f'10.8.{number >> 8}.{number & 255}:1': {'note': 'x' * 100} for number in range(LARGE_CONFIG_LABEL_COUNT)}
    operator = scenario.deployment.operator
    operator.change(lambda config: config['labels'].update(labels))
    scenario.later(ms(6000), operator.change, lambda config: [config['labels'].pop(name, None) for name in labels])
    return ms(8000)
