"""Callers of control nodes, and their records of each call."""

import collections.abc
import dataclasses
import datetime
import enum
import json
import typing

import zinctrail.runtime.durations as durations

ms = durations.ms

LOCK = 'door'
LOCK_LEASE_MS = 3000
# The probability that a caller that holds the lock releases it instead of renewing it.
RELEASE_SHARE = 0.2
# The pool that every change sets: its version tells how old a read is.
MARKER_POOL = 'mark'
# An empty zone that is evacuated and returned to service.
SPARE_ZONE = 'r9/spare'
# One of this many evacuation calls returns the zone to service.
EVACUATION_CYCLE = 4
# The maximum number of proxies in a lookup response.
MAX_PROXIES = 64


class Kind(enum.StrEnum):
    """The kinds of calls, as named in verdicts."""

    READ = 'read'
    CHANGE = 'change'
    LOOKUP = 'look-up'
    HEARTBEAT = 'beat'
    EVACUATION = 'evacuation'
    LOCK = 'lock'
    LOCK_RELEASE = 'lock given back'


@dataclasses.dataclass
class Call:
    """One call, as its caller observed it."""

    kind: Kind
    node: str
    # Whether it was sent to an affected node.
    is_affected: bool
    sent_at: datetime.timedelta
    # The version that a change sets, or the holder in a lock call.
    value: typing.Any = None
    responded_at: datetime.timedelta | None = None
    # 0 if no response arrived in time.
    status: int = 0
    body: dict = dataclasses.field(default_factory=dict)

    def latency_ms(self) -> int | str:
        """Return the time until the response in ms, 'for ever' if there was none."""
        return durations.to_ms(self.responded_at - self.sent_at) if self.responded_at else 'for ever'


def changed_pool(name: str, version: int) -> dict:
    """Return a pool item as a change sets it."""
    return {
        'name': name,
        'version': version,
        'health': '/health',
        'connections': 9,
        'cold_s': 1,
        'cold_per_s': 1,
    }


def pool_of_change(version: int) -> str:
    """Return the name of the pool that only the change of this version sets; it shows whether the change survived."""
    return f'kept-{version}'


class Callers:
    """Sends each kind of call to one group of control nodes, round robin.

    :param trial: the trial (`trial.Trial`), which has the world and stores the calls.
    :param affected: whether the nodes are those that the fault affects.
    """

    def __init__(self, trial, name: str, nodes: list, is_affected: bool):
        self.trial, self.world = trial, trial.world
        self.name, self.nodes, self.is_affected = name, nodes, is_affected
        self.sequence = 0
        self.fencing_token: int | None = None

    def start(self) -> None:
        """Start sending each kind of call at its own interval."""
        for interval_ms, send in (
            (150, self.read),
            (250, self.change),
            (200, self.look_up),
            (300, self.heartbeat),
            (500, self.evacuate),
            (350, self.use_lock),
        ):
            self.world.after(ms(self.world.rng.uniform(0, interval_ms)), self.repeat, ms(interval_ms), send)

    def repeat(self, interval: datetime.timedelta, send: collections.abc.Callable[[], None]) -> None:
        """Send a call now and after each interval, until the trial stops its callers."""
        if self.trial.is_calling:
            self.world.after(interval, self.repeat, interval, send)
            send()

    def send(
        self,
        kind: Kind,
        method: str,
        path: str,
        body: dict | None,
        value: typing.Any = None,
        then: collections.abc.Callable[[Call], None] | None = None,
    ) -> None:
        """Send one call to the next node; `then` is called with the call once it has a response or failed."""
        self.sequence += 1
        node = self.nodes[self.sequence % len(self.nodes)]
        call = Call(kind, node.name, self.is_affected, self.world.now, value)
        self.trial.calls.append(call)
        raw = json.dumps(body).encode() if body is not None else b''

        def on_response(result):
            call.responded_at = self.world.now
            call.status = 0 if result.fault else result.status
            if call.status and result.body:
                call.body = json.loads(result.body)
            if then is not None:
                then(call)

        fetched = self.world.fetch(self.name, node.location.http, method, path, {}, raw, self.trial.call_timeout)
        fetched.addCallback(on_response)

    # -- kinds of calls ----------------------------------------------------

    def read(self) -> None:
        """Read all configuration items."""
        self.send(Kind.READ, 'GET', '/v1/items', None)

    def change(self) -> None:
        """Set the marker pool, and a pool that only this change sets, to a new version."""
        version = self.trial.next_version()
        pools = [changed_pool(name, version) for name in (MARKER_POOL, pool_of_change(version))]
        self.send(Kind.CHANGE, 'PATCH', '/v1/items', {'set': {'pools': pools}}, version)

    def look_up(self) -> None:
        """Look up the proxies for a client in the zone of the proxy that leaves."""
        body = {'cell': self.trial.leaving_proxy.location.cell, 'front': True, 'most': MAX_PROXIES}
        self.send(Kind.LOOKUP, 'POST', '/v1/answer', body)

    def heartbeat(self) -> None:
        """Send the heartbeat of an endpoint."""
        self.sequence += 1
        body = {
            'inc': f'beat-{self.name}',
            'addr': f'10.77.0.{1 + self.is_affected}:80',
            'service': 'search',
            'cell': self.trial.deployment.zones[0],
            'slots': 1,
            'state': 'ready',
            'seq': self.sequence,
            'cold_ms': self.sequence % 3,
        }
        self.send(Kind.HEARTBEAT, 'POST', '/v1/beat', body)

    def evacuate(self) -> None:
        """Evacuate the spare zone, or return it to service."""
        self.sequence += 1
        body = {'cell': SPARE_ZONE, 'on': bool(self.sequence % EVACUATION_CYCLE)}
        self.send(Kind.EVACUATION, 'POST', '/v1/cell/empty', body)

    def use_lock(self) -> None:
        """Acquire or renew the lock, or sometimes release it."""
        if self.world.rng.random() < RELEASE_SHARE and self.fencing_token:
            self.release_lock()
            return
        body = {'name': LOCK, 'holder': self.name, 'lease_ms': LOCK_LEASE_MS}
        self.send(Kind.LOCK, 'POST', '/v1/lock/hold', body, self.name, self.store_fencing_token)

    def store_fencing_token(self, call: Call) -> None:
        """Store the fencing token of a granted lock."""
        if call.status == 200:
            self.fencing_token = call.body['fence']

    def release_lock(self) -> None:
        """Release the lock."""
        body = {'name': LOCK, 'holder': self.name, 'fence': self.fencing_token}
        self.send(Kind.LOCK_RELEASE, 'POST', '/v1/lock/yield', body, self.name)
        self.fencing_token = None
