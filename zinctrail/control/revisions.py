"""The revision counter that the locks and the keys share: fencing tokens and revisions of keys come from it.

It is a row of table `numbers`. Names with a leading slash are reserved, so no
counter of an application can collide with it.
"""

import zinctrail.consensus.transactions as transactions

COUNTERS_TABLE = 'numbers'
REVISION_ROW = '/rev'
# No event at or below this revision is kept any more.
COMPACTED_ROW = '/floor'
# Where all counters and revisions begin after a recovery, above any that was given out before; absent otherwise.
BASE_ROW = '/base'


def current(txn: transactions.Transaction) -> int:
    """The newest revision that was given out."""
    return txn.get(COUNTERS_TABLE, REVISION_ROW) or 0


def advance(txn: transactions.Transaction) -> int:
    """A new revision, above all that were given out before.

    The version of the replicated state would not do: one version may hold many
    writes, and each needs a revision of its own.
    """
    revision = current(txn) + 1
    txn.put(COUNTERS_TABLE, REVISION_ROW, revision)
    return revision


def compacted_revision(txn: transactions.Transaction) -> int:
    """The revision up to which events were dropped."""
    return txn.get(COUNTERS_TABLE, COMPACTED_ROW) or 0


def raise_compacted_revision(txn: transactions.Transaction, revision: int) -> None:
    """Note that the event of a revision was dropped."""
    txn.put(COUNTERS_TABLE, COMPACTED_ROW, max(compacted_revision(txn), revision))


def base(txn: transactions.Transaction) -> int:
    """The value from which a counter or a group's revision starts."""
    return txn.get(COUNTERS_TABLE, BASE_ROW) or 0
