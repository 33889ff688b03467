"""Operators' commands: changes of rules and pools, with the responses to them."""

import datetime
import json
import random
import typing

import zinctrail.simulation.open_actors.terms as terms

# The share of responses to operators that are lost.
REPLY_LOSS = 0.5
RULES = 6
POOLS = 3
FIRST_VERSION = 100
REMOVE_RULE_SHARE = 0.2
# Thresholds of a random draw: below the first a pool is set; from there up to the second one is removed.
SET_POOL_BELOW, REMOVE_POOL_BELOW = 0.3, 0.4


class ItemChange(typing.NamedTuple):
    """The change of one configuration item by a command."""

    key: str
    version: int
    # None if the item is removed.
    row: dict | None


class Response(typing.NamedTuple):
    """The response to one copy of a command."""

    sent_at: datetime.timedelta
    responded_at: datetime.timedelta
    status: int


class Command:
    """A change of configuration items, with the response to each copy that was sent."""

    def __init__(self, document: dict):
        self.document = document
        self.body = json.dumps(document).encode()
        self.responses: list[Response] = []

    def items(self) -> list[ItemChange]:
        """Return the changes of the single items."""
        found = []
        for kind in ('rules', 'pools'):
            for row in self.document['set'].get(kind, ()):
                found.append(ItemChange(f'{kind}/{row["name"]}', row['version'], row))
            for row in self.document['drop'].get(kind, ()):
                found.append(ItemChange(f'{kind}/{row["name"]}', row['version'], None))
        return found

    def acknowledgements(self) -> list[Response]:
        """Return the responses with status 200."""
        return [response for response in self.responses if response.status == 200]

    def __repr__(self) -> str:
        items = [(item.key, item.version) for item in self.items()]
        return f'{items} {[response.status for response in self.responses]}'


class Changes:
    """Draws changes whose versions are close to the newest, so that operators' changes collide under one version."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.version = FIRST_VERSION

    def draw(self) -> dict:
        """Return the body of a random change."""
        self.version += self.rng.choice((0, 0, 1, 2))
        version = self.version - self.rng.choice((0, 0, 0, 1, 5))
        document: dict = {'set': {'rules': [], 'pools': []}, 'drop': {'rules': [], 'pools': []}}
        for number in self.rng.sample(range(RULES), self.rng.choice((1, 1, 2, 3))):
            self.draw_rule(document, f'race{number}', version)
        self.draw_pool(document, version)
        return document

    def draw_rule(self, document: dict, name: str, version: int) -> None:
        """Add the setting or the removal of a rule to a change."""
        if self.rng.random() < REMOVE_RULE_SHARE:
            document['drop']['rules'].append({'name': name, 'version': version})
        else:
            document['set']['rules'].append(self.rule(name, version))

    def draw_pool(self, document: dict, version: int) -> None:
        """Add the setting or the removal of a pool to a change, or neither."""
        drawn = self.rng.random()
        name = f'pool{self.rng.randrange(POOLS)}'
        if drawn < SET_POOL_BELOW:
            row = {'name': name, 'connections': self.rng.randrange(1, 4), 'version': version}
            document['set']['pools'].append(row)
        elif drawn < REMOVE_POOL_BELOW:
            document['drop']['pools'].append({'name': name, 'version': version})

    def rule(self, name: str, version: int) -> dict:
        """Return a rule with a random pool and timeout."""
        pools = [*sorted(terms.SERVICES), *(f'pool{number}' for number in range(POOLS))]
        return {
            'name': name,
            'host': f'{name}.example',
            'prefix': '/',
            'once': False,
            'timeout_ms': 1000 + self.rng.randrange(4),
            'aim_ms': 500,
            'rank': 1,
            'attempts': 2,
            'pool': self.rng.choice(pools),
            'version': version,
        }
