"""The seam between the core without I/O and what touches sockets, files and alarms.

A machine takes one input at a time and returns the effects to carry out, in
order. A host (edge.host or sim.world) carries them out. An effect behind a
Write must not happen unless that Write is durable.
"""

import dataclasses
import datetime
import typing

import zinctrail.trace as trace

ZERO = datetime.timedelta(0)


def ms(n: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=n)


def to_ms(td: datetime.timedelta) -> int:
    return int(td / datetime.timedelta(milliseconds=1))


def is_whole(text: str) -> bool:
    # Why ASCII too: "²" is a digit to Python, and no number.
    return text.isascii() and text.isdigit()


@dataclasses.dataclass(slots=True)
class Send:
    """Send a frame; the same `msg` object to several is written once, so nobody changes it afterwards."""

    addr: str
    msg: dict
    # Whether the receiver reads packed frames.
    packs: bool = False


@dataclasses.dataclass(slots=True)
class Write:
    """Bring `text` durably to file `name`, then forget the files in `gone`."""

    name: str
    text: str
    gone: tuple = ()
    # Whether a reader may still look at the files in `gone`, so that they may be removed but not written over.
    looked_at: bool = False


@dataclasses.dataclass(slots=True)
class WritePart:
    """Add `text` to file `name`, which counts only from its WriteEnd on; `first` begins it anew."""

    name: str
    text: str
    first: bool = False


@dataclasses.dataclass(slots=True)
class WriteEnd:
    """Put `head` over the beginning of the parts of `name`, bring it durably there, then forget `gone`."""

    name: str
    head: str
    gone: tuple = ()


# What is carried out on the disk.
DISK = (Write, WritePart, WriteEnd)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Answer the HTTP call `rid`."""

    rid: typing.Any
    status: int
    headers: dict
    body: bytes


@dataclasses.dataclass(slots=True)
class Fetch:
    """Make an HTTP call to one incarnation of an endpoint; the host feeds `fetched` with a Fetched.

    The host asks a new connection's other side who it is before the first
    request goes over it: a newcomer on the address must not get even one.
    """

    fid: int
    addr: str
    inc: str
    method: str
    path: str
    headers: dict
    body: bytes
    wait: datetime.timedelta
    # Whether the endpoint links no library of ours: nobody asks it who it is, `inc` goes with the request.
    plain: bool = False
    # Whether it may run at most once: then only a connection that was in use a moment ago will do.
    once: bool = False


@dataclasses.dataclass(slots=True)
class Fetched:
    """`sent` is False only if it is certain that no byte went out."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    sent: bool = True
    fault: str = ''


@dataclasses.dataclass(slots=True)
class Close:
    """Close the connections kept for an incarnation."""

    inc: str


@dataclasses.dataclass(slots=True)
class Limits:
    """What a client of open traffic may send, and how long it may take or rest."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_ms: int = 3000
    idle_ms: int = 15000


@dataclasses.dataclass(slots=True)
class Leave:
    """Open traffic is to go elsewhere: each answer is its connection's last; with `shut` none are accepted."""

    shut: bool = False


@dataclasses.dataclass(slots=True)
class Log:
    """A sentence, and what it tells as fields (zinctrail/logs.py)."""

    text: str
    fields: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Done:
    """Reached only if every Write before it was durable; the host feeds `done`."""

    name: str


@dataclasses.dataclass(slots=True)
class Exit:
    code: int = 0


@dataclasses.dataclass(slots=True)
class Call:
    """An HTTP call as machines see it; header names are in lower case."""

    method: str
    path: str
    headers: dict
    body: bytes


class Machine:
    """Base of every state machine: effects out, named alarms, one input at a time."""

    prefix = 'zt'

    def __init__(self, rng):
        self.rng = rng
        self.now = ZERO
        self.out = []
        self.alarms = {}
        self.tracer = trace.Tracer()

    def feed(self, kind: str, now: datetime.timedelta, *args) -> list:
        # Why max: a host's clock is monotonic, but hosts may hand in equal or stale stamps.
        self.now = max(self.now, now)
        getattr(self, 'on_' + kind)(*args)
        out, self.out = self.out, []
        return out

    def due(self) -> datetime.timedelta | None:
        return min(self.alarms.values(), default=None)

    def on_wake(self):
        for name, at in sorted(self.alarms.items(), key=lambda kv: kv[1]):
            # Why look again: an earlier alarm of this wake may have moved or dropped this one.
            if at <= self.now and self.alarms.get(name) == at:
                del self.alarms[name]
                getattr(self, 'alarm_' + name)()

    def alarm(self, name, delay):
        self.alarms[name] = self.now + delay

    def send(self, addr, msg, packs=False):
        self.out.append(Send(addr, msg, packs))

    def log(self, text, event='', **fields):
        """`event` names the kind of thing that happened; `fields` are what one would look for."""
        self.out.append(Log(f'{self.prefix}: {text}', {'event': event, **fields} if event else fields))
