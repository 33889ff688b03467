"""Operators' commands in scenarios of open traffic: changes of rules, conflicts, invalid changes, evacuations."""

import copy
import datetime
import json
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.open_actors.operator as open_operator
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_days as open_days

ms = durations.ms
fault = registry.OPEN.register

BIG_CONFIG_RULES = 150
# Keys that the simulation adds to its copy of a rule; they are not part of the item.
INTERNAL_KEYS = ('lively',)


# -- changes of one rule -----------------------------------------------------------


def changed(scenario: 'open_days.Scenario', rule: dict, **more) -> dict:
    """Return a rule with some fields changed, under a new version."""
    row = {
        key: value
        for key, value in rule.items()
        if key not in INTERNAL_KEYS and (key != 'pool' or 'shares' not in more)
    }
    if 'pool' in more:
        row.pop('shares', None)
    return {**row, 'version': scenario.deployment.next_version(), **more}


def other_service(scenario: 'open_days.Scenario', rule: dict) -> str:
    """Return a random service that the rule does not route to."""
    current = terms.pools_of(rule)
    return scenario.rng.choice([service for service in sorted(terms.SERVICES) if service not in current])


def change_timeout(scenario: 'open_days.Scenario') -> None:
    """Change the timeout of a random rule."""
    rule = scenario.random_rule()
    timeout_ms = rule['timeout_ms'] + scenario.rng.choice((-100, 100, 200))
    scenario.deployment.set_rules([changed(scenario, rule, timeout_ms=timeout_ms)])


def move(scenario: 'open_days.Scenario') -> None:
    """Route a random rule to another service."""
    rule = scenario.random_rule()
    pool = other_service(scenario, rule)
    scenario.deployment.set_rules([changed(scenario, rule, pool=pool)])


def split(scenario: 'open_days.Scenario') -> None:
    """Split a random rule's traffic between two services."""
    rule = scenario.random_rule()
    one, other = scenario.rng.sample(sorted(terms.SERVICES), 2)
    shares = [{'pool': one, 'weight': 9}, {'pool': other, 'weight': 1}]
    scenario.deployment.set_rules([changed(scenario, rule, shares=shares)])


def _new_rule(scenario: 'open_days.Scenario') -> dict:
    """Return a copy of a random rule with its own name, prefix and host."""
    rule = scenario.random_rule()
    number = scenario.world.sequence
    return changed(scenario, rule, name=f'r-n{number}', prefix=f'/n{number}/', host=f'n{number % 3}.example')


def add(scenario: 'open_days.Scenario') -> None:
    """Add a rule."""
    scenario.deployment.set_rules([_new_rule(scenario)])


def add_and_drop(scenario: 'open_days.Scenario') -> None:
    """Add a rule, drop it soon after, and continue to send requests for it."""
    rule = _new_rule(scenario)
    scenario.deployment.set_rules([rule])

    def drop() -> None:
        """Drop the rule, and continue to send requests for it."""
        dropped = dict(rule, version=scenario.deployment.next_version())
        scenario.deployment.set_rules([], [dropped])
        # These requests show which version is in force at the proxies.
        scenario.repeat(30, ms(300), lambda: scenario.rng.choice(scenario.deployment.clients).send_one(rule))

    scenario.later(ms(2500), drop)


