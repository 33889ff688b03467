"""A key-value store for small values, with revisions, compare-and-set, and watches over prefixes.

Every change of a key is also an event. Events are retained for some epochs
(control.retention), so that a watcher that was disconnected can catch up.
"""

import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.event_pages as event_pages
import zinctrail.control.replies as replies
import zinctrail.control.revisions as revisions
import zinctrail.errors as errors

TABLE = 'keys'
EVENTS_TABLE = 'events'
# The longest value, in characters.
MAX_VALUE_LENGTH = 8192


class KeyRow(typing.TypedDict):
    """A row of table `keys`, keyed by the key's name."""

    value: str
    # The revision of the key's last change.
    rev: int


class EventRow(typing.TypedDict):
    """A row of table `events`, keyed by its revision with leading zeros, so that rows sort in the order of changes."""

    key: str
    # None if the key was removed.
    value: str | None
    rev: int
    # The epoch of the change; the event is dropped `epochs_kept` epochs later.
    epoch: int


def checked_value(args: dict) -> str:
    """Return the validated argument `value` of an operation that writes."""
    value = args.get('value')
    if not isinstance(value, str) or len(value) > MAX_VALUE_LENGTH:
        raise errors.BadRequestError(f'value must be a text up to {MAX_VALUE_LENGTH}')
    return value


def check_revision(args: dict, current: int):
    """Compare-and-set: refuse with 409 if the call names a revision other than the current one (0: no row)."""
    if args.get('rev') is not None and args['rev'] != current:
        raise errors.ConflictError(f'at revision {current}', rev=current)


def get(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Return a key's value and revision: `key.get` {key}. `head` is the newest revision, from which to watch."""
    row = txn.get(TABLE, arguments.text(args, 'key'))
    if row is None:
        raise errors.NotFoundError('no such key', rev=0, head=revisions.current(txn))
    return replies.ok(value=row['value'], rev=row['rev'], head=revisions.current(txn))


def put(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Write a key: `key.put` {key, value, rev, id}. With `rev`, only if it is at that revision (0: absent)."""
    key = arguments.text(args, 'key')
    value = checked_value(args)
    _row_at_revision(txn, key, args)
    revision = _record_event(txn, key, value)
    row: KeyRow = {'value': value, 'rev': revision}
    txn.put(TABLE, key, row)
    return replies.ok(rev=revision)


def remove(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Remove a key: `key.drop` {key, rev, id}. With `rev`, only if it is at that revision; 404 if absent."""
    key = arguments.text(args, 'key')
    if _row_at_revision(txn, key, args) is None:
        raise errors.NotFoundError('no such key', rev=0)
    txn.drop(TABLE, key)
    return replies.ok(rev=_record_event(txn, key, None))


def watch(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Return the events after revision `since`: `key.watch` {prefix, since}. The controller waits while there are none.

    `head` is the revision from which to watch on: the newest, unless the response has no room for all events.
    410 if the history no longer reaches back that far: a watcher that silently
    skipped ahead would miss changes without noticing.
    """
    prefix = args.get('prefix', '')
    if not isinstance(prefix, str):
        raise errors.BadRequestError('prefix must be a text')
    since = arguments.whole_number(args, 'since', 0, arguments.MAX_EXACT_INTEGER, 0)
    oldest = revisions.compacted_revision(txn)
    if since < oldest:
        raise errors.GoneError('further back than the history kept', floor=oldest, head=revisions.current(txn))
    page = event_pages.EventPage()
    for _, row in sorted(txn.items(EVENTS_TABLE).items()):
        if row['rev'] <= since or not row['key'].startswith(prefix):
            continue
        event = {'key': row['key'], 'value': row['value'], 'rev': row['rev']}
        if not page.add(event, row['key'], row['value']):
            return replies.ok(events=page.events, head=row['rev'] - 1)
    return replies.ok(events=page.events, head=revisions.current(txn))


def _row_at_revision(txn: transactions.Transaction, key: str, args: dict) -> KeyRow | None:
    row = txn.get(TABLE, key)
    check_revision(args, row['rev'] if row else 0)
    return row


def _record_event(txn: transactions.Transaction, key: str, value: str | None) -> int:
    revision = revisions.advance(txn)
    event: EventRow = {'key': key, 'value': value, 'rev': revision, 'epoch': txn.get('meta', 'epoch') or 0}
    txn.put(EVENTS_TABLE, f'{revision:016d}', event)
    return revision
