"""Credit: leased permits for requests to the endpoints of a pool, and the queue of requests that wait for credit.

The pool's credit ledger, which a directory holds, grants credit for a short time
(directory/credit_ledger.py; docs/notes/credit.md).
"""

import collections
import dataclasses
import datetime

import zinctrail.consensus.codec as codec
import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.control.policies as policies
import zinctrail.control.rows as rows
import zinctrail.proxy.pipeline as pipeline
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations

Request = request_record.Request
# The minimum time between two credit requests for one pool.
REQUEST_INTERVAL = durations.ms(20)
# How many credit requests of one pool are remembered until their grant arrives.
MAX_PENDING_REQUESTS = 50
# Only the first of so many failures of policies is logged.
POLICY_LOG_EVERY = 1000


@dataclasses.dataclass(slots=True)
class PoolCredit:
    """Holds the credit of this proxy in one pool, and the demand for it."""

    # The fencing token of the ledger that grants the credit, and the sequence number of its last grant.
    fencing_token: int = 0
    grant_number: int = 0
    # {incarnation: how many requests this proxy may have in flight there}, valid until the lease ends.
    grants: dict[str, int] = dataclasses.field(default_factory=dict)
    lease_until: datetime.timedelta = durations.ZERO
    # {incarnation: how many requests of this proxy are in flight there}.
    in_use: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    # {number of a credit request: when it was sent}, oldest first, and when the last one was sent.
    requested: collections.OrderedDict[int, datetime.timedelta] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    requested_at: datetime.timedelta | None = None
    # Requests that wait for credit, oldest first.
    queue: collections.deque[Request] = dataclasses.field(default_factory=collections.deque)
    # {home regions, joined by commas: how many requests were sent recently}, decaying.
    recent_demand: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    # The smoothed latency of the pool's endpoints, in milliseconds; 0 before the first response.
    latency_ms: float = 0.0

    def has_credit(self) -> bool:
        """True if there is unused credit at any endpoint."""
        return any(self.in_use[incarnation] < granted for incarnation, granted in self.grants.items())


def home_key(request: Request) -> str:
    """Return the request's home regions as the key by which the ledger counts demand."""
    return ','.join(sorted(request.allowed_regions))