@fault
def config_change(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Three random kinds of changes: rules are rerouted, split, given other timeouts, added, or dropped."""
    for number, change in enumerate(scenario.rng.sample((move, split, change_timeout, add, add_and_drop), 3)):
        scenario.later(ms(1500) * number, change, scenario)
    return ms(9000)


@fault
def config_move(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A rule is rerouted to another service."""
    move(scenario)
    return ms(5000)


# -- conflicts ---------------------------------------------------------------------------


@fault
def config_race(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Two operators change the same rule at the same time, three times in succession."""
    scenario.repeat(3, ms(1200), race, scenario)
    return ms(5000)


def race(scenario: 'open_days.Scenario') -> None:
    """Send two versions of a rule at the same time, in either order, and the first one again later."""
    rule = scenario.random_rule()
    one = changed(scenario, rule, pool=other_service(scenario, rule))
    other = changed(scenario, rule, pool=other_service(scenario, rule))
    if scenario.rng.random() < 0.5:
        # The newer version is sent first and again later; without the swap the older is sent again after the newer.
        one, other = other, one
    deployment = scenario.deployment
    for number, row in enumerate((one, other)):
        deployment.set_rules([row], operator=open_operator.Operator(deployment, f'op{number}'))
    scenario.later(ms(900), deployment.set_rules, [copy.deepcopy(one)], (), open_operator.Operator(deployment, 'op2'))


@fault
def config_one_number(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Two operators send different contents of a rule under the same version, and resend them."""
    scenario.repeat(3, ms(1500), _same_version_twice, scenario)
    return ms(6500)


def _same_version_twice(scenario: 'open_days.Scenario') -> None:
    """Send two contents of a rule under one version, each twice at the same time and once more later."""
    rule = scenario.random_rule()
    one = changed(scenario, rule, pool=other_service(scenario, rule))
    other = dict(one, timeout_ms=one['timeout_ms'] + 50)
    for number, row in enumerate((one, other)):
        operator = open_operator.Operator(scenario.deployment, f'op{number}')
        scenario.deployment.set_rules([row], operator=operator)
        # The same command is sent a second time at once, to a node of its own choice, and once more later.
        scenario.deployment.set_rules([copy.deepcopy(row)], operator=operator)
        scenario.later(ms(1200), scenario.deployment.set_rules, [copy.deepcopy(row)], (), operator)


@fault
def old_version(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A superseded version of a rule is sent again, twice."""
    rule = scenario.random_rule()
    moved = changed(scenario, rule, pool=other_service(scenario, rule))
    scenario.deployment.set_rules([moved])
    again = {key: value for key, value in rule.items() if key not in INTERNAL_KEYS}
    for at_ms in (1000, 2500):
        operator = open_operator.Operator(scenario.deployment, 'op2')
        scenario.later(ms(at_ms), scenario.deployment.set_rules, [again], (), operator)
    return ms(5000)


# -- invalid and large changes ---------------------------------------------------------------


@fault
def bad_config(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """An operator sends four invalid changes."""
    scenario.repeat(4, ms(800), _send_invalid, scenario)
    return ms(4500)


def _send_invalid(scenario: 'open_days.Scenario') -> None:
    """Send one rule that is invalid in a random way, alone or after a valid rule."""
    rule = scenario.random_rule()
    good = changed(scenario, scenario.random_rule(), pool=other_service(scenario, rule))
    kinds = {
        'unknown_service': {'pool': 'nowhere'},
        'odd_kind': {'once': 'perhaps'},
        'aim_over': {'aim_ms': rule['timeout_ms'] + 60000},
        'no_host': {'host': ''},
        'no_weight': {'shares': [{'pool': 'search', 'weight': 0}]},
        'no_timeout': {'timeout_ms': 0},
        # Different content under a version that was acknowledged.
        'same_version': {'timeout_ms': rule['timeout_ms'] + 7, 'version': rule['version']},
    }
    kind = scenario.rng.choice([*sorted(kinds), 'cut_short'])
    bad = changed(scenario, rule, **kinds.get(kind, {}))
    sets = {'rules': [good, bad] if scenario.rng.random() < 0.5 else [bad]}
    body = None
    if kind == 'cut_short':
        body = json.dumps({'set': sets}).encode()[: -scenario.rng.randrange(2, 40)]
    changes = scenario.deployment.records.changes
    before = len(changes)
    scenario.deployment.operator.change(sets, length=ms(5000), body=body)
    for change in changes[before:]:
        change.is_invalid = True
        change.command.is_invalid = True


@fault
def big_config(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A large number of rules is added in one change."""
    base = scenario.random_rule()
    rules = [
        changed(
            scenario,
            base,
            name=f'big{scenario.world.sequence}-{number}',
            prefix=f'/b{number}/',
            host=f'b{number % 7}.example',
        )
        for number in range(BIG_CONFIG_RULES)
    ]
    scenario.deployment.set_rules(rules, lively=False)

    def send_one() -> None:
        """Send a request for one of the rules, once they are acknowledged."""
        if rules[0]['name'] in scenario.deployment.rules:
            scenario.rng.choice(scenario.deployment.clients).send_one(scenario.rng.choice(rules))

    for number in range(30):
        scenario.later(ms(3000 + 100 * number), send_one)
    return ms(7000)


# -- evacuations and lost replies ----------------------------------------------------------------


@fault
def evacuate(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A zone is evacuated, and its endpoints need to warm up when the evacuation ends."""
    return _evacuate(scenario, warms_up=True)


@fault
def evacuate_warm(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A zone is evacuated, and its endpoints are warm when the evacuation ends."""
    return _evacuate(scenario, warms_up=False)


def _evacuate(scenario: 'open_days.Scenario', warms_up: bool) -> datetime.timedelta:
    """Evacuate a random zone, and end the evacuation about nine seconds later."""
    zone = scenario.rng.choice(scenario.deployment.zones)
    scenario.deployment.operator.evacuate(zone)

    def end_evacuation() -> None:
        """Start the endpoints' warm-up if requested, and end the evacuation soon after."""
        if warms_up:
            # The warm-up starts before the evacuation ends, since endpoints cool down while they are idle.
            for endpoint in scenario.deployment.endpoints:
                if endpoint.up and endpoint.zone == zone:
                    endpoint.start_warm_up()
        scenario.later(ms(scenario.rng.choice((100, 1000))), scenario.deployment.operator.evacuate, zone, False)

    scenario.later(ms(9000), end_evacuation)
    return ms(13000)


@fault
def replies_lost(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Responses of the control plane to its callers are lost in transit, and the callers retry."""
    deployment = scenario.deployment
    users = [user.name for user in deployment.applications] + [user.name for user in deployment.endpoints]
    for name in [*users, 'op', 'op0', 'op1', 'op2']:
        scenario.world.response_loss[name] = 0.25
    scenario.later(ms(7000), scenario.world.response_loss.clear)
    change_timeout(scenario)
    return ms(8000)
