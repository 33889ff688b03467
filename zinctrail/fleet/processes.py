"""A fleet on loopback, for demonstrations and tests: product processes, test endpoints and clients.

This is a test tool: it starts processes, which no product process does.
"""

import collections
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import typing

import twisted.internet.defer as defer
import twisted.internet.task as task
import twisted.internet.threads as threads

import zinctrail.client.endpoint as endpoint
import zinctrail.client.request_client as request_client
import zinctrail.fleet.deployments as deployments
import zinctrail.fleet.histogram as histogram
import zinctrail.runtime.durations as durations
import zinctrail.transport.blocking_client as blocking_client

HOST = '127.0.0.1'

# The module of zinctrail.cli that runs each role.
PROGRAM_MODULES = {'core': 'controller', 'dir': 'directory', 'prox': 'proxy'}
# {role: the key of a shape that holds the number of its processes}.
SHAPE_KEYS: dict[str, typing.Literal['cores', 'dirs', 'proxies']] = {
    'core': 'cores',
    'dir': 'dirs',
    'prox': 'proxies',
}
# Seeds of mixed roles, since they may be processes of any role.
SEED_NAMES = ('core0', 'core1', 'dir0')
# The port range of fleets: below the lowest port that Linux assigns to outgoing connections (32768).
FIRST_PORT, PORTS_END = 10000, 32768
POLL_S = 0.05
CONFIGURE_TIMEOUT_S = 20
# The minimum time that each process is given to exit, even if the overall deadline has passed.
MIN_EXIT_WAIT_S = 0.1
# The slots of a test endpoint, and the range of its processing times in seconds.
SLOTS = 8
WORK_S = (0.002, 0.02)
REQUEST_TIMEOUT = durations.ms(5000)
# How many overdue requests are sent at once at most, if the sending loop fell behind.
MAX_BURST = 50

Found = typing.TypeVar('Found')


class Ports:
    """Reserves free ports until just before they are used, so that no two processes get the same one.

    Between its release and its use, and while its process is down, a port is not
    reserved. So ports are not taken from the range that the operating system
    assigns to outgoing connections: any process's connection could get the port
    in that time.
    """

    def __init__(self):
        # Not seeded, so that two fleets try different ports.
        self.rng = random.SystemRandom()
        # {IP:PORT: the bound socket that reserves it}.
        self.reserved: dict[str, socket.socket] = {}

    def take(self) -> str:
        """Reserve a port, and return its address."""
        while True:
            port = self.rng.randrange(FIRST_PORT, PORTS_END)
            reserved = socket.socket()
            try:
                reserved.bind((HOST, port))
            except OSError:
                reserved.close()
                continue
            address = f'{HOST}:{port}'
            self.reserved[address] = reserved
            return address

    def free(self, *addresses: str) -> None:
        """Release ports, so that a process can listen on them."""
        for address in addresses:
            reserved = self.reserved.pop(address, None)
            if reserved:
                reserved.close()


