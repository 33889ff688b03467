"""What a soak saw from outside; its verdicts read nothing else. Times are seconds of the monotonic clock."""

import dataclasses
import itertools
import time
import typing


def now() -> float:
    """The time that notes bear."""
    return time.monotonic()


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a client at a proxy."""

    id: str
    route: str
    runs_once: bool
    # The address of the proxy, and how often its process had been started by then.
    ingress: str
    start: int
    sent_at: float
    ended_at: float | None = None
    # 0 where no whole answer came; then the fault says what came instead.
    status: int = 0
    fault: str = ''
    # When the client left, without waiting for the answer.
    left_at: float | None = None
    # Whether the answer is a success with the seal and the body of its endpoint for this very attempt.
    is_sealed: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an endpoint worked on."""

    attempt_id: str
    identifier: str
    began_at: float
    ended_at: float | None = None
    # 'answered', 'dropped' when its connection ended, or 'crashed' with its endpoint.
    how: str = ''


@dataclasses.dataclass(slots=True)
class Signal:
    """A signal that a process was sent."""

    name: str
    ingress: str
    number: int
    at: float


@dataclasses.dataclass(slots=True)
class End:
    """The end of a process: its exit code, and the last signal that should have ended it, None where there was none."""

    name: str
    code: int
    at: float
    by_signal: int | None
    told_at: float


@dataclasses.dataclass(slots=True)
class Lookup:
    """The addresses that a directory gave to a client in a zone for a host."""

    zone: str
    host: str
    addresses: list[str]
    at: float


class AcknowledgedChange(typing.NamedTuple):
    """A change of an item that was acknowledged; None is its removal."""

    version: int
    row: dict[str, typing.Any] | None


class Notes:
    """All that was seen."""

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.attempts: dict[str, Attempt] = {}
        self.runs: list[Run] = []
        self.signals: list[Signal] = []
        self.ends: list[End] = []
        self.lookups: list[Lookup] = []
        # What the disturbances did, in words.
        self.events: list[tuple[float, str]] = []
        # The newest acknowledged change of each item, by its name.
        self.acknowledged: dict[str, AcknowledgedChange] = {}
        # (when, how late it was in seconds) of the soak's own loop.
        self.lags: list[tuple[float, float]] = []
        # Faults that a part of the soak saw itself.
        self.faults: list[str] = []

    def new_attempt_id(self) -> str:
        """An id that no other attempt has."""
        return f'{next(self.numbers):016x}'

    def event(self, text: str) -> None:
        """Note what a disturbance does."""
        self.events.append((now(), text))
