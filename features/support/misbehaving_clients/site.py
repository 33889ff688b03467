"""The processes of a scenario on misbehaving clients, with lowered limits, and the listeners of each."""

import collections.abc
import http.client
import json
import os
import signal
import subprocess
import sys
import time
import typing

import features.support.deployment as deployment
import features.support.deployment_client as deployment_client
import features.support.http_calls as http_calls
import features.support.misbehaving_clients.crowd as crowds
import features.support.misbehaving_clients.endpoint as sized_endpoint
import features.support.misbehaving_clients.process_usage as process_usage
import features.support.platform_documents as platform_documents
import features.support.repository as repository

# The limits of every process, unless a scenario lowers or raises them.
MEMORY_MB = 128
FILE_DESCRIPTORS = 600
# Descriptors that DEPLOY.md reserves for files; the others are for sockets, pipes and data files.
FILES = 200
# The platform's temporary folder, which counts as memory as well.
TEMPORARY_BYTES = 64 * 10**6
MEGABYTE = 10**6
DIRECTORY_IP = 91
SLOTS = 32
# Routes: requests may wait for some seconds; may wait for long; run at most once and may wait for long.
ROUTE, LONG_ROUTE, ONCE_ROUTE = 'r1', 'r9', 'r2'
# A route like the last one, to a service with room for very many requests.
WIDE_ROUTE, WIDE_SERVICE, WIDE_SLOTS = 'r8', 'wide', 500
ROUTE_TIMEOUT_MS, LONG_TIMEOUT_MS = 4000, 30000
# So many routes that the configuration, and each copy of the state, has some 100 KB.
FURTHER_ROUTES = 300
# Guards against hanging only.
LIMIT_S = 60
CALL_TIMEOUT_S = 5
RETRY_S = 0.1


class Listener(typing.NamedTuple):
    """A listener of a program, and the path of an ordinary request to it."""

    # 'edge', 'core' or 'directory'.
    role: str
    # The attribute of the process that holds the listener's address.
    address: str
    path: str


LISTENERS = {
    'open traffic of a proxy': Listener('edge', 'ingress', f'/{ROUTE}/x'),
    'readiness of a proxy': Listener('edge', 'readiness', '/v1/readiness'),
    'metrics of a proxy': Listener('edge', 'internal', '/v1/metrics'),
    'control plane': Listener('core', 'control', '/v1/configuration'),
    'directory service': Listener('core', 'directory', '/v1/resolution?name=hulo.example&region=north&zone=z1'),
    'metrics of a control node': Listener('core', 'internal', '/v1/metrics'),
    'directory daemon': Listener('directory', 'internal', '/v1/metrics'),
}


