"""Transactions, in which a state version is computed, and views, which reads look at."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.replica as replica
import zinctrail.errors as errors

# The result of work: {'status': an HTTP status, ...}.
Result = typing.Mapping[str, typing.Any]
# Work on the state within a transaction, or on a view of it; it gives a result or raises CallError.
Work = typing.Callable[['Transaction'], Result]


@dataclasses.dataclass(slots=True)
class Task:
    """A change that waits for the next version."""

    work: Work
    callback: typing.Callable[[Result], None]
    # Whether a caller waits for it, and not the leader itself.
    for_caller: bool = False


class Undo(typing.NamedTuple):
    """How a key stood in a transaction before a task wrote it."""

    key: tuple[str, str]
    was_written: bool
    value: typing.Any


class Transaction:
    """One version being computed: reads see what it wrote so far, and all that was accepted before it."""

    def __init__(self, state: replica.Replica, at: tuple[int, int], now: datetime.timedelta) -> None:
        self.replica = state
        self.at = at
        # The number of the version within its term.
        self.generation = at[1]
        self.now = now
        # What it wrote: {(table, key): value, None where the key is forgotten}.
        self.written: dict[tuple[str, str], typing.Any] = {}
        # How to undo what the present task wrote, the oldest first; None between tasks.
        self.undo: list[Undo] | None = None

    def get(self, table: str, key: str) -> typing.Any:
        """The value of a key; None if there is none."""
        if (table, key) in self.written:
            return self.written[table, key]
        return self.before(table, key)

    def before(self, table: str, key: str) -> typing.Any:
        """The value before this version."""
        return self.replica.latest(table, key)

    def rows_before(self, table: str) -> dict[str, typing.Any]:
        """The rows of a table before this version; a copy."""
        return self.replica.full_table(table)

    def put(self, table: str, key: str, val: typing.Any) -> None:
        """Write the value of a key."""
        if self.get(table, key) != val:
            if self.undo is not None:
                self.undo.append(Undo((table, key), (table, key) in self.written, self.written.get((table, key))))
            self.written[table, key] = val

    def drop(self, table: str, key: str) -> None:
        """Forget a key."""
        self.put(table, key, None)

    def items(self, table: str) -> dict[str, typing.Any]:
        """The rows of a table; a copy."""
        rows = self.rows_before(table)
        for (changed_table, key), val in self.written.items():
            if changed_table == table:
                rows[key] = val
        return {k: v for k, v in rows.items() if v is not None}

    def run(self, work: Work) -> Result:
        """Run one task within the version; one that raises CallError is undone, and results in that error."""
        self.undo = []
        try:
            return work(self)
        except errors.CallError as e:
            for entry in reversed(self.undo):
                if entry.was_written:
                    self.written[entry.key] = entry.value
                else:
                    del self.written[entry.key]
            return e.to_result()
        finally:
            self.undo = None

    def rows(self) -> list:
        """The rows that lead to this version: [[table, key, value or None]]."""
        return [[t, k, v] for (t, k), v in self.written.items() if self.before(t, k) != v]


class View(Transaction):
    """What is in force, for work that only reads."""

    def before(self, table: str, key: str) -> typing.Any:
        """The value that is in force."""
        return self.replica.get(table, key)

    def rows_before(self, table: str) -> dict[str, typing.Any]:
        """The rows that are in force; a copy."""
        return dict(self.replica.get(table))


def add_member(txn: Transaction, node: str, row: dict) -> dict:
    """Admit a member; another one at the same address is removed."""
    # Whoever listened at its address before is gone, or this one could not listen there.
    for other, old in txn.items('members').items():
        if other != node and old['addr'] == row['addr']:
            txn.drop('members', other)
    txn.put('members', node, row)
    return {'status': 200}
