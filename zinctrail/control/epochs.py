"""Epochs: the leader's numbered time periods, by which the retention of claims, results and histories is counted."""

import datetime

import zinctrail.consensus.transactions as transactions
import zinctrail.control.controller_part as controller_part
import zinctrail.control.evacuations as evacuations
import zinctrail.control.replies as replies
import zinctrail.control.retention as retention
import zinctrail.control.version_contents as version_contents
import zinctrail.runtime.durations as durations


class Epochs(controller_part.ControllerPart):
    """Starts a new epoch periodically while this node is the leader."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        # When the current epoch began, as far as this leader knows.
        self.began_at: datetime.timedelta = durations.ZERO

    def start(self) -> None:
        """Start as leader. The age of the current epoch is unknown, so it gets its full duration."""
        self.began_at = self.controller.now

    def advance(self) -> None:
        """Start the next epoch once the current one is over, and drop the rows whose retention has ended."""
        controller = self.controller
        if controller.now - self.began_at < controller.settings.epoch and controller.replica.get('meta', 'epoch'):
            return
        self.began_at = controller.now

        def begin(txn: transactions.Transaction) -> replies.Result:
            epoch = (txn.get('meta', 'epoch') or 0) + 1
            txn.put('meta', 'epoch', epoch)
            retention.drop_expired(txn, epoch, controller.settings.epochs_kept)
            version_contents.trim(txn)
            evacuations.drop_old_ids(txn)
            controller.singleton_roles.place(txn)
            return replies.ok()

        controller.submit(begin, controller_part.ignore_result)
