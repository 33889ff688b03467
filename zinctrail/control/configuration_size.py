"""The size of the configuration items in force, which is bounded so that they can be read in one piece.

Each process holds all items, and a read of the configuration returns them in
one frame and one response.
"""

import json
import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.errors as errors

ITEMS_TABLE = 'items'


class ConfigurationSize:
    """Follows the size of the items while one leader changes them, and refuses changes that make them too large."""

    def __init__(self) -> None:
        # The term in which the size was added up, and the encoded size of all items since, in bytes.
        self.term = 0
        self.size = 0

    def check(self, txn: transactions.Transaction, max_bytes: int) -> None:
        """Count what the running task has changed.

        Raises TooLargeError if it makes the items larger than `max_bytes`. A
        change that leaves them no larger than before is allowed, so that a
        configuration that an earlier release accepted can be shrunk.
        """
        changed = txn.changed_by_task(ITEMS_TABLE)
        before = self._size_before(txn, changed)
        after = before + sum(_size(change.new) - _size(change.old) for change in changed.values())
        if after > max(max_bytes, before):
            raise errors.TooLargeError(f'the configuration would have {after} bytes, of {max_bytes} at most')
        self.size = after

    def _size_before(self, txn: transactions.Transaction, changed: typing.Mapping[str, transactions.RowChange]) -> int:
        """Return the size before the running task; in a new term it is added up, since another node led before."""
        if txn.version[0] != self.term:
            items = txn.items(ITEMS_TABLE)
            items.update((key, change.old) for key, change in changed.items())
            self.size = sum(map(_size, items.values()))
            self.term = txn.version[0]
        return self.size


def _size(item: typing.Any) -> int:
    if item is None or item['row'] is None:
        return 0
    return len(json.dumps(item['row'], separators=(',', ':')))