class CreditLeases(proxy_part.ProxyPart):
    """Leases credit, chooses endpoints that have credit, and queues requests until there is some."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start without credit."""
        super().__init__(proxy)
        self.pools: dict[str, PoolCredit] = {}
        # {pool: its compiled policy}.
        self.policies: dict[str, policies.Policy] = {}

    def pool_credit(self, pool: str) -> PoolCredit:
        """Return the credit record of a pool, creating it if necessary."""
        return self.pools.setdefault(pool, PoolCredit())

    # -- choosing an endpoint ---------------------------------------------

    def choose_endpoint(self, request: Request) -> str | None:
        """Return the incarnation to send the request to; None if no allowed endpoint has credit now.

        Endpoints of the own zone come first, then those of the own region; among equals the least used.
        The pool's own policy, if there is one, chooses among all candidates.
        """
        pool = self.pool_credit(request.pool)
        if pool.lease_until <= self.proxy.now:
            return None
        candidates = []
        routes, unreachable_until = self.proxy.routes, self.proxy.upstream.unreachable_until
        endpoints: dict[str, rows.EndpointRow] = self.proxy.replica.get('endpoints')
        own_zone = self.proxy.location.cell
        own_region = routes.region_of(own_zone)
        for incarnation, granted in pool.grants.items():
            if pool.in_use[incarnation] >= granted or incarnation in request.tried or not routes.is_usable(incarnation):
                continue
            if unreachable_until.get(incarnation, durations.ZERO) > self.proxy.now:
                continue
            zone = endpoints[incarnation]['cell']
            region = routes.region_of(zone)
            if request.allowed_regions and region not in request.allowed_regions:
                continue
            usage = pool.in_use[incarnation] / granted
            candidates.append(((region != own_region, zone != own_zone, usage, self.proxy.rng.random()), incarnation))
        if not candidates:
            return None
        candidates.sort()
        return self.choose_by_policy(request, [incarnation for _, incarnation in candidates]) or candidates[0][1]

    def choose_by_policy(self, request: Request, incarnations: list[str]) -> str | None:
        """Return the choice of the pool's own policy among these incarnations; None without a policy or if it fails."""
        source = (self.proxy.replica.get('conf', f'pools/{request.pool}') or {}).get('policy')
        if source is None:
            return None
        policy = self.policies.get(request.pool)
        try:
            if policy is None or policy.source != source:
                policy = self.policies[request.pool] = policies.Policy(source)
            labels = pipeline.parse_labels(request.call.headers.get('zt-labels', ''))
            subject = {'id': request.id, 'service': request.service, 'attempt': request.attempt, 'labels': labels}
            endpoints = [self.policy_view(request.pool, incarnation) for incarnation in incarnations]
            return incarnations[policy.choose(subject, endpoints)]
        except policies.PolicyError as error:
            # The request is not refused, because the built-in choice can serve it; the log informs the operator.
            self.proxy.counts['policy_faults'] += 1
            if self.proxy.counts['policy_faults'] % POLICY_LOG_EVERY == 1:
                self.proxy.log(f'Policy of pool {request.pool} failed: {error}. Using the built-in endpoint choice.')
            return None

    def policy_view(self, pool: str, incarnation: str) -> dict:
        """Return an endpoint's attributes as a policy gets them."""
        row, credit = proxy_part.endpoint_row(self.proxy, incarnation), self.pool_credit(pool)
        return {
            'addr': row['addr'],
            'cell': row['cell'],
            'region': self.proxy.routes.region_of(row['cell']),
            'use': credit.in_use[incarnation],
            'granted': credit.grants[incarnation],
            'labels': self.proxy.routes.labels_of(incarnation),
        }

    # -- waiting for credit -----------------------------------------------

    def pool_capacity(self, pool: str) -> int:
        """Return how many concurrent requests all usable endpoints of a pool can serve."""
        routes = self.proxy.routes
        return sum(
            routes.capacity(incarnation, pool)
            for incarnation in routes.pool_endpoints(pool)
            if routes.is_usable(incarnation)
        )

    def can_wait(self, request: Request, ahead: int, capacity: int) -> bool:
        """True if the request can wait behind `ahead` others and still meet its deadline.

        The estimate is optimistic: it assumes that this proxy has all of the pool's capacity.
        """
        latency_ms = self.pool_credit(request.pool).latency_ms
        is_hopeless = (
            capacity
            and latency_ms
            and durations.ms(latency_ms * (ahead + 1) / capacity) + durations.ms(latency_ms / 2)
            > request.deadline - self.proxy.now
        )
        return self.can_queue(request) and not is_hopeless

    def can_queue(self, request: Request) -> bool:
        """True if some endpoint is allowed to serve the request, and the queue has room."""
        routes = self.proxy.routes
        endpoints: dict[str, rows.EndpointRow] = self.proxy.replica.get('endpoints')
        has_endpoint = any(
            routes.is_usable(incarnation)
            and incarnation not in request.tried
            and (
                not request.allowed_regions
                or routes.region_of(endpoints[incarnation]['cell']) in request.allowed_regions
            )
            for incarnation in routes.pool_endpoints(request.pool)
        )
        return has_endpoint and len(self.pool_credit(request.pool).queue) < self.proxy.settings.queue_most // 2

    def queue_for_credit(self, request: Request) -> None:
        """Park the request until there is credit."""
        request.waiting_for = request_record.Waiting.CREDIT
        self.pool_credit(request.pool).queue.append(request)
        self.request_credit(request.pool, REQUEST_INTERVAL)

    def leave_queue(self, request: Request) -> None:
        """Remove a request from the queue for credit, if it is there, so that its place is free for others."""
        if request.waiting_for is request_record.Waiting.CREDIT:
            pool = self.pool_credit(request.pool)
            pool.queue = collections.deque(queued for queued in pool.queue if queued is not request)

    def retry_queued(self, name: str) -> None:
        """Process a pool's queue, oldest request first: send it, leave it in the queue, or refuse it."""
        pool = self.pool_credit(name)
        capacity, ahead = self.pool_capacity(name) if pool.queue else 0, 0
        for _ in range(len(pool.queue)):
            if not pool.queue:
                # The end of an earlier request has gone through the queue as well.
                break
            request = pool.queue.popleft()
            if not self.proxy.runner.is_pending(request) or request.waiting_for is not request_record.Waiting.CREDIT:
                continue
            # The cheap check for any credit comes first: mostly there is none, and choosing an endpoint costs more.
            if pool.has_credit() and self.choose_endpoint(request) is not None:
                self.proxy.runner.run_stages(request)
            elif self.can_wait(request, ahead, capacity):
                pool.queue.append(request)
                ahead += 1
            else:
                self.proxy.runner.refuse(request, pipeline.no_credit())

    # -- frames to and from the ledger ------------------------------------

    def request_credit(self, name: str, interval: datetime.timedelta) -> None:
        """Send the pool's ledger a credit request with this proxy's demand, at most once per interval."""
        pool = self.pool_credit(name)
        duty = self.proxy.replica.get('duties', f'keeper/{name}')
        if duty is None or not self.proxy.has_lease():
            return
        if pool.requested_at is not None and self.proxy.now - pool.requested_at < interval:
            self.proxy.set_timer_by('credit_requests', pool.requested_at + interval)
            return
        pool.requested_at = self.proxy.now
        if duty['fence'] > pool.fencing_token:
            pool.fencing_token, pool.grant_number = duty['fence'], 0
            pool.requested.clear()
        is_idle = not pool.queue and not pool.in_use and not any(pool.recent_demand.values())
        need = self.collect_demand(pool)
        number = self.proxy.next_number()
        pool.requested[number] = self.proxy.now
        while len(pool.requested) > MAX_PENDING_REQUESTS:
            pool.requested.popitem(last=False)
        load = self.proxy.upstream.reported_load
        credit_request = traffic_messages.CreditRequest(
            pool=name,
            fencing_token=duty['fence'],
            number=number,
            last_grant=pool.grant_number,
            in_use=dict(pool.in_use),
            needed=need,
            is_idle=is_idle,
            load={i: load[i] for i in self.proxy.routes.pool_endpoints(name) if i in load},
        )
        self.proxy.send_message(duty['addr'], credit_request)

    def collect_demand(self, pool: PoolCredit) -> dict[str, int]:
        """Return how many requests need credit, by home regions; halve the recent demand for the next time."""
        need: collections.Counter[str] = collections.Counter()
        for home, count in pool.recent_demand.items():
            need[home] += count
        for request in pool.queue:
            need[home_key(request)] += 1
        # One more than needed, so that the first request after a pause finds credit available.
        need[''] += 1 + len(pool.in_use)
        pool.recent_demand = collections.Counter({h: n // 2 for h, n in pool.recent_demand.items() if n > 1})
        return dict(need)

    def request_credit_for_queues(self) -> None:
        """Request credit again for each pool that has requests in its queue."""
        for name, pool in list(self.pools.items()):
            if pool.queue:
                self.request_credit(name, REQUEST_INTERVAL)

    def report_demand(self) -> None:
        """Report the demand to every ledger, process every queue, and set the timer for the next report."""
        self.proxy.set_timer('demand', self.proxy.settings.demand)
        for key in self.proxy.replica.get('duties'):
            self.request_credit(key.removeprefix('keeper/'), REQUEST_INTERVAL)
        for name in list(self.pools):
            # A request that goes on may be the first of another pool.
            self.retry_queued(name)

    def handle_grant(self, message: traffic_messages.CreditGrant) -> None:
        """Handle a grant of the pool's ledger."""
        pool = self.pool_credit(message.pool)
        requested_at = pool.requested.get(message.number)
        # A grant of a ledger that was replaced is ignored: its successor grants the same credit now.
        if message.fencing_token != pool.fencing_token or requested_at is None:
            return
        for number in [n for n in pool.requested if n <= message.number]:
            del pool.requested[number]
        pool.grants, pool.grant_number = message.grants, message.sequence
        # The lease starts here when the request was sent, and at the ledger later, so that it ends here first.
        pool.lease_until = requested_at + self.proxy.settings.credit
        self.retry_queued(message.pool)

    def handle_collection(self, message: traffic_messages.CreditCollection) -> None:
        """Respond to a new ledger's query with the credit that this proxy holds and uses."""
        pool = self.pool_credit(message.pool)
        if message.fencing_token < pool.fencing_token:
            return
        pool.fencing_token, pool.grant_number = message.fencing_token, 0
        pool.requested.clear()
        held = pool.grants if pool.lease_until > self.proxy.now else {}
        answer = traffic_messages.CreditHeld(
            pool=message.pool, fencing_token=message.fencing_token, held=held, in_use=dict(pool.in_use)
        )
        self.proxy.send_message(codec.sender_of(message).address, answer)
