"""The registries of checkers, and what checkers of both kinds of days share."""

import collections
import datetime
import typing

import zinctrail.simulation.observations as observations

Checker = typing.Callable[[typing.Any], list[str]]
Row = typing.TypeVar('Row')
Belief = typing.TypeVar('Belief', bound=observations.LockBelief)


class Registry(dict):
    """Checkers by the name of their rule."""

    def check(self, name: str) -> typing.Callable[[Checker], Checker]:
        """Register a checker; serves as a decorator."""

        def register(checker: Checker) -> Checker:
            """Put the checker into the registry."""
            self[name] = checker
            return checker

        return register

    def run(self, deployment: typing.Any, only: str | None = None) -> list[str]:
        """What all checkers found, or one of them; each text begins with its checker's name."""
        return [
            f'{name}: {text}' for name, checker in self.items() if only in (None, name) for text in checker(deployment)
        ]


# Checkers of days of the client library, and of days of open traffic.
CLIENT = Registry()
OPEN = Registry()


def seconds(time: datetime.timedelta) -> str:
    """A time as texts of findings show it."""
    return f'{time.total_seconds():.3f}s'


def grouped(rows: typing.Iterable[Row], key: typing.Callable[[Row], typing.Any]) -> dict[typing.Any, list[Row]]:
    """Rows by a key, in their order."""
    groups = collections.defaultdict(list)
    for row in rows:
        groups[key(row)].append(row)
    return groups


def belief_pairs(beliefs: typing.Iterable[Belief]) -> typing.Iterator[tuple[str, Belief, Belief]]:
    """(lock, earlier, later) for every two beliefs in one lock.

    Every pair, since a long belief may meet one that is not its neighbour.
    """
    for name, rows in grouped(beliefs, lambda belief: belief.name).items():
        rows.sort(key=lambda belief: belief.since)
        for position, earlier in enumerate(rows):
            for later in rows[position + 1 :]:
                yield name, earlier, later


class Evacuation(typing.Protocol):
    """What the notes of both kinds of days tell of an evacuation."""

    @property
    def zone(self) -> str:
        """The zone."""

    @property
    def is_evacuated(self) -> bool:
        """Whether the zone was evacuated, not taken back."""

    @property
    def sent_at(self) -> observations.Time:
        """When the order was first sent."""


def taken_back_at(evacuation: Evacuation, others: typing.Iterable[Evacuation]) -> observations.Time | None:
    """When an evacuated zone was next asked back; that reply may have come before that of the evacuation."""
    times = [
        other.sent_at
        for other in others
        if other.zone == evacuation.zone and not other.is_evacuated and other.sent_at > evacuation.sent_at
    ]
    return min(times, default=None)


def overlap(name: str, earlier: observations.LockBelief, later: observations.LockBelief) -> str:
    """The finding that two holders believed in a lock at once."""
    return f'{name}: {earlier.holder} until {seconds(earlier.until)}, {later.holder} from {seconds(later.since)}'


def token_order(name: str, earlier: observations.LockBelief, later: observations.LockBelief) -> str:
    """The finding that a fencing token did not rise."""
    return (
        f'{name}: fencing token {later.fencing_token} of {later.holder}'
        f' after {earlier.fencing_token} of {earlier.holder}'
    )
