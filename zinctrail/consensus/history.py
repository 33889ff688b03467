"""The recent changes to a node's state, retained so that other nodes can catch up from them."""

import collections
import dataclasses
import itertools

import zinctrail.consensus.member as member
import zinctrail.consensus.replica as replica

# The limit on retained rows is at least this many, however small the state is.
MIN_ROWS = 8192
# The version of a node that has no state.
NO_VERSION = (0, 0)


@dataclasses.dataclass(slots=True)
class Change:
    """The rows that change one state version, (term, generation), to the next."""

    base: tuple[int, int]
    # The version of the routing tables before the change; None if it does not change them.
    routes_base: tuple[int, int] | None
    at: tuple[int, int]
    rows: list


class History:
    """The consecutive changes up to the version `newest`.

    Bounded by their rows, not by the number of changes: sending a node more
    rows than the state has would cost more than sending the state.
    """

    def __init__(self) -> None:
        self.restart(NO_VERSION, NO_VERSION)

    @classmethod
    def from_folder(cls, loaded: replica.Replica) -> 'History':
        """Return the changes that a data folder held after its snapshot; they are removed from the replica."""
        history = cls()
        versions = loaded.loaded_versions
        routes_version = versions[0].routes_before if versions else member.as_version(loaded.latest('meta', 'routes'))
        history.restart(versions[0].base if versions else loaded.accepted, routes_version)
        for version in versions:
            history.add(version.base, version.version, version.rows, loaded.size())
        loaded.loaded_versions = []
        return history

    def restart(self, newest: tuple[int, int], routes_version: tuple[int, int] | None) -> None:
        """Discard all changes, and begin again at the version `newest`."""
        self.changes: collections.deque[Change] = collections.deque()
        # The total number of their rows.
        self.rows = 0
        # The number of the oldest retained change, counted from the restart.
        self.first_number = 0
        # The number of the change that builds on a version, and on a version of the routing tables.
        self.by_base: dict[tuple[int, int], int] = {}
        self.by_routes_base: dict[tuple[int, int], int] = {}
        self.newest = newest
        # The newest version of the routing tables; None if it is not known.
        self.routes_version = routes_version

    def add(self, base: tuple[int, int], at: tuple[int, int], rows: list, max_rows: int) -> None:
        """Add the next change, and drop the oldest ones while there are more than `max_rows` rows and MIN_ROWS."""
        if base != self.newest:
            # The version of the routing tables at `base` is not known.
            self.restart(base, None)
        # The last one counts, since several changes may have been received as one.
        routes_versions = [tuple(value) for table, key, value in rows if (table, key) == ('meta', 'routes')]
        routes_version = routes_versions[-1] if routes_versions else None
        number = self.first_number + len(self.changes)
        routes_base = None
        if routes_version:
            routes_base = self.routes_version or NO_VERSION
            self.by_routes_base[routes_base] = number
            self.routes_version = routes_version
        self.changes.append(Change(base, routes_base, at, rows))
        self.by_base[base] = number
        self.newest = at
        self.rows += len(rows)
        while self.rows > max(MIN_ROWS, max_rows) and len(self.changes) > 1:
            self.forget_oldest()

    def forget_oldest(self) -> None:
        """Drop the oldest change."""
        change = self.changes.popleft()
        self.first_number += 1
        self.rows -= len(change.rows)
        del self.by_base[change.base]
        if change.routes_base is not None:
            del self.by_routes_base[change.routes_base]

    def reaches(self, base: tuple[int, int], everything: bool) -> bool:
        """True if a node with version `base` can catch up by changes, of all tables or of the routing tables only."""
        newest = self.newest if everything else self.routes_version
        if base == NO_VERSION:
            return False
        return base == newest or base in (self.by_base if everything else self.by_routes_base)

    def since(self, base: tuple[int, int], everything: bool) -> list[Change] | None:
        """Return the changes after `base`, of all tables or of the routing tables only; None if not all are retained."""
        # A member without state is sent the full state, even if all changes are retained.
        numbers = self.by_base if everything else self.by_routes_base
        number = numbers.get(base) if base != NO_VERSION else None
        if number is None:
            return None
        found = itertools.islice(self.changes, number - self.first_number, None)
        return [change for change in found if everything or change.routes_base is not None]


def rows_between(changes: list[Change], everything: bool) -> list:
    """Return the rows of consecutive changes, with `everything` of all tables, else of the routing tables only."""
    return [row for change in changes for row in (change.rows if everything else replica.routes_of(change.rows))]


def latest_rows(rows: list) -> list:
    """Return the rows with only the last value of each key."""
    latest = {(table, key): value for table, key, value in rows}
    return [[table, key, value] for (table, key), value in latest.items()]
