"""The changes that led to a node's newest state version, kept so that others can catch up by them."""

import collections
import dataclasses
import itertools

import zinctrail.consensus.member as member
import zinctrail.consensus.replica as replica

# How many rows of changes are kept at least, however small the state is.
ROWS_LEAST = 8192
# The version of a node that has no state.
NOTHING = (0, 0)


@dataclasses.dataclass(slots=True)
class Change:
    """The rows that lead from one state version, (term, number), to the next."""

    base: tuple[int, int]
    # The version of the routes before it, where it changes routes; else None.
    routes_base: tuple[int, int] | None
    at: tuple[int, int]
    rows: list


class History:
    """An unbroken run of changes up to `newest`.

    It is bounded by rows, not by changes: catching up by more rows than the
    state has would cost more than the state.
    """

    def __init__(self) -> None:
        self.restart(NOTHING, NOTHING)

    @classmethod
    def from_folder(cls, loaded: replica.Replica) -> 'History':
        """The changes that a data folder still held beyond its snapshot; they are dropped from the replica."""
        history = cls()
        versions = loaded.loaded
        routes_at = versions[0].routes_before if versions else member.as_version(loaded.latest('meta', 'routes'))
        history.restart(versions[0].base if versions else loaded.accepted, routes_at)
        for version in versions:
            history.add(version.base, version.version, version.rows, loaded.size())
        loaded.loaded = []
        return history

    def restart(self, newest: tuple[int, int], routes_at: tuple[int, int] | None) -> None:
        """Begin anew at a state that no kept change leads to."""
        self.changes: collections.deque[Change] = collections.deque()
        # How many rows they have in all.
        self.rows = 0
        # The number of the first change that is still kept, counted from the restart.
        self.first = 0
        # The number of the change that builds on a version, and on a version of the routes.
        self.by_base: dict[tuple[int, int], int] = {}
        self.by_routes_base: dict[tuple[int, int], int] = {}
        self.newest = newest
        # The version that the routes had last; None where it is not known.
        self.routes_at = routes_at

    def add(self, base: tuple[int, int], at: tuple[int, int], rows: list, rows_most: int) -> None:
        """Add the next change; older ones are forgotten so that at most `rows_most` rows are kept in all."""
        if base != self.newest:
            # What the routes' version was before is not known here.
            self.restart(base, None)
        # The last, since several changes may have come as one.
        routes_versions = [tuple(value) for table, key, value in rows if (table, key) == ('meta', 'routes')]
        routes_at = routes_versions[-1] if routes_versions else None
        number = self.first + len(self.changes)
        routes_base = None
        if routes_at:
            routes_base = self.routes_at or NOTHING
            self.by_routes_base[routes_base] = number
            self.routes_at = routes_at
        self.changes.append(Change(base, routes_base, at, rows))
        self.by_base[base] = number
        self.newest = at
        self.rows += len(rows)
        while self.rows > max(ROWS_LEAST, rows_most) and len(self.changes) > 1:
            self.forget_oldest()

    def forget_oldest(self) -> None:
        """Forget the oldest change."""
        change = self.changes.popleft()
        self.first += 1
        self.rows -= len(change.rows)
        del self.by_base[change.base]
        if change.routes_base is not None:
            del self.by_routes_base[change.routes_base]

    def reaches(self, base: tuple[int, int], everything: bool) -> bool:
        """Whether changes lead from `base` to the newest version of everything, or of the routes only."""
        newest = self.newest if everything else self.routes_at
        if base == NOTHING:
            return False
        return base == newest or base in (self.by_base if everything else self.by_routes_base)

    def since(self, base: tuple[int, int], everything: bool) -> list[Change] | None:
        """The changes after `base`, of everything or of the routes only; None where they are not kept (any more)."""
        # A member that has nothing gets the state, also where all changes are kept.
        numbers = self.by_base if everything else self.by_routes_base
        number = numbers.get(base) if base != NOTHING else None
        if number is None:
            return None
        found = itertools.islice(self.changes, number - self.first, None)
        return [change for change in found if everything or change.routes_base is not None]


def rows_between(changes: list[Change], everything: bool) -> list:
    """The rows of some changes in their order, or of their routes only."""
    return [row for change in changes for row in (change.rows if everything else replica.routes_of(change.rows))]


def latest_rows(rows: list) -> list:
    """The same with only the last value of each key."""
    latest = {(table, key): value for table, key, value in rows}
    return [[table, key, value] for (table, key), value in latest.items()]
