"""The operations that a leader does, for its own callers and for those of other members.

HANDLERS is the registry of all but those of coordination: for each operation,
the method of the controller's parts that carries it out. How operations reach
the leader, each of them once: zinctrail/consensus/operations.py.
"""

import typing

import zinctrail.control.controller_part as controller_part
import zinctrail.control.coordination as coordination
import zinctrail.control.replies as replies
import zinctrail.control.watches as watches
import zinctrail.errors as errors

# The operations that change nothing, however often they are done.
READS = (
    *watches.OPERATIONS,
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

# The operations that the state recognizes only by an id, which members of earlier releases don't send: without one, a
# late copy would undo what others ordered since. The others are recognized by an id (key.put, key.drop, number.next,
# config.apply, claim, close), by a version or number that rises (items.apply, beat), by a fencing token or an
# acquisition (lock.free, lock.renew, lock.yield), by their owner (lock.take, lock.hold), by their value (cell.put), or
# are final (leave); number.step leaves a gap.
RECOGNIZED_BY_ID = ('cell.empty',)

# Carries out an operation with its arguments; raises CallError, or calls back once with the result.
Handler = typing.Callable[[dict, replies.Callback], None]

HANDLERS: dict[str, typing.Callable[[controller_part.ControlNode], Handler]] = {
    'beat': lambda controller: controller.endpoint_registry.serve_heartbeat,
    'leave': lambda controller: controller.endpoint_registry.serve_leave,
    'items.apply': lambda controller: controller.configuration_changes.serve_items,
    'items.get': lambda controller: controller.configuration_changes.serve_items_get,
    'cell.empty': lambda controller: controller.evacuation_service.serve_evacuation,
    'cell.order': lambda controller: controller.evacuation_service.serve_number,
    'config.apply': lambda controller: controller.configuration_changes.serve_apply,
    'config.get': lambda controller: controller.configuration_changes.serve_get,
    'config.check': lambda controller: controller.configuration_changes.serve_check,
    'status': lambda controller: controller.cluster_status.serve_status,
    'claim': lambda controller: controller.claim_service.serve_claim,
    'close': lambda controller: controller.claim_service.serve_close,
}


class LeaderOperations:
    """Mixed into the controller: does operations, and tells how they may be retried."""

    def serve(self: controller_part.ControlNode, operation: str, args: dict, callback: replies.Callback) -> None:
        """Do an operation; `callback` gets its result, also if it is refused."""
        try:
            if operation in HANDLERS:
                HANDLERS[operation](self)(args, callback)
            elif operation in coordination.OPERATIONS:
                _serve_coordination(self, operation, args, callback)
            else:
                raise errors.NotFoundError(f'no operation {operation}')
        except errors.CallError as error:
            callback(error.to_result())

    # -- for consensus.operations and consensus.majority_contact ----------

    def has_effects(self, operation: str) -> bool:
        """Whether doing an operation twice may differ from doing it once."""
        return operation not in READS

    def is_watch(self, operation: str) -> bool:
        """Whether an operation waits for events."""
        return operation in watches.OPERATIONS

    def only_reads(self, operation: str) -> bool:
        """Whether an operation certainly changes nothing."""
        # A heartbeat may register an endpoint.
        return operation in READS and operation != 'beat'

    def is_retryable(self, operation: str, args: dict) -> bool:
        """Whether the state recognizes a retry of an operation, whatever others did in between."""
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
