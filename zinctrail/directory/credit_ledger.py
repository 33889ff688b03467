"""The credit ledger of a pool, at the directory that owns it.

Each proxy is granted credit for a short lease: the number of requests that it may
have in flight at each endpoint. The grants of all proxies never add up to more
than an endpoint's capacity: credit that a proxy may still use under an older grant
counts until the proxy confirms that it applies the newer one (docs/notes/credit.md).
"""

import dataclasses
import datetime
import typing

import zinctrail.control.routing_table as routing_table
import zinctrail.control.rows as rows
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

# Concurrent requests, by the endpoint's incarnation.
Credit = dict[str, int]
# The form in which a ledger is handed over: {proxy: [credit that counts as granted, credit in use]}.
ExportedLedger = dict[str, list[Credit]]


@dataclasses.dataclass
class Demand:
    """A proxy's request for credit from a pool's ledger."""

    # The sequence number of the last grant that the proxy applied; 0 if none.
    applied_sequence: int
    # Requests in flight now.
    in_use: Credit
    # The concurrent requests that it wants to send: {home regions, joined by commas; empty for any: count}.
    wanted: dict[str, int]
    # Whether it has no waiting requests and only wants credit in reserve.
    is_idle: bool
    # The load that endpoints reported, as a ratio to their capacity.
    load: dict[str, float]


@dataclasses.dataclass
class Allocation:
    """One proxy's share of a pool's credit."""

    # An upper bound of the credit that the proxy may use under any grant that has not expired.
    max_granted: Credit = dataclasses.field(default_factory=dict)
    in_use: Credit = dataclasses.field(default_factory=dict)
    wanted: dict[str, int] = dataclasses.field(default_factory=dict)
    is_idle: bool = False
    # Whether it was granted less than its requests need.
    is_short: bool = False
    # The number of grants that were sent, and the last of them.
    sequence: int = 0
    last_grant: Credit = dataclasses.field(default_factory=dict)
    expires_at: datetime.timedelta = durations.ZERO

    def reserved(self, incarnation: str) -> int:
        """Return the credit at an endpoint that cannot be granted to another proxy."""
        return max(self.max_granted.get(incarnation, 0), self.in_use.get(incarnation, 0))


def _elementwise_max(one: Credit, other: Credit) -> Credit:
    return {key: max(one.get(key, 0), other.get(key, 0)) for key in {**one, **other}}


