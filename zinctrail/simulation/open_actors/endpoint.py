"""An endpoint that does not use the zinctrail library: it runs, queues and refuses requests, and fails on demand."""

import dataclasses
import datetime
import json
import typing

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.deployment as open_deployment

ms = durations.ms

HEARTBEAT_RETRY_LIMIT = ms(1400)
# The delay before an endpoint whose drain was refused deregisters.
DEREGISTER_AFTER_REFUSAL = ms(2000)
DEREGISTER_TIMEOUT = ms(3000)
# How many times as long work takes while the endpoint is warming up.
WARM_UP_WORK_FACTOR = 3
# The mu and sigma of the log-normal factor on work times, and the maximum work time as a multiple of work_ms.
WORK_FACTOR_DISTRIBUTION = (-0.15, 0.55)
MAX_WORK_FACTOR = 20
DEFAULT_REMAINING_MS = 3000
# The maximum age of a response that is sent a second time in place of another.
MAX_DUPLICATE_AGE = ms(1000)


class QueuedRequest(typing.NamedTuple):
    """A queued request that waits for a free slot."""

    arrival: open_records.Arrival
    headers: dict[str, str]
    callback: typing.Callable
    since: datetime.timedelta


class Endpoint:
    """A server of one service at one address; each start is a new incarnation."""

    def __init__(
        self, deployment: 'open_deployment.Deployment', name: str, address: str, service: str, zone: str, slots: int
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.slots = slots
        self.max_queue_length = slots * 4
        # incarnation counts starts and ends; incarnation_id identifies the incarnation in heartbeats and requests.
        self.up = False
        self.incarnation = 0
        self.incarnation_id = ''
        self.sequence = 0
        self.state = 'ready'
        self.warm_up_ends_at = durations.ZERO
        self.work_ms = terms.SERVICES[service].work_ms
        self.resets_when_full = terms.SERVICES[service].resets_when_full
        # The probabilities of a lost, truncated, malformed or duplicate response.
        self.loss_chance = self.truncation_chance = self.malformed_chance = self.duplicate_chance = 0.0
        # A response that is to be sent a second time, and when it was first sent.
        self.duplicate: tuple[effects.HttpResult, datetime.timedelta] | None = None
        # How a share of the requests fails while health checks pass: a key of FAILURE_MODES.
        self.failure_mode: str | None = None
        self.failure_share = 0.0
        # Whether health checks fail although the endpoint works.
        self.reports_unhealthy = False
        # How long a connection may be idle before the endpoint drops it without notice.
        self.idle_limit: datetime.timedelta | None = None
        self.world.zones[name] = zone

    # -- lifecycle ---------------------------------------------------------------

    def start(self, warms_up: bool = True) -> None:
        """Start a new incarnation, unless the endpoint is up."""
        if self.up:
            return
        self.incarnation += 1
        self.up = True
        self.state = 'ready'
        self.sequence = 0
        self.duplicate = None
        self.incarnation_id = f'i-{self.name}-{self.incarnation}'
        # The number of running requests, the queue, and the running requests' callbacks and records by request id.
        self.running = 0
        self.queue: list[QueuedRequest] = []
        self.open: dict[str | None, typing.Callable] = {}
        self.work: dict[str | None, open_records.Work] = {}
        self.warm_up_ends_at = self.world.now
        if warms_up:
            self.start_warm_up()
        self.world.endpoints[self.address] = self
        self.send_heartbeat(self.incarnation)

    def start_warm_up(self) -> None:
        """Begin a warm-up of WARM_UP_S seconds."""
        self.warm_up_ends_at = self.world.now + ms(1000 * terms.WARM_UP_S)
        self.deployment.records.warm_up_spans.append(
            open_records.WarmUpSpan(self.world.now, self.warm_up_ends_at, self.incarnation_id)
        )

    def kill(self, silently: bool = False) -> None:
        """End at once. With `silently`, connections stay open and silent instead of being closed."""
        if not self.up:
            return
        self.up = False
        self.incarnation += 1
        if self.world.endpoints.get(self.address) is self:
            del self.world.endpoints[self.address]
        self.deployment.records.endpoint_failures.update(self.open)
        for work in self.work.values():
            work.ended_at = self.world.now
        for callback in list(self.open.values()):
            if not silently:
                callback(effects.HttpResult(fault='connection lost'))

    # -- heartbeats -----------------------------------------------------------

    def remaining_warm_up_ms(self) -> int:
        """Return the remaining warm-up time in ms."""
        return max(0, durations.to_ms(self.warm_up_ends_at - self.world.now))

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'inc': self.incarnation_id,
            'addr': self.address,
            'service': self.service,
            'cell': self.zone,
            'slots': self.slots,
            'state': self.state,
            'seq': self.sequence,
            'cold_ms': self.remaining_warm_up_ms(),
        }

    def send_heartbeat(self, incarnation: int) -> None:
        """Send a heartbeat now and after each interval, while this incarnation is ready."""
        if incarnation == self.incarnation and self.state == 'ready':
            self.deployment.ask(
                self.name, 'POST', '/v1/beat', self.heartbeat, lambda response: None, HEARTBEAT_RETRY_LIMIT
            )
            self.world.after(self.world.settings.beat, self.send_heartbeat, incarnation)

    def drain(self, then: typing.Callable[[], typing.Any] | None = None) -> None:
        """Announce draining, serve until the drain time is over, deregister and end; then call then()."""
        if not self.up or self.state != 'ready':
            return
        self.state = 'draining'
        incarnation = self.incarnation
        incarnation_id = self.incarnation_id
        world = self.world
        records = self.deployment.records
        command = open_records.Command('drain', size=0, sent_at=world.now)
        records.commands.append(command)

        def on_drain_response(response: 'open_deployment.Response') -> None:
            """Record the response; deregister after the bound on late requests, or soon if draining was refused."""
            command.responded_at = world.now
            command.status = response.status
            if incarnation != self.incarnation:
                return
            if response.status == 200:
                records.states.append(open_records.StateChange(world.now, response.node, incarnation_id, 'draining'))
                world.after(terms.TERMS.drain + terms.AFTER_DRAIN, self.deregister, incarnation, then)
            else:
                world.after(DEREGISTER_AFTER_REFUSAL, self.deregister, incarnation, then)

        self.deployment.ask(self.name, 'POST', '/v1/beat', self.heartbeat, on_drain_response, terms.TERMS.ack)

    def deregister(self, incarnation: int, then: typing.Callable[[], typing.Any] | None) -> None:
        """Deregister and end, unless this incarnation has ended; then call then()."""
        if incarnation != self.incarnation:
            return
        incarnation_id = self.incarnation_id

        def on_leave_response(response: 'open_deployment.Response') -> None:
            """Record the response, and end."""
            if response.status == 200:
                change = open_records.StateChange(self.world.now, response.node, incarnation_id, 'gone')
                self.deployment.records.states.append(change)
            if incarnation == self.incarnation:
                self.kill()
                if then:
                    then()

        self.deployment.ask(
            self.name, 'POST', '/v1/leave', lambda: {'inc': incarnation_id}, on_leave_response, DEREGISTER_TIMEOUT
        )

    # -- requests ---------------------------------------------------------------

    def refusal(self, headers: dict[str, str], status: int) -> effects.HttpResult:
        """Return a response that promises that the request has not run."""
        return effects.HttpResult(status, {'zt-id': headers.get('zt-id', ''), 'zt-not-run': '1'}, b'')

    def call(self, call: effects.HttpRequest, callback: typing.Callable) -> str | None:
        """Handle a request; return its id if the caller may still abort it, None if it is settled."""
        if call.method == 'GET' and call.path == '/health':
            self.check_health(call, callback)
            return None
        headers = call.headers
        arrival = open_records.Arrival(
            at=self.world.now,
            id=headers.get('zt-id'),
            incarnation=self.incarnation_id,
            target_incarnation=headers.get('zt-inc'),
            service=self.service,
            zone=self.zone,
            method=call.method,
            path=call.path,
            body=call.body,
            is_misdirected=headers.get('zt-inc') not in (None, self.incarnation_id),
        )
        self.deployment.records.arrivals.append(arrival)
        if arrival.is_misdirected:
            callback(self.refusal(headers, 421))
        elif not arrival.id:
            callback(self.refusal(headers, 400))
        elif self.failure_mode and self.world.rng.random() < self.failure_share:
            FAILURE_MODES[self.failure_mode](self, arrival, headers, callback)
            return arrival.id
        elif self.running < self.slots:
            return self.run(arrival, headers, callback)
        elif len(self.queue) < self.max_queue_length:
            self.queue.append(QueuedRequest(arrival, headers, callback, self.world.now))
            return arrival.id
        elif self.resets_when_full:
            self.fail_by_reset(arrival, headers, callback)
        else:
            callback(self.refusal(headers, 503))
        return None

    def hang_up(self, request_id: str) -> None:
        """Drop a queued or running request, as most endpoints do once its connection is closed."""
        self.queue = [queued for queued in self.queue if queued.arrival.id != request_id]
        if request_id in self.work:
            self.end_work(request_id)
            self.run_queued()

    def check_health(self, call: effects.HttpRequest, callback: typing.Callable) -> None:
        """Respond to a health check: slowly if all slots are taken, with 503 if the queue is full too."""
        incarnation = self.incarnation
        if self.running >= self.slots and len(self.queue) >= self.max_queue_length:
            callback(self.refusal(call.headers, 503))
            return

        def send_response() -> None:
            """Send the health response, unless this incarnation has ended."""
            if incarnation == self.incarnation:
                is_well = self.state == 'ready' and not self.reports_unhealthy
                headers = {
                    'zt-inc': self.incarnation_id,
                    'zt-cold-ms': str(self.remaining_warm_up_ms()),
                    'zt-load': self.load(),
                }
                callback(effects.HttpResult(200 if is_well else 503, headers, b''))

        self.world.after(ms(2 if self.running < self.slots else self.work_ms), send_response)

    def load(self) -> str:
        """Return the value of the load header: running requests, queued requests, slots."""
        return f'{self.running},{len(self.queue)},{self.slots}'

    def response_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a response: the request id, a stamp, and the load."""
        return {'zt-id': request_id, 'zt-stamp': f'{request_id}.{self.incarnation_id}', 'zt-load': self.load()}

    def record_response(self, request_id: str, status: int, body: bytes) -> None:
        """Record the response to a request."""
        given = open_records.SentResponse(status, body, self.world.now)
        self.deployment.records.sent_responses.setdefault(request_id, []).append(given)

    # -- work -----------------------------------------------------------------------

    def run(self, arrival: open_records.Arrival, headers: dict[str, str], callback: typing.Callable) -> str:
        """Run a request, until its deadline at most; return its id."""
        world = self.world
        self.running += 1
        self.deployment.records.runs.append(dataclasses.replace(arrival, at=world.now))
        self.open[arrival.id] = callback
        factor = WARM_UP_WORK_FACTOR if world.now < self.warm_up_ends_at else 1
        random_work = ms(self.work_ms * factor * world.rng.lognormvariate(*WORK_FACTOR_DISTRIBUTION))
        work = min(random_work, ms(self.work_ms * MAX_WORK_FACTOR))
        remaining = ms(int(headers.get('zt-left-ms', DEFAULT_REMAINING_MS)))
        work_record = open_records.Work(arrival.id, self.incarnation_id, world.now + min(work, remaining))
        self.work[arrival.id] = work_record
        self.deployment.records.work.append(work_record)
        world.after(min(work, remaining), self.finish, self.incarnation, arrival, callback, work > remaining)
        return arrival.id

    def end_work(self, request_id: str | None) -> None:
        """Free the slot of a running request."""
        self.running -= 1
        self.open.pop(request_id, None)
        self.work.pop(request_id).ended_at = self.world.now

    def finish(self, incarnation: int, arrival: open_records.Arrival, callback: typing.Callable, is_late: bool) -> None:
        """Respond to a request whose work is done, and run queued requests."""
        world = self.world
        request_id = arrival.id
        if incarnation != self.incarnation or request_id not in self.work:
            return
        self.end_work(request_id)
        status = 504 if is_late else world.rng.choices((200, 500), (99.5, 0.5))[0]
        body = json.dumps({'id': request_id, 'by': self.incarnation_id, 'n': world.rng.getrandbits(32)}).encode()
        headers = self.response_headers(request_id)
        self.record_response(request_id, status, body)
        if self.state != 'ready':
            headers['connection'] = 'close'
        callback(self.damage(request_id, effects.HttpResult(status, headers, body)))
        self.run_queued()

    def damage(self, request_id: str, result: effects.HttpResult) -> effects.HttpResult:
        """Return a response as the proxy receives it: unchanged, or damaged as the probabilities have it."""
        now = self.world.now
        endpoint_failures = self.deployment.records.endpoint_failures
        draw = self.world.rng.random()
        lost_below = self.loss_chance
        truncated_below = lost_below + self.truncation_chance
        malformed_below = truncated_below + self.malformed_chance
        if draw < malformed_below:
            endpoint_failures.add(request_id)
        if self.duplicate is not None and now - self.duplicate[1] < MAX_DUPLICATE_AGE:
            # An earlier response is sent a second time in place of this one.
            duplicate = self.duplicate[0]
            self.duplicate = None
            endpoint_failures.add(request_id)
            return duplicate
        if draw < lost_below:
            return effects.HttpResult(fault='connection lost')
        if draw < truncated_below:
            half = result.body[: len(result.body) // 2]
            return effects.HttpResult(result.status, result.headers, half, True, 'reply cut short')
        if draw < malformed_below:
            return effects.HttpResult(fault='ParseError')
        if draw < malformed_below + self.duplicate_chance:
            self.duplicate = (result, now)
        return result

    def run_queued(self) -> None:
        """Run queued requests while there are free slots; refuse those whose deadline has passed."""
        while self.queue and self.running < self.slots:
            arrival, headers, callback, since = self.queue.pop(0)
            remaining = ms(int(headers.get('zt-left-ms', DEFAULT_REMAINING_MS))) - (self.world.now - since)
            if remaining <= durations.ZERO:
                callback(self.refusal(headers, 503))
            else:
                remaining_ms = str(max(1, durations.to_ms(remaining)))
                self.run(arrival, dict(headers, **{'zt-left-ms': remaining_ms}), callback)

    # -- failure modes of requests while health checks pass --------------------------

    def fail_by_error(self, arrival: open_records.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """The request runs and gets a 500."""
        request_id = arrival.id
        self.deployment.records.runs.append(arrival)
        body = json.dumps({'id': request_id, 'by': self.incarnation_id, 'error': True}).encode()
        self.record_response(request_id, 500, body)
        callback(effects.HttpResult(500, self.response_headers(request_id), body))

    def fail_by_shed(self, arrival: open_records.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """The request does not run and gets a 503, as if the queue were full."""
        callback(self.refusal(headers, 503))

    def fail_by_busy(self, arrival: open_records.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """The request does not run and gets a 429, as if there were too many requests."""
        callback(self.refusal(headers, 429))

    def fail_by_hang(self, arrival: open_records.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """The request runs and never gets a response."""
        self.deployment.records.runs.append(arrival)
        self.deployment.records.endpoint_failures.add(arrival.id)

    def fail_by_mute(self, arrival: open_records.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """The request does not run and never gets a response."""
        self.deployment.records.endpoint_failures.add(arrival.id)

    def fail_by_reset(self, arrival: open_records.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """The request does not run and its connection is reset."""
        self.deployment.records.endpoint_failures.add(arrival.id)
        callback(effects.HttpResult(fault='connection lost'))


FAILURE_MODES = {
    'errors': Endpoint.fail_by_error,
    'shed': Endpoint.fail_by_shed,
    'busy': Endpoint.fail_by_busy,
    'hang': Endpoint.fail_by_hang,
    'mute': Endpoint.fail_by_mute,
    'reset': Endpoint.fail_by_reset,
}
