"""Clients of a soak: each uses a connection until it ends, whatever directories say, and sometimes disconnects."""

import asyncio
import json
import random

import features.support.endpoint as endpoint
import features.support.http_calls as http_calls
import features.support.soak.records as soak_records

DEADLINE_MS = 4000
# How long a client waits beyond the deadline that it sends.
EXTRA_WAIT_S = 4.0
# The share of idempotent requests whose client disconnects before the response, and the time limit for that.
DISCONNECT_SHARE = 0.12
DISCONNECT_WITHIN_S = 0.5
PAUSE_S = 0.04
# How long a client waits after a failed connection attempt.
RECONNECT_S = 0.1
LOOKUP_S = 1.0
HEAD_BYTES = 65536


class Directory:
    """The last resolution of each zone and host; clients may use one after its time to live."""

    def __init__(self, soak, zones: list[str], hosts: list[str]) -> None:
        self.soak = soak
        self.began_at = soak_records.now()
        self.known: dict[tuple[str, str], list[str]] = {(zone, host): [] for zone in zones for host in hosts}

    async def keep_resolving(self) -> None:
        """Resolve every zone and host repeatedly until the soak is over."""
        while not self.soak.is_over:
            for zone, host in self.known:
                await self.resolve(zone, host)
            await asyncio.sleep(LOOKUP_S)

    async def resolve(self, zone: str, host: str) -> None:
        """Look up the ingresses of a host; keep the last result if no control node responds."""
        path = f'/v1/resolution?name={host}&region={self.soak.regions[zone]}&zone={zone}'
        for process in self.soak.rng.sample(self.soak.cores, len(self.soak.cores)):
            response = await self.soak.call(process.process.directory, 'GET', path)
            if response is not None and response.status == 200:
                self.known[zone, host] = response.document['addresses']
                self.soak.records.lookups.append(
                    soak_records.Lookup(
                        zone,
                        host,
                        response.document['addresses'],
                        soak_records.now(),
                        process.process.name,
                        soak_records.now() - self.began_at,
                    )
                )
                return


class SoakClient:
    """One client in a zone."""

    def __init__(self, soak, number: int, zone: str) -> None:
        self.soak, self.zone = soak, zone
        self.rng = random.Random(f'{soak.seed}/client{number}')
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.ingress = ''
        self.host = ''

    async def run(self) -> None:
        """Send requests until the soak is over."""
        while not self.soak.is_over:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
            if self.writer is None and not await self.connect():
                await asyncio.sleep(RECONNECT_S)
                continue
            await self.attempt()
        self.close(reset=False)

    async def connect(self) -> bool:
        """Open a connection to a random known ingress; return True on success."""
        self.host = self.rng.choice(self.soak.hosts)
        ingresses = self.soak.directory.known[self.zone, self.host]
        if not ingresses:
            return False
        self.ingress = self.rng.choice(ingresses)
        host, _, port = self.ingress.rpartition(':')
        try:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        except (OSError, TimeoutError):
            return False
        return True

    def close(self, reset: bool) -> None:
        """End the connection."""
        if self.writer is not None:
            self.writer.transport.abort() if reset else self.writer.close()
        self.reader = self.writer = None

    async def attempt(self) -> None:
        """Send one request over the connection, and read its response or disconnect."""
        route = self.rng.choice(self.soak.routes_of_host[self.host])
        attempt = soak_records.Attempt(
            id=self.soak.records.new_attempt_id(),
            route=route.name,
            runs_once=route.runs_once,
            ingress=self.ingress,
            start=self.soak.starts_of(self.ingress),
            sent_at=soak_records.now(),
        )
        self.soak.records.attempts[attempt.id] = attempt
        method = 'POST' if route.runs_once else 'GET'
        lines = [
            f'{method} /{route.name}/x HTTP/1.1',
            f'Host: {self.host}',
            f'Zinctrail-Attempt-Id: {attempt.id}',
            f'Zinctrail-Deadline-Remaining: {DEADLINE_MS}',
            'Content-Length: 0',
        ]
        assert self.writer is not None
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        disconnects = not route.runs_once and self.rng.random() < DISCONNECT_SHARE
        wait_s = self.rng.uniform(0, DISCONNECT_WITHIN_S) if disconnects else DEADLINE_MS / 1000 + EXTRA_WAIT_S
        try:
            response = await asyncio.wait_for(self.read_response(), wait_s)
        except TimeoutError:
            attempt.disconnected_at = soak_records.now()
            attempt.fault = 'left' if disconnects else 'no response'
            self.close(reset=self.rng.random() < 0.5)
            return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            attempt.fault = type(error).__name__
            self.close(reset=False)
            return
        finally:
            attempt.ended_at = soak_records.now()
        self.record(attempt, response)
        if 'close' in response.headers.get('connection', '').lower():
            self.close(reset=False)

    async def read_response(self) -> http_calls.Response:
        """Read a complete response."""
        assert self.reader is not None
        head = await self.reader.readuntil(b'\r\n\r\n')
        response, _ = http_calls.parse_response(head)
        body = await self.reader.readexactly(int(response.headers.get('content-length', 0)))
        return http_calls.Response(response.status, response.headers, body)

    def record(self, attempt: soak_records.Attempt, response: http_calls.Response) -> None:
        """Record a response, and whether a success has the seal and the body of this attempt."""
        attempt.status = response.status
        if response.status == 200:
            seal = response.headers.get('zinctrail-server-seal')
            is_own = json.loads(response.body)['id'] == attempt.id
            attempt.is_sealed = is_own and seal == endpoint.seal_of(attempt.id, response.body)
