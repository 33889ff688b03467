"""Retention of rows of the replicated state that are dropped after a number of epochs."""

import zinctrail.consensus.transactions as transactions
import zinctrail.control.keys as keys
import zinctrail.control.registers as registers
import zinctrail.control.revisions as revisions

# The tombstones of removed incarnations: {incarnation: epoch of its removal}.
TOMBSTONES_TABLE = 'goners'
# An hour: an endpoint may be partitioned for long and keep sending heartbeats.
TOMBSTONE_EPOCHS = 360
# Tables whose rows have a field `epoch`.
RESULTS_TABLE, CLAIMS_TABLE = 'done', 'claims'


def drop_expired(txn: transactions.Transaction, epoch: int, epochs_kept: int) -> None:
    """Drop the rows whose retention has ended when an epoch starts, and record how far the histories reach back."""
    newest_expired = epoch - epochs_kept
    for table in (RESULTS_TABLE, keys.EVENTS_TABLE, CLAIMS_TABLE):
        for key, row in txn.items(table).items():
            if row['epoch'] <= newest_expired:
                txn.drop(table, key)
                if table == keys.EVENTS_TABLE:
                    revisions.raise_compacted_revision(txn, row['rev'])
    for key, row in txn.items(registers.CHANGES_TABLE).items():
        if row['epoch'] <= newest_expired:
            txn.drop(registers.CHANGES_TABLE, key)
            group = key.rpartition('/')[0]
            oldest = txn.get(registers.COMPACTED_TABLE, group) or 0
            txn.put(registers.COMPACTED_TABLE, group, max(oldest, row['rev']))
    for incarnation, declared_in in txn.items(TOMBSTONES_TABLE).items():
        if declared_in <= epoch - TOMBSTONE_EPOCHS:
            txn.drop(TOMBSTONES_TABLE, incarnation)
