"""A deployment of the platform on loopback: real processes of the adapter, with an operator and endpoints."""

import atexit
import collections.abc
import http.client
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import typing

import features.support.endpoint as endpoint
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents
import features.support.repository as repository

PROGRAMS = {'core': 'controller.py', 'edge': 'proxy.py'}
# Environment variables that a process of the platform gets.
ENVIRONMENT = ('PATH', 'HOME', 'LANG')
SEEDS = 3
# The last bytes of the addresses of proxies and endpoints.
FIRST_PROXY = 51
FIRST_ENDPOINT = 101
CONTROL_TIMEOUT_S = 3
POLL_SECONDS = 0.02
RETRY_SECONDS = 0.1
# Statuses after which an operator asks another control node.
RETRIED_STATUSES = (408, 429)

# The deployments that run, for steps of several scenarios; they are stopped when their feature ends.
RUNNING: 'list[Deployment]' = []


def draw_network() -> str:
    """The first three bytes of a network of one's own: ports are the same on all machines, and others may run beside."""
    generator = random.SystemRandom()
    return f'127.{generator.randrange(2, 250)}.{generator.randrange(1, 250)}'


class AdapterProcess:
    """One process of the adapter, on an address of its own; its role is 'core' or 'edge'."""

    def __init__(self, deployment: 'Deployment', role: str, ip: str, zone: str, seeds: list[str]):
        self.role, self.ip, self.name = role, ip, f'{role}-{ip}'
        data = os.path.join(deployment.folder, f'data-{ip}') if role == 'core' else None
        if data:
            os.makedirs(data)
        self.settings = platform_documents.process_settings(role, ip, zone, seeds, data=data)
        self.settings_file = os.path.join(deployment.folder, f'{self.name}.settings')
        self.log_file = os.path.join(deployment.folder, f'{self.name}.log')
        self.process: subprocess.Popen | None = None
        # The product's own pages are at the second internal port.
        self.internal = f'{ip}:{self.settings["internal_port_range"][0] + 1}'
        self.front, self.readiness = f'{ip}:8641', f'{ip}:8640'
        self.control, self.directory = f'{ip}:8649', f'{ip}:8644'

    def write_settings(self) -> None:
        """Fill the settings file as the platform does, and replace it at once."""
        with open(os.path.join(repository.ADAPTER, 'settings.json'), encoding='utf-8') as template:
            text = platform_documents.fill_template(template.read(), self.settings)
        with open(self.settings_file + '.tmp', 'w', encoding='utf-8') as out:
            out.write(text)
        os.rename(self.settings_file + '.tmp', self.settings_file)

    def start(self) -> None:
        """Start the process; its output is appended to its log."""
        self.write_settings()
        environment = {name: value for name, value in os.environ.items() if name in ENVIRONMENT}
        with open(self.log_file, 'a') as log:
            self.process = subprocess.Popen(
                [sys.executable, os.path.join('platform', PROGRAMS[self.role])],
                cwd=repository.ROOT,
                env={**environment, 'ZINCTRAIL_SETTINGS': self.settings_file},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout_s: float = 30) -> int:
        """The exit status of the process, once it has ended."""
        assert self.process is not None
        return self.process.wait(timeout_s)


