"""Faults and orders of operators: evacuations, conflicting, invalid and large changes, lost replies."""

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

LARGE_CONFIG_LABELS = 4000


@fault
def evacuate(scenario: 'days.Scenario') -> datetime.timedelta:
    """A cell is evacuated and taken back."""
    cell = scenario.rng.choice(scenario.deployment.cells)
    scenario.deployment.operator.evacuate(cell)
    scenario.later(ms(10000), scenario.deployment.operator.evacuate, cell, False)
    return ms(14000)


@fault
def homes_change(scenario: 'days.Scenario') -> datetime.timedelta:
    """Callers repeat an id by hand with other home regions than they first gave."""
    for caller in scenario.deployment.callers:
        for _ in range(12):
            scenario.later(ms(scenario.rng.uniform(0, 6000)), _repeat_with_other_homes, scenario, caller)
    return ms(8000)


def _repeat_with_other_homes(scenario: 'days.Scenario', caller: caller_actor.Caller) -> None:
    """Send three attempts of one request id by hand, each with a random home region."""
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
        scenario.later(after, caller.send_by_hand, proxy, request_id, service, attempt, [home])


def label(config: dict, address: str, **labels) -> None:
    """Set the labels of an address in a configuration."""
    config['labels'].update({address: labels})


@fault
def apply_lost(scenario: 'days.Scenario') -> datetime.timedelta:
    """An operator asks again with the same id while replies are lost, and another changes things between."""
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
    """A pool's selector goes from everywhere to one cell and back."""
    service = scenario.rng.choice(sorted(scenario.shape['services']))
    cells = {endpoint.cell for endpoint in scenario.deployment.endpoints if endpoint.service == service}
    cell = scenario.rng.choice(sorted(cells))
    operator = scenario.deployment.operator
    operator.change(lambda config: config['pools'][service].update(selector={'cell': cell}))
    scenario.later(ms(8000), operator.change, lambda config: config['pools'][service].pop('selector', None))
    return ms(11000)


@fault
def operators_collide(scenario: 'days.Scenario') -> datetime.timedelta:
    """Two operators set the same label to the same value at once, again and again."""

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
    """Configurations with an invalid rule are applied."""

    def apply(document: dict | None) -> None:
        """Apply what was read with a rule that names no pool."""
        if document:
            config = copy.deepcopy(document['config'])
            label(config, '10.9.9.200:1', half='applied')
            config['rules']['broken'] = {'pool': 'nowhere', 'order': -1}
            scenario.deployment.operator.apply(config, document['generation'])

    scenario.repeat(4, ms(700), scenario.deployment.operator.read, apply)
    return ms(4000)


@fault
def large_config(scenario: 'days.Scenario') -> datetime.timedelta:
    """Thousands of labels are added and dropped."""
    labels = {f'10.8.{number >> 8}.{number & 255}:1': {'note': 'x' * 100} for number in range(LARGE_CONFIG_LABELS)}
    operator = scenario.deployment.operator
    operator.change(lambda config: config['labels'].update(labels))
    scenario.later(ms(6000), operator.change, lambda config: [config['labels'].pop(name, None) for name in labels])
    return ms(8000)