class FleetProcess:
    """One product process of a fleet."""

    def __init__(self, fleet: 'Fleet', name: str, role: str, zone: str):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.zone = zone
        # IP:PORT for frames, and for HTTP.
        self.addr = fleet.ports.take()
        self.http = fleet.ports.take()
        self.seeds: list[str] = []
        # The operating system process, once it has been started.
        self.child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its flags and its log are written to files in the fleet's folder."""
        flag_file = self._write_flags()
        command = [f'zinctrail.cli.{PROGRAM_MODULES[self.role]}']
        if self.fleet.injects_faults:
            self.set_faults()
            command = ['zinctrail.fleet.wrapped_process', self._faults_file(), PROGRAM_MODULES[self.role]]
        self.fleet.ports.free(self.addr, self.http)
        with open(os.path.join(self.fleet.folder, f'{self.name}.log'), 'a') as log:
            self.child = subprocess.Popen(
                [sys.executable, '-m', *command, f'--flagfile={flag_file}'],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def _write_flags(self) -> str:
        """Write the process's flags to a file, and return the file's name."""
        is_first_start = self.child is None
        lines = [
            f'--addr={self.addr}',
            f'--http={self.http}',
            f'--cell={self.zone}',
            f'--seeds={",".join(self.seeds)}',
            f'--first_start={str(is_first_start).lower()}',
            *self.fleet.extra_flags,
        ]
        if self.role == 'core':
            lines.append(f'--data={os.path.join(self.fleet.folder, self.name)}')
        flag_file = os.path.join(self.fleet.folder, f'{self.name}.flags')
        with open(flag_file, 'w') as file:
            file.write('\n'.join(lines) + '\n')
        return flag_file

    def _faults_file(self) -> str:
        return os.path.join(self.fleet.folder, f'{self.name}.faults')

    def set_faults(self, cut: typing.Iterable['FleetProcess'] = (), wall_s: float = 0.0) -> None:
        """Set the process's faults: drop frames to and from the peers in `cut`, shift the wall clock by `wall_s`."""
        name = self._faults_file()
        with open(name + '.tmp', 'w') as file:
            json.dump({'cut': [peer.addr for peer in cut], 'wall_s': wall_s}, file)
        os.rename(name + '.tmp', name)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for it to exit."""
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()


class Fleet:
    """Product processes, with test endpoints and clients that run on the reactor.

    :param injects_faults: whether the processes run under zinctrail.fleet.wrapped_process.
    """

    def __init__(
        self,
        shape: deployments.Shape,
        folder: str,
        reactor: typing.Any,
        extra_flags: typing.Iterable[str] = (),
        injects_faults: bool = False,
    ):
        self.shape = shape
        self.folder = folder
        self.reactor = reactor
        self.extra_flags = list(extra_flags)
        self.injects_faults = injects_faults
        os.makedirs(folder, exist_ok=True)
        self.ports = Ports()
        # {address: test endpoint}.
        self.endpoints: dict[str, endpoint.Endpoint] = {}
        # How often the endpoints ran each request id, and the same for services whose requests run at most once.
        self.ran: collections.Counter[str] = collections.Counter()
        self.ran_once: collections.Counter[str] = collections.Counter()
        # The outcomes of the clients' requests, and their latencies by bucket (histogram.bucket_of).
        self.counts: collections.Counter[str] = collections.Counter()
        self.waits: collections.Counter[int] = collections.Counter()
        self.clients: list[request_client.RequestClient] = []
        self.is_stopping = False
        # {name: process}.
        self.processes: dict[str, FleetProcess] = {}
        zones = deployments.zones_of(shape)
        for role, size in SHAPE_KEYS.items():
            for index in range(shape[size]):
                name = f'{role}{index}'
                self.processes[name] = FleetProcess(self, name, role, zones[index % len(zones)])
        seeds = [self.processes[name].addr for name in SEED_NAMES]
        for process in self.processes.values():
            process.seeds = seeds

    def of(self, role: str) -> list[FleetProcess]:
        """Return the processes of a role."""
        return [process for process in self.processes.values() if process.role == role]

    def start(self) -> None:
        """Start all processes."""
        for process in self.processes.values():
            process.start()

    def stop(self, wait: float = 15) -> None:
        """Stop all processes gracefully, and kill those that are still running after `wait` seconds."""
        self.is_stopping = True
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + wait
        for process in self.processes.values():
            try:
                if process.child:
                    process.child.wait(max(MIN_EXIT_WAIT_S, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def call(
        self, method: str, path: str, body: typing.Any = None, role: str = 'core', wait: float = 3
    ) -> tuple[int, typing.Any]:
        """Return the status and document from the first process of a role that responds; (0, {}) if none does."""
        for process in self.of(role):
            response = blocking_client.try_call(process.http, method, path, body, wait)
            status = response[0]
            # A read with status 504 is retried at the next process: one that is cut off does not know the result, and
            # responds only after a timeout.
            if status not in (0, 503) and (status != 504 or method != 'GET'):
                return response
        return 0, {}

    def leader(self) -> FleetProcess | None:
        """Return the leader's process, or None if there is no leader."""
        status, document = self.call('GET', '/v1/status')
        if status != 200:
            return None
        return next((p for p in self.processes.values() if p.addr == document['state']['addr']), None)

    def until(self, condition: typing.Callable[[], Found], description: str, wait: float = 60) -> Found:
        """Poll until a condition is true and return its value; the generous timeout only guards against hanging."""
        deadline = time.monotonic() + wait
        while time.monotonic() < deadline:
            found = condition()
            if found:
                return found
            time.sleep(POLL_S)
        raise RuntimeError(f'timed out after {wait:g} s waiting for {description}; logs are in {self.folder}')

    def configure(self) -> None:
        """Wait for a leader and apply the fleet's configuration, if it has none."""
        self.until(self.leader, 'a leader')
        status, document = self.call('GET', '/v1/config')
        if document['generation'] != 0:
            return
        body = {'config': deployments.configuration_of(self.shape), 'base': 0, 'wait': True}
        status, document = self.call('PUT', '/v1/config', body, wait=CONFIGURE_TIMEOUT_S)
        if status != 200:
            raise RuntimeError(f'configuration was refused with status {status}: {document}')

    # -- faults -----------------------------------------------------------

    def inject_fault(self, name: str, duration_s: float) -> None:
        """Inject a fault of recorded_day.REAL_FAULTS into the fleet's processes or endpoints; blocks until it is over."""
        rng = random.Random(f'{name}/{len(self.ran)}')
        if name.startswith('end_'):
            self._inject_endpoint_fault(name, duration_s, rng)
            return
        number = fault_signal(name)
        targets = self._fault_targets(name, rng)
        for process in targets:
            process.signal(number)
        time.sleep(duration_s)
        for process in targets:
            if number == signal.SIGSTOP:
                process.signal(signal.SIGCONT)
            else:
                self._restart(process)

    def _restart(self, process: FleetProcess) -> None:
        """Wait for a process to exit, and start it again unless the fleet is stopping."""
        if process.child:
            process.child.wait()
        if not self.is_stopping:
            process.start()

    def _fault_targets(self, name: str, rng: random.Random) -> list[FleetProcess]:
        """Return the processes that a fault affects."""
        if name == 'kill_all':
            return list(self.processes.values())
        if name == 'kill_one_each':
            return [rng.choice(self.of(role)) for role in SHAPE_KEYS]
        if name.endswith('_master'):
            leader = self.leader()
            return [leader] if leader else []
        return [rng.choice(self.of('prox' if 'proxy' in name else 'dir'))]

    def _inject_endpoint_fault(self, name: str, duration_s: float, rng: random.Random) -> None:
        """Inject a fault into a random endpoint; blocks until it is over."""
        target = rng.choice(list(self.endpoints.values()))
        if name == 'end_drains':
            self._run_on_reactor(target.set_state, 'draining')
            time.sleep(duration_s)
            self._run_on_reactor(target.set_state, 'ready')
        else:
            self._run_on_reactor(target.crash)
            time.sleep(duration_s)
            self.reactor.callFromThread(target.start)

    def _run_on_reactor(self, function: typing.Callable[..., typing.Any], *args: typing.Any) -> None:
        """Call a function on the reactor's thread, and wait for its result."""
        threads.blockingCallFromThread(self.reactor, function, *args)

    def listen_addresses(self) -> dict[str, typing.Any]:
        """Return the addresses of all processes and endpoints."""
        return {
            'folder': self.folder,
            'processes': {
                name: {
                    'role': process.role,
                    'cell': process.zone,
                    'addr': process.addr,
                    'http': process.http,
                    'pid': process.child.pid,
                }
                for name, process in self.processes.items()
                if process.child
            },
            'endpoints': {
                address: {
                    'service': test_endpoint.admission.service,
                    'cell': test_endpoint.admission.zone,
                    'inc': test_endpoint.admission.incarnation,
                }
                for address, test_endpoint in self.endpoints.items()
            },
        }

    # -- test endpoints and clients, on the reactor -----------------------

    def start_endpoints(self, rng: random.Random, work_s: tuple[float, float] = WORK_S) -> None:
        """Start the endpoints of all services; `work_s` is the range of processing times in seconds."""
        zones = deployments.zones_of(self.shape)
        for service, count in self.shape['services'].items():
            for index in range(count):
                self.start_endpoint(service, zones[index % len(zones)], rng, work_s)

    def start_endpoint(
        self,
        service: str,
        zone: str,
        rng: random.Random,
        work_s: tuple[float, float] = WORK_S,
        address: str | None = None,
    ) -> endpoint.Endpoint:
        """Start one endpoint, whose responses contain the id of the request."""
        address = address or self.ports.take()
        self.ports.free(address)
        directories = [process.http for process in self.of('dir')]
        rng.shuffle(directories)

        def handle(method: str, path: str, headers: dict[str, str], body: bytes) -> defer.Deferred:
            request_id = headers['zt-id']
            self.ran[request_id] += 1
            if service in self.shape['once']:
                self.ran_once[request_id] += 1
            response_body = json.dumps(
                {'id': request_id, 'service': service, 'endpoint': address, 'path': path}
            ).encode()
            return task.deferLater(self.reactor, rng.uniform(*work_s), lambda: (200, response_body))

        test_endpoint = endpoint.Endpoint(self.reactor, address, service, zone, SLOTS, handle, directories)
        self.endpoints[address] = test_endpoint
        test_endpoint.start()
        return test_endpoint

    def start_callers(self, rng: random.Random) -> task.LoopingCall:
        """Start a loop that sends requests from every zone at the rate of the shape, and return the loop."""
        for index, zone in enumerate(deployments.zones_of(self.shape)):
            directories = [process.http for process in self.of('dir')]
            offset = index % len(directories)
            rotated = directories[offset:] + directories[:offset]
            self.clients.append(request_client.RequestClient(self.reactor, rotated, zone))

        def send_due(count: int) -> None:
            for _ in range(min(count, MAX_BURST)):
                self.send_request(rng)

        loop = task.LoopingCall.withCount(send_due)
        loop.clock = self.reactor
        loop.start(1 / self.shape['rate'], now=False)
        return loop

    def send_request(self, rng: random.Random) -> defer.Deferred:
        """Send one request, and count its outcome."""
        service = rng.choice(sorted(self.shape['services']))
        client = rng.choice(self.clients)
        began = time.monotonic()

        def count(response: request_client.Response) -> request_client.Response:
            self.counts[self._outcome(service, response)] += 1
            self.waits[histogram.bucket_of(int(1000 * (time.monotonic() - began)))] += 1
            return response

        return client.send(service, '/work', body=b'{}', timeout=REQUEST_TIMEOUT).addCallback(count)

    def _outcome(self, service: str, response: request_client.Response) -> str:
        """Return the outcome that was reported to the client, or 'wrong' or 'false-not-run' if that outcome is false."""
        if response.outcome == 'ran' and not _is_valid_response(response, service):
            return 'wrong'
        if response.outcome == 'not-run' and self.ran[response.id]:
            return 'false-not-run'
        return response.outcome

    # -- figures ----------------------------------------------------------

    def figures(self) -> dict[str, typing.Any]:
        """Return the summed counters of all running processes; those of exited processes are lost."""
        totals: collections.Counter[str] = collections.Counter()
        max_rss_kb: dict[str, int] = collections.defaultdict(int)
        for process in self.processes.values():
            state = blocking_client.try_call(process.http, 'GET', '/v1/self')[1].get('state')
            if state is None:
                continue
            host = state['host']
            max_rss_kb[process.role] = max(max_rss_kb[process.role], host['rss_kb'])
            totals.update(_figures_of(process.role, host, state.get('counts', {})))
        return {**totals, 'most_rss_mb': {role: rss_kb >> 10 for role, rss_kb in max_rss_kb.items()}}

    def report(self) -> dict[str, int]:
        """Return the counts of the requests so far."""
        twice = sum(1 for count in self.ran_once.values() if count > 1)
        return {**self.counts, 'ran_ids': len(self.ran), 'ran_twice': twice}


def fault_signal(fault: str) -> signal.Signals:
    """Return the signal that causes a fault of a process."""
    if fault.startswith('kill'):
        return signal.SIGKILL
    return signal.SIGSTOP if fault.startswith('freeze') else signal.SIGTERM


def _is_valid_response(response: request_client.Response, service: str) -> bool:
    """True if a response is from a test endpoint of the service, and belongs to this request."""
    if response.status != 200:
        return False
    document = json.loads(response.body)
    return document['id'] == response.id and document['service'] == service


def _figures_of(role: str, host: dict[str, int], counts: dict[str, int]) -> dict[str, int]:
    """Return the share of one process in the figures, from its host's and its own counters."""
    figures = {
        'stalls': host.get('stalls', 0),
        'broke': host.get('broke', 0),
        'frames': host['frames'],
        'bytes': host['bytes'],
    }
    if role == 'prox':
        figures.update(sends=counts.get('sends', 0), connections=host['opened'], asked=host['asked'])
    if role == 'core':
        figures.update(
            syncs=host.get('writes', 0), probes=counts.get('probes', 0), generations=counts.get('generations', 0)
        )
    return figures
