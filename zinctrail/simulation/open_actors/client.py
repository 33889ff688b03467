"""A client that looks up ingresses and sends requests to them, by the rules of PROTOCOL.md for clients."""

import dataclasses
import datetime
import json
import random
import typing

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.deployment as open_deployment

ms = durations.ms

LOOKUP_TIMEOUT = ms(1000)
LOOKUP_ATTEMPTS = 3
# The maximum validity of a lookup response, the delay before a failed lookup is repeated, and how long a client
# avoids an ingress that failed.
MAX_LOOKUP_VALIDITY = ms(5000)
LOOKUP_RETRY = ms(500)
INGRESS_AVOIDANCE = ms(2000)
MAX_RETRIES = 2


@dataclasses.dataclass(slots=True)
class Lookup:
    """A cached lookup of one host: ingress addresses, when they expire, and whether a new lookup is under way."""

    ingresses: list[str] = dataclasses.field(default_factory=list)
    valid_until: datetime.timedelta = durations.ZERO
    is_asking: bool = False


class Client:
    """Sends requests at random intervals with a constant mean rate.

    :param rate: the mean number of requests per second.
    :param holds: the client uses a lookup response for this multiple of its validity.
    """

    def __init__(
        self, deployment: 'open_deployment.Deployment', name: str, zone: str, rate: float, validity_factor: int = 1
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.zone = zone
        self.rate = rate
        self.validity_factor = validity_factor
        self.rng = random.Random(f'{self.world.seed}/{name}')
        # The cached lookup of each host, and until when each failed ingress is avoided.
        self.lookups: dict[str, Lookup] = {}
        self.avoided_until: dict[str, datetime.timedelta] = {}
        # Extra retries sent immediately for each failed request, in breach of the protocol's rules.
        self.extra_retries = 0
        # Upper bound of the random time after which the client abandons a request without a response; None if it waits
        # until the request's deadline.
        self.abandon_timeout: datetime.timedelta | None = None
        self.sent = 0
        self.on = False
        self.world.zones[name] = zone

    def start(self) -> None:
        """Look up the ingresses of each host, and send the first request soon after."""
        self.on = True
        for host in sorted({rule['host'] for rule in self.deployment.rules.values()}):
            self.look_up(host)
        self.world.after(ms(self.rng.uniform(500, 500 + 1000 / self.rate)), self.tick)

    def look_up(self, host: str, attempts: int = LOOKUP_ATTEMPTS) -> None:
        """Ask a control node for the ingresses of a host; the first attempt prefers one in the client's zone."""
        lookup = self.lookups.setdefault(host, Lookup())
        lookup.is_asking = True
        nodes = self.world.of('core')
        near = [node for node in nodes if node.location.cell == self.zone]
        node = self.rng.choice(near if near and attempts == LOOKUP_ATTEMPTS else nodes)
        body = json.dumps({'cell': self.zone, 'front': True, 'most': 64, 'host': host}).encode()
        deferred = self.world.fetch(self.name, node.location.http, 'POST', '/v1/answer', {}, body, LOOKUP_TIMEOUT)

        def on_response(result: effects.HttpResult) -> None:
            """Store the lookup response, or retry at another control node."""
            if result.status == 200:
                document = json.loads(result.body)
                lookup.ingresses = document['proxies']
                lookup.is_asking = False
                self.avoided_until = {}
                valid = min(ms(document['ttl_ms']), MAX_LOOKUP_VALIDITY)
                lookup.valid_until = self.world.now + valid * self.validity_factor
            elif attempts > 1:
                self.look_up(host, attempts - 1)
            else:
                lookup.is_asking = False
                lookup.valid_until = self.world.now + LOOKUP_RETRY

        deferred.addCallback(on_response)

    def tick(self) -> None:
        """Send one request, and schedule the next."""
        if not self.on:
            return
        self.world.after(ms(self.rng.expovariate(self.rate / 1000)), self.tick)
        self.send_one()

    def send_one(self, rule: dict | None = None) -> None:
        """Send a request that matches a rule; the rule is random by default."""
        rule = rule or self.deployment.pick_rule(self.rng)
        if rule is None:
            return
        self.sent += 1
        request = open_records.Request(
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
        self.attempt(request, MAX_RETRIES)

    def attempt(self, request: open_records.Request, retries: int) -> None:
        """Send one attempt of a request to an ingress; a failure is retried as the protocol's rules allow."""
        world = self.world
        lookup = self.lookups.setdefault(request.host, Lookup())
        if world.now >= lookup.valid_until and not lookup.is_asking:
            self.look_up(request.host)
        usable = [
            ingress for ingress in lookup.ingresses if self.avoided_until.get(ingress, durations.ZERO) <= world.now
        ]
        ingresses = usable or lookup.ingresses
        if not ingresses:
            return
        ingress = self.rng.choice(ingresses)
        node = world.by_http.get(ingress)
        request_id = f'{self.rng.getrandbits(64):016x}'
        attempt = open_records.Attempt(
            id=request_id,
            request=request,
            proxy=node.name if node else ingress,
            proxy_incarnation=node.incarnation if node else 0,
            sent_at=world.now,
        )
        self.deployment.records.attempts.append(attempt)
        self.deployment.attempts_by_id[request_id] = attempt
        wait = request.until - world.now
        headers = {
            'host': request.host,
            'zt-id': request_id,
            'zt-left-ms': str(max(1, durations.to_ms(wait))),
        }
        if self.abandon_timeout is not None:
            wait = min(wait, self.abandon_timeout * self.rng.random())
        deferred = world.fetch(self.name, ingress, request.method, request.path, headers, request.body, wait)
        deferred.addCallback(self.on_response, request, attempt, ingress, retries)

    def on_response(
        self,
        result: effects.HttpResult,
        request: open_records.Request,
        attempt: open_records.Attempt,
        ingress: str,
        retries: int,
    ) -> None:
        """Record the response to an attempt, and retry where that is allowed."""
        attempt.responded_at = self.world.now
        attempt.status = result.status
        attempt.fault = result.fault
        attempt.headers = result.headers
        attempt.response_body = result.body
        attempt.was_sent = result.sent
        if result.fault == 'late' and self.world.now < request.until:
            attempt.abandoned_at = self.world.now
            return
        if not result.sent or result.fault == 'connection lost':
            self.avoided_until[ingress] = self.world.now + INGRESS_AVOIDANCE
        if self.may_retry(request, attempt, retries):
            self.retry(request, attempt, retries)

    def may_retry(self, request: open_records.Request, attempt: open_records.Attempt, retries: int) -> bool:
        """True if PROTOCOL.md allows a client to retry after this response."""
        has_response = not attempt.fault
        status = attempt.status or 0
        is_final = has_response and (200 <= status < 300 or status in terms.FINAL_STATUSES)
        has_not_run = not attempt.was_sent or (has_response and status in terms.NOT_RUN_STATUSES)
        if is_final or retries <= 0 or self.world.now >= request.until:
            return False
        return has_not_run or not request.runs_once

    def retry(self, request: open_records.Request, attempt: open_records.Attempt, retries: int) -> None:
        """Schedule the next attempt, and the extra retries of a client that abuses retries."""
        world = self.world
        for _ in range(self.extra_retries):
            # An extra retry is not retried itself: each is a single immediate attempt.
            world.after(ms(self.rng.uniform(0, 50)), self.attempt, request, 0)
        wait = ms(self.rng.uniform(1, 30))
        retry_after = attempt.headers.get('retry-after')
        if retry_after and not self.extra_retries:
            wait = max(wait, min(ms(1000 * float(retry_after)), (request.until - world.now) / 3))
        world.after(wait, self.attempt, request, retries - 1)
