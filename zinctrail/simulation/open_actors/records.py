"""Records of what was observed from outside in a scenario of open traffic, the only input of the checkers.

The time of a response is None while there is none.
"""

import dataclasses
import typing

import zinctrail.simulation.observations as observations

Time = observations.Time


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a client; each of its attempts has its own id."""

    number: str
    # The name of the matching rule, and whether the rule requires at-most-once execution.
    rule: str
    runs_once: bool
    host: str
    path: str
    method: str
    body: bytes
    # The regions that it must run in; empty if it may run anywhere.
    home: list[str]
    sent_at: Time
    # The request's deadline.
    until: Time


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request: the proxy that it was sent to, and the response."""

    id: str
    request: Request
    proxy: str
    # The incarnation count of the proxy's process.
    proxy_incarnation: int
    sent_at: Time
    responded_at: Time | None = None
    status: int | None = None
    fault: str | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    response_body: bytes = b''
    # Whether any of it may have reached the proxy.
    was_sent: bool | None = None
    # When the client abandoned it before its deadline and closed the connection.
    abandoned_at: Time | None = None

    def has_response(self) -> bool:
        """True if a complete response arrived."""
        return self.responded_at is not None and not self.fault and bool(self.status)

    def is_success(self) -> bool:
        """True if a complete response with a 2xx status arrived."""
        return self.has_response() and 200 <= (self.status or 0) < 300


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached an endpoint, whether it ran or was refused."""

    at: Time
    id: str | None
    # The incarnation that it reached, and the one that it was addressed to.
    incarnation: str
    target_incarnation: str | None
    service: str
    zone: str
    method: str
    path: str
    body: bytes
    # Whether it was addressed to another incarnation; such a request is refused.
    is_misdirected: bool


@dataclasses.dataclass(slots=True)
class Work:
    """The time that an endpoint worked on a request."""

    id: str | None
    incarnation: str
    # When the work ends unless it is aborted, and when it was recorded as ended: later, or None if it never was.
    until: Time
    ended_at: Time | None = None


class SentResponse(typing.NamedTuple):
    """A response that an endpoint sent to a request that ran."""

    status: int
    body: bytes
    at: Time


class StateChange(typing.NamedTuple):
    """An endpoint's announcement, acknowledged by a node, that it drains or has left."""

    acknowledged_at: Time
    node: str
    incarnation: str
    state: str


class WarmUpSpan(typing.NamedTuple):
    """The span in which an incarnation was warming up."""

    begins_at: Time
    ends_at: Time
    incarnation: str


@dataclasses.dataclass(slots=True)
class Command:
    """A command of an operator or of a draining endpoint, retried until it has a conclusive response."""

    what: str
    # The number of items in it.
    size: int
    sent_at: Time
    responded_at: Time | None = None
    status: int | None = None
    is_invalid: bool = False


@dataclasses.dataclass(slots=True)
class Change:
    """The change of one item, as part of a command."""

    key: str
    version: int
    # The item's new content; None if it is dropped.
    row: dict | None
    sent_at: Time
    command: Command
    responded_at: Time | None = None
    status: int | None = None
    is_invalid: bool = False


class Read(typing.NamedTuple):
    """All items as read back by an operator; None if there was no response."""

    sent_at: Time
    responded_at: Time
    items: dict | None


@dataclasses.dataclass(slots=True)
class Evacuation:
    """A command to evacuate a zone or to end its evacuation."""

    zone: str
    is_evacuated: bool
    sent_at: Time
    acknowledged_at: Time | None = None


@dataclasses.dataclass(slots=True)
class LockBelief(observations.LockBelief):
    """A span in which an application believes that it holds a lock."""

    # When the call that acquired it was sent.
    sent_at: Time


class Number(typing.NamedTuple):
    """A number that an application received."""

    sent_at: Time
    responded_at: Time
    value: int


@dataclasses.dataclass(slots=True)
class Put:
    """A conditional put of a value into a cell; it applies only at the expected revision."""

    name: str
    value: str
    expected_revision: int
    sent_at: Time
    responded_at: Time | None = None
    # The revision that it got, and the one that a refusal reported.
    revision: int | None = None
    named_revision: int | None = None
    # The final status, 0 if the result is unknown, and the statuses of all attempts.
    status: int = 0
    statuses: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Get:
    """A read of a cell; no value and revision 0 if the cell did not exist."""

    name: str
    sent_at: Time
    responded_at: Time
    value: str | None
    revision: int


@dataclasses.dataclass(slots=True)
class Watch:
    """A watch of a group of cells for events after a revision."""

    group: str
    since: int
    # When that revision was received; None if the watch started over.
    given_at: Time | None
    sent_at: Time
    responded_at: Time
    status: int
    revision: int | None
    events: list[dict]


class Span(typing.NamedTuple):
    """A span of time; the end is None if it never ended."""

    begins_at: Time
    ends_at: Time | None


@dataclasses.dataclass(slots=True)
class Cut:
    """A cut of the link between two parties; the end is None while it lasts."""

    one: str
    other: str
    begins_at: Time
    ends_at: Time | None = None


class ClosingFault(typing.NamedTuple):
    """A closing fault: when it began, and when every process was up again."""

    began_at: Time
    recovered_at: Time
    fault: str


class Records:
    """All that was observed from outside, in the order of virtual time."""

    def __init__(self):
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        # The arrivals that ran, with the time at which they began to run.
        self.runs: list[Arrival] = []
        self.work: list[Work] = []
        # The responses that endpoints sent, by the id of the attempt.
        self.sent_responses: dict[str, list[SentResponse]] = {}
        self.states: list[StateChange] = []
        # The ids of attempts whose endpoint crashed, did not respond, or damaged its response.
        self.endpoint_failures: set[str | None] = set()
        self.warm_up_spans: list[WarmUpSpan] = []
        self.changes: list[Change] = []
        self.reads: list[Read] = []
        self.evacuations: list[Evacuation] = []
        self.commands: list[Command] = []
        self.locks: list[LockBelief] = []
        self.numbers: list[Number] = []
        self.puts: list[Put] = []
        self.gets: list[Get] = []
        self.watches: list[Watch] = []
        self.closing_faults: list[ClosingFault] = []
        self.cuts: list[Cut] = []
        # Spans in which frames are lost.
        self.lossy: list[Span] = []
        # Spans in which acknowledgements to operators are lost in transit.
        self.ack_losses: list[Span] = []
        # The ids of attempts sent to an endpoint that was cut off, which the proxy could not know.
        self.sent_while_cut_off: set[str | None] = set()
