"""What a state machine returns for its host to carry out, and the HTTP calls that it is given.

A state machine does no I/O. It takes one input at a time and returns effects in
order; a host (transport.host, or simulation.node) carries them out in that
order. An effect that follows a Write must not happen before that Write is
durable.
"""

import dataclasses
import datetime
import typing


@dataclasses.dataclass(slots=True)
class Send:
    """Send a frame to another process.

    A frame to several processes is one `frame` object, encoded once, so nobody changes it afterwards.
    """

    address: str
    frame: dict
    # Whether the receiver reads packed frames.
    may_compress: bool = False


@dataclasses.dataclass(slots=True)
class Write:
    """Write `text` durably to file `name`, then remove the files in `obsolete_files`."""

    name: str
    text: str
    obsolete_files: tuple = ()
    # Whether a reader may still have the obsolete files open: then they may be removed but not overwritten.
    may_be_open: bool = False


@dataclasses.dataclass(slots=True)
class WriteChunk:
    """Append `text` to file `name`, which exists only from its CommitChunks on; `first` starts it anew."""

    name: str
    text: str
    first: bool = False


@dataclasses.dataclass(slots=True)
class CommitChunks:
    """Overwrite the beginning of the chunks of `name` with `head`, make the file durable, then remove `obsolete_files`."""

    name: str
    head: str
    obsolete_files: tuple = ()


# The effects that the disk carries out.
DISK_EFFECTS = (Write, WriteChunk, CommitChunks)


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """Answer the HTTP call that was fed with this id."""

    request_id: typing.Any
    status: int
    headers: dict
    body: bytes


@dataclasses.dataclass(slots=True)
class HttpFetch:
    """Make an HTTP call to one incarnation of an endpoint; the host feeds `fetched` with an HttpResult.

    Before the first request goes over a new connection, the host asks the other
    side which incarnation it is: a newcomer on the address must not get any.
    """

    # The id with which the result is fed.
    fetch_id: int
    address: str
    # The incarnation that the request is meant for.
    incarnation: str
    method: str
    path: str
    headers: dict
    body: bytes
    # How long to wait for the response.
    wait: datetime.timedelta
    # Whether the endpoint links no library of ours: it is not asked for its incarnation, its id goes with the request.
    plain: bool = False
    # Whether it may run at most once: then only a connection that was in use a moment ago will do.
    at_most_once: bool = False


@dataclasses.dataclass(slots=True)
class CancelFetch:
    """Give an HttpFetch up: its connection is closed, so that the endpoint may drop the work.

    No result is fed any more, unless it was under way to the state machine already.
    """

    fetch_id: int


@dataclasses.dataclass(slots=True)
class HttpResult:
    """What came of an HttpFetch."""

    # 0 where there was no response.
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    # False only if it is certain that no byte was sent.
    sent: bool = True
    # What went wrong; '' where nothing did.
    fault: str = ''


@dataclasses.dataclass(slots=True)
class CloseConnections:
    """Close the connections that are kept for an incarnation."""

    incarnation: str


@dataclasses.dataclass(slots=True)
class Limits:
    """What a client of open traffic may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_ms: int = 3000
    idle_ms: int = 15000


@dataclasses.dataclass(slots=True)
class DrainOpenTraffic:
    """Close each connection of open traffic after its next response; with `stops_listening`, accept none any more."""

    stops_listening: bool = False


@dataclasses.dataclass(slots=True)
class Log:
    """Log a sentence with fields (runtime.logs)."""

    text: str
    fields: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class NotifyDurable:
    """Feed `done` with `name` once every Write before this effect is durable."""

    name: str


@dataclasses.dataclass(slots=True)
class Exit:
    """End the process with an exit code."""

    code: int = 0


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """An HTTP call as state machines see it; header names are in lower case."""

    method: str
    path: str
    headers: dict
    body: bytes