class CreditLedger:
    """Grants a pool's credit to proxies, for as long as this process owns the pool under one fencing token."""

    def __init__(self, pool: str, fencing_token: int, bounds: settings.Settings):
        self.pool = pool
        self.fencing_token = fencing_token
        self.settings = bounds
        self.allocations: dict[str, Allocation] = {}
        # While collecting reports: when every older grant will have expired, and the proxies that have yet to report.
        self.ready_at: datetime.timedelta | None = None
        self.unreported: set[str] = set()
        self.load: dict[str, float] = {}

    # -- takeover ---------------------------------------------------------

    def start_collecting(self, now: datetime.timedelta, proxies: typing.Iterable[str]) -> None:
        """Start collecting reports after a takeover: nothing is granted until all older grants are known or expired."""
        self.ready_at = now + self.settings.credit
        self.unreported = set(proxies)

    def record_report(self, now: datetime.timedelta, proxy: str, granted: Credit, in_use: Credit) -> None:
        """Record the credit that a proxy holds under grants of the former owner."""
        allocation = self.allocations.setdefault(proxy, Allocation())
        allocation.max_granted = dict(granted)
        allocation.last_grant = dict(granted)
        allocation.in_use = dict(in_use)
        allocation.expires_at = now + self.settings.credit
        self.unreported.discard(proxy)

    def is_ready(self, now: datetime.timedelta) -> bool:
        """True if the ledger may grant credit."""
        return self.ready_at is None or not self.unreported or now >= self.ready_at

    def export(self) -> ExportedLedger:
        """Export the ledger for the next owner, so that it does not have to collect reports."""
        return {
            proxy: [
                {i: allocation.reserved(i) for i in {**allocation.max_granted, **allocation.in_use}},
                allocation.in_use,
            ]
            for proxy, allocation in self.allocations.items()
        }

    def import_from(self, now: datetime.timedelta, exported: ExportedLedger) -> None:
        """Import the former owner's exported ledger."""
        for proxy, (granted, in_use) in exported.items():
            self.record_report(now, proxy, granted, in_use)
        self.unreported = set()

    # -- granting ---------------------------------------------------------

    def grant(
        self, now: datetime.timedelta, proxy: str, demand: Demand, routes: routing_table.RoutingTable
    ) -> Credit | None:
        """Grant a proxy the credit that replaces its earlier grants; None while collecting reports."""
        if not self.is_ready(now):
            return None
        self._expire(now)
        allocation = self.allocations.setdefault(proxy, Allocation())
        if demand.applied_sequence == allocation.sequence:
            allocation.max_granted = dict(allocation.last_grant)
        else:
            allocation.max_granted = _elementwise_max(allocation.max_granted, allocation.last_grant)
        allocation.in_use, allocation.wanted, allocation.is_idle = demand.in_use, demand.wanted, demand.is_idle
        self.load.update(demand.load)
        credit = self._allocate(proxy, allocation, routes)
        allocation.sequence += 1
        allocation.last_grant = credit
        # Until the proxy confirms that it applied the new grant, it may still use the old one.
        allocation.max_granted = _elementwise_max(allocation.max_granted, credit)
        allocation.expires_at = now + self.settings.credit
        return credit

    def _expire(self, now: datetime.timedelta) -> None:
        for proxy, allocation in list(self.allocations.items()):
            if allocation.expires_at > now:
                continue
            # Requests that were sent under an expired grant stay in flight for a while and count for another lease.
            if allocation.expires_at + self.settings.credit <= now or not allocation.in_use:
                del self.allocations[proxy]
            else:
                allocation.max_granted = {}

    def _capacity(self, incarnation: str, routes: routing_table.RoutingTable) -> int:
        capacity = routes.capacity(incarnation, self.pool)
        load = self.load.get(incarnation, 0)
        # Only an endpoint that reports a load above its capacity gets less, until it has recovered.
        return max(1, int(capacity / load)) if capacity and load > 1 else capacity

    def _allocate(self, proxy: str, allocation: Allocation, routes: routing_table.RoutingTable) -> Credit:
        others = [other for node, other in self.allocations.items() if node != proxy]
        free = self._free_credit(others, routes)
        # Credit in use comes first, since it cannot be granted to another proxy.
        credit = {i: min(count, free[i]) for i, count in allocation.in_use.items() if i in free}
        allocation.is_short = False
        # An idle proxy must not reserve the last credit while another proxy is short of it.
        if allocation.is_idle and any(other.is_short for other in others):
            return credit
        for home, wanted in sorted(allocation.wanted.items()):
            wanted_of_others = sum(other.wanted.get(home, 0) for other in others)
            is_satisfied = self._allocate_for_home(home, wanted, wanted_of_others, free, credit, routes)
            if not is_satisfied and not allocation.is_idle:
                allocation.is_short = True
        return credit

    def _free_credit(self, others: list[Allocation], routes: routing_table.RoutingTable) -> Credit:
        """Return {incarnation: credit that is not reserved for other proxies} of each usable endpoint."""
        return {
            i: max(0, self._capacity(i, routes) - sum(other.reserved(i) for other in others))
            for i in routes.pool_endpoints(self.pool)
            if routes.is_usable(i)
        }

    def _allocate_for_home(
        self,
        home: str,
        wanted: int,
        wanted_of_others: int,
        free: Credit,
        credit: Credit,
        routes: routing_table.RoutingTable,
    ) -> bool:
        """Add the credit wanted in the home regions to `credit`; True if all of it could be granted."""
        regions = [region for region in home.split(',') if region]
        endpoint_rows: dict[str, rows.EndpointRow] = routes.replica.get('endpoints')
        endpoints = [i for i in free if not regions or routes.region_of(endpoint_rows[i]['cell']) in regions]
        capacity = {i: self._capacity(i, routes) for i in endpoints}
        target = _fair_share(wanted, wanted_of_others, sum(capacity.values()))

        def utilization(incarnation: str) -> tuple[float, str]:
            used = credit.get(incarnation, 0) + capacity[incarnation] - free[incarnation]
            return used / capacity[incarnation], incarnation

        granted = sum(credit.get(i, 0) for i in endpoints)
        while granted < target:
            with_free_credit = [i for i in endpoints if credit.get(i, 0) < free[i]]
            if not with_free_credit:
                break
            # The endpoint with the lowest utilization is next, so that requests spread over the pool.
            least_utilized = min(with_free_credit, key=utilization)
            credit[least_utilized] = credit.get(least_utilized, 0) + 1
            granted += 1
        return granted >= target


def _fair_share(wanted: int, wanted_of_others: int, capacity: int) -> int:
    """Return the credit due to one proxy: under scarcity in proportion to its demand, so that no proxy is starved."""
    wanted_of_all = wanted_of_others + wanted
    if wanted_of_all <= capacity:
        return wanted
    return max(1, wanted * capacity // max(1, wanted_of_all))
