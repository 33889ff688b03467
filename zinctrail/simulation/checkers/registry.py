"""The registries of checkers, and helpers shared by the checkers of library traffic and of open traffic."""

import collections
import datetime
import typing

import zinctrail.simulation.observations as observations

Checker = typing.Callable[[typing.Any], list[str]]
Row = typing.TypeVar('Row')
Belief = typing.TypeVar('Belief', bound=observations.LockBelief)


class Registry(dict):
    """Maps the name of a rule to its checker."""

    def check(self, name: str) -> typing.Callable[[Checker], Checker]:
        """Return a decorator that registers a checker under this name."""

        def register(checker: Checker) -> Checker:
            """Add the checker to the registry."""
            self[name] = checker
            return checker

        return register

    def run(self, deployment: typing.Any, only: str | None = None) -> list[str]:
        """Return the findings of all checkers, or of one; each begins with its checker's name."""
        return [
            f'{name}: {text}' for name, checker in self.items() if only in (None, name) for text in checker(deployment)
        ]


# Checkers of scenarios of library traffic, and of scenarios of open traffic.
CLIENT = Registry()
OPEN = Registry()


def seconds(time: datetime.timedelta) -> str:
    """Format a time for the text of a finding."""
    return f'{time.total_seconds():.3f}s'


def group_by(rows: typing.Iterable[Row], key: typing.Callable[[Row], typing.Any]) -> dict[typing.Any, list[Row]]:
    """Group rows by a key; each group keeps the order of the rows."""
    groups = collections.defaultdict(list)
    for row in rows:
        groups[key(row)].append(row)
    return groups


def belief_pairs(beliefs: typing.Iterable[Belief]) -> typing.Iterator[tuple[str, Belief, Belief]]:
    """Yield (lock name, earlier, later) for every pair of beliefs in the same lock.

    Adjacent pairs are not enough, since a long belief may overlap one further on.
    """
    for name, rows in group_by(beliefs, lambda belief: belief.name).items():
        rows.sort(key=lambda belief: belief.since)
        for position, earlier in enumerate(rows):
            for later in rows[position + 1 :]:
                yield name, earlier, later


class Evacuation(typing.Protocol):
    """The fields of an evacuation that the records of both kinds of traffic have."""

    @property
    def zone(self) -> str:
        """The zone."""

    @property
    def is_evacuated(self) -> bool:
        """True if the zone was evacuated, False if it was taken back into service."""

    @property
    def sent_at(self) -> observations.Time:
        """When the command was first sent."""


def taken_back_at(evacuation: Evacuation, others: typing.Iterable[Evacuation]) -> observations.Time | None:
    """Return when the next command to take the zone back into service was sent, or None.

    Its sending time counts, since its response may have come before that of the evacuation.
    """
    times = [
        other.sent_at
        for other in others
        if other.zone == evacuation.zone and not other.is_evacuated and other.sent_at > evacuation.sent_at
    ]
    return min(times, default=None)


def overlap(name: str, earlier: observations.LockBelief, later: observations.LockBelief) -> str:
    """Return the finding that two applications believed that they hold a lock at the same time."""
    return f'{name}: {earlier.holder} until {seconds(earlier.until)}, {later.holder} from {seconds(later.since)}'


def token_order(name: str, earlier: observations.LockBelief, later: observations.LockBelief) -> str:
    """Return the finding that a fencing token did not increase."""
    return (
        f'{name}: fencing token {later.fencing_token} of {later.holder}'
        f' after {earlier.fencing_token} of {earlier.holder}'
    )
