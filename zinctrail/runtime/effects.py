"""The effects that a state machine returns for its host to carry out, and the HTTP requests and results it is fed.

A state machine does no I/O. It takes one input at a time and returns effects in
order; a host (transport.host, or simulation.node) carries them out in that
order. An effect that follows a Write must not happen before that Write is
durable.
"""

import dataclasses
import datetime
import typing

import zinctrail.runtime.durations as durations

# The body of a request or a response: bytes. A long one of open traffic is a transport.payload.Payload, which the host
# holds, and which state machines only pass on.
Body: typing.TypeAlias = typing.Any


@dataclasses.dataclass(slots=True)
class Send:
    """Send a frame to another process.

    A frame to several processes is one `frame` object, encoded once, so it must not be modified afterwards.
    """

    address: str
    frame: dict
    # Whether the frame may be compressed, because the receiver reads compressed frames.
    may_compress: bool = False


@dataclasses.dataclass(slots=True)
class Write:
    """Write `text` durably to file `name`, then remove the files in `obsolete_files`."""

    name: str
    text: str
    obsolete_files: tuple = ()
    # Whether a loader may still read the obsolete files; they are then removed, but never overwritten.
    may_be_read: bool = False


@dataclasses.dataclass(slots=True)
class WriteChunk:
    """Append `text` to file `name`, which does not exist until its CommitChunks; with `first`, start from empty."""

    name: str
    text: str
    first: bool = False


@dataclasses.dataclass(slots=True)
class CommitChunks:
    """Overwrite the first bytes of the chunks of `name` with `head`, make it durable, then remove `obsolete_files`."""

    name: str
    head: str
    obsolete_files: tuple = ()


# The effects that write to the disk.
DISK_EFFECTS = (Write, WriteChunk, CommitChunks)


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """Respond to the HTTP request that was fed with `request_id`."""

    request_id: typing.Any
    status: int
    headers: dict
    body: Body


@dataclasses.dataclass(slots=True)
class HttpFetch:
    """Send an HTTP request to one incarnation of an endpoint; the host feeds `fetched` with an HttpResult.

    Before the first request on a new connection, the host asks the other side
    for its incarnation: a new process at the same address must not get requests
    that are meant for the previous one.
    """

    # The id that the result is fed with.
    fetch_id: int
    address: str
    # The incarnation that the request is meant for.
    incarnation: str
    method: str
    path: str
    headers: dict
    body: Body
    # The timeout of the response.
    wait: datetime.timedelta
    # Whether the endpoint does not use our library: it is not asked for its incarnation, and its id is sent with the
    # request instead.
    plain: bool = False
    # Whether the request may run at most once; only a connection that was in use a moment ago is then used for it.
    at_most_once: bool = False


@dataclasses.dataclass(slots=True)
class CancelFetch:
    """Cancel an HttpFetch: its connection is closed, so that the endpoint may stop its work.

    No result is fed any more, unless it was already on its way to the state machine.
    """

    fetch_id: int


@dataclasses.dataclass(slots=True)
class HttpResult:
    """The result of an HttpFetch."""

    # The status of the response; 0 without a response.
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: Body = b''
    # False only if it is certain that no byte of the request was sent.
    sent: bool = True
    # A description of the error; '' if there was none.
    fault: str = ''
    # Whether the request itself could not be handed to any endpoint, which says nothing about this one.
    is_unsendable: bool = False


@dataclasses.dataclass(slots=True)
class CloseConnections:
    """Close the pooled connections to an incarnation."""

    incarnation: str


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on the requests of open-traffic clients: their sizes, and the time to send them or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_ms: int = 3000
    idle_ms: int = 15000


@dataclasses.dataclass(slots=True)
class DrainOpenTraffic:
    """Close each open-traffic connection after its next response; with `stops_listening`, accept no new ones."""

    stops_listening: bool = False


@dataclasses.dataclass(slots=True)
class Log:
    """Log a sentence with fields; runtime.logs formats them."""

    text: str
    fields: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class NotifyDurable:
    """Feed `done` with `name` once all writes before this effect are durable."""

    name: str


@dataclasses.dataclass(slots=True)
class Exit:
    """End the process with an exit code."""

    code: int = 0
    # Until when the process first sends the rest of the responses that it has begun.
    send_until: datetime.timedelta = durations.ZERO


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """An HTTP request that is fed to a state machine; header names are in lower case."""

    method: str
    path: str
    headers: dict
    body: Body
