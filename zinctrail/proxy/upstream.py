"""Clients' requests between this proxy and endpoints: sends, results, credit in use and retries."""

import datetime
import typing

import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.proxy.client_responses as client_responses
import zinctrail.proxy.credit as credit
import zinctrail.proxy.pipeline as pipeline
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

Request = request_record.Request
# The caller's headers that are passed on to the endpoint.
PASSED_HEADERS = ('content-type', 'accept', 'zt-labels', 'zt-home')
# How long an endpoint that could not be reached is not chosen.
UNREACHABLE_BACKOFF = durations.ms(3000)
# How long a slot stays reserved after its response was lost: a multiple of the pool's latency, and its lower bound.
RESERVED_LATENCY_FACTOR = 4
MIN_RESERVED_MS = 100
# The weight of a new response in the smoothed latency of a pool is 1 / SMOOTHING.
SMOOTHING = 8
MAX_REPORTED_LOAD = 1000.0
# The most sends after which a retry is free because the endpoint could not be reached.
FREE_RETRY_SENDS = 2


class Fetch(typing.NamedTuple):
    """A request in flight at an endpoint."""

    request: Request
    pool: str
    incarnation: str
    sent_at: datetime.timedelta


class ReservedSlot(typing.NamedTuple):
    """Credit that still counts as in use, because the endpoint may still work on a request whose response was lost."""

    until: datetime.timedelta
    pool: str
    incarnation: str


