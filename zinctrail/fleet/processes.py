"""A fleet on loopback, for trying out and testing: product processes, stand-in endpoints and callers.

A test tool: it starts processes, which no product process does.
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
PROGRAMS = {'core': 'controller', 'dir': 'directory', 'prox': 'proxy'}
# How many processes of a role a shape asks for.
SIZE_OF_ROLE: dict[str, typing.Literal['cores', 'dirs', 'proxies']] = {
    'core': 'cores',
    'dir': 'dirs',
    'prox': 'proxies',
}
# Seeds may be processes of any role, so they are mixed.
SEED_NAMES = ('core0', 'core1', 'dir0')
# From which ports those of a fleet are taken: below the least that Linux gives to outgoing connections (32768).
FIRST_PORT, END_OF_PORTS = 10000, 32768
POLL_S = 0.05
CONFIGURE_TIMEOUT_S = 20
# The least time that a process has to end after the one before it.
MIN_EXIT_WAIT_S = 0.1
# The slots of a stand-in endpoint, and between how many seconds a request takes there.
SLOTS = 8
WORK_S = (0.002, 0.02)
REQUEST_TIMEOUT = durations.ms(5000)
# A caller that fell behind makes up for so many requests at once.
BURST_MOST = 50

Found = typing.TypeVar('Found')


class Ports:
    """Free ports, reserved until just before they are used, so that no two processes get the same.

    Between its release and its use, and while its process is down, a port is
    nobody's. So none is taken of those that the operating system gives to outgoing
    connections: any connection of any process might be given it meanwhile.
    """

    def __init__(self):
        # Not seeded, so that two fleets try different ports.
        self.rng = random.SystemRandom()
        # {IP:PORT: the socket that holds it}
        self.reserved: dict[str, socket.socket] = {}

    def take(self) -> str:
        """Reserve a port, and return its address."""
        while True:
            port = self.rng.randrange(FIRST_PORT, END_OF_PORTS)
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

    def __init__(self, fleet: 'Fleet', name: str, role: str, cell: str):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.cell = cell
        # IP:PORT for frames, and for HTTP.
        self.addr = fleet.ports.take()
        self.http = fleet.ports.take()
        self.seeds: list[str] = []
        # The operating system's process, once it was started.
        self.child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its flags and its log are files in the fleet's folder."""
        flag_file = self._write_flags()
        command = [f'zinctrail.cli.{PROGRAMS[self.role]}']
        if self.fleet.injects_faults:
            self.set_faults()
            command = ['zinctrail.fleet.wrapped_process', self._faults_file(), PROGRAMS[self.role]]
        self.fleet.ports.free(self.addr, self.http)
        with open(os.path.join(self.fleet.folder, f'{self.name}.log'), 'a') as log:
            self.child = subprocess.Popen(
                [sys.executable, '-m', *command, f'--flagfile={flag_file}'],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def _write_flags(self) -> str:
        """Write the process's flags, and return the file's name."""
        is_first_start = self.child is None
        lines = [
            f'--addr={self.addr}',
            f'--http={self.http}',
            f'--cell={self.cell}',
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
        """From now on, frames to and from these peers are lost, and the wall clock is off by `wall_s` seconds."""
        name = self._faults_file()
        with open(name + '.tmp', 'w') as file:
            json.dump({'cut': [peer.addr for peer in cut], 'wall_s': wall_s}, file)
        os.rename(name + '.tmp', name)

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()


class Fleet:
    """Product processes, with stand-in endpoints and callers on the reactor.

    :param injects_faults: whether its processes run under zinctrail.fleet.wrapped_process.
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
        # The stand-in endpoints, by their addresses, and how often they ran each request id.
        self.endpoints: dict[str, endpoint.Endpoint] = {}
        self.ran: collections.Counter[str] = collections.Counter()
        self.ran_once: collections.Counter[str] = collections.Counter()
        # What callers saw: outcomes, and how long they waited (histogram.step_of).
        self.counts: collections.Counter[str] = collections.Counter()
        self.waits: collections.Counter[int] = collections.Counter()
        self.clients: list[request_client.RequestClient] = []
        self.stopping = False
        # The processes by their names.
        self.processes: dict[str, FleetProcess] = {}
        cells = deployments.cells_of(shape)
        for role, size in SIZE_OF_ROLE.items():
            for index in range(shape[size]):
                name = f'{role}{index}'
                self.processes[name] = FleetProcess(self, name, role, cells[index % len(cells)])
        seeds = [self.processes[name].addr for name in SEED_NAMES]
        for process in self.processes.values():
            process.seeds = seeds

    def of(self, role: str) -> list[FleetProcess]:
        """The processes of a role."""
        return [process for process in self.processes.values() if process.role == role]

    def start(self) -> None:
        """Start all processes."""
        for process in self.processes.values():
            process.start()

    def stop(self, wait: float = 15) -> None:
        """End everything we started, gracefully first; after `wait` seconds by force."""
        self.stopping = True
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
        """Ask the first process of a role that answers; (0, {}) if none."""
        for process in self.of(role):
            answer = blocking_client.try_call(process.http, method, path, body, wait)
            status = answer[0]
            # A read goes on to the next process: one that is cut off does not know the result, and says so late.
            if status not in (0, 503) and (status != 504 or method != 'GET'):
                return answer
        return 0, {}

    def leader(self) -> FleetProcess | None:
        """The process that leads, or None."""
        status, document = self.call('GET', '/v1/status')
        if status != 200:
            return None
        return next((p for p in self.processes.values() if p.addr == document['state']['addr']), None)

    def until(self, condition: typing.Callable[[], Found], what: str, wait: float = 60) -> Found:
        """Poll until a condition is true and return its value; the limit is generous and only guards against hanging."""
        deadline = time.monotonic() + wait
        while time.monotonic() < deadline:
            found = condition()
            if found:
                return found
            time.sleep(POLL_S)
        raise RuntimeError(f'waited in vain for {what}; logs are in {self.folder}')

    def configure(self) -> None:
        """Wait for a leader and give the fleet its configuration, if it has none."""
        self.until(self.leader, 'a master')
        status, document = self.call('GET', '/v1/config')
        if document['generation'] != 0:
            return
        body = {'config': deployments.configuration_of(self.shape), 'base': 0, 'wait': True}
        status, document = self.call('PUT', '/v1/config', body, wait=CONFIGURE_TIMEOUT_S)
        if status != 200:
            raise RuntimeError(f'configuration was refused: {document}')

    # -- faults -----------------------------------------------------------

    def bring_about(self, name: str, duration_s: float) -> None:
        """A fault by signals to our own processes (recorded_day.REAL_FAULTS); blocks until it is over."""
        rng = random.Random(f'{name}/{len(self.ran)}')
        if name.startswith('end_'):
            self._bring_about_at_endpoint(name, duration_s, rng)
            return
        number = signal_of(name)
        victims = self._victims(name, rng)
        for process in victims:
            process.signal(number)
        time.sleep(duration_s)
        for process in victims:
            if number == signal.SIGSTOP:
                process.signal(signal.SIGCONT)
            else:
                self._restart(process)

    def _restart(self, process: FleetProcess) -> None:
        """Wait for a process to end, and start it again unless the fleet stops."""
        if process.child:
            process.child.wait()
        if not self.stopping:
            process.start()

    def _victims(self, name: str, rng: random.Random) -> list[FleetProcess]:
        """The processes that a fault strikes."""
        if name == 'kill_all':
            return list(self.processes.values())
        if name == 'kill_one_each':
            return [rng.choice(self.of(role)) for role in SIZE_OF_ROLE]
        if name.endswith('_master'):
            leader = self.leader()
            return [leader] if leader else []
        return [rng.choice(self.of('prox' if 'proxy' in name else 'dir'))]

    def _bring_about_at_endpoint(self, name: str, duration_s: float, rng: random.Random) -> None:
        """A fault of an endpoint; blocks until it is over."""
        victim = rng.choice(list(self.endpoints.values()))
        if name == 'end_drains':
            self._run_on_reactor(victim.set_state, 'draining')
            time.sleep(duration_s)
            self._run_on_reactor(victim.set_state, 'ready')
        else:
            self._run_on_reactor(victim.crash)
            time.sleep(duration_s)
            self.reactor.callFromThread(victim.start)

    def _run_on_reactor(self, function: typing.Callable[..., typing.Any], *args: typing.Any) -> None:
        """Call a function on the reactor's thread, and wait until what it began is over."""
        threads.blockingCallFromThread(self.reactor, function, *args)

    def where(self) -> dict[str, typing.Any]:
        """Where everything listens."""
        return {
            'folder': self.folder,
            'processes': {
                name: {
                    'role': process.role,
                    'cell': process.cell,
                    'addr': process.addr,
                    'http': process.http,
                    'pid': process.child.pid,
                }
                for name, process in self.processes.items()
                if process.child
            },
            'endpoints': {
                address: {
                    'service': stand_in.admission.service,
                    'cell': stand_in.admission.zone,
                    'inc': stand_in.admission.incarnation,
                }
                for address, stand_in in self.endpoints.items()
            },
        }

    # -- stand-ins, on the reactor ----------------------------------------

    def start_endpoints(self, rng: random.Random, work_s: tuple[float, float] = WORK_S) -> None:
        """Start the endpoints of all services; each request takes between `work_s` seconds."""
        cells = deployments.cells_of(self.shape)
        for service, count in self.shape['services'].items():
            for index in range(count):
                self.start_endpoint(service, cells[index % len(cells)], rng, work_s)

    def start_endpoint(
        self,
        service: str,
        cell: str,
        rng: random.Random,
        work_s: tuple[float, float] = WORK_S,
        address: str | None = None,
    ) -> endpoint.Endpoint:
        """Start one endpoint, which answers with the id of the request."""
        address = address or self.ports.take()
        self.ports.free(address)
        directories = [process.http for process in self.of('dir')]
        rng.shuffle(directories)

        def handle(method: str, path: str, headers: dict[str, str], body: bytes) -> defer.Deferred:
            request_id = headers['zt-id']
            self.ran[request_id] += 1
            if service in self.shape['once']:
                self.ran_once[request_id] += 1
            reply = json.dumps({'id': request_id, 'service': service, 'endpoint': address, 'path': path}).encode()
            return task.deferLater(self.reactor, rng.uniform(*work_s), lambda: (200, reply))

        stand_in = endpoint.Endpoint(self.reactor, address, service, cell, SLOTS, handle, directories)
        self.endpoints[address] = stand_in
        stand_in.start()
        return stand_in

    def start_callers(self, rng: random.Random) -> task.LoopingCall:
        """Send requests from every cell at the rate of the shape; the loop that is returned can be stopped."""
        for index, cell in enumerate(deployments.cells_of(self.shape)):
            directories = [process.http for process in self.of('dir')]
            first = index % len(directories)
            rotated = directories[first:] + directories[:first]
            self.clients.append(request_client.RequestClient(self.reactor, rotated, cell))

        def send_due(count: int) -> None:
            for _ in range(min(count, BURST_MOST)):
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
            self.waits[histogram.step_of(int(1000 * (time.monotonic() - began)))] += 1
            return response

        return client.send(service, '/work', body=b'{}', timeout=REQUEST_TIMEOUT).addCallback(count)

    def _outcome(self, service: str, response: request_client.Response) -> str:
        """What became of a request: the outcome that the client was told, or that this is false."""
        if response.outcome == 'ran' and not _is_answer(response, service):
            return 'wrong'
        if response.outcome == 'not-run' and self.ran[response.id]:
            return 'false-not-run'
        return response.outcome

    # -- figures ----------------------------------------------------------

    def figures(self) -> dict[str, typing.Any]:
        """Counts of all processes as they are now; those of ended ones are lost."""
        totals: collections.Counter[str] = collections.Counter()
        most_rss_kb: dict[str, int] = collections.defaultdict(int)
        for process in self.processes.values():
            state = blocking_client.try_call(process.http, 'GET', '/v1/self')[1].get('state')
            if state is None:
                continue
            host = state['host']
            most_rss_kb[process.role] = max(most_rss_kb[process.role], host['rss_kb'])
            totals.update(_figures_of(process.role, host, state.get('counts', {})))
        return {**totals, 'most_rss_mb': {role: rss_kb >> 10 for role, rss_kb in most_rss_kb.items()}}

    def report(self) -> dict[str, int]:
        """Counts of the requests so far."""
        twice = sum(1 for count in self.ran_once.values() if count > 1)
        return {**self.counts, 'ran_ids': len(self.ran), 'ran_twice': twice}


def signal_of(fault: str) -> signal.Signals:
    """The signal that brings a fault of a process about."""
    if fault.startswith('kill'):
        return signal.SIGKILL
    return signal.SIGSTOP if fault.startswith('freeze') else signal.SIGTERM


def _is_answer(response: request_client.Response, service: str) -> bool:
    """Whether a response is that of a stand-in endpoint of the service to this very request."""
    if response.status != 200:
        return False
    document = json.loads(response.body)
    return document['id'] == response.id and document['service'] == service


def _figures_of(role: str, host: dict[str, int], counts: dict[str, int]) -> dict[str, int]:
    """What one process adds to the figures, of its host's and its own counts."""
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
