"""Expiry of locks: the leader's clock decides when an owner's lease has certainly ended.

Only the leader knows when a lease ends, so a new leader grants each existing lock
a full lease from the start of its leadership. The operations: locks.py.
"""

import datetime

import zinctrail.consensus.transactions as transactions
import zinctrail.control.controller_part as controller_part
import zinctrail.control.locks as locks
import zinctrail.control.replies as replies
import zinctrail.runtime.durations as durations


class LockExpiry(controller_part.ControllerPart):
    """Drops the rows of locks whose lease has ended."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        # While this node is the leader: {lock: when its lease has certainly ended}.
        self.deadlines: dict[str, datetime.timedelta] = {}

    def start(self) -> None:
        """Start as leader: each held lock gets its full lease."""
        for name, row in self.controller.replica.full_table(locks.TABLE).items():
            # The first versions of this leader may have acquired, renewed or released the lock already.
            if row is not None:
                self.deadlines.setdefault(name, self.controller.now + self.expiry_delay(row['lease_ms']))

    def stop(self) -> None:
        """Drop all deadlines when leadership is lost: they must not apply when this node leads again after another."""
        self.deadlines = {}

    def expiry_delay(self, lease_ms: float) -> datetime.timedelta:
        """Return how long a lock is reserved for its owner: longer than its lease, as the owner's clock may be slow."""
        return durations.ms(lease_ms) * (1 + self.controller.settings.slack)

    def drop_expired(self) -> None:
        """Drop the rows of all locks whose lease has ended."""
        for name in [name for name, deadline in self.deadlines.items() if deadline <= self.controller.now]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        def drop(txn: transactions.Transaction) -> replies.Result:
            # The lock may have been renewed before this transaction.
            if name in self.deadlines and self.deadlines[name] <= txn.now:
                self.deadlines.pop(name, None)
                txn.drop(locks.TABLE, name)
            return replies.ok()

        self.controller.submit(drop, controller_part.ignore_result)
