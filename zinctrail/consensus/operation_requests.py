"""The client's side of operations: this node's requests to the leader, retried until their results arrive."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.messages as messages
import zinctrail.consensus.results as results
import zinctrail.runtime.durations as durations

# How long an operation waits while no leader is known: the time of an election.
ELECTION_WAIT = durations.ms(600)
# An operation without a result is sent again after this time.
RESEND = durations.ms(500)
# Pending operations are checked at least this often.
TICK = durations.ms(100)
RETRY_MS = 300

NO_RESULT_IN_TIME = 'no outcome from the master in time'
NO_LEADER_KNOWN: results.OperationResult = {
    'status': 503,
    'unknown': False,
    'fault': 'no master is known here',
    'retry_ms': RETRY_MS,
}

Callback = typing.Callable[[dict[str, typing.Any]], typing.Any]


@dataclasses.dataclass(slots=True)
class PendingOperation:
    """An operation whose result has not been received."""

    operation: str
    arguments: dict[str, typing.Any]
    callback: Callback
    deadline: datetime.timedelta
    # When the operation was first and last sent to a leader, and how many times.
    first_sent_at: datetime.timedelta | None = None
    sent_at: datetime.timedelta = durations.ZERO
    sends: int = 0
    # The term of the first leader that the operation was sent to.
    first_term: int | None = None

    def complete(self, result: dict[str, typing.Any], sends_covered: int):
        """Give the result, which applies to `sends_covered` of the copies that were sent, to the caller.

        If one copy was refused, but another may have been carried out or may still be, the outcome is unknown.
        """
        if result['status'] in results.REFUSAL_STATUSES and self.sends > sends_covered:
            result = dict(results.LOST)
        self.callback(result)


class OperationRequests:
    """Requests operations of the leader. A mixin of Member."""

    # How long an operation waits while no leader is known.
    election_wait = ELECTION_WAIT
    # Whether requests name the last heartbeat round that this node received.
    sends_last_round = True

    def __init__(self, rng):
        super().__init__(rng)
        # {request key: operation}
        self.pending_operations: dict[str, PendingOperation] = {}
        self.operation_number = 0
        # Distinguishes this run of the process from earlier runs with the same node id.
        self.incarnation = ''

    def request_operation(
        self,
        operation: str,
        arguments: dict[str, typing.Any],
        callback: Callback,
        wait: datetime.timedelta | None = None,
    ):
        """Have the leader carry out an operation; callback(result) is called exactly once, whatever happens."""
        self.operation_number += 1
        # A node keeps its id over restarts, and operations of an earlier run must not be mistaken for those of this one.
        self.incarnation = self.incarnation or f'{self.rng.getrandbits(48):x}'
        key = f'{self.incarnation}.{self.operation_number}'
        deadline = self.now + (wait or self.settings.call)
        self.pending_operations[key] = PendingOperation(operation, arguments, callback, deadline)
        self.send_operation(key)
        self.timer_operations()

    def send_operation(self, key: str):
        """Send an operation to the leader, if there is one.

        The request names the newest heartbeat round received. It stands for a
        time, by the leader's own clock, at which the caller still waited, so the
        leader recognizes a frame that was delayed on its way. Nothing is sent
        before a heartbeat round of this leader was received.
        """
        if not self.leader or (self.sends_last_round and not self.heartbeats_received):
            return
        pending = self.pending_operations[key]
        pending.sent_at = self.now
        pending.first_sent_at = pending.first_sent_at or self.now
        pending.sends += 1
        pending.first_term = pending.first_term or self.term
        last_round = [self.term, next(reversed(self.heartbeats_received))] if self.sends_last_round else None
        self.send_message(
            self.leader['addr'],
            messages.OperationRequest(
                key=key,
                operation=pending.operation,
                arguments=pending.arguments,
                last_round=last_round,
                first_term=pending.first_term if pending.first_term != self.term else None,
            ),
        )

    def cancel_operation(self, callback: Callback):
        """Drop the operation of a caller that no longer waits for the result: no further leader is sent it."""
        for key in [key for key, pending in self.pending_operations.items() if pending.callback is callback]:
            del self.pending_operations[key]

    def retry_operations(self):
        """Send all pending operations to the present leader.

        This is safe: a leader recognizes the operations of its own term by their
        keys, and the state recognizes most others by their content. A leader of a
        later term refuses the rest (zinctrail.consensus.operations).
        """
        for key in list(self.pending_operations):
            self.send_operation(key)

    def timer_operations(self):
        """Expire operations whose deadline has passed, and send the others again."""
        self.expire_operations()
        if not self.leader and self.now - self.leaderless_since >= self.election_wait:
            self.refuse_unsent_operations()
        for key in [key for key, pending in self.pending_operations.items() if self.now - pending.sent_at > RESEND]:
            self.send_operation(key)
        if self.pending_operations:
            earliest = min(pending.deadline for pending in self.pending_operations.values())
            self.set_timer('operations', min(TICK, earliest - self.now))

    def expire_operations(self):
        """Give callers whose deadline has passed a timeout; an operation never sent was certainly not carried out."""
        for pending in self._taken_out(lambda pending: pending.deadline <= self.now):
            pending.callback({'status': 504, 'unknown': pending.sends > 0, 'fault': NO_RESULT_IN_TIME})

    def _taken_out(self, condition: typing.Callable[[PendingOperation], bool]) -> typing.Iterator[PendingOperation]:
        """Remove the operations that meet a condition, one after another, and yield each once it is removed.

        A callback may request another operation, which goes through the pending ones as well, or cancel one. So each
        is looked up when its turn comes.
        """
        for key in [key for key, pending in self.pending_operations.items() if condition(pending)]:
            pending = self.pending_operations.pop(key, None)
            if pending is not None:
                yield pending

    def refuse_unsent_operations(self):
        """Refuse the operations that no leader was sent, so that callers can retry at other nodes.

        Other nodes may not be partitioned, and may find a leader sooner.
        """
        for pending in self._taken_out(lambda pending: not pending.sends):
            pending.callback(dict(NO_LEADER_KNOWN))

    def on_operation_response(self, message: messages.OperationResponse):
        """Give a received result to the caller that waits for it."""
        pending = self.pending_operations.get(message.key)
        if pending is None:
            return
        if pending.first_sent_at is not None:
            self.record_leader_received(pending.first_sent_at)
        if message.result.get('status') == results.NO_LEADER['status']:
            # The sender is no longer the leader; the operation is sent to the next leader once this node follows it.
            return
        if message.result.get('late') and not (self.leader and self.leader['id'] == message.sender.node):
            # Another node refused a copy that reached it; the response of the present leader is still to come.
            return
        del self.pending_operations[message.key]
        pending.complete(message.result, 1)
