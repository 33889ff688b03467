"""Benchmark of claims per second by concurrency, at one real control node of three."""

import collections.abc
import tempfile
import threading
import time

import twisted.internet.reactor as reactor
import twisted.internet.threads as threads

import zinctrail.fleet.deployments as deployments
import zinctrail.fleet.processes as processes
import zinctrail.transport.peer_connections as peer_connections

MAX_FRAME_BYTES = 32 << 20
# The numbers of claims in flight at once.
CONCURRENCIES = (1, 8, 64, 256)
# Claims made one after another take long, so the number of claims is divided by this.
SEQUENTIAL_DIVISOR = 10
LIMIT_S = 120


class ControlNodes:
    """Three real control nodes, and a connection that sends operations to the leader, as a proxy does."""

    def __init__(self):
        shape = dict(deployments.PRESETS['small'], dirs=1, proxies=1)
        self.fleet = processes.Fleet(shape, tempfile.mkdtemp(), reactor)
        self.fleet.start()
        self.fleet.configure()
        self.leader = self.fleet.until(self.fleet.leader, 'a leader')
        self.address = self.fleet.ports.take()
        self.fleet.ports.free(self.address)
        # Callbacks for results of pending requests, by the request's key.
        self.waiting: dict[str, collections.abc.Callable[[dict], None]] = {}
        self.requests = 0
        threads.blockingCallFromThread(reactor, self.listen)

    def listen(self) -> None:
        """Listen for responses; must be called on the reactor's thread, as `claim` must."""
        self.connections = peer_connections.PeerConnections(
            reactor, MAX_FRAME_BYTES, self.receive, lambda address: None
        )
        self.connections.listen(self.address)

    def receive(self, frame: dict) -> None:
        """Pass the result in a response to its callback; other frames are ignored."""
        callback = self.waiting.pop(frame.get('key'), None)
        if callback is not None:
            callback(frame['result'])

    def claim(self, epoch: int, callback: collections.abc.Callable[[dict], None]) -> None:
        """Claim a new request id; `callback` is called with the result."""
        self.requests += 1
        key = f'b{self.requests}'
        self.waiting[key] = callback
        claimed = {'id': f'{epoch}.{key}', 'attempt': 1, 'nonce': key, 'proxy': 'bench', 'at': self.address}
        request = {
            't': 'ask',
            'v': 1,
            'c': '',
            'f': 'bench',
            'a': self.address,
            'key': key,
            'op': 'claim',
            'args': claimed,
        }
        self.connections.send(self.leader.addr, request)

    def epoch(self) -> int:
        """Return the current epoch of claims."""
        return self.fleet.until(lambda: self.fleet.call('GET', '/v1/epoch')[1].get('epoch'), 'an epoch')

    def version(self) -> int:
        """Return the number of the newest version of the state."""
        return self.fleet.call('GET', '/v1/status')[1]['state']['generation'][1]


class ClaimRound:
    """Sends a number of claims with a constant number in flight."""

    def __init__(self, nodes: ControlNodes, total: int):
        self.nodes, self.total = nodes, total
        self.epoch = nodes.epoch()
        self.to_send = total
        self.granted = 0
        self.done = threading.Event()

    def start(self, concurrency: int) -> None:
        """Send the first claims; each response triggers the next. Must be called on the reactor's thread."""
        for _ in range(concurrency):
            self.send_next()

    def send_next(self) -> None:
        """Send one more claim if any remain; signal the end once all are granted."""
        if self.to_send:
            self.to_send -= 1
            self.nodes.claim(self.epoch, self.record_result)
        elif self.granted == self.total:
            self.done.set()

    def record_result(self, result: dict) -> None:
        """Check that a claim was granted, count it and send the next."""
        assert result['status'] == 200 and result['got'] == 'claimed', result
        self.granted += 1
        self.send_next()


def claims(count: int = 2000) -> dict:
    """Return claims per second and claims per version, by concurrency."""
    nodes = ControlNodes()
    try:
        return {
            f'{concurrency} at once': measure_concurrency(nodes, count, concurrency) for concurrency in CONCURRENCIES
        }
    finally:
        nodes.fleet.stop()


def measure_concurrency(nodes: ControlNodes, count: int, concurrency: int) -> dict:
    """Measure one round of claims."""
    total = count if concurrency > 1 else count // SEQUENTIAL_DIVISOR
    claim_round = ClaimRound(nodes, total)
    before = nodes.version()
    began = time.monotonic()
    reactor.callFromThread(claim_round.start, concurrency)
    assert claim_round.done.wait(LIMIT_S)
    seconds = time.monotonic() - began
    versions = nodes.version() - before
    return {'per_second': round(total / seconds), 'claims_per_generation': round(total / max(1, versions), 1)}
