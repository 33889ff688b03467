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
# Statuses after which an operator calls another control node.
RETRIED_STATUSES = (408, 429)

# The deployments that run, for steps of several scenarios; they are stopped when their feature ends.
RUNNING: 'list[Deployment]' = []


def draw_network() -> str:
    """Return the first three bytes of a random loopback network.

    All deployments use the same ports, so that each needs a network of its own to run beside others.
    """
    generator = random.SystemRandom()
    return f'127.{generator.randrange(2, 250)}.{generator.randrange(1, 250)}'


class AdapterProcess:
    """A process of the adapter, on its own address; its role is 'core' or 'edge'."""

    def __init__(self, deployment: 'Deployment', role: str, ip: str, zone: str, seeds: list[str]):
        self.role, self.ip, self.name = role, ip, f'{role}-{ip}'
        data = os.path.join(deployment.folder, f'data-{ip}') if role == 'core' else None
        if data:
            os.makedirs(data)
        self.settings = platform_documents.process_settings(role, ip, zone, seeds, data=data)
        self.settings_file = os.path.join(deployment.folder, f'{self.name}.settings')
        self.log_file = os.path.join(deployment.folder, f'{self.name}.log')
        self.process: subprocess.Popen | None = None
        # The product's own HTTP API is at the second internal port.
        self.internal = f'{ip}:{self.settings["internal_port_range"][0] + 1}'
        self.ingress, self.readiness = f'{ip}:8641', f'{ip}:8640'
        self.control, self.directory = f'{ip}:8649', f'{ip}:8644'

    def write_settings(self) -> None:
        """Render the settings file as the platform does, and replace it atomically."""
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
        """Wait until the process has exited, and return its exit status."""
        assert self.process is not None
        return self.process.wait(timeout_s)


class Deployment:
    """A deployment of `cores` control nodes and `edges` proxies, spread over the zones."""

    def __init__(self, cores: int = 3, edges: int = 2):
        self.folder = tempfile.mkdtemp(prefix='zt-chain-')
        self.network = draw_network()
        seeds = [f'{self.network}.{index + 1}:8649' for index in range(min(SEEDS, cores))]
        self.cores = [self.new_process('core', index + 1, index, seeds) for index in range(cores)]
        self.edges = [self.new_process('edge', index + FIRST_PROXY, index, seeds) for index in range(edges)]
        self.endpoints: list[endpoint.Endpoint] = []
        # A counter rather than the size of `attempts`, because clients run on several threads.
        self.attempt_numbers = itertools.count(1)
        # Every attempt id that a client of this deployment sent.
        self.attempts: set[str] = set()
        # The configuration items that were acknowledged.
        self.items: dict[str, typing.Any] = {}
        # The requests that endpoints executed, in order.
        self.executed: list[endpoint.Request] = []
        RUNNING.append(self)
        atexit.register(self.stop)

    def new_process(self, role: str, number: int, index: int, seeds: list[str]) -> AdapterProcess:
        """Return a new process at an address of this network; the index selects its zone in rotation."""
        zones = list(platform_documents.ZONES)
        return AdapterProcess(self, role, f'{self.network}.{number}', zones[index % len(zones)], seeds)

    @property
    def processes(self) -> list[AdapterProcess]:
        """The processes of all control nodes and proxies."""
        return self.cores + self.edges

    def start(self) -> 'Deployment':
        """Start all processes and wait until the proxies are ready."""
        for process in self.processes:
            process.start()
        self.wait_until(lambda: all(self.is_ready(process) for process in self.edges), 'the proxies')
        return self

    def is_ready(self, process: AdapterProcess) -> bool:
        """Return True if a proxy reports that it is ready."""
        try:
            return http_calls.call(process.readiness, 'GET', '/v1/readiness').status == 200
        except OSError:
            return False

    def stop(self) -> None:
        """Kill all endpoints and processes."""
        for test_endpoint in self.endpoints:
            test_endpoint.crash()
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
        raise RuntimeError(f'timed out after {limit_s} s waiting for {what}; logs are in {self.folder}')

    def call_control(
        self, method: str, path: str, document: typing.Any = None, limit_s: float = 30, raw: bytes | None = None
    ) -> http_calls.Response:
        """Call the control nodes as operators do: after a failure, try the next node until a response is conclusive.

        Raises RuntimeError at the limit.
        """
        deadline = time.monotonic() + limit_s
        while True:
            for process in self.cores:
                try:
                    response = http_calls.call(
                        process.control, method, path, document, raw, timeout_s=CONTROL_TIMEOUT_S
                    )
                except (OSError, http.client.HTTPException):
                    continue
                if response.status < 500 and response.status not in RETRIED_STATUSES:
                    return response
            if time.monotonic() > deadline:
                raise RuntimeError(f'{method} {path}: no conclusive response within {limit_s} s')
            time.sleep(RETRY_SECONDS)

    def knows(self, process: AdapterProcess, test_endpoint: endpoint.Endpoint) -> bool:
        """Return True if a process has the endpoint as ready in its copy of the state."""
        tables = http_calls.call(process.internal, 'GET', '/v1/copy').document['tables']
        row = tables.get('endpoints', {}).get(test_endpoint.identifier)
        return row is not None and row['state'] == 'ready' and row['addr'] == test_endpoint.address

    def has_drain_in_force(self, process: AdapterProcess, test_endpoint: endpoint.Endpoint) -> bool:
        """Return True if a process has applied a state in which the endpoint is no longer ready.

        The copy must be fully committed, because it also shows accepted changes on which the process does not act yet.
        """
        copy = http_calls.call(process.internal, 'GET', '/v1/copy').document
        row = copy['tables'].get('endpoints', {}).get(test_endpoint.identifier)
        return copy['accepted'] == copy['committed'] and (row is None or row['state'] != 'ready')

    def start_endpoint(self, service_name: str, zone: str = 'z1', **options) -> endpoint.Endpoint:
        """Start an endpoint on an address that no other endpoint has had."""
        ip = f'{self.network}.{FIRST_ENDPOINT + len(self.endpoints)}'
        return self.start_endpoint_at(ip, service_name, zone, **options)

    def start_endpoint_at(self, ip: str, service_name: str, zone: str = 'z1', **options) -> endpoint.Endpoint:
        """Start an endpoint on a given address."""
        test_endpoint = endpoint.Endpoint(self, ip, service_name, zone, **options)
        self.endpoints.append(test_endpoint)
        test_endpoint.start()
        return test_endpoint

    def new_attempt_id(self) -> str:
        """Return a new attempt id, unique among all clients."""
        attempt_id = f'{os.getpid():x}{next(self.attempt_numbers):012x}'
        self.attempts.add(attempt_id)
        return attempt_id
