"""What was seen from outside on a day of the client library: the only thing that the checkers read."""

import dataclasses
import typing

import zinctrail.simulation.observations as observations

Time = observations.Time


@dataclasses.dataclass(slots=True)
class Reply:
    """What the client library gave its caller for one request, after all attempts."""

    sent_at: Time
    responded_at: Time
    id: str
    service: str
    outcome: str
    status: int
    body: bytes
    attempts: int
    fault: str
    home: tuple[str, ...]
    caller: str


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request at a proxy, as its caller saw it end."""

    responded_at: Time
    id: str
    number: int
    proxy: str
    outcome: str | None
    status: int
    is_whole: bool
    home: list[str]
    body: bytes
    service: str


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached an endpoint, also where the endpoint then refused it."""

    at: Time
    id: str
    attempt: int
    # The incarnation that it reached, and the one that it was sent to.
    incarnation: str
    target_incarnation: str
    # Whether it was sent to none of the incarnations that this process ever was.
    is_stranger: bool
    address: str
    service: str
    cell: str
    home: list[str]
    # Requests at work there with this one, and how many it can bear.
    running: int
    capacity: float
    labels: dict[str, str]


class StateChange(typing.NamedTuple):
    """An endpoint's word that it drains or leaves, once it was acknowledged."""

    acknowledged_at: Time
    sent_at: Time
    incarnation: str
    state: str


@dataclasses.dataclass(slots=True)
class Apply:
    """A configuration that an operator applied, and its answer."""

    sent_at: Time
    responded_at: Time
    status: int
    base: int
    generation: int | None
    config: dict


class Read(typing.NamedTuple):
    """A configuration that was read back."""

    sent_at: Time
    responded_at: Time
    generation: int
    config: dict


class Evacuation(typing.NamedTuple):
    """An order to evacuate a cell or to take it back, once it was acknowledged."""

    sent_at: Time
    acknowledged_at: Time
    cell: str
    is_evacuated: bool


@dataclasses.dataclass(slots=True)
class Operation:
    """An operation on a number or a key, as linearizability.order judges it."""

    kind: str
    key: str
    sent_at: Time
    # None where the result is unknown: it may have happened at any time since, or never.
    responded_at: Time | None = None
    value: int | str | None = None
    expected_revision: int | None = None
    revision: int | None = None
    # 'ok', 'refused' or 'unknown'.
    result: str = 'unknown'


@dataclasses.dataclass(slots=True)
class Watch:
    """A watch of keys; is_gone: it was refused, since its history is no longer there."""

    prefix: str
    since: int
    since_at: Time | None
    sent_at: Time
    responded_at: Time
    head: int = 0
    events: list[dict] = dataclasses.field(default_factory=list)
    is_gone: bool = False


class Loss(typing.NamedTuple):
    """When everything that a fault took away and that may come back is back."""

    at: Time
    fault: str


class Records:
    """All that was seen from outside, in the order of virtual time."""

    def __init__(self):
        self.replies: list[Reply] = []
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        # The arrivals that ran.
        self.runs: list[Arrival] = []
        self.states: list[StateChange] = []
        # When an incarnation was first seen to be missing from the status page, or was told so by a 410.
        self.gone: dict[str, Time] = {}
        self.applies: list[Apply] = []
        self.reads: list[Read] = []
        self.evacuations: list[Evacuation] = []
        self.locks: list[observations.LockBelief] = []
        self.numbers: list[Operation] = []
        self.keys: list[Operation] = []
        self.watches: list[Watch] = []
        # When each fault began, and when all it took away was back.
        self.begins: list[Time] = []
        self.losses: list[Loss] = []
