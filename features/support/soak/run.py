"""One soak: a deployment of real processes, endpoints and clients, disturbances for a while, then the verdicts."""

import asyncio
import http.client
import random
import re
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
import features.support.soak.records as soak_records
import features.support.soak.verdicts as verdicts

CALL_TIMEOUT_S = 3.0
CONTROL_RETRY_S = 0.1
CONTROL_LIMIT_S = 40.0
READY_LIMIT_S = 90.0
WARM_UP_S = 1.0
ENDPOINTS_PER_SERVICE = 4
CLIENTS_PER_ZONE = 8
ROUTE_TIMEOUT_MS = 3500
# So few that crowds of misbehaving clients meet the limits of a proxy.
EDGE_DESCRIPTORS, EDGE_MEMORY_MB = 400, 100
# A little more than the longest time that idle connections to endpoints stay open.
IDLE_S = 4.5
# The interval of the measurement of the event loop's lag.
LAG_INTERVAL_S = 0.02
# The last byte of the address of the first endpoint; every endpoint gets a new address.
FIRST_ENDPOINT = 1
FINAL_STATUSES = (200, 400, 404, 409, 413, 422)


class Route(typing.NamedTuple):
    """A route that clients use."""

    name: str
    host: str
    runs_once: bool
    row: dict[str, typing.Any]


def make_route(name: str, host: str, service: str, kind: str, home_regions: list[str]) -> Route:
    """Return a route with its row of the configuration."""
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


def errors_logged(text: str) -> list[str]:
    """Return the last lines of the tracebacks in a log, each once."""
    tracebacks = re.findall(r'^Traceback .*\n(?:[ \t].*\n)*(\S.*)$', text, re.MULTILINE)
    return sorted(set(tracebacks))


