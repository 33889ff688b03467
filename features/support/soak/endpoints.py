"""Endpoints of a soak: asyncio servers that execute a request for a while, and cancel it when its connection ends."""

import asyncio
import contextlib
import json
import random
import typing

import features.support.endpoint as endpoint
import features.support.platform_documents as platform_documents
import features.support.soak.records as soak_records

HEARTBEAT_S = 1.0
PORT = 8080
# Ranges of the execution time: most requests are short, some are long.
WORK_MS = (5, 60)
LONG_WORK_MS = (400, 1500)
LONG_SHARE = 0.15
# How long an endpoint keeps serving after it has reported that it is draining.
AFTER_DRAIN_S = 3.5


class Connection(asyncio.Protocol):
    """A connection from a proxy, with one request at a time."""

    def __init__(self, owner: 'SoakEndpoint') -> None:
        self.owner = owner
        self.received = b''
        self.work: asyncio.Task | None = None
        self.transport: typing.Any = None

    def connection_made(self, transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.owner.connections.add(self)

    def connection_lost(self, error) -> None:
        """Cancel the request in progress."""
        self.owner.connections.discard(self)
        if self.work is not None:
            self.work.cancel()

    def data_received(self, data: bytes) -> None:
        """Append bytes, and start a request once it is complete."""
        self.received += data
        head, separator, rest = self.received.partition(b'\r\n\r\n')
        if not separator:
            return
        request_line, *lines = head.decode('latin-1').split('\r\n')
        headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(':') for line in lines)}
        size = int(headers.get('content-length', 0))
        if len(rest) < size:
            return
        self.received = rest[size:]
        method, path, _ = request_line.split(' ', 2)
        request = endpoint.Request(
            id=headers.get('zinctrail-attempt-id', ''), method=method, path=path, headers=headers, body=rest[:size]
        )
        self.work = asyncio.get_running_loop().create_task(self.owner.respond(self, request))

    def respond(self, status: int, headers: dict[str, str], body: bytes = b'') -> None:
        """Write a response."""
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        self.transport.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


class SoakEndpoint:
    """One endpoint; every start is a new endpoint with its own identifier."""

    def __init__(self, soak, address: str, service: str, zone: str, rng: random.Random) -> None:
        self.soak, self.address, self.service_name, self.zone, self.rng = soak, address, service, zone, rng
        self.identifier = f'i-{rng.getrandbits(40):010x}'
        self.connections: set[Connection] = set()
        self.sequence = 0
        self.state = 'available'
        self.has_ended = False
        self.server: asyncio.Server | None = None
        self.heartbeats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(':')
        self.server = await loop.create_server(lambda: Connection(self), host, int(port), reuse_address=True)
        self.heartbeats = loop.create_task(self.send_heartbeats())

    async def send_heartbeats(self) -> None:
        """Send heartbeats until the endpoint ends."""
        while not self.has_ended:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self) -> int:
        """Send one heartbeat to any control node; return the status, 0 without a response."""
        self.sequence += 1
        document = platform_documents.heartbeat(
            self.service_name, self.address, self.sequence, zone=self.zone, slot_count=8, state=self.state
        )
        return await self.soak.call_control('PUT', f'/v1/instances/{self.identifier}', document)

    async def drain(self) -> None:
        """Report draining, keep serving for AFTER_DRAIN_S, deregister and stop."""
        self.state = 'draining'
        await self.send_heartbeat()
        await asyncio.sleep(AFTER_DRAIN_S)
        await self.soak.call_control('DELETE', f'/v1/instances/{self.identifier}')
        await self.end()

    async def end(self) -> None:
        """Close the listener and all connections; requests in progress are lost."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        if self.server is not None:
            self.server.close()
        for run in self.soak.records.runs:
            if run.identifier == self.identifier and run.ended_at is None:
                run.how = 'crashed'
        for connection in list(self.connections):
            connection.transport.abort()

    async def respond(self, connection: Connection, request: endpoint.Request) -> None:
        """Execute one request, unless its connection ends, and respond to it."""
        if request['method'] == 'GET' and request['path'] == '/health':
            status = 200 if self.state == 'available' else 503
            connection.respond(status, {'Zinctrail-Instance': self.identifier})
            return
        attempt_id = request['id']
        expected = request['headers'].get('zinctrail-expected-instance')
        if expected not in (None, self.identifier):
            connection.respond(421, {'Zinctrail-Attempt-Id': attempt_id, 'Zinctrail-Not-Executed': '1'})
            return
        run = soak_records.Run(attempt_id, self.identifier, soak_records.now())
        self.soak.records.runs.append(run)
        bounds_ms = LONG_WORK_MS if self.rng.random() < LONG_SHARE else WORK_MS
        try:
            await asyncio.sleep(self.rng.uniform(*bounds_ms) / 1000)
        except asyncio.CancelledError:
            run.ended_at, run.how = soak_records.now(), run.how or 'dropped'
            raise
        run.ended_at, run.how = soak_records.now(), 'answered'
        body = json.dumps({'by': self.identifier, 'id': attempt_id, 'path': request['path']}).encode()
        headers = {'Zinctrail-Attempt-Id': attempt_id, 'Zinctrail-Server-Seal': endpoint.seal_of(attempt_id, body)}
        if self.state != 'available':
            headers['Connection'] = 'close'
        with contextlib.suppress(OSError):
            connection.respond(200, headers, body)
