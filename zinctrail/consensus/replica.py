"""The replicated state: tables of rows, and the versions that change them.

A version is a (term, generation) pair.

tables: {table: {key: value}}; values are never modified in place.
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

# The routing tables, which directories and proxies replicate as well; the others are only on voters.
ROUTES = ('meta', 'conf', 'items', 'cells', 'endpoints', 'members', 'duties', 'doubts')


def apply_rows(tables: Tables, rows: Rows) -> None:
    """Apply rows to tables, in place."""
    for table, key, val in rows:
        if val is None:
            tables.get(table, {}).pop(key, None)
        else:
            tables.setdefault(table, {})[key] = val


def routes_of(rows: Rows) -> Rows:
    """Return the rows of the routing tables."""
    return [row for row in rows if row[0] in ROUTES]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedVersion:
    """A version that was loaded from a data folder and is newer than the folder's snapshot."""

    version: Version
    # The version that the rows build on.
    base: Version
    rows: Rows
    # The version of the routing tables before this one.
    routes_before: Version


class Replica:
    """One node's copy of the replicated state: what it accepted, and how much of it is known to be committed.

    `tables` holds the state that is in force. Versions accepted since are in
    `pending`, [(version, rows)] with the oldest first, until they are committed.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Discard the state in place, because other objects hold references to this one."""
        self.tables: Tables = {}
        self.pending: list[tuple[Version, Rows]] = []
        # The newest value of each key in `pending`: {table: {key: value}}.
        self.pending_values: Tables = {}
        self.accepted: Version = (0, 0)
        self.committed: Version = (0, 0)
        # The version of `tables`.
        self.tables_version: Version = (0, 0)
        # Whether the next commit may change every row, because a full state was accepted.
        self.next_commit_is_full = False
        # The versions that the data folder held after its snapshot, the oldest first.
        self.loaded_versions: list[LoadedVersion] = []

    def size(self) -> int:
        """Return the number of rows in force."""
        return sum(len(rows) for rows in self.tables.values())

    def get(self, table: str, key: str | None = None) -> typing.Any:
        """Return the value of a key that is in force, or all rows of a table; neither may be modified."""
        rows = self.tables.get(table, {})
        return rows if key is None else rows.get(key)

    def latest(self, table: str, key: str) -> typing.Any:
        """Return the value of a key as `get` does, with the pending rows applied."""
        values = self.pending_values.get(table)
        if values and key in values:
            return values[key]
        return self.tables.get(table, {}).get(key)

    def full_table(self, table: str) -> dict[str, typing.Any]:
        """Return a copy of one table with the pending rows applied; removed keys may be present as None."""
        return {**self.tables.get(table, {}), **self.pending_values.get(table, {})}

    def full_state(self, routes: bool = False) -> Tables:
        """Return a copy of all tables, or with `routes` of the routing tables, with the pending rows applied."""
        tables = {t: dict(rows) for t, rows in self.tables.items() if not routes or t in ROUTES}
        for _, rows in self.pending:
            apply_rows(tables, routes_of(rows) if routes else rows)
        return tables

    def fits(self, version: Version, base: Version | None, is_full: bool) -> bool:
        """True if a version, which builds on `base` or is a full state, may follow the accepted version.

        Versions are compared as (term, generation), so a receiver never goes back to an older term, not even to one
        with the same generation.
        """
        return version > self.accepted and (is_full or base == self.accepted)

    def accept(self, version: Version, rows: Rows | None = None, tables: Tables | None = None) -> None:
        """Accept a version: `rows` that build on the accepted version, or a full state in `tables`."""
        if tables is not None:
            self.tables = tables
            self.pending, self.pending_values = [], {}
            self.tables_version = version
            self.next_commit_is_full = True
        else:
            rows = rows or []
            self.pending.append((version, rows))
            self._record_pending(rows)
        self.accepted = version

    def _record_pending(self, rows: Rows) -> None:
        """Update `pending_values` with rows."""
        for table, key, val in rows:
            self.pending_values.setdefault(table, {})[key] = val

    def apply_pending(self, version: Version | None = None) -> Rows:
        """Apply the pending versions up to and including `version`, or all of them, to the tables; return their rows."""
        applied: Rows = []
        while self.pending and (version is None or self.tables_version != version):
            self.tables_version, rows = self.pending.pop(0)
            apply_rows(self.tables, rows)
            applied.extend(rows)
        self.pending_values = {}
        for _, rows in self.pending:
            self._record_pending(rows)
        return applied

    def commit(self, version: Version) -> Rows | None:
        """Commit the accepted versions up to and including `version`.

        Returns the rows that came into force, or None if every row may have changed.
        """
        if version <= self.committed or (version != self.tables_version and all(a != version for a, _ in self.pending)):
            return []
        rows = self.apply_pending(version) if version != self.tables_version else []
        self.committed = version
        if self.next_commit_is_full:
            self.next_commit_is_full = False
            return None
        return rows


class VotingSet(typing.TypedDict):
    """The voting configuration in the replicated state: the ids of the voters."""

    committed: list[str]
    # Differs from `committed` only during a change of the configuration.
    accepted: list[str]


def quorum(nodes: collections.abc.Iterable[str], voters: collections.abc.Collection[str] | None) -> bool:
    """True if `nodes` include a strict majority of the voters."""
    if not voters:
        return False
    return 2 * len(set(nodes) & set(voters)) > len(voters)


def joint_quorum(nodes: collections.abc.Iterable[str], voting_set: VotingSet | None) -> bool:
    """True if `nodes` include a majority of the committed voting set and a majority of the accepted one.

    During a change of the voting set, no decision may be made without both the old set and the new one.
    """
    if not voting_set:
        return False
    return quorum(nodes, voting_set['committed']) and quorum(nodes, voting_set['accepted'])
