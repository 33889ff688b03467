"""The revision counter shared by locks and keys, from which fencing tokens and revisions of keys are taken.

It is a row of table `numbers`. Names with a leading slash are reserved, so that
no counter of an application collides with it.
"""

import zinctrail.consensus.transactions as transactions

COUNTERS_TABLE = 'numbers'
REVISION_ROW = '/rev'
# The compacted revision: events up to and including it were dropped.
COMPACTED_ROW = '/floor'
# The start of all counters and revisions after a recovery, above all that were assigned before; absent otherwise.
BASE_ROW = '/base'


def current(txn: transactions.Transaction) -> int:
    """Return the newest assigned revision."""
    return txn.get(COUNTERS_TABLE, REVISION_ROW) or 0


def advance(txn: transactions.Transaction) -> int:
    """Assign a new revision, above all earlier ones.

    The version of the replicated state cannot serve as revision: one version may
    contain many writes, and each needs its own revision.
    """
    revision = current(txn) + 1
    txn.put(COUNTERS_TABLE, REVISION_ROW, revision)
    return revision


def compacted_revision(txn: transactions.Transaction) -> int:
    """Return the revision up to which events were dropped."""
    return txn.get(COUNTERS_TABLE, COMPACTED_ROW) or 0


def raise_compacted_revision(txn: transactions.Transaction, revision: int) -> None:
    """Record that the event of a revision was dropped."""
    txn.put(COUNTERS_TABLE, COMPACTED_ROW, max(compacted_revision(txn), revision))


def base(txn: transactions.Transaction) -> int:
    """Return the value from which a counter or a group's revision starts."""
    return txn.get(COUNTERS_TABLE, BASE_ROW) or 0
