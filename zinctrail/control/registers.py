"""Registers: named values in groups, for callers whose calls carry no id.

The API calls them cells (`cell.put`, ...). A caller writes unique values, so that
a retry is recognized by its value: as long as the history of the group is
retained, and beyond that if it is one of the register's last values. Each group
has its own revision, which increases with every write to one of its registers;
a watch covers a whole group.
"""

import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.event_pages as event_pages
import zinctrail.control.keys as keys
import zinctrail.control.replies as replies
import zinctrail.control.revisions as revisions
import zinctrail.errors as errors

TABLE = 'values'
# {group: its revision}
GROUPS_TABLE = 'groups'
CHANGES_TABLE = 'changes'
# {group: the compacted revision, up to which its changes were dropped}
COMPACTED_TABLE = 'floors'
# How many earlier values a register's row holds, so that most retries are recognized without reading the history.
MAX_PAST_VALUES = 24


class RegisterRow(typing.TypedDict):
    """A row of table `values`, keyed by the register's name."""

    value: str
    # The group's revision at which this value was written.
    rev: int
    # The earlier values, oldest first, each as [value, revision].
    past: list[list]


class ChangeRow(typing.TypedDict):
    """A row of table `changes`, keyed by GROUP/REVISION, the revision with leading zeros."""

    name: str
    value: str
    rev: int
    # The epoch of the write; the row is dropped `epochs_kept` epochs later.
    epoch: int


def group_of(name: str) -> str:
    """Return the group of a register: its name up to and including the first dot, or the whole name."""
    head, dot, _ = name.partition('.')
    return head + dot


def put(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Write a unique value: `cell.put` {name, value, rev}. With `rev`, only if the register is at that revision.

    For a value that was written before, return its revision and write nothing.
    """
    name = arguments.text(args, 'name')
    value = keys.checked_value(args)
    if args.get('rev') is not None:
        arguments.whole_number(args, 'rev', 0, arguments.MAX_EXACT_INTEGER)
    row = txn.get(TABLE, name)
    written_at = _revision_of(txn, name, row, value, args.get('rev') or 0)
    if written_at is not None:
        return replies.ok(rev=written_at)
    keys.check_revision(args, row['rev'] if row else 0)
    group = group_of(name)
    revision = _group_revision(txn, group) + 1
    txn.put(GROUPS_TABLE, group, revision)
    past = [*row['past'], [row['value'], row['rev']]][-MAX_PAST_VALUES:] if row else []
    new: RegisterRow = {'value': value, 'rev': revision, 'past': past}
    txn.put(TABLE, name, new)
    epoch = txn.get('meta', 'epoch') or 0
    change: ChangeRow = {'name': name, 'value': value, 'rev': revision, 'epoch': epoch}
    txn.put(CHANGES_TABLE, _change_key(group, revision), change)
    return replies.ok(rev=revision)


def get(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Return a register's value and revision: `cell.get` {name}; 404 if it was never written."""
    row = txn.get(TABLE, arguments.text(args, 'name'))
    if row is None:
        raise errors.NotFoundError('no such cell', rev=0)
    return replies.ok(value=row['value'], rev=row['rev'])


def watch(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Return every write to a group after revision `since`, up to revision `rev`: `cell.watch` {group, since}.

    `rev` is the group's current revision, unless the response has no room for all events. `since` 0 asks for the current revision only. 410 if the history no longer
    reaches back that far: a watcher that silently skipped ahead would miss
    changes without noticing.
    """
    group = arguments.text(args, 'group')
    since = arguments.whole_number(args, 'since', 0, arguments.MAX_EXACT_INTEGER, 0)
    current = _group_revision(txn, group)
    if since == 0 or since >= current:
        return replies.ok(events=[], rev=current)
    if since < (txn.get(COMPACTED_TABLE, group) or 0):
        raise _history_dropped(current)
    page = event_pages.EventPage()
    for revision in range(since + 1, current + 1):
        row = txn.get(CHANGES_TABLE, _change_key(group, revision))
        if row is None:
            raise _history_dropped(current)
        event = {'name': row['name'], 'value': row['value'], 'rev': revision}
        if not page.add(event, row['name'], row['value']):
            return replies.ok(events=page.events, rev=revision - 1)
    return replies.ok(events=page.events, rev=current)


def _revision_of(
    txn: transactions.Transaction, name: str, row: RegisterRow | None, value: str, after: int
) -> int | None:
    """Find the revision that wrote a value, in the register's row, or above `after` in the history; None if unknown."""
    if row is None:
        return None
    for written, revision in [*row['past'], (row['value'], row['rev'])]:
        if written == value:
            return revision
    if len(row['past']) < MAX_PAST_VALUES:
        # The row holds all values that were ever written to the register.
        return None
    return _revision_in_history(txn, name, value, after, row['past'][0][1])


def _revision_in_history(txn: transactions.Transaction, name: str, value: str, after: int, before: int) -> int | None:
    """Find the revision between `after` and `before` that wrote a value to a register, in its group's history."""
    group = group_of(name)
    for revision in range(before - 1, after, -1):
        change = txn.get(CHANGES_TABLE, _change_key(group, revision))
        if change is None:
            return None
        if change['name'] == name and change['value'] == value:
            return revision
    return None


def _group_revision(txn: transactions.Transaction, group: str) -> int:
    return txn.get(GROUPS_TABLE, group) or revisions.base(txn)


def _change_key(group: str, revision: int) -> str:
    return f'{group}/{revision:016d}'


def _history_dropped(current: int) -> errors.GoneError:
    return errors.GoneError('further back than the history kept', rev=current)
