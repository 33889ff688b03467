"""Expiry of locks: the leader's clock decides when an owner has certainly given its lock up.

Only the leader knows when a lease ends, so a new leader lets each lock that it
finds last a full lease from its own beginning. The operations: locks.py.
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
        # While this node leads: {lock: when its lease has certainly ended}.
        self.deadlines: dict[str, datetime.timedelta] = {}

    def start(self) -> None:
        """This node leads now: each lock that is held gets its full lease."""
        for name, row in self.controller.replica.whole_of(locks.TABLE).items():
            # The first versions of this leader may have acquired, renewed or released it already.
            if row is not None:
                self.deadlines.setdefault(name, self.controller.now + self.expiry_delay(row['lease_ms']))

    def stop(self) -> None:
        """This node leads no more: what it knew must not count once it leads again, after another leader."""
        self.deadlines = {}

    def expiry_delay(self, lease_ms: float) -> datetime.timedelta:
        """How long a lock is kept for its owner: longer than its lease, as the owner's clock may be slower."""
        return durations.ms(lease_ms) * (1 + self.controller.settings.slack)

    def drop_expired(self) -> None:
        """Drop the rows of all locks whose lease has ended."""
        for name in [name for name, deadline in self.deadlines.items() if deadline <= self.controller.now]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        def drop(txn: transactions.Transaction) -> replies.Result:
            # A renewal may have come before this transaction.
            if name in self.deadlines and self.deadlines[name] <= txn.now:
                self.deadlines.pop(name, None)
                txn.drop(locks.TABLE, name)
            return replies.ok()

        self.controller.submit(drop, controller_part.ignore_result)
