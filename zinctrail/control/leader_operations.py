"""The operations that the leader carries out, for its own callers and those of other members.

HANDLERS is the registry of all operations except those of coordination: it maps
each to the method of a controller part that carries it out. How operations are
delivered to the leader once each: zinctrail/consensus/operations.py.
"""

import typing

import zinctrail.control.controller_part as controller_part
import zinctrail.control.coordination as coordination
import zinctrail.control.replies as replies
import zinctrail.control.watch_calls as watch_calls
import zinctrail.control.watches as watches
import zinctrail.errors as errors

# The operations that may be carried out any number of times without a further effect: reads, watches and heartbeats.
READS = (
    *watches.OPERATIONS,
    watch_calls.CANCEL_OPERATION,
    'key.get',
    'cell.get',
    'lock.get',
    'status',
    'config.get',
    'config.check',
    'items.get',
    'cell.order',
    'beat',
)

# The operations of which a retry is recognized only by an id, which members of earlier releases don't send: without
# one, a delayed copy would undo later commands of others. Retries of the other operations are recognized by an id
# (key.put, key.drop, number.next, config.apply, claim, close), by an increasing version or number (items.apply, beat),
# by a fencing token or an acquisition (lock.free, lock.renew, lock.yield), by their owner (lock.take, lock.hold), or by
# their value (cell.put); leave is final, and a retry of number.step leaves a gap.
RECOGNIZED_BY_ID = ('cell.empty',)

# Carries out an operation with its arguments; raises CallError, or calls the callback once with the result.
Handler = typing.Callable[[dict, replies.Callback], None]

HANDLERS: dict[str, typing.Callable[[controller_part.ControlNode], Handler]] = {
    'beat': lambda controller: controller.endpoint_registry.serve_heartbeat,
    'leave': lambda controller: controller.endpoint_registry.serve_leave,
    'items.apply': lambda controller: controller.configuration_changes.serve_items,
    'items.get': lambda controller: controller.configuration_changes.serve_items_get,
    'cell.empty': lambda controller: controller.evacuation_service.serve_evacuation,
    'cell.order': lambda controller: controller.evacuation_service.serve_command_number,
    'config.apply': lambda controller: controller.configuration_changes.serve_apply,
    'config.get': lambda controller: controller.configuration_changes.serve_get,
    'config.check': lambda controller: controller.configuration_changes.serve_check,
    'status': lambda controller: controller.cluster_status.serve_status,
    'claim': lambda controller: controller.claim_service.serve_claim,
    'close': lambda controller: controller.claim_service.serve_close,
    watch_calls.CANCEL_OPERATION: lambda controller: controller.watches.serve_cancel,
}


class LeaderOperations:
    """A mixin of the controller that carries out operations, and classifies them for retries."""

    def serve(self: controller_part.ControlNode, operation: str, args: dict, callback: replies.Callback) -> None:
        """Carry out an operation; `callback` gets its result, or its refusal."""
        try:
            if operation in HANDLERS:
                HANDLERS[operation](self)(args, callback)
            elif operation in coordination.OPERATIONS:
                _serve_coordination(self, operation, args, callback)
            else:
                raise errors.NotFoundError(f'no operation {operation}')
        except errors.CallError as error:
            callback(error.to_result())

    # -- used by consensus.operations and consensus.majority_contact ------

    def has_effects(self, operation: str) -> bool:
        """True if carrying out an operation twice may differ from carrying it out once."""
        return operation not in READS

    def is_watch(self, operation: str) -> bool:
        """True if an operation waits for events."""
        return operation in watches.OPERATIONS

    def is_read_only(self, operation: str) -> bool:
        """True if an operation certainly changes nothing."""
        # A heartbeat may register an endpoint.
        return operation in READS and operation != 'beat'

    def is_retryable(self, operation: str, args: dict) -> bool:
        """True if a retry of an operation is recognized by the state, regardless of operations of others in between."""
        return operation not in RECOGNIZED_BY_ID or 'id' in args


def _serve_coordination(
    controller: controller_part.ControlNode, operation: str, args: dict, callback: replies.Callback
) -> None:
    if operation in watches.OPERATIONS:
        controller.watches.serve(operation, args, callback)
    elif operation in READS:
        controller.read(lambda view: coordination.run(controller, view, operation, args), callback)
    else:
        controller.submit(lambda txn: coordination.run(controller, txn, operation, args), callback, for_caller=True)