class Deployment:
    """`cores` control nodes and `edges` proxies, spread over the zones."""

    def __init__(self, cores: int = 3, edges: int = 2):
        self.folder = tempfile.mkdtemp(prefix='zt-chain-')
        self.network = draw_network()
        seeds = [f'{self.network}.{index + 1}:8649' for index in range(min(SEEDS, cores))]
        self.cores = [self.new_process('core', index + 1, index, seeds) for index in range(cores)]
        self.edges = [self.new_process('edge', index + FIRST_PROXY, index, seeds) for index in range(edges)]
        self.endpoints: list[endpoint.Endpoint] = []
        # A counter and not the set's size, because clients run on several threads.
        self.attempt_numbers = itertools.count(1)
        # Every attempt id that a client here sent.
        self.attempts: set[str] = set()
        # The configuration items that were acknowledged.
        self.items: dict[str, typing.Any] = {}
        # What any endpoint executed, in order.
        self.executed: list[endpoint.Request] = []
        RUNNING.append(self)
        atexit.register(self.stop)

    def new_process(self, role: str, number: int, index: int, seeds: list[str]) -> AdapterProcess:
        """A process at an address of this network, in the zone whose turn it is."""
        zones = list(platform_documents.ZONES)
        return AdapterProcess(self, role, f'{self.network}.{number}', zones[index % len(zones)], seeds)

    @property
    def processes(self) -> list[AdapterProcess]:
        """All control nodes and proxies."""
        return self.cores + self.edges

    def start(self) -> 'Deployment':
        """Start all processes and wait until the proxies are ready."""
        for process in self.processes:
            process.start()
        self.wait_until(lambda: all(self.is_ready(process) for process in self.edges), 'the proxies')
        return self

    def is_ready(self, process: AdapterProcess) -> bool:
        """Whether a proxy says that it takes requests."""
        try:
            return http_calls.call(process.readiness, 'GET', '/v1/readiness').status == 200
        except OSError:
            return False

    def stop(self) -> None:
        """End everything at once."""
        for stand_in in self.endpoints:
            stand_in.crash()
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.process:
                process.process.wait()

    def wait_until(self, condition: collections.abc.Callable[[], typing.Any], what: str, limit_s: float = 60):
        """Wait until the condition is true and return its value; the limit is generous and only guards against hanging.

        Raises RuntimeError at the limit.
        """
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(POLL_SECONDS)
        raise RuntimeError(f'waited in vain for {what}; logs are in {self.folder}')

    def call_control(
        self, method: str, path: str, document: typing.Any = None, limit_s: float = 30
    ) -> http_calls.Response:
        """A call as operators and applications make it: at another node after a failure, until the response is clear.

        Raises RuntimeError at the limit.
        """
        deadline = time.monotonic() + limit_s
        while True:
            for process in self.cores:
                try:
                    response = http_calls.call(process.control, method, path, document, timeout_s=CONTROL_TIMEOUT_S)
                except (OSError, http.client.HTTPException):
                    continue
                if response.status < 500 and response.status not in RETRIED_STATUSES:
                    return response
            if time.monotonic() > deadline:
                raise RuntimeError(f'{method} {path}: no clear response')
            time.sleep(RETRY_SECONDS)

    def knows(self, process: AdapterProcess, stand_in: endpoint.Endpoint) -> bool:
        """Whether a process has the endpoint as ready in its copy of the state."""
        tables = http_calls.call(process.internal, 'GET', '/v1/copy').document['tables']
        row = tables.get('endpoints', {}).get(stand_in.identifier)
        return row is not None and row['state'] == 'ready' and row['addr'] == stand_in.address

    def has_drain_in_force(self, process: AdapterProcess, stand_in: endpoint.Endpoint) -> bool:
        """Whether a process has applied that the endpoint is not ready any more: its copy also shows what is not yet
        committed, which it does not act on."""
        copy = http_calls.call(process.internal, 'GET', '/v1/copy').document
        row = copy['tables'].get('endpoints', {}).get(stand_in.identifier)
        return copy['accepted'] == copy['committed'] and (row is None or row['state'] != 'ready')

    def start_endpoint(self, service_name: str, zone: str = 'z1', **options) -> endpoint.Endpoint:
        """Start an endpoint on an address that no other had."""
        ip = f'{self.network}.{FIRST_ENDPOINT + len(self.endpoints)}'
        return self.start_endpoint_at(ip, service_name, zone, **options)

    def start_endpoint_at(self, ip: str, service_name: str, zone: str = 'z1', **options) -> endpoint.Endpoint:
        """Start an endpoint on a given address."""
        stand_in = endpoint.Endpoint(self, ip, service_name, zone, **options)
        self.endpoints.append(stand_in)
        stand_in.start()
        return stand_in

    def new_attempt_id(self) -> str:
        """An attempt id that no other client uses."""
        attempt_id = f'{os.getpid():x}{next(self.attempt_numbers):012x}'
        self.attempts.add(attempt_id)
        return attempt_id
