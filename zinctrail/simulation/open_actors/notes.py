"""What was seen from outside on a day of open traffic: the only thing that the checkers read.

A time of an answer is None while there is none.
"""

import dataclasses
import typing

import zinctrail.simulation.observations as observations

Time = observations.Time


@dataclasses.dataclass(slots=True)
class Request:
    """What a client wants done; each of its attempts has an id of its own."""

    number: str
    # The name of the rule that it matches, and whether that rule lets it run once only.
    rule: str
    runs_once: bool
    host: str
    path: str
    method: str
    body: bytes
    # Regions outside which it must not run; anywhere if there are none.
    home: list[str]
    sent_at: Time
    # When its time is over.
    until: Time


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request: to which front it went, and what came back."""

    id: str
    request: Request
    front: str
    # The incarnation count of the front's process.
    front_incarnation: int
    sent_at: Time
    answered_at: Time | None = None
    status: int | None = None
    fault: str | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer_body: bytes = b''
    # Whether any of it may have reached the front.
    was_sent: bool | None = None
    # When its client gave it up before its time was over, and closed the connection.
    left_at: Time | None = None

    def is_answered(self) -> bool:
        """Whether it has a whole answer."""
        return self.answered_at is not None and not self.fault and bool(self.status)

    def is_success(self) -> bool:
        """Whether it has a whole answer that says that the request ran well."""
        return self.is_answered() and 200 <= (self.status or 0) < 300


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached an endpoint, also where it was refused."""

    at: Time
    id: str | None
    # The incarnation that it reached, and the one that it was sent to.
    incarnation: str
    meant_for: str | None
    service: str
    cell: str
    method: str
    path: str
    body: bytes
    # Whether it was meant for another incarnation, which refuses it.
    is_misdirected: bool


@dataclasses.dataclass(slots=True)
class Work:
    """What an endpoint did for a request that it ran."""

    id: str | None
    incarnation: str
    # Until when it takes if nobody ends it, and when it ended: later, or never, if nobody noted it.
    until: Time
    ended_at: Time | None = None


class GivenAnswer(typing.NamedTuple):
    """An answer that an endpoint gave to a request that ran."""

    status: int
    body: bytes
    at: Time


class StateChange(typing.NamedTuple):
    """An endpoint's word that it drains or is gone, once a node acknowledged it."""

    acknowledged_at: Time
    node: str
    incarnation: str
    state: str


class ColdSpan(typing.NamedTuple):
    """A span in which an incarnation was cold."""

    begins_at: Time
    ends_at: Time
    incarnation: str


@dataclasses.dataclass(slots=True)
class Order:
    """A call of an operator or of an endpoint that drains, sent until there is a clear answer."""

    what: str
    # Items in it.
    size: int
    sent_at: Time
    answered_at: Time | None = None
    status: int | None = None
    is_invalid: bool = False


@dataclasses.dataclass(slots=True)
class Change:
    """One item of a change, which travels in an order."""

    key: str
    version: int
    # Its content; None where it is dropped.
    row: dict | None
    sent_at: Time
    order: Order
    answered_at: Time | None = None
    status: int | None = None
    is_invalid: bool = False


class Read(typing.NamedTuple):
    """All items as they were read back; None where there was no answer."""

    sent_at: Time
    answered_at: Time
    items: dict | None


@dataclasses.dataclass(slots=True)
class Evacuation:
    """An order to evacuate a zone or to take it back."""

    cell: str
    is_evacuated: bool
    sent_at: Time
    acknowledged_at: Time | None = None


@dataclasses.dataclass(slots=True)
class LockBelief(observations.LockBelief):
    """A span in which an application believes that it holds a lock."""

    # When the call that took it was sent.
    sent_at: Time


class Number(typing.NamedTuple):
    """A number that an application was given."""

    sent_at: Time
    answered_at: Time
    value: int


@dataclasses.dataclass(slots=True)
class Put:
    """A value that an application put into a cell over a revision that it named."""

    name: str
    value: str
    expected_revision: int
    sent_at: Time
    answered_at: Time | None = None
    # The revision that it was given, and the one that a refusal named.
    revision: int | None = None
    named_revision: int | None = None
    # The status at the end, 0 where the result is unknown, and those of all calls.
    status: int = 0
    statuses: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Get:
    """A cell as it was read: no value and revision 0 where there was none."""

    name: str
    sent_at: Time
    answered_at: Time
    value: str | None
    revision: int


@dataclasses.dataclass(slots=True)
class Watch:
    """A watch of a group of cells from a revision on."""

    group: str
    since: int
    # When that revision was given; None where the watch began anew.
    given_at: Time | None
    sent_at: Time
    answered_at: Time
    status: int
    revision: int | None
    events: list[dict]


class Span(typing.NamedTuple):
    """A time from one point to another; no end where it never ended."""

    begins_at: Time
    ends_at: Time | None


@dataclasses.dataclass(slots=True)
class Cut:
    """A link between two parties that was cut; no end while it is."""

    one: str
    other: str
    begins_at: Time
    ends_at: Time | None = None


class Closing(typing.NamedTuple):
    """A closing fault: when it struck, and when everything was back."""

    struck_at: Time
    back_at: Time
    fault: str


class Notes:
    """All that was seen from outside, in the order of virtual time."""

    def __init__(self):
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        # The arrivals that ran, with the time at which they began to.
        self.runs: list[Arrival] = []
        self.work: list[Work] = []
        # By the id of an attempt.
        self.given_answers: dict[str, list[GivenAnswer]] = {}
        self.states: list[StateChange] = []
        # Ids whose endpoint broke off, or spoilt its answer.
        self.broke: set[str | None] = set()
        self.cold_spans: list[ColdSpan] = []
        self.changes: list[Change] = []
        self.reads: list[Read] = []
        self.evacuations: list[Evacuation] = []
        self.orders: list[Order] = []
        self.locks: list[LockBelief] = []
        self.numbers: list[Number] = []
        self.puts: list[Put] = []
        self.gets: list[Get] = []
        self.watches: list[Watch] = []
        self.closings: list[Closing] = []
        self.cuts: list[Cut] = []
        # Spans in which frames are lost.
        self.lossy: list[Span] = []
        # Spans in which acknowledgements to operators are lost on their way.
        self.ack_losses: list[Span] = []
        # Ids sent towards an endpoint that was cut off: its front could not know that nobody was there.
        self.swallowed: set[str | None] = set()
