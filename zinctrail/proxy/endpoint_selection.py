"""Chooses the endpoint that gets a request of open traffic."""

import typing

import zinctrail.consensus.member_roles as member_roles
import zinctrail.control.configuration_items as configuration_items
import zinctrail.control.rows as rows
import zinctrail.proxy.endpoint_view as endpoint_view
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record

Request = request_record.Request
# What an endpoint costs for standing in another zone, or another region, as shares of a full load.
OTHER_ZONE_COST = 0.12
OTHER_REGION_COST = 0.75
# What an idle endpoint costs: above zero, so that among idle ones the faster is chosen.
IDLE_COST = 0.25
# Random part of the cost, so that proxies with the same view do not all choose the same endpoint.
RANDOM_COST = 0.05
# Up to which load an endpoint is chosen, as a multiple of its slots: it queues a few requests.
MAX_LOAD = 1.5
# How many connections this proxy may have to one endpoint where its pool does not say.
DEFAULT_CONNECTIONS = 64


class Candidate(typing.NamedTuple):
    """An endpoint that may be chosen in a pool, with what is the same for every request."""

    incarnation: str
    row: rows.EndpointRow
    view: endpoint_view.EndpointView
    region: str
    distance_cost: float
    # Whether all proxies together saw it fail too often of late (control/outlier_detection.py).
    is_ejected: bool


class EndpointSelection(proxy_part.ProxyPart):
    """The candidates of each pool, and what was learned of each endpoint."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up before the first version of the state."""
        super().__init__(proxy)
        # {incarnation: what this proxy learned of it}.
        self.endpoint_views: dict[str, endpoint_view.EndpointView] = {}
        # {pool: its candidates}, for the version in force.
        self.candidates: dict[str, list[Candidate]] = {}
        # {pool: how long its requests usually take, in milliseconds}.
        self.typical_ms: dict[str, float] = {}

    def view_of(self, incarnation: str) -> endpoint_view.EndpointView:
        """What this proxy learned of an endpoint."""
        view = self.endpoint_views.get(incarnation)
        if view is None:
            view = self.endpoint_views[incarnation] = endpoint_view.EndpointView()
        return view

    def forget_candidates(self) -> None:
        """A version of the state came into force: the candidates of each pool are gathered anew."""
        self.candidates.clear()

    def forget_removed_views(self) -> None:
        """Drop the views of endpoints that are gone and have no work of ours."""
        endpoints = self.proxy.replica.get('endpoints')
        for incarnation in [i for i, v in self.endpoint_views.items() if i not in endpoints and not v.in_use]:
            del self.endpoint_views[incarnation]

    def choose_share(self, shares: list[configuration_items.ShareRow]) -> str:
        """A pool of a rule that splits its traffic, at random by weight."""
        remaining = self.proxy.rng.random() * sum(share['weight'] for share in shares)
        for share in shares:
            remaining -= share['weight']
            if remaining < 0:
                return share['pool']
        return shares[-1]['pool']

    def connection_share(self, pool: str) -> int:
        """How many connections to one endpoint of the pool are ours: what it takes is for all proxies."""
        limit = (self.proxy.routes.item(f'pools/{pool}') or {}).get('connections')
        return (
            max(1, limit // max(1, len(self.proxy.routes.members(member_roles.PROXY))))
            if limit
            else DEFAULT_CONNECTIONS
        )

    def choose_endpoint(self, request: Request) -> str | None:
        """The incarnation that costs least: near, fast, with room, and without failures of late.

        An endpoint that is ejected, suspect or unresponsive is chosen only
        where there is no other: the least bad one may still serve. None where
        no endpoint has room. Run for every request and hedge, over the whole pool.
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
            # Unresponsive ones too: an endpoint that lost its power closes no connection, and would get requests
            # until the first of them times out.
            if is_ejected or view.suspect_until > now or view.is_unresponsive(now, typical_ms):
                if fallback_cost is None or cost < fallback_cost:
                    fallback, fallback_cost = incarnation, cost
            elif best_cost is None or cost < best_cost:
                best, best_cost = incarnation, cost
        return best or fallback

    def candidates_of(self, pool: str) -> list[Candidate]:
        """The usable endpoints of a pool. Kept until the next version: every request goes through all of them."""
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
        """An endpoint as a candidate of this proxy, which stands in `own_region`."""
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
        """Whether the pool has endpoints that may get the request from this proxy, with room or not."""
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
