"""Counters for applications: each call returns a number above all earlier ones.

Table `numbers`: {name: the last number returned}.
"""

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.replies as replies
import zinctrail.control.revisions as revisions

TABLE = revisions.COUNTERS_TABLE
MAX_INCREMENT = 1000000


def next_number(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Increment a counter by `by` (default 1), once per id, and return it: `number.next` {name, by, id}."""
    return _increment(txn, arguments.text(args, 'name'), arguments.whole_number(args, 'by', 1, MAX_INCREMENT, 1))


def step(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Increment a counter by 1 and return it: `number.step` {name}. Without an id, a retry leaves a gap, as allowed."""
    return _increment(txn, arguments.text(args, 'name'), 1)


def _increment(txn: transactions.Transaction, name: str, increment: int) -> replies.Result:
    number = (txn.get(TABLE, name) or revisions.base(txn)) + increment
    txn.put(TABLE, name, number)
    return replies.ok(number=number)