class Soak:
    """Holds the parts of a soak and the state that they share."""

    def __init__(self, seed: int, seconds: float, cores: int = 3, edges: int = 3) -> None:
        self.seed, self.seconds = seed, seconds
        self.rng = random.Random(f'{seed}/soak')
        self.records = soak_records.Records()
        self.is_over = False
        self.deployment = deployment.Deployment(cores, edges)
        for process in self.deployment.edges:
            process.settings['limits'].update(file_descriptors=EDGE_DESCRIPTORS, memory_mb=EDGE_MEMORY_MB)
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
        # A network of its own, because the addresses of the processes may fill theirs; random, because other soaks may run
        # at the same time.
        self.endpoint_network = deployment.draw_network()
        # When each process was started.
        self.starts: dict[str, list[float]] = {keeper.process.name: [] for keeper in self.keepers}

    def starts_of(self, ingress: str) -> int:
        """Return how often the process at an ingress has been started."""
        return next((keeper.starts for keeper in self.edges if keeper.process.ingress == ingress), 0)

    # -- calls ------------------------------------------------------------------

    async def call(
        self, address: str, method: str, path: str, document: typing.Any = None
    ) -> http_calls.Response | None:
        """Make a call over its own connection; return None without a response."""
        try:
            return await asyncio.to_thread(http_calls.call, address, method, path, document, timeout_s=CALL_TIMEOUT_S)
        except (OSError, http.client.HTTPException):
            return None

    async def call_control(self, method: str, path: str, document: typing.Any = None) -> int:
        """Call random control nodes until a response is conclusive; return its status, or 0 if none was."""
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
        """Change the configuration, and record the acknowledged items."""
        status = await self.call_control('PATCH', '/v1/configuration', {'upserts': upserts, 'removals': removals})
        if status == 200:
            for row in upserts.get('route_list', ()):
                self.record_item(row['name'], row['version_number'], row)
            for row in removals.get('route_list', ()):
                self.record_item(row['name'], row['version_number'], None)
        elif status:
            self.records.faults.append(f'a valid change was refused with {status}: {upserts} {removals}')

    def record_item(self, name: str, version: int, row: dict | None) -> None:
        """Record an acknowledged item, unless a higher version is recorded."""
        known = self.records.acknowledged.get(name)
        if known is None or known.version < version:
            self.records.acknowledged[name] = soak_records.AcknowledgedChange(version, row)

    async def add_endpoint(self, service: str, zone: str) -> None:
        """Start an endpoint on an address that no other endpoint has had."""
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
            assert loop.time() < end, f'timed out waiting for {what}; logs are in {self.deployment.folder}'
            await asyncio.sleep(CONTROL_RETRY_S)

    async def all_ready(self) -> bool:
        """Return True if all proxies are ready."""
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
        """Run the soak from its start, and return its findings."""
        try:
            await self.start()
            return await self.play()
        finally:
            for each in self.endpoints:
                await each.end()

    async def play(self) -> list[str]:
        """Run the clients and disturbances after everything has started, and return the findings."""
        loop = asyncio.get_running_loop()
        watchers = [loop.create_task(keeper.keep()) for keeper in self.keepers]
        watchers.append(loop.create_task(self.directory.keep_resolving()))
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
        await self.check_end_state()
        checker = verdicts.RecordChecker(self.records, HOMES, self.regions, self.starts, deployment_client.contention())
        return checker.findings()

    async def measure_lag(self) -> None:
        """Record the lag of the event loop, which also delays clients and endpoints."""
        while not self.is_over:
            asked_at = soak_records.now()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = soak_records.now() - asked_at - LAG_INTERVAL_S
            if lag_s > LAG_INTERVAL_S:
                self.records.lags.append((soak_records.now(), lag_s))

    async def check_end_state(self) -> None:
        """Check the idle processes: no acknowledged item is missing, and no proxy still holds a request."""
        await asyncio.sleep(IDLE_S)
        for keeper in self.edges:
            response = await self.call(keeper.process.internal, 'GET', '/v1/self')
            if response is None:
                self.records.faults.append(f'{keeper.process.name} does not respond')
                continue
            state = response.document['state']
            if state['table'] or state['host'].get('broke'):
                self.records.faults.append(f'{keeper.process.name} holds {state["table"]} requests, {state["host"]}')
        self.check_configuration(await self.read_configuration())
        for keeper in self.keepers:
            with open(keeper.process.log_file, encoding='utf-8', errors='replace') as log:
                text = log.read()
            if 'Traceback' in text:
                self.records.faults.append(
                    f'{keeper.process.name} logged a traceback: {errors_logged(text)} in {self.deployment.folder}'
                )

    async def read_configuration(self) -> dict[str, typing.Any] | None:
        """Return the newest configuration, or None if no control node returns it."""
        for _ in range(20):
            for core in self.cores:
                response = await self.call(core.process.control, 'GET', '/v1/configuration')
                if response is not None and response.status == 200:
                    return response.document
            await asyncio.sleep(0.5)
        return None

    def check_configuration(self, document: dict[str, typing.Any] | None) -> None:
        """Check that every acknowledged item is present, or a newer version whose change had no conclusive response."""
        if document is None:
            self.records.faults.append('the configuration can not be read back')
            return
        read = {row['name']: row for row in document['route_list']}
        for name, change in self.records.acknowledged.items():
            row = read.get(name)
            if row is None and change.row is not None:
                self.records.faults.append(f'route {name} of version {change.version} is missing')
            elif row is not None and row['version_number'] < change.version:
                self.records.faults.append(f'route {name} is read back older than {change.version}')


class Result(typing.NamedTuple):
    """The findings and records of a soak."""

    findings: list[str]
    records: soak_records.Records
    # The folder with the logs of its processes; '' once it is removed.
    folder: str
    began: float


def play(seed: int, seconds: float, cores: int = 3, edges: int = 3) -> Result:
    """Run one soak from start to end; the logs are removed if there are no findings."""
    soak = Soak(seed, seconds, cores, edges)
    began = soak_records.now()
    try:
        findings = asyncio.run(soak.run())
    finally:
        soak.is_over = True
        soak.deployment.stop()
    folder = soak.deployment.folder
    deployment.RUNNING.remove(soak.deployment)
    if not findings:
        shutil.rmtree(folder, ignore_errors=True)
    return Result(findings, soak.records, folder if findings else '', began)
