"""Records of what was observed from outside in a scenario of the client library, the only input of the checkers."""

import dataclasses
import typing

import zinctrail.simulation.observations as observations

Time = observations.Time


@dataclasses.dataclass(slots=True)
class Response:
    """The response that the client library returned for a request, after all attempts."""

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
    """One attempt of a request at a proxy, and its result at the caller."""

    responded_at: Time
    id: str
    number: int
    proxy: str
    outcome: str | None
    status: int
    is_complete: bool
    home: list[str]
    body: bytes
    service: str


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached an endpoint, whether it ran or was refused."""

    at: Time
    id: str
    attempt: int
    # The incarnation that it reached, and the one that it was addressed to.
    incarnation: str
    target_incarnation: str
    # Whether it was addressed to an incarnation that this process never had.
    is_unknown_target: bool
    address: str
    service: str
    zone: str
    home: list[str]
    # The number of running requests there including this one, and the endpoint's capacity.
    running: int
    capacity: float
    labels: dict[str, str]


class StateChange(typing.NamedTuple):
    """An acknowledged announcement by an endpoint that it drains or leaves."""

    acknowledged_at: Time
    sent_at: Time
    incarnation: str
    state: str


@dataclasses.dataclass(slots=True)
class Apply:
    """An operator's attempt to apply a configuration, and the response."""

    sent_at: Time
    responded_at: Time
    status: int
    base: int
    generation: int | None
    config: dict


class Read(typing.NamedTuple):
    """A configuration as read back by an operator."""

    sent_at: Time
    responded_at: Time
    generation: int
    config: dict


class Evacuation(typing.NamedTuple):
    """An acknowledged command to evacuate a zone or to end its evacuation."""

    sent_at: Time
    acknowledged_at: Time
    zone: str
    is_evacuated: bool


@dataclasses.dataclass(slots=True)
class Operation:
    """An operation on a number or a key, checked by linearizability.order."""

    kind: str
    key: str
    sent_at: Time
    # None if the result is unknown: the operation may have taken effect at any time since, or never.
    responded_at: Time | None = None
    value: int | str | None = None
    expected_revision: int | None = None
    revision: int | None = None
    # 'ok', 'refused' or 'unknown'.
    result: str = 'unknown'


@dataclasses.dataclass(slots=True)
class Watch:
    """A watch of keys; is_gone if it was refused because its history is no longer retained."""

    prefix: str
    since: int
    since_at: Time | None
    sent_at: Time
    responded_at: Time
    head: int = 0
    events: list[dict] = dataclasses.field(default_factory=list)
    is_gone: bool = False


class Loss(typing.NamedTuple):
    """The time at which everything that a fault took away, and that comes back at all, is back."""

    at: Time
    fault: str
    # The (service, region) pairs of which an endpoint runs: elsewhere, what must stay in its home regions can't run.
    running: frozenset[tuple[str, str]]

    def can_serve(self, response: Response) -> bool:
        """True if an endpoint runs to which the request may go."""
        return not response.home or any((response.service, region) in self.running for region in response.home)


class Records:
    """All that was observed from outside, in the order of virtual time."""

    def __init__(self):
        self.responses: list[Response] = []
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        # The arrivals that ran.
        self.runs: list[Arrival] = []
        self.states: list[StateChange] = []
        # When an incarnation was first missing from the status page, or was told by a 410 that it was removed.
        self.removed: dict[str, Time] = {}
        self.applies: list[Apply] = []
        self.reads: list[Read] = []
        self.evacuations: list[Evacuation] = []
        self.locks: list[observations.LockBelief] = []
        self.numbers: list[Operation] = []
        self.keys: list[Operation] = []
        self.watches: list[Watch] = []
        # When each fault began, and when everything that it took away was back.
        self.begins: list[Time] = []
        self.losses: list[Loss] = []
