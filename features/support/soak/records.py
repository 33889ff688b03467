"""Records of what a soak observed from outside, the only input of its verdicts.

Times are seconds of the monotonic clock.
"""

import dataclasses
import itertools
import time
import typing


def now() -> float:
    """Return the time as records store it."""
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
    # 0 without a complete response; `fault` then has the reason.
    status: int = 0
    fault: str = ''
    # When the client disconnected before the response.
    disconnected_at: float | None = None
    # True if the response is a success with the seal and the body of the endpoint for this attempt.
    is_sealed: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """The execution of a request at an endpoint."""

    attempt_id: str
    identifier: str
    began_at: float
    ended_at: float | None = None
    # 'answered', 'dropped' when its connection ended, or 'crashed' with its endpoint.
    how: str = ''


@dataclasses.dataclass(slots=True)
class Signal:
    """A signal that was sent to a process."""

    name: str
    ingress: str
    number: int
    at: float


@dataclasses.dataclass(slots=True)
class End:
    """The exit of a process: its exit code, and the last signal that should have stopped it, or None."""

    name: str
    code: int
    at: float
    by_signal: int | None
    signalled_at: float


@dataclasses.dataclass(slots=True)
class Lookup:
    """The addresses that a directory gave to a client in a zone for a host."""

    zone: str
    host: str
    addresses: list[str]
    at: float
    # The control node that gave them, and how long the soak had run.
    given_by: str = ''
    after_s: float = 0.0

    def describe(self) -> str:
        """Return the lookup as text for a finding."""
        return f'{self.host} in {self.zone}: {self.addresses} by {self.given_by} after {self.after_s:.2f} s'


class AcknowledgedChange(typing.NamedTuple):
    """An acknowledged change of an item; the row is None for a removal."""

    version: int
    row: dict[str, typing.Any] | None


class Records:
    """All records of a soak."""

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.attempts: dict[str, Attempt] = {}
        self.runs: list[Run] = []
        self.signals: list[Signal] = []
        self.ends: list[End] = []
        self.lookups: list[Lookup] = []
        # (when, description) of each disturbance.
        self.events: list[tuple[float, str]] = []
        # The newest acknowledged change of each item, by its name.
        self.acknowledged: dict[str, AcknowledgedChange] = {}
        # (when, lag in seconds) of the soak's own event loop.
        self.lags: list[tuple[float, float]] = []
        # Errors that parts of the soak found themselves.
        self.faults: list[str] = []

    def new_attempt_id(self) -> str:
        """Return an id that no other attempt has."""
        return f'{next(self.numbers):016x}'

    def event(self, text: str) -> None:
        """Record the description of a disturbance."""
        self.events.append((now(), text))
