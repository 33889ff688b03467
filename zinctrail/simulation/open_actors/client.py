"""A client: looks fronts up and sends requests to them, as PROTOCOL.md says of clients."""

import dataclasses
import datetime
import json
import random
import typing

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.open_actors.notes as open_notes
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.deployment as open_deployment

ms = durations.ms

LOOKUP_TIMEOUT = ms(1000)
LOOKUP_ATTEMPTS = 3
# How long a client uses an answer at most, how soon it asks again after a failure, and how long it avoids a bad front.
LOOKUP_VALID_MOST = ms(5000)
LOOKUP_RETRY = ms(500)
FRONT_AVOIDED = ms(2000)
RETRIES_MOST = 2


@dataclasses.dataclass(slots=True)
class Lookup:
    """What a client knows of one host: addresses of fronts, until when it uses them, whether it asks anew."""

    fronts: list[str] = dataclasses.field(default_factory=list)
    valid_until: datetime.timedelta = durations.ZERO
    is_asking: bool = False


class Client:
    """Sends requests at a steady rate.

    :param rate: requests a second.
    :param holds: for how many times its validity it uses an answer.
    """

    def __init__(
        self, deployment: 'open_deployment.Deployment', name: str, cell: str, rate: float, holds: int = 1
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.cell = cell
        self.rate = rate
        self.holds = holds
        self.rng = random.Random(f'{self.world.seed}/{name}')
        # What it was told of each host, and until when each bad front is avoided.
        self.lookups: dict[str, Lookup] = {}
        self.avoided_until: dict[str, datetime.timedelta] = {}
        # Further requests that it sends at once for each one that fails, past the rules.
        self.extra_repeats = 0
        # Within what time it gives up a request that has no answer yet; None if it waits as long as its requests say.
        self.patience: datetime.timedelta | None = None
        self.sent = 0
        self.on = False
        self.world.cells[name] = cell

    def start(self) -> None:
        """Look the fronts of each host up, and send the first request soon after."""
        self.on = True
        for host in sorted({rule['host'] for rule in self.deployment.rules.values()}):
            self.look_up(host)
        self.world.after(ms(self.rng.uniform(500, 500 + 1000 / self.rate)), self.tick)

    def look_up(self, host: str, attempts: int = LOOKUP_ATTEMPTS) -> None:
        """Ask a control node for the fronts of a host, the first time one nearby."""
        lookup = self.lookups.setdefault(host, Lookup())
        lookup.is_asking = True
        nodes = self.world.of('core')
        near = [node for node in nodes if node.location.cell == self.cell]
        node = self.rng.choice(near if near and attempts == LOOKUP_ATTEMPTS else nodes)
        body = json.dumps({'cell': self.cell, 'front': True, 'most': 64, 'host': host}).encode()
        deferred = self.world.fetch(self.name, node.location.http, 'POST', '/v1/answer', {}, body, LOOKUP_TIMEOUT)

        def answered(result: effects.HttpResult) -> None:
            """Note the answer to an attempt, and retry where that is allowed."""
            if result.status == 200:
                document = json.loads(result.body)
                lookup.fronts = document['proxies']
                lookup.is_asking = False
                self.avoided_until = {}
                valid = min(ms(document['ttl_ms']), LOOKUP_VALID_MOST)
                lookup.valid_until = self.world.now + valid * self.holds
            elif attempts > 1:
                self.look_up(host, attempts - 1)
            else:
                lookup.is_asking = False
                lookup.valid_until = self.world.now + LOOKUP_RETRY

        deferred.addCallback(answered)

    def tick(self) -> None:
        """Send one request, and schedule the next."""
        if not self.on:
            return
        self.world.after(ms(self.rng.expovariate(self.rate / 1000)), self.tick)
        self.send_one()

    def send_one(self, rule: dict | None = None) -> None:
        """Send a request that a rule matches, a random one by default."""
        rule = rule or self.deployment.pick_rule(self.rng)
        if rule is None:
            return
        self.sent += 1
        request = open_notes.Request(
            number=f'{self.name}/{self.sent}',
            rule=rule['name'],
            runs_once=rule['once'],
            host=rule['host'],
            path=f'{rule["prefix"]}{self.rng.getrandbits(20):x}',
            method='POST' if rule['once'] else 'GET',
            body=b'x' * 10 if rule['once'] else b'',
            home=rule.get('home', []),
            sent_at=self.world.now,
            until=self.world.now + ms(rule['timeout_ms']),
        )
        self.attempt(request, RETRIES_MOST)

    def attempt(self, request: open_notes.Request, retries: int) -> None:
        """Send a request to a front once; what fails is retried as the rules allow."""
        world = self.world
        lookup = self.lookups.setdefault(request.host, Lookup())
        if world.now >= lookup.valid_until and not lookup.is_asking:
            self.look_up(request.host)
        usable = [front for front in lookup.fronts if self.avoided_until.get(front, durations.ZERO) <= world.now]
        fronts = usable or lookup.fronts
        if not fronts:
            return
        front = self.rng.choice(fronts)
        node = world.by_http.get(front)
        request_id = f'{self.rng.getrandbits(64):016x}'
        attempt = open_notes.Attempt(
            id=request_id,
            request=request,
            front=node.name if node else front,
            front_incarnation=node.incarnation if node else 0,
            sent_at=world.now,
        )
        self.deployment.notes.attempts.append(attempt)
        self.deployment.by_id[request_id] = attempt
        wait = request.until - world.now
        headers = {
            'host': request.host,
            'zt-id': request_id,
            'zt-left-ms': str(max(1, durations.to_ms(wait))),
        }
        if self.patience is not None:
            wait = min(wait, self.patience * self.rng.random())
        deferred = world.fetch(self.name, front, request.method, request.path, headers, request.body, wait)
        deferred.addCallback(self.answered, request, attempt, front, retries)

    def answered(
        self,
        result: effects.HttpResult,
        request: open_notes.Request,
        attempt: open_notes.Attempt,
        front: str,
        retries: int,
    ) -> None:
        """Note the answer to an attempt, and retry where that is allowed."""
        attempt.answered_at = self.world.now
        attempt.status = result.status
        attempt.fault = result.fault
        attempt.headers = result.headers
        attempt.answer_body = result.body
        attempt.was_sent = result.sent
        if result.fault == 'late' and self.world.now < request.until:
            attempt.left_at = self.world.now
            return
        if not result.sent or result.fault == 'connection lost':
            self.avoided_until[front] = self.world.now + FRONT_AVOIDED
        if self.may_retry(request, attempt, retries):
            self.retry(request, attempt, retries)

    def may_retry(self, request: open_notes.Request, attempt: open_notes.Attempt, retries: int) -> bool:
        """Whether PROTOCOL.md lets a client retry after this answer."""
        is_answered = not attempt.fault
        status = attempt.status or 0
        is_final = is_answered and (200 <= status < 300 or status in terms.FINAL)
        has_not_run = not attempt.was_sent or (is_answered and status in terms.PROMISE)
        if is_final or retries <= 0 or self.world.now >= request.until:
            return False
        return has_not_run or not request.runs_once

    def retry(self, request: open_notes.Request, attempt: open_notes.Attempt, retries: int) -> None:
        """Schedule the next attempt, and with it the repeats of a client that abuses retries."""
        world = self.world
        for _ in range(self.extra_repeats):
            # Without a retry of its own: each of these is one repeat at once, and no more.
            world.after(ms(self.rng.uniform(0, 50)), self.attempt, request, 0)
        wait = ms(self.rng.uniform(1, 30))
        retry_after = attempt.headers.get('retry-after')
        if retry_after and not self.extra_repeats:
            wait = max(wait, min(ms(1000 * float(retry_after)), (request.until - world.now) / 3))
        world.after(wait, self.attempt, request, retries - 1)
