"""The replicated state: tables of rows, and how a version changes them.

A version is a (term, generation) pair.

tables: {table: {key: value}}; values are never changed in place.
rows: [[table, key, value or None]]; None removes the key.
"""

import collections.abc
import dataclasses
import typing

Version = tuple[int, int]
Tables = dict[str, dict[str, typing.Any]]
# [table, key, value or None].
Row = list
Rows = list[Row]

# The tables that directories and proxies need as well; only voters need the others.
ROUTES = ('meta', 'conf', 'items', 'cells', 'endpoints', 'members', 'duties', 'doubts')


def fold(tables: Tables, rows: Rows) -> None:
    """Apply rows to tables, in place."""
    for table, key, val in rows:
        if val is None:
            tables.get(table, {}).pop(key, None)
        else:
            tables.setdefault(table, {})[key] = val


def routes_of(rows: Rows) -> Rows:
    """Those of the rows that directories and proxies need."""
    return [row for row in rows if row[0] in ROUTES]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedVersion:
    """A version that a data folder held beyond its snapshot."""

    version: Version
    # The version that its rows build on.
    base: Version
    rows: Rows
    # The version of the routes before it.
    routes_before: Version


class Replica:
    """What one node accepted, and how much of it is known to be committed.

    `tables` holds what is in force; versions accepted since wait in `pending`,
    [(version, rows)] with the oldest first, until they are committed.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget everything, in place, because others keep references to this object."""
        self.tables: Tables = {}
        self.pending: list[tuple[Version, Rows]] = []
        # What the rows of `pending` come to: {table: {key: value}}.
        self.pending_values: Tables = {}
        self.accepted: Version = (0, 0)
        self.committed: Version = (0, 0)
        # The version that `tables` stands for.
        self.tables_version: Version = (0, 0)
        # Whether the next commit brings everything into force, since a whole state was accepted.
        self.next_commit_is_full = False
        # What a folder held beyond its snapshot, the oldest first.
        self.loaded: list[LoadedVersion] = []

    def size(self) -> int:
        """How many rows are in force."""
        return sum(len(rows) for rows in self.tables.values())

    def get(self, table: str, key: str | None = None) -> typing.Any:
        """A row that is in force, or all rows of a table, which must not be changed."""
        rows = self.tables.get(table, {})
        return rows if key is None else rows.get(key)

    def latest(self, table: str, key: str) -> typing.Any:
        """As `get`, with the accepted but uncommitted rows in force."""
        values = self.pending_values.get(table)
        if values and key in values:
            return values[key]
        return self.tables.get(table, {}).get(key)

    def full_table(self, table: str) -> dict[str, typing.Any]:
        """A copy of one table with the uncommitted rows in force; removed keys may stand as None."""
        return {**self.tables.get(table, {}), **self.pending_values.get(table, {})}

    def full_state(self, routes: bool = False) -> Tables:
        """A copy of all tables, or of the `routes` only, with the uncommitted rows in force."""
        tables = {t: dict(rows) for t, rows in self.tables.items() if not routes or t in ROUTES}
        for _, rows in self.pending:
            fold(tables, routes_of(rows) if routes else rows)
        return tables

    def fits(self, at: Version, base: Version | None, is_whole: bool) -> bool:
        """Whether a version, on `base` or whole, may follow what is accepted here.

        Versions are compared with their terms, so that receivers never go back, not even to the same generation.
        """
        return at > self.accepted and (is_whole or base == self.accepted)

    def accept(self, at: Version, rows: Rows | None = None, tables: Tables | None = None) -> None:
        """Accept a version: `rows` on what is accepted, or all of it in `tables`."""
        if tables is not None:
            self.tables = tables
            self.pending, self.pending_values = [], {}
            self.tables_version = at
            self.next_commit_is_full = True
        else:
            rows = rows or []
            self.pending.append((at, rows))
            self._note_pending(rows)
        self.accepted = at

    def _note_pending(self, rows: Rows) -> None:
        """Note what pending rows come to."""
        for table, key, val in rows:
            self.pending_values.setdefault(table, {})[key] = val

    def apply_pending(self, at: Version | None = None) -> Rows:
        """Fold what is pending, up to and with `at`, into the tables; returns its rows."""
        folded: Rows = []
        while self.pending and (at is None or self.tables_version != at):
            self.tables_version, rows = self.pending.pop(0)
            fold(self.tables, rows)
            folded.extend(rows)
        self.pending_values = {}
        for _, rows in self.pending:
            self._note_pending(rows)
        return folded

    def commit(self, at: Version) -> Rows | None:
        """Apply all up to and with an accepted version.

        Returns the rows that came into force, or None for everything at once.
        """
        if at <= self.committed or (at != self.tables_version and all(a != at for a, _ in self.pending)):
            return []
        rows = self.apply_pending(at) if at != self.tables_version else []
        self.committed = at
        if self.next_commit_is_full:
            self.next_commit_is_full = False
            return None
        return rows


class VotingSet(typing.TypedDict):
    """The voting configuration as it stands in the state: the ids of voters."""

    committed: list[str]
    # The same but during a change of the configuration.
    accepted: list[str]


def quorum(nodes: collections.abc.Iterable[str], voters: collections.abc.Collection[str] | None) -> bool:
    """Whether `nodes` are a strict majority of the voters."""
    if not voters:
        return False
    return 2 * len(set(nodes) & set(voters)) > len(voters)


def joint_quorum(nodes: collections.abc.Iterable[str], voting_set: VotingSet | None) -> bool:
    """Whether `nodes` are a majority of the committed voting set and of the accepted one.

    During a change of the set neither the old nor the new one may be passed by.
    """
    if not voting_set:
        return False
    return quorum(nodes, voting_set['committed']) and quorum(nodes, voting_set['accepted'])
