"""Endpoint selection for requests of open traffic."""

import typing

import zinctrail.consensus.member_roles as member_roles
import zinctrail.control.configuration_items as configuration_items
import zinctrail.control.rows as rows
import zinctrail.proxy.endpoint_view as endpoint_view
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record

Request = request_record.Request
# The cost of an endpoint in another zone or another region, as fractions of a full load.
OTHER_ZONE_COST = 0.12
OTHER_REGION_COST = 0.75
# The base cost of an idle endpoint. It is above zero, so that the fastest of several idle endpoints is chosen.
IDLE_COST = 0.25
# The random part of the cost, so that proxies with the same view do not all choose the same endpoint.
RANDOM_COST = 0.05
# The load below which an endpoint is chosen, as a multiple of its slots; above 1, because it queues a few requests.
MAX_LOAD = 1.5
# How many connections this proxy may have to one endpoint if the pool sets no limit.
DEFAULT_CONNECTIONS = 64


class Candidate(typing.NamedTuple):
    """An endpoint that may be chosen in a pool, with the attributes that are the same for every request."""

    incarnation: str
    row: rows.EndpointRow
    view: endpoint_view.EndpointView
    region: str
    distance_cost: float
    # Whether the leader ejected it, because it failed too often by the reports of all proxies
    # (control/outlier_detection.py).
    is_ejected: bool


class EndpointSelection(proxy_part.ProxyPart):
    """Chooses endpoints, and holds the candidates of each pool and this proxy's view of each endpoint."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start without candidates, before the first version of the state."""
        super().__init__(proxy)
        # {incarnation: this proxy's view of it}.
        self.endpoint_views: dict[str, endpoint_view.EndpointView] = {}
        # {pool: its candidates}, for the current version of the state.
        self.candidates: dict[str, list[Candidate]] = {}
        # {pool: the smoothed latency of its requests, in milliseconds}.
        self.typical_ms: dict[str, float] = {}

    def view_of(self, incarnation: str) -> endpoint_view.EndpointView:
        """Return this proxy's view of an endpoint, creating it if necessary."""
        view = self.endpoint_views.get(incarnation)
        if view is None:
            view = self.endpoint_views[incarnation] = endpoint_view.EndpointView()
        return view

    def discard_candidates(self) -> None:
        """Discard the cached candidates of every pool, because a new version of the state was applied."""
        self.candidates.clear()

    def discard_removed_views(self) -> None:
        """Remove the views of endpoints that no longer exist and have no requests of this proxy in flight."""
        endpoints = self.proxy.replica.get('endpoints')
        for incarnation in [i for i, v in self.endpoint_views.items() if i not in endpoints and not v.in_use]:
            del self.endpoint_views[incarnation]

    def choose_share(self, shares: list[configuration_items.ShareRow]) -> str:
        """Return one of the pools among which a rule splits its traffic, at random by weight."""
        remaining = self.proxy.rng.random() * sum(share['weight'] for share in shares)
        for share in shares:
            remaining -= share['weight']
            if remaining < 0:
                return share['pool']
        return shares[-1]['pool']

    def connection_share(self, pool: str) -> int:
        """Return how many connections this proxy may have to one endpoint of the pool.

        The pool's limit is for all proxies together, so each has an equal share of it, but at least one.
        """
        limit = (self.proxy.routes.item(f'pools/{pool}') or {}).get('connections')
        return (
            max(1, limit // max(1, len(self.proxy.routes.members(member_roles.PROXY))))
            if limit
            else DEFAULT_CONNECTIONS
        )

    def choose_endpoint(self, request: Request) -> str | None:
        """Return the incarnation with the lowest cost, by distance, load, latency and recent failures.

        An endpoint that is ejected, suspect or unresponsive is chosen only if
        there is no other, because it may still serve the request. None if no
        endpoint has room. Runs for every request and hedge, over the whole pool.
        """
        best, best_cost, fallback, fallback_cost = None, None, None, None
        now, rng, slow_start = self.proxy.now, self.proxy.rng, self.proxy.slow_start
        connections = self.connection_share(request.pool)
        typical_ms = self.typical_ms.get(request.pool, 0.0)
        for incarnation, row, view, region, distance_cost, is_ejected in self.candidates_of(request.pool):
            if (
                incarnation in request.tried
                or view.backoff_until > now
                or request.allowed_regions
                and region not in request.allowed_regions
                or slow_start.is_throttled(incarnation, row)
            ):
                continue
            load = view.load(now) / row['slots']
            if load >= MAX_LOAD or view.in_use >= connections:
                continue
            cost = (load + IDLE_COST) * view.slowness(typical_ms) + view.recent_failures(now)
            cost += distance_cost + rng.random() * RANDOM_COST
            # Unresponsive endpoints are avoided too: one that lost power closes no connection, and would get requests
            # until the first of them times out.
            if is_ejected or view.suspect_until > now or view.is_unresponsive(now, typical_ms):
                if fallback_cost is None or cost < fallback_cost:
                    fallback, fallback_cost = incarnation, cost
            elif best_cost is None or cost < best_cost:
                best, best_cost = incarnation, cost
        return best or fallback

    def candidates_of(self, pool: str) -> list[Candidate]:
        """Return the usable endpoints of a pool.

        The list is cached until the next version of the state, because every request iterates over it.
        """
        candidates = self.candidates.get(pool)
        if candidates is None:
            routes = self.proxy.routes
            own_region = routes.region_of(self.proxy.location.cell)
            candidates = self.candidates[pool] = [
                self.candidate(incarnation, own_region)
                for incarnation in routes.service_endpoints(pool)
                if routes.is_usable(incarnation)
            ]
        return candidates

    def candidate(self, incarnation: str, own_region: str) -> Candidate:
        """Return an endpoint as a candidate of this proxy, which is in `own_region`."""
        routes = self.proxy.routes
        row = proxy_part.endpoint_row(self.proxy, incarnation)
        region = routes.region_of(row['cell'])
        if region != own_region:
            distance_cost = OTHER_REGION_COST
        else:
            distance_cost = OTHER_ZONE_COST if row['cell'] != self.proxy.location.cell else 0
        view = self.view_of(incarnation)
        return Candidate(incarnation, row, view, region, distance_cost, routes.is_ejected(incarnation))

    def has_candidates(self, request: Request) -> bool:
        """True if the pool has endpoints that this proxy may send the request to, whether they have room or not."""
        routes = self.proxy.routes
        endpoints: dict[str, rows.EndpointRow] = self.proxy.replica.get('endpoints')
        for incarnation in routes.service_endpoints(request.pool):
            row = endpoints[incarnation]
            if (
                routes.is_usable(incarnation)
                and (not request.allowed_regions or routes.region_of(row['cell']) in request.allowed_regions)
                and not (row.get('chill') and self.proxy.slow_start.warm_up_interval(incarnation, row) is None)
            ):
                return True
        return False
