"""An endpoint of the platform: sound as PROTOCOL.md describes it, unless a case says otherwise."""

import asyncio
import contextlib
import itertools
import typing

import common.http_calls as http_calls

if typing.TYPE_CHECKING:
    import common.deployment as deployment

PORT = 8080
BEAT_S = 1.5
NUMBERS = itertools.count(1)

# What an endpoint answers to a request that it runs: given the request, a body.
Work = typing.Callable[[http_calls.Message], typing.Awaitable[bytes]]


async def small_answer(request: http_calls.Message) -> bytes:
    """A short body after a little work."""
    await asyncio.sleep(0.02)
    return b'done\n'


class Endpoint:
    """One life of an endpoint: it beats, answers health checks, and runs requests."""

    def __init__(
        self,
        system: 'deployment.Deployment',
        ip: str,
        service: str,
        zone: str,
        work: Work = small_answer,
        slots: int = 4,
    ):
        self.system, self.service, self.zone, self.work, self.slots = system, service, zone, work, slots
        self.identifier = f'i-{next(NUMBERS):06x}'
        self.ip, self.address = ip, f'{ip}:{PORT}'
        self.state, self.sequence = 'available', 0
        # The ids of the requests that it began to run, in order.
        self.ran: list[str] = []
        self.server: asyncio.Server | None = None
        self.beating: asyncio.Task | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, have a first beat acknowledged, and go on beating."""
        self.server = await asyncio.start_server(self.serve, self.ip, PORT)
        await self.beat()
        self.beating = asyncio.create_task(self.go_on_beating())

    async def beat(self) -> bool:
        """Send one beat, to another node if one does not acknowledge it."""
        self.sequence += 1
        document = {
            'address': self.address,
            'information': {
                'service_name': self.service,
                'version_number': 'v1',
                'zone': self.zone,
                'slot_count': self.slots,
            },
            'status_report': {'state': self.state, 'call_sequence': self.sequence, 'cold_remaining_ms': 0},
        }
        answer = await self.system.operate('PUT', f'/v1/instances/{self.identifier}', document)
        return 200 <= answer.status < 300

    async def go_on_beating(self) -> None:
        """Beat every interval."""
        while True:
            await asyncio.sleep(BEAT_S)
            with contextlib.suppress(Exception):
                await self.beat()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, a request at a time."""
        self.connections.add(writer)
        try:
            while True:
                request = await http_calls.read_message(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        except (http_calls.BrokenMessageError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request: http_calls.Message) -> bytes:
        """The answer to a health check or a request."""
        path = request.first_line.split(' ')[1]
        if path == '/health':
            status = 'HTTP/1.1 200 OK' if self.state == 'available' else 'HTTP/1.1 503 Service Unavailable'
            return http_calls.encode(status, {'Zinctrail-Instance': self.identifier}, b'')
        attempt = request.headers.get('zinctrail-attempt-id', '')
        expected = request.headers.get('zinctrail-expected-instance', self.identifier)
        headers = {'Zinctrail-Attempt-Id': attempt}
        if expected != self.identifier:
            return http_calls.encode(
                'HTTP/1.1 421 Misdirected Request', {**headers, 'Zinctrail-Not-Executed': '1'}, b''
            )
        self.ran.append(attempt)
        self.system.record.write(f'endpoint {self.identifier} runs {attempt}')
        body = await self.work(request)
        headers['Zinctrail-Server-Seal'] = f'{attempt}.{len(body)}'
        return http_calls.encode('HTTP/1.1 200 OK', headers, body)

    async def crash(self) -> None:
        """End without a word."""
        if self.beating is not None:
            self.beating.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
