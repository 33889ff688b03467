"""A directory that serves lookups from a state that the scenario defines; its lease never expires."""

import datetime
import random
import typing

import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.control.proxy_lookup as proxy_lookup
import zinctrail.control.routing_table as routing_table
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

# {host: the home regions of each of its rules}.
HOMES: dict[str, list[list[str]]] = {
    'any': [[]],
    'h01': [['r0', 'r1']],
    'h1': [['r1'], []],
    'h0.1': [['r0'], ['r1']],
    'h01.12': [['r0', 'r1'], ['r1', 'r2']],
}
MAX_INGRESSES = 64


def rule_rows() -> dict[str, dict[str, typing.Any]]:
    """Return the items of all rules."""
    rules = {}
    for host, homes in HOMES.items():
        for number, regions in enumerate(homes):
            row = {'name': f'{host}-{number}', 'host': host, 'prefix': f'/{number}/', 'home': regions, 'pool': 's'}
            rules[f'rules/{host}-{number}'] = {'v': 1, 'row': row}
    return rules


def proxy_row(name: str, zone: str) -> dict[str, typing.Any]:
    """Return the row of a proxy, whose ingress address is its name."""
    return {'role': 'prox', 'addr': f'{name}:1', 'http': f'{name}:2', 'front': name, 'cell': zone, 'level': 2}


def three_regions() -> dict[str, dict[str, typing.Any]]:
    """Return {name: row} of three proxies in each of r0, r1 and r2: two in zone a and one in zone b."""
    return {
        f'r{region}{place}': proxy_row(f'r{region}{place}', f'r{region}/{place[0]}')
        for region in range(3)
        for place in ('a1', 'a2', 'b1')
    }


class LookupMember:
    """A member that serves lookups from a state; implements `proxy_lookup.LookupNode`."""

    def __init__(self, state: replica.Replica):
        self.node = 'directory'
        self.location = node_location.NodeLocation('d:1', 'd:2', 'r0/a', [])
        self.settings = settings.Settings()
        self.rng = random.Random(1)
        self.replica = state
        self.routes = routing_table.RoutingTable(state)
        self.proxy_lookup = proxy_lookup.ProxyLookup(self)

    def has_lease(self) -> bool:
        """Return True: the member may always act on its state."""
        return True

    def lease_remaining(self) -> datetime.timedelta:
        """Return how long the lease remains valid."""
        return durations.ms(1000)

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log nothing."""


class LookupDirectory(LookupMember):
    """A directory whose state has the rules of HOMES, and proxies that a scenario adds and removes."""

    def __init__(self, proxies: dict[str, dict[str, typing.Any]]):
        super().__init__(replica.Replica())
        self.version = 0
        self.commit(tables={'members': dict(proxies), 'items': rule_rows(), 'cells': {}})

    def commit(self, **content) -> None:
        """Commit a version of the state, given as `tables` or `rows`."""
        self.version += 1
        self.replica.accept((1, self.version), **content)
        self.replica.commit((1, self.version))
        self.routes.invalidate()

    def leave(self, names: list[str]) -> None:
        """Mark proxies as shutting down."""
        members = self.replica.get('members')
        self.commit(rows=[['members', name, dict(members[name], leaving=True)] for name in names])

    def lookup_responses(self, zone: str, host: str, count: int = 100) -> list[list[str]]:
        """Return the ingresses that each of `count` lookup responses names."""
        return [self.proxy_lookup.find_ingresses(zone, MAX_INGRESSES, host)['proxies'] for _ in range(count)]
