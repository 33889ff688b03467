"""A pool's credit ledger, and proxies that request credit from it."""

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
    """Return the row of an endpoint that is written as `SLOTS [cold LEFT] [draining] [evacuated]`."""
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
    """The ledger of a pool, whose endpoints are written with commas between them."""

    def __init__(self, endpoints: str):
        rows = [['conf', f'pools/{POOL}', {'service': 's'}], ['cells', 'gone', {'evacuated': True}]]
        rows += [endpoint_row(index, text) for index, text in enumerate(endpoints.split(','))]
        state = replica.Replica()
        state.accept((1, 1), rows=rows)
        state.commit((1, 1))
        self.routes = routing_table.RoutingTable(state)
        self.ledger = credit_ledger.CreditLedger(POOL, FENCE, settings.Settings())
        self.now = durations.ZERO
        # By proxy: the number of the newest grant that it applied, and its granted slots by endpoint.
        self.applied: dict[str, int] = {}
        self.grants: dict[str, dict[str, int]] = {}

    def request(self, proxy: str, need: int, is_lost: bool = False, is_idle: bool = False) -> dict[str, int] | None:
        """Request credit for `need` waiting requests; return the grant by endpoint, None if the ledger grants nothing yet.

        A proxy does not apply a grant that is lost on its way.
        """
        self.now += REQUEST_GAP
        demand = credit_ledger.Demand(self.applied.get(proxy, 0), {}, {'': need}, is_idle, {})
        grant = self.ledger.grant(self.now, proxy, demand, self.routes)
        if grant is None:
            return None
        if is_lost:
            # Its earlier grant stays: the ledger's owner, for its part, must assume that the lost one was applied.
            self.grants[proxy] = self.grants.get(proxy, {})
        else:
            self.grants[proxy] = grant
            self.applied[proxy] = self.ledger.allocations[proxy].sequence
        return grant

    def requests(self, needs: str) -> None:
        """Request credit for proxies p0, p1 and so on in turn; their needs are written with commas between them."""
        for index, need in enumerate(needs.split(',')):
            self.request(f'p{index}', int(need))
