"""A caller that sends requests through the client library, and some directly over HTTP."""

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

# The timeout of a request through the library, and of a single attempt over HTTP.
DEFAULT_TIMEOUT = ms(5000)
ATTEMPT_TIMEOUT = ms(2000)
# The number of direct retries of one request in a retry storm.
STORM_RETRIES = 6
REMOTE_DIRECTORIES = 3


class WorldFetcher:
    """Sends the client libraries' calls through the simulated network.

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
        """Fetch as transport.web.Fetcher does."""
        deferred = self.deployment.world.fetch(self.name, addr, method, path, headers, body, wait)

        def observe(result: effects.HttpResult) -> effects.HttpResult:
            """Show the result to the observer, and pass it on."""
            if self.observer:
                self.observer(addr, path, headers, result)
            return result

        return deferred.addCallback(observe)


class Caller:
    """Sends requests through the client library, at random intervals with a constant mean rate.

    :param rate: the mean number of requests per second.
    :param storm: the probability that it retries a request at once and many times, beyond what the library does.
    :param wild: the probability that it ignores the lookup response and sends the request to any proxy.
    """

    def __init__(
        self,
        deployment: 'client_deployment.Deployment',
        name: str,
        zone: str,
        services: list[str],
        rate: float,
        home: typing.Sequence[str] = (),
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
        storm: float = 0.0,
        any_proxy_share: float = 0.0,
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.zone = zone
        self.services = services
        self.rate = rate
        self.timeout = timeout
        self.storm_chance = storm
        self.wild_chance = any_proxy_share
        self.rng = random.Random(f'{self.world.seed}/{name}')
        directories = self.world.of('dir')
        near = [node.location.http for node in directories if node.location.cell == zone]
        far = [node.location.http for node in directories if node.location.cell != zone]
        self.rng.shuffle(far)
        self.library = request_client.RequestClient(
            self.world,
            near + far[:REMOTE_DIRECTORIES],
            zone,
            home,
            fetcher=WorldFetcher(deployment, name, self.record_attempt),
            clock=self.world.seconds,
            rng=self.rng,
        )
        self.on = False

    def start(self) -> None:
        """Send the first request after a random delay of at most the mean interval."""
        self.on = True
        self.world.after(ms(self.rng.uniform(0, 1000 / self.rate)), self.tick)

    def tick(self) -> None:
        """Send one request, and schedule the next."""
        if not self.on:
            return
        self.world.after(ms(self.rng.expovariate(self.rate / 1000)), self.tick)
        if self.rng.random() < self.wild_chance and self.library.lookup_result:
            self.retry_directly(self.new_request_id(), self.rng.choice(self.services), 1, 1)
        else:
            self.send_one()

    def new_request_id(self) -> str:
        """Return a request id as the library makes them, with the epoch of its last lookup response."""
        lookup = self.library.lookup_result
        if lookup is None:
            raise LookupError(f'{self.name}: no lookup was answered yet')
        return f'{lookup["epoch"]}.{self.rng.getrandbits(80):020x}'

    def send_one(self, service: str | None = None, labels: dict[str, str] | None = None) -> defer.Deferred:
        """Send a request through the library and record its response."""
        service = service or self.rng.choice(self.services)
        deferred = self.library.send(service, '/work', body=b'{}', labels=labels, timeout=self.timeout)
        return deferred.addCallback(self.on_response, service, self.world.now)

    def on_response(
        self, response: request_client.Response, service: str, sent_at: datetime.timedelta
    ) -> request_client.Response:
        """Record a response; in a retry storm, start direct retries of the request."""
        self.deployment.records.responses.append(
            actor_records.Response(
                sent_at=sent_at,
                responded_at=self.world.now,
                id=response.id,
                service=service,
                outcome=response.outcome,
                status=response.status,
                body=response.body,
                attempts=response.attempts,
                fault=response.fault,
                home=tuple(self.library.home),
                caller=self.name,
            )
        )
        if self.rng.random() < self.storm_chance and response.id:
            delay = ms(self.rng.uniform(0, 50))
            self.world.after(delay, self.retry_directly, response.id, service, response.attempts + 1, STORM_RETRIES)
        return response

    def retry_directly(self, request_id: str, service: str, attempt: int, remaining: int) -> None:
        """Send `remaining` attempts in quick succession, each directly to a random proxy."""
        proxy = self.rng.choice(self.world.of('prox'))
        self.send_directly(proxy, request_id, service, attempt, self.library.home)
        if remaining > 1:
            delay = ms(self.rng.uniform(1, 60))
            self.world.after(delay, self.retry_directly, request_id, service, attempt + 1, remaining - 1)

    def send_directly(
        self, proxy: simulated_node.Node, request_id: str, service: str, attempt: int, home: typing.Sequence[str]
    ) -> None:
        """Send one attempt to a proxy as a plain HTTP client does."""
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
        deferred.addCallback(lambda result: self.record_attempt(address, path, headers, result))

    def record_attempt(self, proxy: str, path: str, headers: dict[str, str], result: effects.HttpResult) -> None:
        """Record how an attempt at a proxy ended; the library's other calls, which have no id, are ignored."""
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
                is_complete=not result.fault,
                home=[region for region in headers.get('zt-home', '').split(',') if region],
                body=result.body,
                service=path.split('/')[2],
            )
        )
