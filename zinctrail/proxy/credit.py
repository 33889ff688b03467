"""What this proxy may send to each endpoint of a pool: leased credit, and the queue of requests that wait for it.

The pool's credit ledger, kept by a directory, grants credit for a short time
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
# The least time between two requests for credit of one pool.
REQUEST_INTERVAL = durations.ms(20)
# How many requests for credit of one pool are remembered until their grant comes.
MAX_PENDING_REQUESTS = 50
# Every such failure of a pool's policy is logged.
POLICY_LOG_EVERY = 1000


@dataclasses.dataclass(slots=True)
class PoolCredit:
    """The credit that this proxy holds in one pool."""

    # The fencing token of the ledger that grants it, and the sequence number of its last grant.
    fencing_token: int = 0
    grant_number: int = 0
    # {incarnation: how many requests this proxy may have there}, until the lease ends.
    grants: dict[str, int] = dataclasses.field(default_factory=dict)
    lease_until: datetime.timedelta = durations.ZERO
    # {incarnation: how many requests it has there now}.
    in_use: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    # {number of a request for credit: when it was sent}, oldest first, and when the last one was.
    requested: collections.OrderedDict[int, datetime.timedelta] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    requested_at: datetime.timedelta | None = None
    # Requests that wait for credit, oldest first.
    queue: collections.deque[Request] = dataclasses.field(default_factory=collections.deque)
    # {home regions, joined by commas: how many requests were sent of late}.
    recent_demand: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    # How long a request usually takes at an endpoint, in milliseconds; 0 before the first.
    latency_ms: float = 0.0

    def has_credit(self) -> bool:
        """Whether any endpoint could be sent a request."""
        return any(self.in_use[incarnation] < granted for incarnation, granted in self.grants.items())


def home_key(request: Request) -> str:
    """The request's home regions, as the ledger counts demand by."""
    return ','.join(sorted(request.allowed_regions))


class CreditLeases(proxy_part.ProxyPart):
    """Leases of credit, the choice of an endpoint with credit, the queues for it."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up without credit."""
        super().__init__(proxy)
        self.pools: dict[str, PoolCredit] = {}
        # {pool: its policy, compiled}.
        self.policies: dict[str, policies.Policy] = {}

    def pool_credit(self, pool: str) -> PoolCredit:
        """The credit of a pool."""
        return self.pools.setdefault(pool, PoolCredit())

    # -- choosing an endpoint ---------------------------------------------

    def choose_endpoint(self, request: Request) -> str | None:
        """The incarnation to send it to: with credit, allowed, near, least used. None: there is none now."""
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
        """What the pool's own policy chooses among these; None without one, or if it fails."""
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
            # The request is not refused: the built-in choice serves it as well, and the log tells the operator.
            self.proxy.counts['policy_faults'] += 1
            if self.proxy.counts['policy_faults'] % POLICY_LOG_EVERY == 1:
                self.proxy.log(f'Policy of pool {request.pool} failed: {error}. Built-in choice used.')
            return None

    def policy_view(self, pool: str, incarnation: str) -> dict:
        """An endpoint as a policy sees it."""
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
        """How many requests all usable endpoints of a pool bear at once."""
        routes = self.proxy.routes
        return sum(
            routes.capacity(incarnation, pool)
            for incarnation in routes.pool_endpoints(pool)
            if routes.is_usable(incarnation)
        )

    def can_wait(self, request: Request, ahead: int, capacity: int) -> bool:
        """Whether waiting behind `ahead` requests can end in time, if all of the pool's capacity were ours."""
        latency_ms = self.pool_credit(request.pool).latency_ms
        is_hopeless = (
            capacity
            and latency_ms
            and durations.ms(latency_ms * (ahead + 1) / capacity) + durations.ms(latency_ms / 2)
            > request.deadline - self.proxy.now
        )
        return self.can_queue(request) and not is_hopeless

    def can_queue(self, request: Request) -> bool:
        """Whether any endpoint may serve it at all, and the queue has room."""
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
        """Park it until there is credit."""
        request.waiting_for = request_record.Waiting.CREDIT
        self.pool_credit(request.pool).queue.append(request)
        self.request_credit(request.pool, REQUEST_INTERVAL)

    def leave_queue(self, request: Request) -> None:
        """A request waits for credit no more, if it did: others must not be refused for its place in the queue."""
        if request.waiting_for is request_record.Waiting.CREDIT:
            pool = self.pool_credit(request.pool)
            pool.queue = collections.deque(queued for queued in pool.queue if queued is not request)

    def retry_queued(self, name: str) -> None:
        """Go through a pool's queue, oldest first: send, leave in the queue, or refuse."""
        pool = self.pool_credit(name)
        capacity, ahead = self.pool_capacity(name) if pool.queue else 0, 0
        for _ in range(len(pool.queue)):
            request = pool.queue.popleft()
            if not self.proxy.runner.is_pending(request) or request.waiting_for is not request_record.Waiting.CREDIT:
                continue
            # Whether there is credit at all is looked at first: mostly there is none, and choosing costs more.
            if pool.has_credit() and self.choose_endpoint(request) is not None:
                self.proxy.runner.run_stages(request)
            elif self.can_wait(request, ahead, capacity):
                pool.queue.append(request)
                ahead += 1
            else:
                self.proxy.runner.refuse(request, pipeline.no_credit())

    # -- frames to and from the ledger ------------------------------------

    def request_credit(self, name: str, interval: datetime.timedelta) -> None:
        """Tell the pool's ledger what this proxy needs, not more often than once an interval."""
        pool = self.pool_credit(name)
        duty = self.proxy.replica.get('duties', f'keeper/{name}')
        if duty is None or not self.proxy.leased():
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
        """How many requests need credit, by home regions; what was sent of late counts half the next time."""
        need: collections.Counter[str] = collections.Counter()
        for home, count in pool.recent_demand.items():
            need[home] += count
        for request in pool.queue:
            need[home_key(request)] += 1
        # One to spare: the first request after a pause should find credit waiting.
        need[''] += 1 + len(pool.in_use)
        pool.recent_demand = collections.Counter({h: n // 2 for h, n in pool.recent_demand.items() if n > 1})
        return dict(need)

    def request_credit_for_queues(self) -> None:
        """Ask again for the pools that requests wait for."""
        for name, pool in list(self.pools.items()):
            if pool.queue:
                self.request_credit(name, REQUEST_INTERVAL)

    def report_demand(self) -> None:
        """Tell every ledger the demand regularly; look at every queue."""
        self.proxy.set_timer('demand', self.proxy.settings.demand)
        for key in self.proxy.replica.get('duties'):
            self.request_credit(key.removeprefix('keeper/'), REQUEST_INTERVAL)
        for name in self.pools:
            self.retry_queued(name)

    def handle_grant(self, message: traffic_messages.CreditGrant) -> None:
        """A grant came from the pool's ledger."""
        pool = self.pool_credit(message.pool)
        requested_at = pool.requested.get(message.number)
        # A ledger that was replaced must not give out what another one gives out now.
        if message.fencing_token != pool.fencing_token or requested_at is None:
            return
        for number in [n for n in pool.requested if n <= message.number]:
            del pool.requested[number]
        pool.grants, pool.grant_number = message.grants, message.sequence
        # The lease counts from the request: the ledger counts from later, so it ends here before it ends there.
        pool.lease_until = requested_at + self.proxy.settings.credit
        self.retry_queued(message.pool)

    def handle_collection(self, message: traffic_messages.CreditCollection) -> None:
        """A new ledger asks what this proxy holds and uses."""
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
