"""Registers: named values in groups, for callers whose calls carry no id.

The interface calls them cells (`cell.put`, ...). A caller writes unique values,
so a retry is recognized by its value: for as long as the history of the group
is kept, and later still if it is one of the register's last values. Each group
has a revision of its own that rises with every write to one of its registers;
watches are over whole groups.
"""

import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.keys as keys
import zinctrail.control.replies as replies
import zinctrail.control.revisions as revisions
import zinctrail.errors as errors

TABLE = 'values'
# {group: its revision}
GROUPS_TABLE = 'groups'
CHANGES_TABLE = 'changes'
# {group: the revision up to which its changes were dropped}
COMPACTED_TABLE = 'floors'
# Earlier values that a register keeps itself, so that most retries are recognized without a look at the history.
MAX_PAST_VALUES = 24


class RegisterRow(typing.TypedDict):
    """A row of table `values`, by the register's name."""

    value: str
    # The group's revision that wrote this value.
    rev: int
    # The values before it, oldest first, each as [value, revision].
    past: list[list]


class ChangeRow(typing.TypedDict):
    """A row of table `changes`, by GROUP/REVISION, the revision with leading zeros."""

    name: str
    value: str
    rev: int
    # The epoch of the write; the row is dropped some epochs later.
    epoch: int


def group_of(name: str) -> str:
    """The group of a register: its name up to and including the first dot, or the whole name."""
    head, dot, _ = name.partition('.')
    return head + dot


def put(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """`cell.put` {name, value, rev}: write a unique value; with `rev`, only if the register is at that revision.

    A value that was written before returns the revision it got then, and writes nothing.
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
    """`cell.get` {name}: a register's value and revision; 404 if it was never written."""
    row = txn.get(TABLE, arguments.text(args, 'name'))
    if row is None:
        raise errors.NotFoundError('no such cell', rev=0)
    return replies.ok(value=row['value'], rev=row['rev'])


def watch(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """`cell.watch` {group, since}: every write to a group after revision `since`, up to its present revision.

    `since` 0 asks for the present revision alone. 410 where the history does
    not reach back that far: a watcher that was silently moved ahead would miss
    changes without knowing.
    """
    group = arguments.text(args, 'group')
    since = arguments.whole_number(args, 'since', 0, arguments.MAX_EXACT_INTEGER, 0)
    present = _group_revision(txn, group)
    if since == 0 or since >= present:
        return replies.ok(events=[], rev=present)
    if since < (txn.get(COMPACTED_TABLE, group) or 0):
        raise _history_dropped(present)
    events = []
    for revision in range(since + 1, present + 1):
        row = txn.get(CHANGES_TABLE, _change_key(group, revision))
        if row is None:
            raise _history_dropped(present)
        events.append({'name': row['name'], 'value': row['value'], 'rev': revision})
    return replies.ok(events=events, rev=present)


def _revision_of(
    txn: transactions.Transaction, name: str, row: RegisterRow | None, value: str, after: int
) -> int | None:
    """The revision above `after` that wrote a value, as far as the register or the history remembers."""
    if row is None:
        return None
    for written, revision in [*row['past'], (row['value'], row['rev'])]:
        if written == value:
            return revision
    if len(row['past']) < MAX_PAST_VALUES:
        # Nothing that it ever held is missing.
        return None
    return _revision_in_history(txn, name, value, after, row['past'][0][1])


def _revision_in_history(txn: transactions.Transaction, name: str, value: str, after: int, before: int) -> int | None:
    """The revision between two others that wrote a value to a register, as far back as the history of its group goes."""
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


def _history_dropped(present: int) -> errors.GoneError:
    return errors.GoneError('further back than the history kept', rev=present)
