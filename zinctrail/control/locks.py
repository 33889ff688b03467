"""Locks with leases and fencing tokens.

A lock has one owner until its lease expires. Each acquisition has a fencing
token (`fence`) above all earlier ones, which the owner presents to the protected
resource. The leader measures leases on its own clock, and makes them longer than
it reports to owners, since their clocks may run slower.

Two interfaces share the table: `take`, `free` and `get`, whose calls carry an
id, and `hold`, `renew` and `yield`, whose calls have none: their retries are
recognized by the owner's name and the token.

Leases end by the leader's clock: lock_expiry.py.
"""

import datetime
import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.recovery as recovery
import zinctrail.control.replies as replies
import zinctrail.control.revisions as revisions
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations

TABLE = 'locks'
# Bounds on the lease of `take`, in milliseconds.
MIN_TAKE_LEASE_MS, DEFAULT_TAKE_LEASE_MS, MAX_TAKE_LEASE_MS = 500, 5000, 60000
# The maximum lease of `hold` and `renew`: one hour.
MAX_HOLD_LEASE_MS = 3600000
# Bounds on `retry_ms` of refusals, in milliseconds.
MIN_RETRY_MS, MAX_RETRY_MS = 50, 1000


class LockRow(typing.TypedDict, total=False):
    """A row of table `locks`, keyed by the lock's name. Field names are part of the stored state."""

    # The owner's name.
    holder: str
    # The fencing token of the newest acquisition.
    fence: int
    # The longest lease that was reported to the owner, in milliseconds.
    lease_ms: int
    # The id of the newest acquisition or renewal, which a release must name.
    take: str
    # Only with `hold`: the first fencing token of this ownership; this and later tokens may renew the lock.
    first: int


