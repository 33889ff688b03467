"""One soak: a deployment of real processes, endpoints and clients, disturbances for a while, then verdicts."""

import asyncio
import http.client
import random
import shutil
import typing

import features.support.deployment as deployment
import features.support.deployment_client as deployment_client
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents
import features.support.soak.clients as soak_clients
import features.support.soak.disturbances as soak_disturbances
import features.support.soak.endpoints as soak_endpoints
import features.support.soak.keepers as keepers
import features.support.soak.notes as soak_notes
import features.support.soak.verdicts as verdicts

CALL_TIMEOUT_S = 3.0
CONTROL_RETRY_S = 0.1
CONTROL_LIMIT_S = 40.0
READY_LIMIT_S = 90.0
WARM_UP_S = 1.0
ENDPOINTS_PER_SERVICE = 4
CLIENTS_PER_ZONE = 8
ROUTE_TIMEOUT_MS = 3500
# How long idle connections to endpoints are kept at most, and a little more.
IDLE_S = 4.5
# How often it is measured whether the loop is late.
LAG_INTERVAL_S = 0.02
# The last byte of the first endpoint's address; each has an address that no earlier one had.
FIRST_ENDPOINT = 1
FINAL_STATUSES = (200, 400, 404, 409, 413, 422)


class Route(typing.NamedTuple):
    """A route that clients use."""

    name: str
    host: str
    runs_once: bool
    row: dict[str, typing.Any]


def make_route(name: str, host: str, service: str, kind: str, home_regions: list[str]) -> Route:
    """A route, and its row in the configuration."""
    row = platform_documents.route(
        name,
        host_name=host,
        service_name=service,
        kind=kind,
        timeout_ms=ROUTE_TIMEOUT_MS,
        target_ms=700,
        home_regions=home_regions,
    )
    return Route(name, host, kind == 'non_idempotent', row)


ROUTES = [
    make_route('s1', 'any.example', 'sa', 'idempotent', []),
    make_route('s2', 'any.example', 'sb', 'non_idempotent', []),
    make_route('h1', 'home.example', 'sa', 'idempotent', ['north', 'south']),
    make_route('h2', 'home.example', 'sb', 'non_idempotent', ['north', 'south']),
]
HOMES = {'home.example': {'north', 'south'}}


