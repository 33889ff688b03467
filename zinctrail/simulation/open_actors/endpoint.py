"""An endpoint that links no library of ours: it works, waits, refuses, and fails in several ways."""

import dataclasses
import datetime
import json
import typing

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.open_actors.notes as open_notes
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.deployment as open_deployment

ms = durations.ms

HEARTBEAT_TIMEOUT = ms(1400)
# How long after a refusal to drain it signs off.
SIGN_OFF_AFTER_REFUSAL = ms(2000)
LEAVE_TIMEOUT = ms(3000)
# How much longer work takes while it is cold.
COLD_FACTOR = 3
# The spread of work times, and how many times the mean they are at most.
WORK_SPREAD = (-0.15, 0.55)
WORK_MOST = 20
USUAL_LEFT_MS = 3000
# How old an answer may be that comes a second time in the place of another.
DUPLICATE_MOST = ms(1000)


class Waiting(typing.NamedTuple):
    """A request that waits for a free slot."""

    arrival: open_notes.Arrival
    headers: dict[str, str]
    callback: typing.Callable
    since: datetime.timedelta


class Endpoint:
    """A server of one service, at one address; each start is a new incarnation."""

    def __init__(
        self, deployment: 'open_deployment.Deployment', name: str, address: str, service: str, cell: str, slots: int
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.address = address
        self.service = service
        self.cell = cell
        self.slots = slots
        self.queue_most = slots * 4
        # incarnation counts starts and ends; incarnation_id is the name that it is sent requests under.
        self.up = False
        self.incarnation = 0
        self.incarnation_id = ''
        self.sequence = 0
        self.state = 'ready'
        self.cold_until = durations.ZERO
        self.work_ms = terms.SERVICES[service].work_ms
        self.resets_when_full = terms.SERVICES[service].resets_when_full
        # Chances of a spoilt answer.
        self.loss_chance = self.truncation_chance = self.malformed_chance = self.duplicate_chance = 0.0
        # An answer that is to come a second time, and when it was first given.
        self.duplicate: tuple[effects.HttpResult, datetime.timedelta] | None = None
        # How a share of the requests fails while the health answer is good: one of FAILURE_MODES.
        self.failure_mode: str | None = None
        self.failure_share = 0.0
        # Whether the health answer is bad though all is well.
        self.reports_unhealthy = False
        # How long a connection may rest before it is dropped without notice.
        self.idle_limit: datetime.timedelta | None = None
        self.world.cells[name] = cell

    # -- life ---------------------------------------------------------------

    def start(self, cold: bool = True) -> None:
        """Start a new incarnation, unless it is up."""
        if self.up:
            return
        self.incarnation += 1
        self.up = True
        self.state = 'ready'
        self.sequence = 0
        self.duplicate = None
        self.incarnation_id = f'i-{self.name}-{self.incarnation}'
        # Requests at work, those that wait, and, by id, the callbacks of the first and what is noted of them.
        self.running = 0
        self.waiting: list[Waiting] = []
        self.open: dict[str | None, typing.Callable] = {}
        self.work: dict[str | None, open_notes.Work] = {}
        self.cold_until = self.world.now
        if cold:
            self.become_cold()
        self.world.endpoints[self.address] = self
        self.send_heartbeat(self.incarnation)

    def become_cold(self) -> None:
        """Be cold from now on, for COLD_S seconds."""
        self.cold_until = self.world.now + ms(1000 * terms.COLD_S)
        self.deployment.notes.cold_spans.append(
            open_notes.ColdSpan(self.world.now, self.cold_until, self.incarnation_id)
        )

    def kill(self, dark: bool = False) -> None:
        """End at once; dark: nobody is told, connections stay silent."""
        if not self.up:
            return
        self.up = False
        self.incarnation += 1
        if self.world.endpoints.get(self.address) is self:
            del self.world.endpoints[self.address]
        self.deployment.notes.broke.update(self.open)
        for work in self.work.values():
            work.ended_at = self.world.now
        for callback in list(self.open.values()):
            if not dark:
                callback(effects.HttpResult(fault='connection lost'))

    # -- heartbeats -----------------------------------------------------------

    def cold_ms(self) -> int:
        """How long it is still cold, in ms."""
        return max(0, durations.to_ms(self.cold_until - self.world.now))

    def heartbeat(self) -> dict:
        """The body of the next heartbeat."""
        self.sequence += 1
        return {
            'inc': self.incarnation_id,
            'addr': self.address,
            'service': self.service,
            'cell': self.cell,
            'slots': self.slots,
            'state': self.state,
            'seq': self.sequence,
            'cold_ms': self.cold_ms(),
        }

    def send_heartbeat(self, incarnation: int) -> None:
        """Send a heartbeat, and go on sending them while this incarnation is ready."""
        if incarnation == self.incarnation and self.state == 'ready':
            self.deployment.ask(self.name, 'POST', '/v1/beat', self.heartbeat, lambda answer: None, HEARTBEAT_TIMEOUT)
            self.world.after(self.world.settings.beat, self.send_heartbeat, incarnation)

    def drain(self, then: typing.Callable[[], typing.Any] | None = None) -> None:
        """Say that it drains, serve on for its time, sign off and end; then call then()."""
        if not self.up or self.state != 'ready':
            return
        self.state = 'draining'
        incarnation = self.incarnation
        incarnation_id = self.incarnation_id
        world = self.world
        notes = self.deployment.notes
        order = open_notes.Order('drain', size=0, sent_at=world.now)
        notes.orders.append(order)

        def drain_answered(answer: 'open_deployment.Answer') -> None:
            """Note the answer, and sign off after the bound on late requests, or soon if it was refused."""
            order.answered_at = world.now
            order.status = answer.status
            if incarnation != self.incarnation:
                return
            if answer.status == 200:
                notes.states.append(open_notes.StateChange(world.now, answer.node, incarnation_id, 'draining'))
                world.after(terms.TERMS.drain + terms.AFTER_DRAIN, self.sign_off, incarnation, then)
            else:
                world.after(SIGN_OFF_AFTER_REFUSAL, self.sign_off, incarnation, then)

        self.deployment.ask(self.name, 'POST', '/v1/beat', self.heartbeat, drain_answered, terms.TERMS.ack)

    def sign_off(self, incarnation: int, then: typing.Callable[[], typing.Any] | None) -> None:
        """Sign off and end, unless this incarnation has ended; then call then()."""
        if incarnation != self.incarnation:
            return
        incarnation_id = self.incarnation_id

        def leave_answered(answer: 'open_deployment.Answer') -> None:
            """Note the answer, and end."""
            if answer.status == 200:
                change = open_notes.StateChange(self.world.now, answer.node, incarnation_id, 'gone')
                self.deployment.notes.states.append(change)
            if incarnation == self.incarnation:
                self.kill()
                if then:
                    then()

        self.deployment.ask(
            self.name, 'POST', '/v1/leave', lambda: {'inc': incarnation_id}, leave_answered, LEAVE_TIMEOUT
        )

    # -- requests ---------------------------------------------------------------

    def refusal(self, headers: dict[str, str], status: int) -> effects.HttpResult:
        """An answer that promises that the request has not run."""
        return effects.HttpResult(status, {'zt-id': headers.get('zt-id', ''), 'zt-not-run': '1'}, b'')

    def call(self, call: effects.HttpRequest, callback: typing.Callable) -> str | None:
        """A request arrives; returns its id if it can be hung up."""
        if call.method == 'GET' and call.path == '/health':
            self.check_health(call, callback)
            return None
        headers = call.headers
        arrival = open_notes.Arrival(
            at=self.world.now,
            id=headers.get('zt-id'),
            incarnation=self.incarnation_id,
            meant_for=headers.get('zt-inc'),
            service=self.service,
            cell=self.cell,
            method=call.method,
            path=call.path,
            body=call.body,
            is_misdirected=headers.get('zt-inc') not in (None, self.incarnation_id),
        )
        self.deployment.notes.arrivals.append(arrival)
        if arrival.is_misdirected:
            callback(self.refusal(headers, 421))
        elif not arrival.id:
            callback(self.refusal(headers, 400))
        elif self.failure_mode and self.world.rng.random() < self.failure_share:
            FAILURE_MODES[self.failure_mode](self, arrival, headers, callback)
            return arrival.id
        elif self.running < self.slots:
            return self.run(arrival, headers, callback)
        elif len(self.waiting) < self.queue_most:
            self.waiting.append(Waiting(arrival, headers, callback, self.world.now))
            return arrival.id
        elif self.resets_when_full:
            self.fail_by_reset(arrival, headers, callback)
        else:
            callback(self.refusal(headers, 503))
        return None

    def hang_up(self, request_id: str) -> None:
        """Drop a request that waits or is at work, as most endpoints do once its connection is closed."""
        self.waiting = [waiting for waiting in self.waiting if waiting.arrival.id != request_id]
        if request_id in self.work:
            self.end_work(request_id)
            self.take_up_waiting()

    def check_health(self, call: effects.HttpRequest, callback: typing.Callable) -> None:
        """Answer a health check, slowly where all slots are taken."""
        incarnation = self.incarnation
        if self.running >= self.slots and len(self.waiting) >= self.queue_most:
            callback(self.refusal(call.headers, 503))
            return

        def answer() -> None:
            """Give the health answer, unless this incarnation has ended."""
            if incarnation == self.incarnation:
                is_well = self.state == 'ready' and not self.reports_unhealthy
                headers = {'zt-inc': self.incarnation_id, 'zt-cold-ms': str(self.cold_ms()), 'zt-load': self.load()}
                callback(effects.HttpResult(200 if is_well else 503, headers, b''))

        self.world.after(ms(2 if self.running < self.slots else self.work_ms), answer)

    def load(self) -> str:
        """Requests at work, those that wait, and slots, as the load header has them."""
        return f'{self.running},{len(self.waiting)},{self.slots}'

    def answer_headers(self, request_id: str) -> dict[str, str]:
        """The headers of an answer: the id of its request, a stamp, and the load."""
        return {'zt-id': request_id, 'zt-stamp': f'{request_id}.{self.incarnation_id}', 'zt-load': self.load()}

    def note_answer(self, request_id: str, status: int, body: bytes) -> None:
        """Note what was answered to a request."""
        given = open_notes.GivenAnswer(status, body, self.world.now)
        self.deployment.notes.given_answers.setdefault(request_id, []).append(given)

    # -- work -----------------------------------------------------------------------

    def run(self, arrival: open_notes.Arrival, headers: dict[str, str], callback: typing.Callable) -> str:
        """Work on a request, no longer than its caller waits; returns its id."""
        world = self.world
        self.running += 1
        self.deployment.notes.runs.append(dataclasses.replace(arrival, at=world.now))
        self.open[arrival.id] = callback
        factor = COLD_FACTOR if world.now < self.cold_until else 1
        random_work = ms(self.work_ms * factor * world.rng.lognormvariate(*WORK_SPREAD))
        work = min(random_work, ms(self.work_ms * WORK_MOST))
        left = ms(int(headers.get('zt-left-ms', USUAL_LEFT_MS)))
        noted = open_notes.Work(arrival.id, self.incarnation_id, world.now + min(work, left))
        self.work[arrival.id] = noted
        self.deployment.notes.work.append(noted)
        world.after(min(work, left), self.finish, self.incarnation, arrival, callback, work > left)
        return arrival.id

    def end_work(self, request_id: str | None) -> None:
        """A request is no longer at work."""
        self.running -= 1
        self.open.pop(request_id, None)
        self.work.pop(request_id).ended_at = self.world.now

    def finish(self, incarnation: int, arrival: open_notes.Arrival, callback: typing.Callable, is_late: bool) -> None:
        """The work is done: answer, and take up what waits."""
        world = self.world
        request_id = arrival.id
        if incarnation != self.incarnation or request_id not in self.work:
            return
        self.end_work(request_id)
        status = 504 if is_late else world.rng.choices((200, 500), (99.5, 0.5))[0]
        body = json.dumps({'id': request_id, 'by': self.incarnation_id, 'n': world.rng.getrandbits(32)}).encode()
        headers = self.answer_headers(request_id)
        self.note_answer(request_id, status, body)
        if self.state != 'ready':
            headers['connection'] = 'close'
        callback(self.spoil(request_id, effects.HttpResult(status, headers, body)))
        self.take_up_waiting()

    def spoil(self, request_id: str, result: effects.HttpResult) -> effects.HttpResult:
        """What becomes of an answer, as the chances have it."""
        now = self.world.now
        broke = self.deployment.notes.broke
        draw = self.world.rng.random()
        lost = self.loss_chance
        cut_short = lost + self.truncation_chance
        malformed = cut_short + self.malformed_chance
        if draw < malformed:
            broke.add(request_id)
        if self.duplicate is not None and now - self.duplicate[1] < DUPLICATE_MOST:
            # An answer of before comes a second time, in the place of this one.
            duplicate = self.duplicate[0]
            self.duplicate = None
            broke.add(request_id)
            return duplicate
        if draw < lost:
            return effects.HttpResult(fault='connection lost')
        if draw < cut_short:
            half = result.body[: len(result.body) // 2]
            return effects.HttpResult(result.status, result.headers, half, True, 'reply cut short')
        if draw < malformed:
            return effects.HttpResult(fault='ParseError')
        if draw < malformed + self.duplicate_chance:
            self.duplicate = (result, now)
        return result

    def take_up_waiting(self) -> None:
        """Run what waits, as long as there are slots; refuse what has waited for its whole time."""
        while self.waiting and self.running < self.slots:
            arrival, headers, callback, since = self.waiting.pop(0)
            left = ms(int(headers.get('zt-left-ms', USUAL_LEFT_MS))) - (self.world.now - since)
            if left <= durations.ZERO:
                callback(self.refusal(headers, 503))
            else:
                left_ms = str(max(1, durations.to_ms(left)))
                self.run(arrival, dict(headers, **{'zt-left-ms': left_ms}), callback)

    # -- ways to fail a request while the health answer is good --------------------------

    def fail_by_error(self, arrival: open_notes.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """It runs, and ends in an error."""
        request_id = arrival.id
        self.deployment.notes.runs.append(arrival)
        body = json.dumps({'id': request_id, 'by': self.incarnation_id, 'error': True}).encode()
        self.note_answer(request_id, 500, body)
        callback(effects.HttpResult(500, self.answer_headers(request_id), body))

    def fail_by_shed(self, arrival: open_notes.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """It does not run, and is refused as if there were no room."""
        callback(self.refusal(headers, 503))

    def fail_by_busy(self, arrival: open_notes.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """It does not run, and is refused as if there were too many requests."""
        callback(self.refusal(headers, 429))

    def fail_by_hang(self, arrival: open_notes.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """It runs, and nothing ever comes back."""
        self.deployment.notes.runs.append(arrival)
        self.deployment.notes.broke.add(arrival.id)

    def fail_by_mute(self, arrival: open_notes.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """It does not run, and nothing comes back."""
        self.deployment.notes.broke.add(arrival.id)

    def fail_by_reset(self, arrival: open_notes.Arrival, headers: dict[str, str], callback: typing.Callable) -> None:
        """It does not run, and the connection is reset."""
        self.deployment.notes.broke.add(arrival.id)
        callback(effects.HttpResult(fault='connection lost'))


FAILURE_MODES = {
    'errors': Endpoint.fail_by_error,
    'shed': Endpoint.fail_by_shed,
    'busy': Endpoint.fail_by_busy,
    'hang': Endpoint.fail_by_hang,
    'mute': Endpoint.fail_by_mute,
    'reset': Endpoint.fail_by_reset,
}
