"""Coordination primitives for applications: locks, counters, keys, registers and watches.

`OPERATIONS` is the registry: it maps an operation's name on the wire and in the
HTTP API (`lock.take` is POST /v1/lock/take) to the function that carries it out:
function(controller, transaction, arguments) -> result. The leader runs
operations serially.
"""

import json
import typing
import zlib

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.counters as counters
import zinctrail.control.keys as keys
import zinctrail.control.locks as locks
import zinctrail.control.registers as registers
import zinctrail.control.replies as replies
import zinctrail.control.retention as retention
import zinctrail.errors as errors

# A function that carries out an operation; it raises CallError to refuse it.
OperationFunction = typing.Callable[[controller_part.ControlNode, transactions.Transaction, dict], replies.Result]


class Operation(typing.NamedTuple):
    """An entry of the registry."""

    function: OperationFunction
    # Whether calls carry an id under which the result is stored, so that a retry has no further effect.
    has_id: bool = False


OPERATIONS = {
    'lock.take': Operation(locks.take),
    'lock.free': Operation(locks.free),
    'lock.get': Operation(locks.get),
    'number.next': Operation(counters.next_number, has_id=True),
    'key.get': Operation(keys.get),
    'key.put': Operation(keys.put, has_id=True),
    'key.drop': Operation(keys.remove, has_id=True),
    'key.watch': Operation(keys.watch),
    # For callers without ids: a retry is recognized by the owner's name or by a unique value.
    'lock.hold': Operation(locks.hold),
    'lock.renew': Operation(locks.renew),
    'lock.yield': Operation(locks.yield_),
    'number.step': Operation(counters.step),
    'cell.put': Operation(registers.put),
    'cell.get': Operation(registers.get),
    'cell.watch': Operation(registers.watch),
}


class ResultRow(typing.TypedDict):
    """A row of table `done`, keyed by the call's id: a stored result."""

    # The operation's name.
    op: str
    # A checksum of the arguments; absent in states written by earlier releases.
    of: int
    result: replies.Result
    # The epoch in which the operation was carried out; the row is dropped `epochs_kept` epochs later.
    epoch: int


def run(
    controller: controller_part.ControlNode, txn: transactions.Transaction, name: str, args: dict
) -> replies.Result:
    """Carry out an operation; one that has ids only once per id."""
    operation = OPERATIONS[name]
    if operation.has_id:
        return run_once(controller, txn, name, args, operation.function)
    return operation.function(controller, txn, args)


def run_once(
    controller: controller_part.ControlNode,
    txn: transactions.Transaction,
    name: str,
    args: dict,
    function: OperationFunction,
) -> replies.Result:
    """Carry out an operation once per id: return the stored result if the id was used before.

    An id is EPOCH.UNIQUE. By the epoch a delayed copy of a call is refused even after
    its stored result was dropped. 409 if the id was used with other arguments.
    """
    call_id = arguments.text(args, 'id')
    stored = txn.get(retention.RESULTS_TABLE, call_id)
    checksum = zlib.crc32(json.dumps(args, sort_keys=True).encode())
    if stored is not None:
        if stored['op'] != name or stored.get('of', checksum) != checksum:
            raise errors.ConflictError('this id was used for another operation')
        return stored['result']
    epoch = txn.get('meta', 'epoch') or 0
    id_epoch = arguments.epoch_number(call_id.split('.', 1)[0])
    if id_epoch is None or not epoch - controller.settings.epochs_kept < id_epoch <= epoch:
        raise errors.BadRequestError(f'id must begin with an epoch in use (now {epoch}) and a dot', epoch=epoch)
    result = function(controller, txn, args)
    row: ResultRow = {'op': name, 'of': checksum, 'result': result, 'epoch': epoch}
    txn.put(retention.RESULTS_TABLE, call_id, row)
    return result