class DirectoryProcess:
    """A zinctrail-directory, which the platform's adapter doesn't start."""

    def __init__(self, site: deployment.Deployment, seed_ip: str) -> None:
        ip = f'{site.network}.{DIRECTORY_IP}'
        self.name = f'directory-{ip}'
        self.limits = {'memory_mb': MEMORY_MB, 'file_descriptors': FILE_DESCRIPTORS}
        self.internal = f'{ip}:7621'
        self.flags = [f'--addr={ip}:7620', f'--http={self.internal}', '--cell=north/z1', f'--seeds={seed_ip}:7620']
        self.log_file = os.path.join(site.folder, f'{self.name}.log')
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output is appended to its log."""
        limits = [f'--{name}={value}' for name, value in self.limits.items()]
        with open(self.log_file, 'a') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'zinctrail.cli.directory', *self.flags, *limits],
                cwd=repository.ROOT,
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


class Site(deployment.Deployment):
    """A control node, a proxy, a directory daemon and an endpoint; one process is the target of a scenario's crowd."""

    def __init__(self) -> None:
        super().__init__(cores=1, edges=1)
        self.directory = DirectoryProcess(self, self.cores[0].ip)
        for process in self.processes:
            process.settings['fault_tolerance']['machine_losses'] = 0
            process.settings['limits'].update(memory_mb=MEMORY_MB, file_descriptors=FILE_DESCRIPTORS)
        self.crowd = crowds.Crowd()
        # Clients that behave, and stay for the whole scenario.
        self.bystanders = crowds.Crowd()
        self.listener = LISTENERS['open traffic of a proxy']
        self.recorder: process_usage.UsageRecorder | None = None
        # The revision of the key that `put_key` put last.
        self.revision = 0

    def start(self) -> 'Site':
        """Start the processes and the endpoint, and put the configuration into force."""
        super().start()
        first = platform_documents.first_configuration()
        first['upserts']['route_list'] = [
            platform_documents.route(ROUTE, timeout_ms=ROUTE_TIMEOUT_MS, target_ms=ROUTE_TIMEOUT_MS, attempt_limit=1),
            platform_documents.route(
                LONG_ROUTE, timeout_ms=LONG_TIMEOUT_MS, target_ms=LONG_TIMEOUT_MS, attempt_limit=1
            ),
            platform_documents.route(
                ONCE_ROUTE,
                kind='non_idempotent',
                service_name='sb',
                timeout_ms=LONG_TIMEOUT_MS,
                target_ms=LONG_TIMEOUT_MS,
                attempt_limit=1,
            ),
            platform_documents.route(
                WIDE_ROUTE,
                kind='non_idempotent',
                service_name=WIDE_SERVICE,
                timeout_ms=LONG_TIMEOUT_MS,
                target_ms=LONG_TIMEOUT_MS,
                attempt_limit=1,
            ),
            *(platform_documents.route(f'further{number}') for number in range(FURTHER_ROUTES)),
        ]
        first['upserts']['service_list'].append(
            platform_documents.service(WIDE_SERVICE, connection_limit=WIDE_SLOTS, cold_start_s=0.0)
        )
        response = self.call_control('PATCH', '/v1/configuration', first)
        assert response.status == 200, response
        return self

    def stop(self) -> None:
        """Close the crowd, and kill all processes."""
        self.end_crowds()
        if self.recorder is not None:
            self.recorder.is_over.set()
        self.directory.signal(signal.SIGKILL)
        super().stop()
        if self.directory.process is not None:
            self.directory.process.wait()

    # -- the target of the crowd ---------------------------------------------------

    @property
    def target(self) -> typing.Any:
        """The process that the crowd is sent to."""
        return {'edge': self.edges[0], 'core': self.cores[0], 'directory': self.directory}[self.listener.role]

    @property
    def limits(self) -> dict[str, typing.Any]:
        """The limits of the target."""
        return self.directory.limits if self.listener.role == 'directory' else self.target.settings['limits']

    @property
    def pid(self) -> int:
        """The process id of the target."""
        return self.target.process.pid

    @property
    def address(self) -> str:
        """The address that the crowd is sent to."""
        return getattr(self.target, self.listener.address)

    def begin(self, listener: str, memory_mb: int = MEMORY_MB, file_descriptors: int = FILE_DESCRIPTORS) -> None:
        """Start the target anew with these limits, and begin to record what it uses."""
        self.end_crowds()
        self.listener = LISTENERS[listener]
        if self.target.process is not None:
            self.target.signal(signal.SIGKILL)
            self.target.wait()
        self.limits.update(memory_mb=memory_mb, file_descriptors=file_descriptors)
        self.target.start()
        self.start_endpoint_anew()
        self.wait_for_ordinary_answer()
        self.recorder = process_usage.UsageRecorder(self.pid)

    def end_crowds(self) -> None:
        """Close all connections of clients, and begin with none."""
        for crowd in (self.crowd, self.bystanders):
            crowd.close()
            crowd.connections.clear()

    def start_endpoint_anew(self) -> None:
        """Replace the endpoint, so that no request of an earlier scenario is left there."""
        for old in self.endpoints:
            old.crash()
        ip = f'{self.network}.{deployment.FIRST_ENDPOINT + len(self.endpoints)}'
        endpoint = sized_endpoint.SizedEndpoint(self, ip, 'sa', 'z1', slots=SLOTS)
        other = sized_endpoint.SizedEndpoint(self, ip, 'sb', 'z1', slots=SLOTS, port=8081)
        for each in (endpoint, other):
            self.endpoints.append(each)
            each.start()

    def start_wide_endpoint(self) -> None:
        """Start an endpoint with room for very many requests, and wait until the proxy knows it."""
        ip = f'{self.network}.{deployment.FIRST_ENDPOINT + len(self.endpoints)}'
        endpoint = sized_endpoint.SizedEndpoint(self, ip, WIDE_SERVICE, 'z1', slots=WIDE_SLOTS)
        self.endpoints.append(endpoint)
        endpoint.start()
        self.wait_until(lambda: self.knows(self.edges[0], endpoint), 'the endpoint')

    def start_mute_endpoint(self, health_body_bytes: int) -> sized_endpoint.SizedEndpoint:
        """Start an endpoint that sends no further heartbeats, and long answers to health checks."""
        ip = f'{self.network}.{deployment.FIRST_ENDPOINT + len(self.endpoints)}'
        endpoint = sized_endpoint.SizedEndpoint(self, ip, 'sc', 'z1', slots=SLOTS)
        endpoint.health_body_bytes, endpoint.is_mute = health_body_bytes, True
        self.endpoints.append(endpoint)
        endpoint.start()
        return endpoint

    # -- requests ------------------------------------------------------------------

    def request(self, path: str, method: str = 'GET', body: bytes = b'') -> http_calls.Response:
        """Send an ordinary request to the target; return a response with status 0 if the connection was lost."""
        try:
            if self.listener.address == 'ingress':
                return http_calls.send_attempt(
                    self.address,
                    deployment_client.HOST,
                    path,
                    self.new_attempt_id(),
                    method,
                    body,
                    remaining_ms=LONG_TIMEOUT_MS,
                    timeout_s=LONG_TIMEOUT_MS / 1000,
                )
            return http_calls.call(self.address, method, path, raw=body or None, timeout_s=CALL_TIMEOUT_S)
        except (OSError, http.client.HTTPException, http_calls.ConnectionLostError) as error:
            return http_calls.Response(0, {}, f'{type(error).__name__}: {error}'.encode())

    def ordinary_answer(self) -> http_calls.Response:
        """Send the listener's ordinary request once, and return the response."""
        return self.request(self.listener.path)

    def wait_for_ordinary_answer(self) -> http_calls.Response:
        """Send the listener's ordinary request until it is answered with 200, as clients do after a refusal.

        Raises AssertionError after `LIMIT_S`, which only guards against hanging.
        """
        return self.wait_for_success(self.ordinary_answer)

    def wait_for_success(self, send: collections.abc.Callable[[], http_calls.Response]) -> http_calls.Response:
        """Repeat a request until it is answered with 200; raises AssertionError after `LIMIT_S`."""
        limit = time.monotonic() + LIMIT_S
        while True:
            assert self.target.process.poll() is None, f'the process has ended; logs are in {self.folder}'
            response = send()
            if response.status == 200:
                return response
            assert time.monotonic() < limit, (
                f'no answer with 200, the last one is {response}; logs are in {self.folder}'
            )
            time.sleep(RETRY_S)

    def put_key(self, key: str) -> None:
        """Put a key, and record its revision."""
        document = {'value': f'{self.pid}', 'concerns': self.revision}
        response = self.call_control('PUT', f'/v1/cells/{key}', document)
        assert response.status == 200, response
        self.revision = response.document['revision']

    def attempt_bytes(self, path: str, method: str = 'GET', length: int = 0, header: bytes = b'') -> bytes:
        """Return the bytes of a request's header to the target; `header` has further lines."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {deployment_client.HOST}',
            f'Zinctrail-Attempt-Id: {self.new_attempt_id()}',
            f'Zinctrail-Deadline-Remaining: {LONG_TIMEOUT_MS}',
            f'Content-Length: {length}',
        ]
        return '\r\n'.join(lines).encode() + b'\r\n' + header + b'\r\n'

    def wait_until_settled(self, condition: collections.abc.Callable[[], bool]) -> None:
        """Wait until a condition is true; the limit only guards against hanging."""
        self.wait_until(condition, 'the crowd', LIMIT_S)

    def settle(self) -> None:
        """Wait until the crowd has sent what the target takes, and the target rests."""
        self.crowd.settle(lambda: process_usage.processor_ticks(self.pid))

    def settle_requests(self) -> None:
        """Wait until the target rests, and no more requests reach the endpoints."""
        known = -1
        while known != (executed := sum(len(each.executed) for each in self.endpoints)):
            known = executed
            self.settle()

    # -- checks --------------------------------------------------------------------

    def check_usage(self) -> None:
        """Check that the target runs, and that it kept within its limits since `begin`."""
        assert self.target.process.poll() is None, f'the process has ended; logs are in {self.folder}'
        assert self.recorder is not None
        usage = self.recorder.stop()
        print(f'USAGE {json.dumps(usage._asdict())}')
        memory = self.limits['memory_mb'] * MEGABYTE
        over = {
            'memory': usage.memory_bytes > memory,
            'memory with temporary files': usage.memory_and_temporary_bytes > memory,
            'temporary files': usage.temporary_bytes > TEMPORARY_BYTES,
            'descriptors': usage.descriptors > self.limits['file_descriptors'],
            'sockets': usage.sockets > self.limits['file_descriptors'] - FILES,
        }
        with open(self.target.log_file, encoding='utf-8', errors='replace') as log:
            assert 'Traceback' not in log.read(), f'the process logged a traceback: {self.target.log_file}'
        assert not any(over.values()), (
            f'over its limits: {[name for name, is_over in over.items() if is_over]}',
            usage,
        )