class Soak:
    """The parts of a soak, and what they share."""

    def __init__(self, seed: int, seconds: float, cores: int = 3, edges: int = 3) -> None:
        self.seed, self.seconds = seed, seconds
        self.rng = random.Random(f'{seed}/soak')
        self.notes = soak_notes.Notes()
        self.is_over = False
        self.deployment = deployment.Deployment(cores, edges)
        self.keepers = [keepers.Keeper(self, process) for process in self.deployment.processes]
        self.cores, self.edges = self.keepers[:cores], self.keepers[cores:]
        self.zones = list(platform_documents.ZONES)
        self.regions = {**platform_documents.ZONES}
        self.regions.update({keeper.process.ingress: keeper.process.settings['region'] for keeper in self.edges})
        self.all_routes = ROUTES
        self.hosts = sorted({route.host for route in ROUTES})
        self.routes_of_host = {host: [route for route in ROUTES if route.host == host] for host in self.hosts}
        self.directory = soak_clients.Directory(self, self.zones, self.hosts)
        self.endpoints: list[soak_endpoints.SoakEndpoint] = []
        # Beside that of the processes, which may fill theirs; other soaks may run beside this one.
        self.endpoint_network = deployment.draw_network()
        # When each process was started.
        self.starts: dict[str, list[float]] = {keeper.process.name: [] for keeper in self.keepers}

    def starts_of(self, ingress: str) -> int:
        """How often the process at a front has been started."""
        return next((keeper.starts for keeper in self.edges if keeper.process.ingress == ingress), 0)

    # -- calls ------------------------------------------------------------------

    async def call(
        self, address: str, method: str, path: str, document: typing.Any = None
    ) -> http_calls.Response | None:
        """A call on a connection of its own; None where there is no answer."""
        try:
            return await asyncio.to_thread(http_calls.call, address, method, path, document, timeout_s=CALL_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            return None

    async def call_control(self, method: str, path: str, document: typing.Any = None) -> int:
        """A call to any control node, again until the answer is clear; its status, 0 where none ever was."""
        loop = asyncio.get_running_loop()
        end = loop.time() + CONTROL_LIMIT_S
        while loop.time() < end and not self.is_over:
            core = self.rng.choice(self.cores)
            response = await self.call(core.process.control, method, path, document)
            if response is not None and response.status in FINAL_STATUSES:
                return response.status
            await asyncio.sleep(CONTROL_RETRY_S)
        return 0

    async def change(self, upserts: dict[str, typing.Any], removals: dict[str, typing.Any]) -> None:
        """Change the configuration, and note what was acknowledged."""
        status = await self.call_control('PATCH', '/v1/configuration', {'upserts': upserts, 'removals': removals})
        if status == 200:
            for row in upserts.get('route_list', ()):
                self.note_item(row['name'], row['version_number'], row)
            for row in removals.get('route_list', ()):
                self.note_item(row['name'], row['version_number'], None)
        elif status:
            self.notes.faults.append(f'a proper change was refused with {status}: {upserts} {removals}')

    def note_item(self, name: str, version: int, row: dict | None) -> None:
        """An item was acknowledged; the highest version holds."""
        known = self.notes.acknowledged.get(name)
        if known is None or known.version < version:
            self.notes.acknowledged[name] = soak_notes.AcknowledgedChange(version, row)

    async def add_endpoint(self, service: str, zone: str) -> None:
        """Start an endpoint on an address that no other had."""
        number = len(self.endpoints)
        address = f'{self.endpoint_network}.{FIRST_ENDPOINT + number}:{soak_endpoints.PORT}'
        rng = random.Random(f'{self.seed}/endpoint{number}')
        endpoint = soak_endpoints.SoakEndpoint(self, address, service, zone, rng)
        self.endpoints.append(endpoint)
        await endpoint.start()

    # -- the course of a soak -----------------------------------------------------

    async def wait_for(self, condition: typing.Callable[[], typing.Awaitable[bool]], what: str) -> None:
        """Wait until a condition is true; the limit only guards against hanging.

        Raises AssertionError at the limit.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_LIMIT_S * deployment_client.contention()
        while not await condition():
            assert loop.time() < end, f'waited in vain for {what}; logs are in {self.deployment.folder}'
            await asyncio.sleep(CONTROL_RETRY_S)

    async def all_ready(self) -> bool:
        """Whether all proxies are ready."""
        responses = await asyncio.gather(
            *(self.call(keeper.process.readiness, 'GET', '/v1/readiness') for keeper in self.edges)
        )
        return all(response is not None and response.status == 200 for response in responses)

    async def start(self) -> None:
        """Start everything: processes, the first configuration, endpoints."""
        for keeper in self.keepers:
            keeper.start()
        await self.wait_for(self.all_ready, 'the proxies')
        first = platform_documents.first_configuration()['upserts']
        first['route_list'] = [route.row for route in ROUTES]
        await self.change(first, {'route_list': []})
        for service in ('sa', 'sb'):
            for number in range(ENDPOINTS_PER_SERVICE):
                await self.add_endpoint(service, self.zones[number % len(self.zones)])

    async def run(self) -> list[str]:
        """Play the soak; its findings."""
        try:
            await self.start()
            return await self.play()
        finally:
            for each in self.endpoints:
                await each.end()

    async def play(self) -> list[str]:
        """Play what follows once everything has started; its findings."""
        loop = asyncio.get_running_loop()
        watchers = [loop.create_task(keeper.keep()) for keeper in self.keepers]
        watchers.append(loop.create_task(self.directory.keep_asking()))
        watchers.append(loop.create_task(self.measure_lag()))
        clients = [
            loop.create_task(soak_clients.SoakClient(self, number, self.zones[number % len(self.zones)]).run())
            for number in range(CLIENTS_PER_ZONE * len(self.zones))
        ]
        await asyncio.sleep(WARM_UP_S)
        await soak_disturbances.Disturbances(self).run(self.seconds)
        await self.wait_for(self.all_ready, 'the proxies after the disturbances')
        await asyncio.sleep(WARM_UP_S)
        self.is_over = True
        await asyncio.gather(*clients, *watchers)
        await self.judge_end()
        judge = verdicts.Judge(self.notes, HOMES, self.regions, self.starts, deployment_client.contention())
        return judge.verdicts()

    async def measure_lag(self) -> None:
        """Note by how much the loop is late, which clients and endpoints are then, too."""
        while not self.is_over:
            asked_at = soak_notes.now()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = soak_notes.now() - asked_at - LAG_INTERVAL_S
            if lag_s > LAG_INTERVAL_S:
                self.notes.lags.append((soak_notes.now(), lag_s))

    async def judge_end(self) -> None:
        """Look at what is left once nobody asks for anything: nothing acknowledged is missing, nothing is held."""
        await asyncio.sleep(IDLE_S)
        for keeper in self.edges:
            response = await self.call(keeper.process.internal, 'GET', '/v1/self')
            if response is None:
                self.notes.faults.append(f'{keeper.process.name} does not answer')
                continue
            state = response.document['state']
            if state['table'] or state['host'].get('broke'):
                self.notes.faults.append(f'{keeper.process.name} holds {state["table"]} requests, {state["host"]}')
        self.judge_configuration(await self.read_configuration())
        for keeper in self.keepers:
            with open(keeper.process.log_file, encoding='utf-8', errors='replace') as log:
                text = log.read()
            if 'Traceback' in text:
                self.notes.faults.append(f'{keeper.process.name} logged a traceback: {self.deployment.folder}')

    async def read_configuration(self) -> dict[str, typing.Any] | None:
        """The newest configuration; None where no control node gives it."""
        for _ in range(20):
            for core in self.cores:
                response = await self.call(core.process.control, 'GET', '/v1/configuration')
                if response is not None and response.status == 200:
                    return response.document
            await asyncio.sleep(0.5)
        return None

    def judge_configuration(self, document: dict[str, typing.Any] | None) -> None:
        """Every acknowledged item is there, or a newer one that had no clear answer."""
        if document is None:
            self.notes.faults.append('the configuration can not be read back')
            return
        read = {row['name']: row for row in document['route_list']}
        for name, change in self.notes.acknowledged.items():
            row = read.get(name)
            if row is None and change.row is not None:
                self.notes.faults.append(f'route {name} of version {change.version} is missing')
            elif row is not None and row['version_number'] < change.version:
                self.notes.faults.append(f'route {name} is read back older than {change.version}')


class Result(typing.NamedTuple):
    """What a soak came to."""

    findings: list[str]
    notes: soak_notes.Notes
    # Where its processes' logs are; '' once they are removed.
    folder: str
    began: float


def play(seed: int, seconds: float, cores: int = 3, edges: int = 3) -> Result:
    """Play one soak from its start to its end; the logs stay where there are findings."""
    soak = Soak(seed, seconds, cores, edges)
    began = soak_notes.now()
    try:
        findings = asyncio.run(soak.run())
    finally:
        soak.is_over = True
        soak.deployment.stop()
    folder = soak.deployment.folder
    deployment.RUNNING.remove(soak.deployment)
    if not findings:
        shutil.rmtree(folder, ignore_errors=True)
    return Result(findings, soak.notes, folder if findings else '', began)
