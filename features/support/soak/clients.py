"""Clients of a soak: each uses one connection until it ends, whatever directories say meanwhile, and at times leaves."""

import asyncio
import json
import random

import features.support.endpoint as endpoint
import features.support.http_calls as http_calls
import features.support.soak.notes as soak_notes

LEFT_MS = 4000
# How much longer than it says a client waits.
PATIENCE_S = 4.0
# The share of requests that may be repeated whose client leaves before the answer, and within what time.
LEAVING_SHARE = 0.12
LEAVES_WITHIN_S = 0.5
PAUSE_S = 0.04
# How long a client waits after a connection that failed.
RECONNECT_S = 0.1
LOOKUP_S = 1.0
HEAD_BYTES = 65536


class Directory:
    """What directories last said, for each zone and host; a client goes by it for longer than it holds at times."""

    def __init__(self, soak, zones: list[str], hosts: list[str]) -> None:
        self.soak = soak
        self.known: dict[tuple[str, str], list[str]] = {(zone, host): [] for zone in zones for host in hosts}

    async def keep_asking(self) -> None:
        """Ask all control nodes in turn, again and again."""
        while not self.soak.is_over:
            for zone, host in self.known:
                await self.ask(zone, host)
            await asyncio.sleep(LOOKUP_S)

    async def ask(self, zone: str, host: str) -> None:
        """Ask for the fronts of a host; what is known stays where nobody answers."""
        path = f'/v1/resolution?name={host}&region={self.soak.regions[zone]}&zone={zone}'
        for process in self.soak.rng.sample(self.soak.cores, len(self.soak.cores)):
            response = await self.soak.call(process.process.directory, 'GET', path)
            if response is not None and response.status == 200:
                self.known[zone, host] = response.document['addresses']
                self.soak.notes.lookups.append(
                    soak_notes.Lookup(zone, host, response.document['addresses'], soak_notes.now())
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
        """Open a connection to any front that it was told of; whether there is one."""
        self.host = self.rng.choice(self.soak.hosts)
        fronts = self.soak.directory.known[self.zone, self.host]
        if not fronts:
            return False
        self.ingress = self.rng.choice(fronts)
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
        """Send one request over the connection, and read its answer or leave."""
        route = self.rng.choice(self.soak.routes_of_host[self.host])
        attempt = soak_notes.Attempt(
            id=self.soak.notes.new_attempt_id(),
            route=route.name,
            runs_once=route.runs_once,
            ingress=self.ingress,
            start=self.soak.starts_of(self.ingress),
            sent_at=soak_notes.now(),
        )
        self.soak.notes.attempts[attempt.id] = attempt
        method = 'POST' if route.runs_once else 'GET'
        lines = [
            f'{method} /{route.name}/x HTTP/1.1',
            f'Host: {self.host}',
            f'Zinctrail-Attempt-Id: {attempt.id}',
            f'Zinctrail-Deadline-Remaining: {LEFT_MS}',
            'Content-Length: 0',
        ]
        assert self.writer is not None
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        is_leaving = not route.runs_once and self.rng.random() < LEAVING_SHARE
        patience = self.rng.uniform(0, LEAVES_WITHIN_S) if is_leaving else LEFT_MS / 1000 + PATIENCE_S
        try:
            response = await asyncio.wait_for(self.read_response(), patience)
        except TimeoutError:
            attempt.left_at = soak_notes.now()
            attempt.fault = 'left' if is_leaving else 'no answer'
            self.close(reset=self.rng.random() < 0.5)
            return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            attempt.fault = type(error).__name__
            self.close(reset=False)
            return
        finally:
            attempt.ended_at = soak_notes.now()
        self.judge(attempt, response)
        if 'close' in response.headers.get('connection', '').lower():
            self.close(reset=False)

    async def read_response(self) -> http_calls.Response:
        """Read a whole response."""
        assert self.reader is not None
        head = await self.reader.readuntil(b'\r\n\r\n')
        response, _ = http_calls.parse_response(head)
        body = await self.reader.readexactly(int(response.headers.get('content-length', 0)))
        return http_calls.Response(response.status, response.headers, body)

    def judge(self, attempt: soak_notes.Attempt, response: http_calls.Response) -> None:
        """Note an answer; a success must bear the seal and the body of this attempt."""
        attempt.status = response.status
        if response.status == 200:
            seal = response.headers.get('zinctrail-server-seal')
            is_own = json.loads(response.body)['id'] == attempt.id
            attempt.is_sealed = is_own and seal == endpoint.seal_of(attempt.id, response.body)
