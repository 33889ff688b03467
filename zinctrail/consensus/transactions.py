"""Transactions, which compute a state version, and views, on which reads run."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.internal_errors as internal_errors
import zinctrail.consensus.replica as replica
import zinctrail.errors as errors

# The result of work: {'status': an HTTP status, ...}.
Result = typing.Mapping[str, typing.Any]
# A function that runs in a transaction or on a view; it returns a result or raises CallError.
Work = typing.Callable[['Transaction'], Result]


@dataclasses.dataclass(slots=True)
class Task:
    """A change that is queued for the next version."""

    work: Work
    callback: typing.Callable[[Result], None]
    # Whether a caller waits for the result; False for the leader's own changes.
    for_caller: bool = False


class Undo(typing.NamedTuple):
    """The state of a key in a transaction before a task wrote it."""

    key: tuple[str, str]
    was_written: bool
    value: typing.Any


class RowChange(typing.NamedTuple):
    """What a task changed at a key; None if there was, or is, no value."""

    old: typing.Any
    new: typing.Any


class Transaction:
    """Computes one version: reads see the rows written so far, and all versions accepted before."""

    def __init__(
        self,
        state: replica.Replica,
        version: tuple[int, int],
        now: datetime.timedelta,
        guard: internal_errors.Guard | None = None,
    ) -> None:
        """
        :param guard: records the unforeseen exceptions of tasks; without one they are passed on.
        """
        self.replica = state
        self.guard = guard
        self.version = version
        # The generation of the version, which keeps increasing over changes of term.
        self.generation = version[1]
        self.now = now
        # The rows written so far: {(table, key): value, None if the key is removed}.
        self.written: dict[tuple[str, str], typing.Any] = {}
        # The undo log of the running task, the oldest entry first; None between tasks.
        self.undo: list[Undo] | None = None

    def get(self, table: str, key: str) -> typing.Any:
        """Return the value of a key; None if it does not exist."""
        if (table, key) in self.written:
            return self.written[table, key]
        return self.before(table, key)

    def before(self, table: str, key: str) -> typing.Any:
        """Return the value of a key before this version."""
        return self.replica.latest(table, key)

    def rows_before(self, table: str) -> dict[str, typing.Any]:
        """Return a copy of a table before this version; removed keys may be present as None."""
        return self.replica.full_table(table)

    def put(self, table: str, key: str, val: typing.Any) -> None:
        """Write the value of a key."""
        if self.get(table, key) != val:
            if self.undo is not None:
                self.undo.append(Undo((table, key), (table, key) in self.written, self.written.get((table, key))))
            self.written[table, key] = val

    def drop(self, table: str, key: str) -> None:
        """Remove a key."""
        self.put(table, key, None)

    def items(self, table: str) -> dict[str, typing.Any]:
        """Return a copy of a table, without removed keys."""
        rows = self.rows_before(table)
        for (changed_table, key), val in self.written.items():
            if changed_table == table:
                rows[key] = val
        return {k: v for k, v in rows.items() if v is not None}

    def run(self, work: Work) -> Result:
        """Run one task within the version; if it raises an exception, undo its writes and return the error's result."""
        self.undo = []
        try:
            return work(self)
        except errors.CallError as error:
            self._undo_task()
            return error.to_result()
        except Exception:
            if self.guard is None or self.guard.passes_on:
                raise
            self._undo_task()
            return self.guard.record('an operation')
        finally:
            self.undo = None

    def _undo_task(self) -> None:
        """Undo what the running task has written."""
        for entry in reversed(self.undo or ()):
            if entry.was_written:
                self.written[entry.key] = entry.value
            else:
                del self.written[entry.key]

    def changed_by_task(self, table: str) -> dict[str, RowChange]:
        """Return {key: change} for the rows of a table that the running task has written."""
        changed = {}
        # The newest entry first, so that the oldest one of a key stays.
        for entry in reversed(self.undo or ()):
            if entry.key[0] == table:
                old = entry.value if entry.was_written else self.before(*entry.key)
                changed[entry.key[1]] = RowChange(old, self.written[entry.key])
        return changed

    def rows(self) -> list:
        """Return the rows that this version changes: [[table, key, value or None]]."""
        return [[t, k, v] for (t, k), v in self.written.items() if self.before(t, k) != v]


class View(Transaction):
    """The committed state, for work that only reads."""

    def before(self, table: str, key: str) -> typing.Any:
        """Return the committed value of a key."""
        return self.replica.get(table, key)

    def rows_before(self, table: str) -> dict[str, typing.Any]:
        """Return a copy of the committed rows of a table."""
        return dict(self.replica.get(table))


def add_member(txn: Transaction, node: str, row: dict) -> dict:
    """Add a member; another member with the same address is removed."""
    # The process that listened at the address before must have ended, or this one could not listen there.
    for other, old in txn.items('members').items():
        if other != node and old['addr'] == row['addr']:
            txn.drop('members', other)
    txn.put('members', node, row)
    return {'status': 200}
