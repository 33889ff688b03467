"""A deployment of processes and users in one simulated world, for scenarios of open traffic."""

import datetime
import json
import random
import typing

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.open_actors.application as open_application
import zinctrail.simulation.open_actors.client as open_client
import zinctrail.simulation.open_actors.endpoint as open_endpoint
import zinctrail.simulation.open_actors.operator as open_operator
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.checkers.open_contact as open_contact
    import zinctrail.simulation.open_actors.world as open_world

ms = durations.ms

START_TIMEOUT = ms(60000)
CONFIGURATION_TIMEOUT = ms(30000)
CALL_TIMEOUT = ms(1000)
FINAL_STATUSES = (200, 400, 404, 405, 409, 410, 413, 422)
CLIENTS_PER_ZONE = 3
# Each zone's clients use a lookup response for this multiple of its validity: one of three keeps it too long.
CLIENT_VALIDITY_FACTORS = (1, 1, 3)


class Response(typing.NamedTuple):
    """The final response to a call after all its attempts; status 0 if no attempt got a response."""

    status: int
    document: dict
    # The node that the last attempt was sent to, when it was sent, and the statuses of all attempts.
    node: str
    sent_at: datetime.timedelta
    statuses: tuple[int, ...]


class Deployment:
    """The processes, endpoints and users of a deployment with one of the shapes in terms.SHAPES."""

    # Which processes were in contact with the control nodes, and when; open_checks.run sets it before the checkers run.
    contact: 'open_contact.Contact'

    def __init__(self, world: 'open_world.World', shape: terms.Shape) -> None:
        self.world = world
        self.shape = shape
        self.records = world.records
        self.zones = deployments.zones_of(shape)
        self.endpoints: list[open_endpoint.Endpoint] = []
        self.clients: list[open_client.Client] = []
        self.applications: list[open_application.Application] = []
        # The clients' attempts by request id.
        self.attempts_by_id: dict[str | None, open_records.Attempt] = {}
        # Called with the name of a node that acknowledged an operator's command, or an application's call.
        self.on_acknowledged: typing.Callable[[str], typing.Any] | None = None
        self.on_call_accepted: typing.Callable[[str], typing.Any] | None = None
        self.version = 3
        # The rules that clients send requests for, by name.
        self.rules: dict[str, dict] = {}
        for role, count in (('core', shape['cores']), ('prox', shape['proxies'])):
            for number in range(count):
                name = f'{role}{number}'
                zone = self.zone_at(number)
                world.add(name, role, zone, front=role == 'prox', directory=role == 'core')
        self.seeds = [world.nodes[f'core{i}'].location.addr for i in range(3)]
        for node in world.nodes.values():
            node.location.seeds = list(self.seeds)
        # The names of the control nodes that callers know of.
        self.known_control_nodes: list[str] = []
        for service in terms.SERVICES:
            for number in range(shape['ends']):
                self.add_endpoint(service, self.zone_at(number))
        self.operator = open_operator.Operator(self)

    def zone_at(self, number: int) -> str:
        """Return the name of the zone at an index; the index wraps around."""
        return self.zones[number % len(self.zones)]

    def region_of(self, name: str) -> str:
        """Return the region of a process, endpoint or user."""
        return self.world.zones[name].split('/')[0]

    def add_endpoint(self, service: str, zone: str, address: str | None = None) -> open_endpoint.Endpoint:
        """Add an endpoint that is not started yet."""
        number = len(self.endpoints) + 1
        address = address or f'10.9.{number >> 8}.{number & 255}:80'
        endpoint = open_endpoint.Endpoint(self, f'end{number}', address, service, zone, self.shape['slots'])
        self.endpoints.append(endpoint)
        return endpoint

    def running_endpoints(self, service: str) -> list[open_endpoint.Endpoint]:
        """Return the endpoints of a service that are up."""
        return [endpoint for endpoint in self.endpoints if endpoint.service == service and endpoint.up]

    # -- calls ------------------------------------------------------------------

    def refresh_known_control_nodes(self) -> None:
        """Refresh, every 500 ms, the control nodes that callers know of; callers see each change `seed_lag` later."""
        names = [node.name for node in self.world.of('core') if node.up]
        self.world.after(terms.TERMS.seed_lag, setattr, self, 'known_control_nodes', names)
        self.world.after(ms(500), self.refresh_known_control_nodes)

    def ask(
        self,
        caller: str,
        method: str,
        path: str,
        body: typing.Callable[[], bytes | dict | None],
        callback: typing.Callable[[Response], typing.Any],
        length: datetime.timedelta,
        final: tuple[int, ...] = FINAL_STATUSES,
        wait: datetime.timedelta = CALL_TIMEOUT,
    ) -> None:
        """Send a call to random control nodes until it has a conclusive response or `length` has passed.

        :param body: called before each attempt; returns its body.
        :param final: the statuses of a conclusive response.
        :param wait: the timeout of one attempt.
        """
        world = self.world
        until = world.now + length
        statuses = []

        def attempt() -> None:
            """Send the call to a random one of the control nodes that callers know of."""
            names = [name for name in self.known_control_nodes if name in world.nodes] or [
                node.name for node in world.of('core')
            ]
            node = world.nodes[world.rng.choice(names)]
            made = body()
            raw = made if isinstance(made, bytes) else json.dumps(made).encode() if made is not None else b''
            sent_at = world.now
            deferred = world.fetch(caller, node.location.http, method, path, {}, raw, wait)
            deferred.addCallback(on_response, node.name, sent_at)

        def on_response(result: effects.HttpResult, node: str, sent_at: datetime.timedelta) -> None:
            """Pass on a conclusive response; retry with exponential backoff after any other."""
            status = 0 if result.fault else result.status
            statuses.append(status)
            try:
                document = json.loads(result.body) if status and result.body else {}
            except ValueError:
                document = {}
            if status in final or world.now >= until:
                callback(Response(status, document, node, sent_at, tuple(statuses)))
            else:
                world.after(ms(min(1000, 40 * 2 ** len(statuses))), attempt)

        attempt()

    def report_acknowledged(self, node: str) -> None:
        """Report that a node acknowledged a command."""
        if self.on_acknowledged:
            self.on_acknowledged(node)

    def report_call_accepted(self, node: str) -> None:
        """Report that a node responded to an application's call with success."""
        if self.on_call_accepted:
            self.on_call_accepted(node)

    # -- configuration --------------------------------------------------------------

    def next_version(self) -> int:
        """Return a version for an item, higher than all earlier ones."""
        self.version += self.world.rng.choice((1, 2, 5))
        return self.version

    def first_items(self) -> dict:
        """Return the configuration items that a scenario begins with."""
        version = self.next_version()
        pools = [
            {
                'name': name,
                'health': '/health',
                'connections': 100,
                'cold_s': terms.WARM_UP_S,
                'cold_per_s': terms.WARM_UP_RATE,
                'version': version,
            }
            for name in terms.SERVICES
        ]
        rules = [
            {
                'name': f'r-{name}',
                'host': f'{name}.example',
                'prefix': f'/{name}/',
                'once': service.once,
                'timeout_ms': service.timeout_ms,
                'aim_ms': service.latency_target_ms,
                'rank': 1,
                'attempts': 2,
                'home': ['r0', 'r1'] if name == 'loans' else [],
                'pool': name,
                'version': version,
            }
            for name, service in terms.SERVICES.items()
        ]
        # Two prefixes on one host: the rule with the longest matching prefix applies.
        rules.append(dict(rules[0], name='r-deep', prefix='/search/deep/', pool='sync'))
        limits = {
            'version': version,
            'header_bytes': 16384,
            'body_bytes': 1 << 26,
            'header_ms': 3000,
            'idle_ms': 15000,
        }
        return {'rules': rules, 'pools': pools, 'limits': limits}

    def pick_rule(self, rng: random.Random) -> dict | None:
        """Return a random rule that clients send requests for, or None if there is none."""
        rules = [rule for rule in self.rules.values() if rule.get('lively', True)]
        return rng.choice(rules) if rules else None

    def set_rules(
        self,
        rows: list[dict],
        drop: typing.Sequence[dict] = (),
        operator: open_operator.Operator | None = None,
        lively: bool = True,
        callback: typing.Callable[[int], typing.Any] = open_operator.ignore,
    ) -> None:
        """Change and drop rules; clients use the new rules once the change is acknowledged.

        :param lively: whether clients draw these rules for their own requests.
        """

        def on_response(status: int) -> None:
            """Let clients use the rules once they are acknowledged."""
            if status == 200:
                for row in rows:
                    if row['version'] >= self.rules.get(row['name'], row)['version']:
                        self.rules[row['name']] = dict(row, lively=lively)
                for row in drop:
                    self.rules.pop(row['name'], None)
            callback(status)

        drops = {'rules': [{'name': row['name'], 'version': row['version']} for row in drop]}
        (operator or self.operator).change({'rules': rows}, drops, on_response)

    # -- start and end of the scenario ----------------------------------------------------

    def start(self) -> None:
        """Start all processes and endpoints; return once there is a leader and the first items are acknowledged.

        :raises AssertionError: if no leader is elected or the items are not accepted.
        """
        world = self.world
        for node in world.nodes.values():
            world.after(ms(world.rng.uniform(0, 300)), node.start)
        self.refresh_known_control_nodes()
        if not world.run(START_TIMEOUT, lambda: world.leader() is not None):
            raise AssertionError(f'no leader: seed {world.seed}')
        statuses = []
        items = self.first_items()

        def on_response(status: int) -> None:
            """Record the status, and let clients use the first rules."""
            statuses.append(status)
            if status == 200:
                self.rules = {rule['name']: rule for rule in items['rules']}

        self.operator.change(items, None, on_response)
        for endpoint in self.endpoints:
            world.after(ms(world.rng.uniform(0, 1000)), endpoint.start, False)
        world.run(CONFIGURATION_TIMEOUT, lambda: bool(statuses))
        if statuses != [200]:
            raise AssertionError(f'configuration not accepted: {statuses}, seed {world.seed}')
        world.run(ms(4000))

    def start_clients(self, rate: float | None = None) -> None:
        """Start clients in each zone that together send `rate` requests per second."""
        rate = rate or self.shape['rate']
        count = len(self.zones) * CLIENTS_PER_ZONE
        for number in range(count):
            validity_factor = CLIENT_VALIDITY_FACTORS[number // len(self.zones)]
            client = open_client.Client(self, f'client{number}', self.zone_at(number), rate / count, validity_factor)
            self.clients.append(client)
            client.start()

    def start_applications(self, count: int = 3) -> None:
        """Start applications, spread over the zones."""
        for number in range(count):
            application = open_application.Application(self, f'app{number}', self.zone_at(number))
            self.applications.append(application)
            application.start()

    def stop_load(self, length: datetime.timedelta = ms(6000)) -> None:
        """Switch off clients and applications, and run on for `length` so that requests in progress end."""
        for user in self.clients + self.applications:
            user.on = False
        self.world.run(length)

    def tally(self) -> dict[str, int]:
        """Return the number of attempts by status: 'ok' for a success, 'none' for no response."""
        counts: dict[str, int] = {}
        for attempt in self.records.attempts:
            status = attempt.status
            is_good = status and 200 <= status < 300 and not attempt.fault
            key = 'ok' if is_good else str(status or 'none')
            counts[key] = counts.get(key, 0) + 1
        return counts
