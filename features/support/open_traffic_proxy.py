"""A proxy for open traffic under test: a scenario writes its state, checks its effects and responds to its fetches.

Everything is in virtual time, without a network.
"""

import datetime
import random
import typing

import features.support.machine_host as machine_host
import zinctrail.consensus.node_location as node_location
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

START = durations.ms(60000)
# So late that the lease never expires by itself.
LEASE_END = durations.ms(10**9)
GRACE = durations.ms(6000)
RULE = {
    'name': 'x',
    'version': 1,
    'host': 'h',
    'prefix': '/',
    'once': False,
    'timeout_ms': 2000,
    'aim_ms': 1000,
    'rank': 0,
    'attempts': 2,
    'pool': 's',
}
POOL = {
    'name': 's',
    'version': 1,
    'health': '/health',
    'connections': 100,
    'cold_s': 3,
    'cold_per_s': 6,
}


def member_row(index: int) -> list:
    """Return the row of a proxy."""
    addresses = {'addr': f'10.0.1.{index}:1', 'http': f'10.0.1.{index}:2', 'front': f'10.0.1.{index}:3'}
    return ['members', f'm{index}', {'role': 'prox', 'cell': 'r/c', 'level': 1, **addresses}]


def endpoint_row(index: int, is_cold: bool) -> list:
    """Return the row of an endpoint; a cold one has yet to warm up."""
    row = {
        'addr': f'10.0.0.{index + 1}:80',
        'service': 's',
        'cell': 'r/c',
        'labels': {},
        'slots': 4,
        'state': 'ready',
        'cold': 0,
    }
    if is_cold:
        row['chill'] = True
    return ['endpoints', f'e{index}', row]


class OpenTrafficProxy(machine_host.TimedMachine):
    """Proxy number `number` of `proxies`, with one rule that routes to one pool of endpoints."""

    def __init__(
        self,
        endpoints: int,
        rule: dict[str, typing.Any] | None = None,
        pool: dict[str, typing.Any] | None = None,
        proxies: int = 1,
        seed: int = 1,
        are_cold: bool = False,
        number: int = 0,
    ):
        address = f'10.0.1.{number}'
        location = node_location.NodeLocation(f'{address}:1', f'{address}:2', 'r/c', [], f'{address}:3')
        super().__init__(proxy_node.Proxy(location, settings.Settings(grace=GRACE), random.Random(seed)), START)
        self.machine.now = self.now
        self.machine.retry_budgets.proxy_counts = proxy_node.retry_budget.ProxyCountHistory(
            self.machine.settings, durations.ZERO
        )
        self.machine.lease_until = LEASE_END
        self.rule = {**RULE, **(rule or {})}
        self.version = 1
        self.put_rows(
            [
                *(member_row(index) for index in range(proxies)),
                *(endpoint_row(index, are_cold) for index in range(endpoints)),
                ['items', 'rules/x', {'v': 1, 'row': self.rule}],
                ['items', 'pools/s', {'v': 1, 'row': {**POOL, **(pool or {})}}],
            ]
        )
        self.effects: list = []
        # (time, incarnation of the endpoint) of each request that was sent to an endpoint.
        self.sent: list[tuple[datetime.timedelta, str]] = []
        self.request_count = 0

    def put_rows(self, rows: list[list]) -> None:
        """Commit a version that changes rows, each a list of table, key and value."""
        replica = self.machine.replica
        replica.accept((1, self.version), rows=rows)
        replica.commit((1, self.version))
        self.version += 1
        self.machine.applied(rows)
        self.machine.out.clear()

    def feed(self, kind: str, *arguments) -> list:
        """Feed the machine an input; record its effects and return them."""
        outputs = self.machine.feed(kind, self.now, *arguments)
        self.effects += outputs
        self.sent += [(self.now, effect.incarnation) for effect in outputs if isinstance(effect, effects.HttpFetch)]
        return outputs

    def request(self, left: int = 2000, **headers: str) -> tuple[str, int]:
        """Feed the machine a request with `left` ms left; return its id."""
        self.request_count += 1
        request_id = ('front', self.request_count)
        headers = {'host': 'h', 'zt-id': f'id{self.request_count}', 'zt-left-ms': str(left), **headers}
        self.feed('front', request_id, effects.HttpRequest('GET', '/a', headers, b''))
        return request_id

    def fetches(self) -> list[effects.HttpFetch]:
        """Return the requests to endpoints among the recorded effects."""
        return [effect for effect in self.effects if isinstance(effect, effects.HttpFetch)]

    def response(self, request_id) -> effects.HttpResponse | None:
        """Return the response to a request; None if there is none yet."""
        responses = (effect for effect in self.effects if isinstance(effect, effects.HttpResponse))
        return next((response for response in responses if response.request_id == request_id), None)

    def reply(
        self,
        fetch: effects.HttpFetch,
        status: int = 200,
        fault: str = '',
        sent: bool = True,
        body: bytes = b'x',
        **headers: str,
    ) -> None:
        """Let the endpoint respond to a fetch; names of headers are written with underscores."""
        given = {name.replace('_', '-'): value for name, value in headers.items()}
        headers = {'zt-id': fetch.headers['zt-id'], 'zt-stamp': 's', **given}
        self.feed('fetched', fetch.fetch_id, effects.HttpResult(status, headers, body, sent, fault))
