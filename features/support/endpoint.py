"""An endpoint on real sockets that sends heartbeats, executes requests, and misbehaves as a scenario says."""

import collections.abc
import contextlib
import json
import queue
import random
import select
import socket
import struct
import threading
import typing

import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents

WORKERS = 16
BACKLOG = 100
LINE_BYTES = 65537
HEARTBEAT_SECONDS = 1.0
# How long a response is withheld at most, unless it is released before.
WITHHOLD_SECONDS = 60
# The statuses by which an endpoint refuses a request without executing it.
REFUSALS = {'busy': 503, 'deny': 429, 'move': 421}
SEAL_MODULUS = 9973


class Request(typing.TypedDict):
    """A request as an endpoint received it; `id` is that of the attempt."""

    id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Endpoint:
    """A test endpoint with a list of behaviours: one for each request to come, 'ok' when the list is empty.

    'ok'       the full response                 'cut'     half of the body, then a close
    'reset'    a reset, after executing it       'silent'  nothing, ever
    'bytes'    bytes that are no response        'extra'   a full response and more bytes after it
    'twin'     a full response, then another     'other'   a response with another attempt's id
    'bare'     a success without a seal          'busy'    503, not executed
    'deny'     429, not executed                 'move'    421, not executed
    'own500'   a 500 of its own                  'close'   a full response, Connection: close
    'hold'     the full one, once released       'leave'   a close before a byte of the response
    'work'     executes until its connection is closed, and drops the request then
    'late'     the full one, and a second copy in place of the response to the next request
    """

    def __init__(
        self,
        deployment,
        ip: str,
        service_name: str,
        zone: str,
        behaviours: collections.abc.Iterable[str] = (),
        slots: int = 4,
        port: int = 8080,
        identifier: str | None = None,
    ):
        self.deployment, self.ip, self.address = deployment, ip, f'{ip}:{port}'
        self.service_name, self.zone, self.slots = service_name, zone, slots
        self.identifier = identifier or f'i-{random.SystemRandom().getrandbits(40):010x}'
        self.behaviours = list(behaviours)
        self.executed: list[Request] = []
        self.refused: list[Request] = []
        # Ids of the requests that 'work' dropped.
        self.dropped: list[str] = []
        self.health_checks = 0
        self.connections_taken = 0
        # The contents of its heartbeats.
        self.state = 'available'
        self.cold_ms = 0
        self.load: str | None = None
        # How much longer the responses to a path are than they have to be.
        self.padding_bytes: dict[str, int] = {}
        self.sequence = 0
        self.heartbeat_statuses: list[int] = []
        self.has_ended = threading.Event()
        # Releases the responses that are withheld by 'hold'.
        self.released = threading.Event()
        # Ends the silence of 'silent'.
        self.silence_over = threading.Event()
        self.lock = threading.Lock()
        self.open_connections: set[socket.socket] = set()
        self.accepted: queue.SimpleQueue = queue.SimpleQueue()
        # For 'late': the second copy to send on each connection, and how many of these copies were sent.
        self.owed_copies: dict[socket.socket, tuple] = {}
        self.misplaced_copies = 0

    def start(self) -> None:
        """Listen, and send heartbeats."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, _, port = self.address.rpartition(':')
        self.listener.bind((host, int(port)))
        self.listener.listen(BACKLOG)
        # All threads start now, because on a busy machine a new thread may take a second to begin.
        for _ in range(WORKERS):
            threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.accept, daemon=True).start()
        self.send_heartbeat()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def crash(self) -> None:
        """Stop without a notice to the control nodes, and close all connections."""
        if self.has_ended.is_set():
            return
        self.has_ended.set()
        self.released.set()
        self.silence_over.set()
        # Some systems do not allow the shutdown of a listening socket.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.open_connections):
            # The peer may have closed it first.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        for _ in range(WORKERS):
            self.accepted.put(None)

    def end_silence(self) -> None:
        """Close the connections that a 'silent' response keeps open."""
        ended, self.silence_over = self.silence_over, threading.Event()
        ended.set()

    # -- calls to the control nodes -------------------------------------------

    def send_heartbeat(self, state: str | None = None) -> http_calls.Response:
        """Send a heartbeat to the first control node that acknowledges it; `state` sets the endpoint's state first."""
        if state:
            self.state = state
        self.sequence += 1
        document = platform_documents.heartbeat(
            self.service_name,
            self.address,
            self.sequence,
            zone=self.zone,
            slot_count=self.slots,
            state=self.state,
            cold_remaining_ms=self.cold_ms,
        )
        response = self.deployment.call_control('PUT', f'/v1/instances/{self.identifier}', document)
        self.heartbeat_statuses.append(response.status)
        return response

    def send_heartbeats(self) -> None:
        """Send heartbeats until the endpoint ends."""
        while not self.has_ended.wait(HEARTBEAT_SECONDS):
            # No control node may be reachable; the next heartbeat tries again.
            with contextlib.suppress(RuntimeError):
                self.send_heartbeat()

    def deregister(self) -> http_calls.Response:
        """Remove this endpoint at the control nodes."""
        return self.deployment.call_control('DELETE', f'/v1/instances/{self.identifier}')

    # -- requests from proxies ------------------------------------------------

    def accept(self) -> None:
        """Accept connections until the listener is closed."""
        while not self.has_ended.is_set():
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections_taken += 1
            self.open_connections.add(connection)
            self.accepted.put(connection)

    def work(self) -> None:
        """Serve connections, one after another."""
        while (connection := self.accepted.get()) is not None:
            self.serve(connection)

    def serve(self, connection: socket.socket) -> None:
        """Respond to the requests of one connection until it ends."""
        try:
            with connection, connection.makefile('rb') as stream:
                while not self.has_ended.is_set():
                    request = read_request(stream)
                    if request is None or not self.respond(connection, request):
                        return
        except OSError:
            # The proxy may close a connection at any time.
            pass
        finally:
            self.open_connections.discard(connection)

    def respond(self, connection: socket.socket, request: Request) -> bool:
        """Respond to one request by the next behaviour; return True if the connection stays open."""
        if request['method'] == 'GET' and request['path'] == '/health':
            self.health_checks += 1
            status = 200 if self.state == 'available' else 503
            self.send(connection, status, {'Zinctrail-Instance': self.identifier}, b'')
            return True
        attempt_id = request['id']
        headers = {'Zinctrail-Attempt-Id': attempt_id}
        with self.lock:
            behaviour = self.behaviours.pop(0) if self.behaviours else 'ok'
        refusal = self.refusal_of(request, behaviour)
        if refusal is not None:
            self.refused.append(request)
            self.send(connection, refusal, {**headers, 'Zinctrail-Not-Executed': '1'}, b'')
            return True
        self.executed.append(request)
        self.deployment.executed.append(request)
        body = response_body(self, request)
        headers['Zinctrail-Server-Seal'] = seal_of(attempt_id, body)
        if connection in self.owed_copies:
            self.misplaced_copies += 1
            self.send_whole(connection, *self.owed_copies.pop(connection))
        return BEHAVIOURS[behaviour](self, connection, headers, body, attempt_id)

    def refusal_of(self, request: Request, behaviour: str) -> int | None:
        """Return the status with which a request is refused; None if it is executed."""
        if not request['id']:
            return 400
        expected = request['headers'].get('zinctrail-expected-instance')
        if expected is not None and expected != self.identifier:
            return 421
        return REFUSALS.get(behaviour)

    def send(
        self,
        connection: socket.socket,
        status: int,
        headers: dict[str, str],
        body: bytes,
        cut_short: bool = False,
        more: bytes = b'',
    ) -> None:
        """Write a response, and the bytes `more` after it."""
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        if self.load is not None:
            headers = {**headers, 'Zinctrail-Server-Load': self.load}
        lines += [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        connection.sendall(head + (body[: len(body) // 2] if cut_short else body) + more)

    def send_whole(
        self,
        connection: socket.socket,
        headers: dict[str, str],
        body: bytes,
        attempt_id: str,
        status: int = 200,
        extra_headers: dict[str, str] | None = None,
        **options,
    ) -> bool:
        """Write a response and keep the connection open."""
        self.send(connection, status, {**headers, **(extra_headers or {})}, body, **options)
        return True


def response_body(endpoint: Endpoint, request: Request) -> bytes:
    """Return the body of an endpoint's response to a request that it executed."""
    row = {
        'by': endpoint.identifier,
        'id': request['id'],
        'got': len(request['body']),
        'path': request['path'],
    }
    return json.dumps(row).encode() + b' ' * endpoint.padding_bytes.get(request['path'], 0)


def seal_of(attempt_id: str, body: bytes) -> str:
    """Return the seal of an endpoint's response."""
    return f'{attempt_id}.{len(body)}.{sum(body) % SEAL_MODULUS}'


# -- behaviours: (endpoint, connection, headers, body, attempt id) -> true if the connection stays open


def reset(endpoint, connection, headers, body, attempt_id) -> bool:
    """Reset the connection instead of sending a response."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    connection.close()
    return False


def close_unanswered(endpoint, connection, headers, body, attempt_id) -> bool:
    """Close the connection instead of sending a response."""
    return False


def stay_silent(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send nothing until the silence is ended."""
    endpoint.silence_over.wait(WITHHOLD_SECONDS)
    return False


def withhold(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send the response once it is released."""
    endpoint.released.wait(WITHHOLD_SECONDS)
    return endpoint.send_whole(connection, headers, body, attempt_id)


def work_until_closed(endpoint, connection, headers, body, attempt_id) -> bool:
    """Wait until the proxy closes the connection, and record the request as dropped."""
    readable, _, _ = select.select([connection], [], [], WITHHOLD_SECONDS)
    if readable:
        # Only the end of the connection may arrive before the response. A reset raises an error, and is an end as well.
        with contextlib.suppress(ConnectionResetError):
            assert connection.recv(1) == b''
        endpoint.dropped.append(attempt_id)
    return False


def cut_short(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send half of the body and close."""
    endpoint.send_whole(connection, headers, body, attempt_id, cut_short=True)
    return False


def add_bytes(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send the response, and bytes after it that belong to no response."""
    return endpoint.send_whole(connection, headers, body, attempt_id, more=b'bytes of nobody')


def add_response(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send a second response after the first."""
    more = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\nZinctrail-Attempt-Id: %s\r\n\r\nof nobody' % attempt_id.encode()
    return endpoint.send_whole(connection, headers, body, attempt_id, more=more)


def owe_copy(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send the response, and a second copy of it when the next request arrives."""
    endpoint.owed_copies[connection] = (headers, body, attempt_id)
    return endpoint.send_whole(connection, headers, body, attempt_id)


def send_garbage(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send bytes that are no response."""
    connection.sendall(b'\x00\xffnot an answer\r\n\r\n')
    return False


def respond_with_other_id(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send the response with another attempt's id."""
    return endpoint.send_whole(connection, {**headers, 'Zinctrail-Attempt-Id': 'another'}, body, attempt_id)


def leave_seal_out(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send the response without a seal."""
    return endpoint.send_whole(connection, {'Zinctrail-Attempt-Id': attempt_id}, body, attempt_id)


def fail(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send a 500 of the endpoint's own."""
    return endpoint.send_whole(connection, headers, body, attempt_id, status=500)


def respond_and_close(endpoint, connection, headers, body, attempt_id) -> bool:
    """Send the response, say that the connection closes, and close it."""
    endpoint.send_whole(connection, headers, body, attempt_id, extra_headers={'Connection': 'close'})
    return False


BEHAVIOURS: dict[str, collections.abc.Callable[..., bool]] = {
    'ok': Endpoint.send_whole,
    'cut': cut_short,
    'reset': reset,
    'leave': close_unanswered,
    'silent': stay_silent,
    'hold': withhold,
    'work': work_until_closed,
    'bytes': send_garbage,
    'extra': add_bytes,
    'twin': add_response,
    'late': owe_copy,
    'other': respond_with_other_id,
    'bare': leave_seal_out,
    'own500': fail,
    'close': respond_and_close,
}


def read_request(stream: typing.BinaryIO) -> Request | None:
    """Read the next request of a connection; None at its end."""
    line = stream.readline(LINE_BYTES)
    if not line.strip():
        return None
    method, path, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    while (line := stream.readline(LINE_BYTES)).strip():
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        body = read_chunks(stream)
    else:
        body = stream.read(int(headers.get('content-length', 0)))
    return Request(id=headers.get('zinctrail-attempt-id', ''), method=method, path=path, headers=headers, body=body)


def read_chunks(stream: typing.BinaryIO) -> bytes:
    """Read a body in chunked transfer coding."""
    body = b''
    while size := int(stream.readline().split(b';')[0], 16):
        body += stream.read(size)
        stream.readline()
    stream.readline()
    return body