def take(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Acquire a lock, or renew it if the caller owns it: `lock.take` {name, holder, lease_ms, id}.

    Results are not stored by id: a retry acquires again and thereby renews, as it should.
    Refused with 409 during another owner's lease.
    """
    name, owner = arguments.text(args, 'name'), arguments.text(args, 'holder')
    acquisition = arguments.text(args, 'id') if 'id' in args else ''
    recovery.require_locks_open(txn)
    lease_ms = arguments.whole_number(args, 'lease_ms', MIN_TAKE_LEASE_MS, MAX_TAKE_LEASE_MS, DEFAULT_TAKE_LEASE_MS)
    row = txn.get(TABLE, name)
    is_held = _is_held(controller, txn, name, row)
    _refuse_if_owned_by_another(controller, txn, name, row, owner, is_held)
    if not is_held:
        fence = revisions.advance(txn)
        row = {'holder': owner, 'fence': fence, 'lease_ms': lease_ms, 'take': acquisition or str(fence)}
    elif row.get('take') != acquisition or not acquisition:
        # A renewal is stored too, so that any leader recognizes a delayed release of an earlier acquisition.
        renewal = acquisition or str(revisions.advance(txn))
        row = dict(row, lease_ms=max(lease_ms, row['lease_ms']), take=renewal)
    txn.put(TABLE, name, row)
    _extend(controller, txn, name, lease_ms)
    return replies.ok(fence=row['fence'], take=row['take'], lease_ms=lease_ms)


def free(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Release a lock: `lock.free` {name, holder, take}. `freed` is true if this released the lock.

    The call names its acquisition, so that a delayed call does not release a lock
    that was acquired or renewed since.
    """
    name, owner = arguments.text(args, 'name'), arguments.text(args, 'holder')
    acquisition = arguments.text(args, 'take')
    row = txn.get(TABLE, name)
    return _release(controller, txn, name, row, owner, row is not None and row.get('take') == acquisition)


def get(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Return the owner of a lock and its fencing token: `lock.get` {name}; 404 if the lock is free."""
    row = txn.get(TABLE, arguments.text(args, 'name'))
    if row is None:
        raise errors.NotFoundError('not held')
    return replies.ok(holder=row['holder'], fence=row['fence'], take=row.get('take', ''))


def hold(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Acquire or extend a lock: `lock.hold` {name, holder, lease_ms}. Every 200 has a new, higher token.

    Refused with 409 during another owner's lease.
    """
    name, owner = arguments.text(args, 'name'), arguments.text(args, 'holder')
    recovery.require_locks_open(txn)
    lease_ms = arguments.whole_number(args, 'lease_ms', 1, MAX_HOLD_LEASE_MS)
    row = txn.get(TABLE, name)
    is_held = _is_held(controller, txn, name, row)
    _refuse_if_owned_by_another(controller, txn, name, row, owner, is_held)
    # The same owner gets a new token too, so that a delayed earlier release does not release the lock now.
    fence = revisions.advance(txn)
    new: LockRow = {
        'holder': owner,
        'fence': fence,
        'take': str(fence),
        'lease_ms': max(lease_ms, row['lease_ms']) if is_held else lease_ms,
        # An owner that did not receive the response to a later acquisition may still renew with an earlier token.
        'first': row.get('first', row['fence']) if is_held else fence,
    }
    txn.put(TABLE, name, new)
    _extend(controller, txn, name, lease_ms)
    return replies.ok(fence=fence)


def renew(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Extend a lease: `lock.renew` {name, holder, fence, lease_ms}; 409 if the lock is not held under this token."""
    name, owner = arguments.text(args, 'name'), arguments.text(args, 'holder')
    fence = arguments.whole_number(args, 'fence', 0, arguments.MAX_EXACT_INTEGER)
    lease_ms = arguments.whole_number(args, 'lease_ms', 1, MAX_HOLD_LEASE_MS)
    recovery.require_locks_open(txn)
    row = txn.get(TABLE, name)
    if (
        not row
        or row['holder'] != owner
        or not row.get('first', row['fence']) <= fence <= row['fence']
        or not _is_held(controller, txn, name, row)
    ):
        raise errors.ConflictError('not held under this fence')
    # Only a longer lease is stored: the owner stays the same, and a new leader counts a full lease anyway.
    if lease_ms > row['lease_ms']:
        txn.put(TABLE, name, dict(row, lease_ms=lease_ms))
    _extend(controller, txn, name, lease_ms)
    return replies.ok(fence=fence)


def yield_(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Release a lock: `lock.yield` {name, holder, fence}. `freed` is true if this released the lock.

    Only the newest token releases: the owner may have acquired the lock again since it sent the call.
    """
    name, owner = arguments.text(args, 'name'), arguments.text(args, 'holder')
    fence = arguments.whole_number(args, 'fence', 0, arguments.MAX_EXACT_INTEGER)
    row = txn.get(TABLE, name)
    return _release(controller, txn, name, row, owner, row is not None and row['fence'] == fence)


def _is_held(
    controller: controller_part.ControlNode, txn: transactions.Transaction, name: str, row: LockRow | None
) -> bool:
    return row is not None and _expires_at(controller, txn, name, row) > txn.now


def _expires_at(
    controller: controller_part.ControlNode, txn: transactions.Transaction, name: str, row: LockRow
) -> datetime.timedelta:
    """Return when the owner's lease has certainly ended."""
    deadlines = controller.lock_expiry.deadlines
    if name not in deadlines:
        # A new leader computes its first versions before it has seen all locks; an unseen lock gets a full lease.
        deadlines[name] = txn.now + controller.lock_expiry.expiry_delay(row['lease_ms'])
    return deadlines[name]


def _extend(controller: controller_part.ControlNode, txn: transactions.Transaction, name: str, lease_ms: int):
    """Start a lease from now; the deadline never moves earlier.

    The response to a call for a shorter lease may be lost, and the owner then relies on the longer one.
    """
    deadlines = controller.lock_expiry.deadlines
    end = txn.now + controller.lock_expiry.expiry_delay(lease_ms)
    deadlines[name] = max(deadlines.get(name, txn.now), end)


def _refuse_if_owned_by_another(
    controller: controller_part.ControlNode,
    txn: transactions.Transaction,
    name: str,
    row: LockRow | None,
    owner: str,
    is_held: bool,
):
    if row is not None and is_held and row['holder'] != owner:
        remaining_ms = durations.to_ms(controller.lock_expiry.deadlines[name] - txn.now)
        retry_ms = max(MIN_RETRY_MS, min(remaining_ms, MAX_RETRY_MS))
        raise errors.ConflictError('held by another', holder=row['holder'], retry_ms=retry_ms)


def _release(
    controller: controller_part.ControlNode,
    txn: transactions.Transaction,
    name: str,
    row: LockRow | None,
    owner: str,
    is_newest: bool,
) -> replies.Result:
    """Release a lock if the caller owns it and names its newest acquisition."""
    if row is None or row['holder'] != owner or not is_newest:
        return replies.ok(freed=False)
    txn.drop(TABLE, name)
    controller.lock_expiry.deadlines.pop(name, None)
    return replies.ok(freed=True)
