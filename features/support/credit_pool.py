"""A pool's credit ledger, and proxies that ask it for credit."""

import typing

import zinctrail.consensus.replica as replica
import zinctrail.control.routing_table as routing_table
import zinctrail.directory.credit_ledger as credit_ledger
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

POOL = 'p'
FENCE = 1
REQUEST_GAP = durations.ms(100)


def endpoint_row(index: int, text: str) -> list:
    """The row of an endpoint that is written as `SLOTS [cold LEFT] [draining] [evacuated]`."""
    words = text.split()
    row: dict[str, typing.Any] = {
        'addr': f'10.0.0.{index + 1}:80',
        'service': 's',
        'cell': 'gone' if 'evacuated' in words else 'c',
        'labels': {},
        'slots': int(words[0]),
        'state': 'draining' if 'draining' in words else 'ready',
        'cold': int(words[2]) if 'cold' in words else 0,
    }
    return ['endpoints', f'e{index}', row]


class CreditPool:
    """The ledger of a pool of endpoints, written with commas between them."""

    def __init__(self, endpoints: str):
        rows = [['conf', f'pools/{POOL}', {'service': 's'}], ['cells', 'gone', {'evacuated': True}]]
        rows += [endpoint_row(index, text) for index, text in enumerate(endpoints.split(','))]
        state = replica.Replica()
        state.accept((1, 1), rows=rows)
        state.commit((1, 1))
        self.routes = routing_table.RoutingTable(state)
        self.ledger = credit_ledger.CreditLedger(POOL, FENCE, settings.Settings())
        self.now = durations.ZERO
        # By proxy: the number of the newest grant it has applied, and what it was granted of each endpoint.
        self.applied: dict[str, int] = {}
        self.grants: dict[str, dict[str, int]] = {}

    def request(self, proxy: str, need: int, is_lost: bool = False, is_idle: bool = False) -> dict[str, int] | None:
        """What a proxy with so many waiting requests is granted of each endpoint; None if the ledger grants nothing yet.

        A grant that is lost on its way is not applied by the proxy.
        """
        self.now += REQUEST_GAP
        demand = credit_ledger.Demand(self.applied.get(proxy, 0), {}, {'': need}, is_idle, {})
        grant = self.ledger.grant(self.now, proxy, demand, self.routes)
        if grant is None:
            return None
        if is_lost:
            # What it had, because as far as the ledger's owner knows, what was sent may have been taken.
            self.grants[proxy] = self.grants.get(proxy, {})
        else:
            self.grants[proxy] = grant
            self.applied[proxy] = self.ledger.allocations[proxy].sequence
        return grant

    def requests(self, needs: str) -> None:
        """Proxies p0, p1 and so on ask in turn; their needs are written with commas between them."""
        for index, need in enumerate(needs.split(',')):
            self.request(f'p{index}', int(need))
