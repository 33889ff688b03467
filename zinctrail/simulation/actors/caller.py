"""A caller: sends requests through the client library, and some by hand past it."""

import datetime
import random
import typing

import twisted.internet.defer as defer

import zinctrail.client.request_client as request_client
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.node as simulated_node

if typing.TYPE_CHECKING:
    import zinctrail.simulation.actors.deployment as client_deployment

ms = durations.ms

# How long a caller waits for a reply, and for one attempt that it makes by hand.
USUAL_TIMEOUT = ms(5000)
ATTEMPT_TIMEOUT = ms(2000)
# How often a caller repeats by hand in a storm.
STORM_REPEATS = 6
REMOTE_DIRECTORIES = 3


class WorldFetcher:
    """Lets the client libraries fetch through the world's network.

    :param observer: called with (address, path, request headers, result) after each call.
    """

    def __init__(
        self, deployment: 'client_deployment.Deployment', name: str, observer: typing.Callable | None = None
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.observer = observer

    def fetch(
        self,
        key: typing.Any,
        addr: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        wait: datetime.timedelta,
    ) -> defer.Deferred:
        """As transport.web.Fetcher."""
        deferred = self.deployment.world.fetch(self.name, addr, method, path, headers, body, wait)

        def observe(result: effects.HttpResult) -> effects.HttpResult:
            """Show the result to the observer, and pass it on."""
            if self.observer:
                self.observer(addr, path, headers, result)
            return result

        return deferred.addCallback(observe)


class Caller:
    """Sends requests through the client library, at a steady rate.

    :param rate: requests a second.
    :param storm: how often it repeats a request at once and often, past what the library would do.
    :param wild: how often it ignores its answer and goes to any proxy.
    """

    def __init__(
        self,
        deployment: 'client_deployment.Deployment',
        name: str,
        cell: str,
        services: list[str],
        rate: float,
        home: typing.Sequence[str] = (),
        timeout: datetime.timedelta = USUAL_TIMEOUT,
        storm: float = 0.0,
        wild: float = 0.0,
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.cell = cell
        self.services = services
        self.rate = rate
        self.timeout = timeout
        self.storm_chance = storm
        self.wild_chance = wild
        self.rng = random.Random(f'{self.world.seed}/{name}')
        directories = self.world.of('dir')
        near = [node.location.http for node in directories if node.location.cell == cell]
        far = [node.location.http for node in directories if node.location.cell != cell]
        self.rng.shuffle(far)
        self.library = request_client.RequestClient(
            self.world,
            near + far[:REMOTE_DIRECTORIES],
            cell,
            home,
            fetcher=WorldFetcher(deployment, name, self.note_attempt),
            clock=self.world.seconds,
            rng=self.rng,
        )
        self.on = False

    def start(self) -> None:
        """Send the first request within the mean time between two."""
        self.on = True
        self.world.after(ms(self.rng.uniform(0, 1000 / self.rate)), self.tick)

    def tick(self) -> None:
        """Send one request, and schedule the next."""
        if not self.on:
            return
        self.world.after(ms(self.rng.expovariate(self.rate / 1000)), self.tick)
        if self.rng.random() < self.wild_chance and self.library.lookup_result:
            self.repeat(self.new_request_id(), self.rng.choice(self.services), 1, 1)
        else:
            self.send_one()

    def new_request_id(self) -> str:
        """A request id as the library makes them, of the epoch that its lookup named."""
        lookup = self.library.lookup_result
        if lookup is None:
            raise LookupError(f'{self.name}: no lookup was answered yet')
        return f'{lookup["epoch"]}.{self.rng.getrandbits(80):020x}'

    def send_one(self, service: str | None = None, labels: dict[str, str] | None = None) -> defer.Deferred:
        """Send a request through the library and note its reply."""
        service = service or self.rng.choice(self.services)
        deferred = self.library.send(service, '/work', body=b'{}', labels=labels, timeout=self.timeout)
        return deferred.addCallback(self.replied, service, self.world.now)

    def replied(
        self, reply: request_client.Response, service: str, sent_at: datetime.timedelta
    ) -> request_client.Response:
        """Note a reply; in a storm, go on and repeat by hand."""
        self.deployment.records.replies.append(
            actor_records.Reply(
                sent_at=sent_at,
                responded_at=self.world.now,
                id=reply.id,
                service=service,
                outcome=reply.outcome,
                status=reply.status,
                body=reply.body,
                attempts=reply.attempts,
                fault=reply.fault,
                home=tuple(self.library.home),
                caller=self.name,
            )
        )
        if self.rng.random() < self.storm_chance and reply.id:
            delay = ms(self.rng.uniform(0, 50))
            self.world.after(delay, self.repeat, reply.id, service, reply.attempts + 1, STORM_REPEATS)
        return reply

    def repeat(self, request_id: str, service: str, attempt: int, left: int) -> None:
        """Repeat by hand, at once and `left` times, through any proxy."""
        proxy = self.rng.choice(self.world.of('prox'))
        self.send_by_hand(proxy, request_id, service, attempt, self.library.home)
        if left > 1:
            delay = ms(self.rng.uniform(1, 60))
            self.world.after(delay, self.repeat, request_id, service, attempt + 1, left - 1)

    def send_by_hand(
        self, proxy: simulated_node.Node, request_id: str, service: str, attempt: int, home: typing.Sequence[str]
    ) -> None:
        """Make one attempt as a plain HTTP client would."""
        address = proxy.location.http
        path = f'/r/{service}/work'
        headers = {
            'zt-id': request_id,
            'zt-attempt': str(attempt),
            'zt-left-ms': str(durations.to_ms(ATTEMPT_TIMEOUT)),
        }
        if home:
            headers['zt-home'] = ','.join(home)
        deferred = self.world.fetch(self.name, address, 'POST', path, headers, b'{}', ATTEMPT_TIMEOUT)
        deferred.addCallback(lambda result: self.note_attempt(address, path, headers, result))

    def note_attempt(self, proxy: str, path: str, headers: dict[str, str], result: effects.HttpResult) -> None:
        """Note how an attempt at a proxy ended; other calls of the library are passed over."""
        if 'zt-id' not in headers:
            return
        self.deployment.records.attempts.append(
            actor_records.Attempt(
                responded_at=self.world.now,
                id=headers['zt-id'],
                number=int(headers['zt-attempt']),
                proxy=proxy,
                outcome=result.headers.get('zt-outcome'),
                status=result.status,
                is_whole=not result.fault,
                home=[region for region in headers.get('zt-home', '').split(',') if region],
                body=result.body,
                service=path.split('/')[2],
            )
        )