class Upstream(proxy_part.ProxyPart):
    """Sends clients' requests to endpoints, handles the results, retries, and frees credit."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start with no requests in flight."""
        super().__init__(proxy)
        # {fetch id: the fetch in flight}.
        self.fetches: dict[int, Fetch] = {}
        self.reserved_slots: list[ReservedSlot] = []
        # The endpoints of the last version of the state, to detect which were removed.
        self.incarnations: set[str] = set()
        # {incarnation: until when it is not chosen}, and {incarnation: the load that it reports in `zt-pressure`}.
        self.unreachable_until: dict[str, datetime.timedelta] = {}
        self.reported_load: dict[str, float] = {}

    def send(self, request: Request) -> None:
        """Send a request to the endpoint that was chosen for it."""
        # Before anything is counted, so that an exception leaves nothing counted for a fetch that was never sent.
        fetch = self.new_fetch(request)
        pool = self.proxy.credit.pool_credit(request.pool)
        pool.in_use[request.incarnation] += 1
        pool.recent_demand[credit.home_key(request)] += 1
        request.send_count += 1
        request.fetch_id = fetch.fetch_id
        self.fetches[request.fetch_id] = Fetch(request, request.pool, request.incarnation, self.proxy.now)
        self.proxy.out.append(fetch)
        self.proxy.counts['sends'] += 1
        request.sent_at = self.proxy.now

    def new_fetch(self, request: Request) -> effects.HttpFetch:
        """Return the effect that sends a request to the endpoint that was chosen for it."""
        remaining = request.deadline - self.proxy.now
        return effects.HttpFetch(
            self.proxy.next_number(),
            proxy_part.endpoint_row(self.proxy, request.incarnation)['addr'],
            request.incarnation,
            request.call.method,
            request.path,
            self.upstream_headers(request, remaining),
            request.call.body,
            # The fetch outlasts the request's deadline, because the credit is in use until the endpoint has finished.
            remaining + self.proxy.settings.linger,
        )

    def upstream_headers(self, request: Request, remaining: datetime.timedelta) -> dict[str, str]:
        """Return the headers of the request to the endpoint."""
        headers = {
            'zt-id': request.id,
            'zt-attempt': str(request.attempt),
            'zt-inc': request.incarnation,
            'zt-once': '1' if request.at_most_once else '0',
            'zt-left-ms': str(max(1, durations.to_ms(remaining))),
        }
        for name in PASSED_HEADERS:
            if name in request.call.headers:
                headers[name] = request.call.headers[name]
        return headers

    def handle_fetch_result(self, fetch_id: int, result: effects.HttpResult) -> None:
        """Handle the end of a fetch: free its credit, and resume the request or store a late result."""
        fetch = self.fetches.pop(fetch_id)
        request = fetch.request
        is_current = request.fetch_id == fetch_id
        if is_current:
            request.time_at_endpoints += self.proxy.now - fetch.sent_at
            request.sent_at = None
        self.free_slot(fetch, result)
        self.proxy.runner.guarded(request, self.use_result, fetch, result, is_current)
        self.proxy.credit.retry_queued(fetch.pool)

    def use_result(self, fetch: Fetch, result: effects.HttpResult, is_current: bool) -> None:
        """Observe the result of a fetch, and resume the request or store a late result."""
        self.observe_result(fetch, result)
        if self.proxy.runner.is_pending(fetch.request) and is_current:
            fetch.request.result = result
            self.proxy.runner.resume(fetch.request)
        else:
            self.store_late_result(fetch.request, result)

    def cancel(self, request: Request) -> None:
        """Cancel the fetch of a request that is still in flight, since no caller waits for it."""
        fetch = self.fetches.pop(request.fetch_id, None)
        if fetch is None:
            return
        self.proxy.out.append(effects.CancelFetch(request.fetch_id))
        # Handled like a lost response, because the endpoint may still work on it for a while.
        self.free_slot(fetch, effects.HttpResult(fault='cancelled'))
        self.proxy.credit.retry_queued(fetch.pool)

    def free_slot(self, fetch: Fetch, result: effects.HttpResult) -> None:
        """Free the credit of a fetch; if its response was lost, only later, since the endpoint may still work on it."""
        pool = self.proxy.credit.pool_credit(fetch.pool)
        if not (result.fault and result.sent and self.proxy.routes.endpoint(fetch.incarnation)):
            self.release_slot(pool, fetch.incarnation)
            return
        usual = durations.ms(max(MIN_RESERVED_MS, RESERVED_LATENCY_FACTOR * pool.latency_ms))
        until = self.proxy.now + min(self.proxy.settings.linger, usual)
        self.reserved_slots.append(ReservedSlot(until, fetch.pool, fetch.incarnation))
        self.proxy.set_timer_by('reserved_slots', until)

    def observe_result(self, fetch: Fetch, result: effects.HttpResult) -> None:
        """Update the smoothed latency of the pool, and the load that the endpoint reports."""
        pool = self.proxy.credit.pool_credit(fetch.pool)
        if not result.fault:
            # Smoothed, because requests to a pool should be refused after a run of slow responses, but not after one.
            latency_ms = durations.to_ms(self.proxy.now - fetch.sent_at)
            pool.latency_ms += (latency_ms - pool.latency_ms) / SMOOTHING if pool.latency_ms else latency_ms
        if 'zt-pressure' in result.headers:
            try:
                load = float(result.headers['zt-pressure'])
                self.reported_load[fetch.incarnation] = min(MAX_REPORTED_LOAD, max(0.0, load))
            except ValueError:
                self.proxy.counts['garbled'] += 1

    def release_slot(self, pool: credit.PoolCredit, incarnation: str) -> None:
        """Count one request less in flight at an endpoint."""
        pool.in_use[incarnation] -= 1
        if not pool.in_use[incarnation]:
            # Otherwise every removed incarnation would leave an entry behind.
            del pool.in_use[incarnation]

    def release_reserved_slots(self) -> None:
        """Release the reserved slots whose time is over."""
        expired = [slot for slot in self.reserved_slots if slot.until <= self.proxy.now]
        self.reserved_slots = [slot for slot in self.reserved_slots if slot.until > self.proxy.now]
        for slot in expired:
            self.release_slot(self.proxy.credit.pool_credit(slot.pool), slot.incarnation)
        for pool in sorted({slot.pool for slot in expired}):
            self.proxy.credit.retry_queued(pool)
        if self.reserved_slots:
            self.proxy.set_timer_by('reserved_slots', min(slot.until for slot in self.reserved_slots))

    def discard_removed_endpoints(self) -> None:
        """Discard the records of endpoints that a new version of the state removed, and backoffs that are over."""
        incarnations = set(self.proxy.replica.get('endpoints'))
        for incarnation in sorted(self.incarnations - incarnations):
            # The next endpoint at its address must not get requests that were meant for it.
            self.proxy.out.append(effects.CloseConnections(incarnation))
            self.reported_load.pop(incarnation, None)
        self.unreachable_until = {i: at for i, at in self.unreachable_until.items() if at > self.proxy.now}
        self.incarnations = incarnations

    def store_late_result(self, request: Request, result: effects.HttpResult) -> None:
        """Store a response that came after its caller got the outcome "unknown", so that the next attempt gets it."""
        stored = self.proxy.at_most_once.stored_results.get(request.id) if request.claim_nonce else None
        if stored is None or stored.is_running or not stored.response:
            return
        if stored.response.headers['zt-outcome'] != refusals.UNKNOWN:
            return
        if not pipeline.response_error(request, result) and result.headers['zt-outcome'] == refusals.RAN:
            self.proxy.at_most_once.replace_response(
                stored, result.status, client_responses.passed_headers(result), result.body
            )

    def mark_unreachable(self, incarnation: str) -> None:
        """Avoid an endpoint for a while, and report it to the leader as unreachable."""
        self.unreachable_until[incarnation] = self.proxy.now + UNREACHABLE_BACKOFF
        self.report_unreachable(incarnation)

    def report_unreachable(self, incarnation: str) -> None:
        """Report to the leader that an endpoint could not be reached."""
        if self.proxy.leader:
            self.proxy.send_message(
                self.proxy.leader['addr'], traffic_messages.EndpointSuspected(incarnation=incarnation)
            )

    def retry(self, request: Request, refusal: refusals.Refusal) -> bool:
        """Send the request again if rule and deadline allow it; otherwise raise `refusal`."""
        request.tried.add(request.incarnation)
        repeat = request.client_rule.get('repeat')
        attempts = repeat.get('attempts', 1) if repeat else 1
        # One retry after an unreachable endpoint is free: that endpoint ran nothing, so nothing is sent twice.
        is_free = not request.result.sent and request.send_count <= FREE_RETRY_SENDS
        may_retry = (
            (is_free or request.send_count < attempts)
            and self.proxy.now < request.deadline
            and self.proxy.credit.can_queue(request)
        )
        if not request.result.sent and not request.is_retry and not may_retry:
            self.proxy.retry_budgets.budget_of(request.pool).return_earned()
        if may_retry:
            request.is_charged = is_free
            self.proxy.runner.resume(request, pipeline.check_retry_budget)
            return request_record.WAIT
        raise refusal
