"""Detects that a control node has lost contact with the majority, and responds to its callers meanwhile.

Callers wait about a second for a node before they turn to another one. A node that
cannot reach a majority responds sooner, so that they lose as little time as
possible: 503 if the operation was certainly not executed, 504 if it may have been.
It responds only once the loss of contact is established: an ordinary election is
not a loss of contact.
"""

import dataclasses
import datetime
import typing

import zinctrail.consensus.internal_errors as internal_errors
import zinctrail.consensus.operation_requests as operation_requests
import zinctrail.consensus.results as results
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

# A leader whose heartbeat round has had no quorum of responses for this long has lost its quorum. Well above a
# round trip between regions; below the second that callers wait.
ROUND_OVERDUE = durations.ms(500)
# How late a leader's heartbeat may be before its followers consider contact lost.
HEARTBEAT_OVERDUE = durations.ms(300)
# The number of heartbeat intervals that a call sent to the leader may wait for a response, or other proof that the
# leader received it: a link may have failed in one direction. A granted lease is such a proof, two heartbeats later.
RECEIPT_HEARTBEATS = 2
# A timer that fires this late shows that this process itself was suspended.
SUSPENSION_THRESHOLD = durations.ms(50)
# How long a node without a leader waits for an election before it refuses its callers.
ELECTION_OVERDUE = durations.ms(300)
RETRY_MS = 300
NO_MAJORITY: results.OperationResult = {
    'status': 503,
    'fault': 'out of touch with a majority',
    'retry_ms': RETRY_MS,
}

Arguments = dict[str, typing.Any]
Callback = typing.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """A call that this node, as leader, has not responded to yet."""

    operation: str
    callback: Callback


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredCall:
    """A call that came while contact was lost, deferred until it is served or refused shortly after."""

    operation: str
    arguments: Arguments
    callback: Callback


class ContactVoter(typing.Protocol):
    """The interface of the voter that MajorityContact uses."""

    now: datetime.timedelta
    settings: settings.Settings
    timers: dict[str, datetime.timedelta]
    mode: str
    leadership: 'leadership.Leadership | None'
    # How long it stays without a leader before it refuses its callers.
    election_wait: datetime.timedelta
    leaderless_since: datetime.timedelta
    leader_last_seen_at: datetime.timedelta
    heartbeats_received: dict[int, datetime.timedelta]
    pending_operations: dict[str, operation_requests.PendingOperation]
    # Records the unforeseen exceptions of operations.
    guard: internal_errors.Guard

    def serve(self, operation: str, arguments: Arguments, callback: Callback) -> None:
        """Execute an operation as leader; callback(result) is called exactly once."""

    def send_operation(self, key: str) -> None:
        """Send a pending operation to the leader, if a leader is known."""

    def is_watch(self, operation: str) -> bool:
        """True if the operation waits for events without a time limit."""

    def is_read_only(self, operation: str) -> bool:
        """True if the operation is known to be read-only."""


class MajorityContact:
    """Detects that a control node has lost contact with the majority, and responds to its callers then."""

    def __init__(self, voter: ContactVoter):
        self.voter = voter
        # The open calls of a leader, by number; each gets one response, the first that is available.
        self.open_calls: dict[int, OpenCall] = {}
        self.call_number = 0
        # The calls that came while contact was lost.
        self.deferred_calls: list[DeferredCall] = []
        # When the timer was due, and whether it was postponed because this process had been suspended.
        self.timer_due = durations.ZERO
        self.is_postponed = False
        # The leader is known to have received messages that we sent up to this time.
        self.received_until = durations.ZERO
        # When the oldest call that the leader seems not to have received was sent; None if there is none.
        self.unreceived_since: datetime.timedelta | None = None
        # When this node began to follow the current leader.
        self.followed_at = durations.ZERO

    # -- detection --------------------------------------------------------

    def is_lost(self) -> bool:
        """True if contact with the majority is lost."""
        voter = self.voter
        if voter.leadership:
            return self.is_round_overdue()
        if voter.mode == 'follower' and not voter.heartbeats_received:
            # The leader does not count this node as a member yet, so that no operation can be sent to it.
            return voter.now - self.followed_at >= voter.election_wait
        if voter.mode == 'follower':
            return (
                self.unreceived_since is not None
                or voter.now - voter.leader_last_seen_at >= voter.settings.check + HEARTBEAT_OVERDUE
            )
        return voter.now - voter.leaderless_since >= voter.election_wait

    def is_round_overdue(self) -> bool:
        """True if this node leads, and its heartbeat rounds show that it lost its quorum."""
        if not self.voter.leadership:
            return False
        heartbeats, now = self.voter.leadership.heartbeats, self.voter.now
        oldest = heartbeats.oldest_unconfirmed()
        if oldest is not None and now - oldest.started_at >= ROUND_OVERDUE:
            return True
        # A process that was suspended may have started no round for a long time.
        return now - heartbeats.quorum_at >= self.voter.settings.check + ROUND_OVERDUE

    def arm_timer(self):
        """Set the timer, unless it is set, to when contact counts as lost if no message comes until then."""
        if 'contact' not in self.voter.timers:
            self._set_timer(max(self._deadline(), self.voter.now + self.voter.settings.gather))

    def record_received(self, sent_at: datetime.timedelta):
        """Record that the leader has received what we sent at `sent_at`."""
        self.received_until = max(self.received_until, sent_at)
        if self.unreceived_since is not None and sent_at > self.unreceived_since:
            self.unreceived_since = None

    def _deadline(self) -> datetime.timedelta:
        voter = self.voter
        if voter.leadership:
            oldest = voter.leadership.heartbeats.oldest_unconfirmed()
            return (oldest.started_at if oldest else voter.now) + ROUND_OVERDUE
        if voter.mode == 'follower' and not voter.heartbeats_received:
            return self.followed_at + voter.election_wait
        if voter.mode == 'follower':
            return min(voter.leader_last_seen_at + voter.settings.check + HEARTBEAT_OVERDUE, self._receipt_deadline())
        return voter.leaderless_since + voter.election_wait

    def _receipt_deadline(self) -> datetime.timedelta:
        """Return when the oldest call without proof of receipt counts as not received by the leader."""
        return self._oldest_unreceived() + self.voter.settings.check * RECEIPT_HEARTBEATS

    def _oldest_unreceived(self) -> datetime.timedelta:
        """Return when the oldest call without proof of receipt was sent to the leader; now, if there is none."""
        sent = (pending.first_sent_at for pending in self.voter.pending_operations.values())
        return min((at for at in sent if at is not None and at > self.received_until), default=self.voter.now)

    def _set_timer(self, at: datetime.timedelta):
        self.timer_due = at
        self.voter.timers['contact'] = at

    def on_timer(self):
        """Respond to waiting callers if contact is lost, and serve or resend the deferred calls."""
        voter = self.voter
        if voter.now > self.timer_due + SUSPENSION_THRESHOLD and not self.is_postponed:
            # Messages received meanwhile are read first. The timer is postponed only once, or a busy process would
            # never respond.
            self.is_postponed = True
            self._set_timer(voter.now + voter.settings.gather)
            return
        self.is_postponed = False
        if voter.mode == 'follower' and voter.now >= self._receipt_deadline():
            self.unreceived_since = self._oldest_unreceived()
        if self.is_lost():
            self.respond_to_waiting_callers()
        self._release_deferred_calls()
        if voter.pending_operations or (voter.leadership and voter.leadership.heartbeats.oldest_unconfirmed()):
            self.arm_timer()

    # -- responses --------------------------------------------------------

    def respond_to_waiting_callers(self):
        """Respond to all waiting callers, as it is unknown when a majority will be reachable again."""
        if self.voter.leadership:
            self._refuse_unpublished(self.voter.leadership)
            self._respond_unknown()
        else:
            self._respond_to_pending_operations()

    def _refuse_unpublished(self, leadership: 'leadership.Leadership'):
        """Refuse the calls that were certainly not executed: reads, and changes never sent by this node."""
        self._refuse_deferred_calls()
        leadership.replication.refuse_callers()
        leadership.fenced_reads.refuse_all()

    def _refuse_deferred_calls(self):
        deferred, self.deferred_calls = self.deferred_calls, []
        for call in deferred:
            call.callback(results.NO_LEADER)

    def _respond_unknown(self):
        """Respond `unknown` to the open calls: their changes may still be committed, here or by a successor."""
        for number, call in list(self.open_calls.items()):
            # An earlier callback may have responded to this call already.
            if number in self.open_calls and not self.voter.is_watch(call.operation):
                del self.open_calls[number]
                call.callback(results.LOST)

    def _respond_to_pending_operations(self):
        """Respond to the calls of a node that does not lead; those never sent to a leader were certainly not executed."""
        waiting, self.voter.pending_operations = self.voter.pending_operations, {}
        for pending in waiting.values():
            if pending.sends and not self.voter.is_read_only(pending.operation):
                pending.callback(dict(results.LOST))
            else:
                pending.callback(dict(NO_MAJORITY, unknown=False))

    def _release_deferred_calls(self):
        deferred, self.deferred_calls = self.deferred_calls, []
        for call in deferred:
            self._serve(call.operation, call.arguments, call.callback)
        for key in [key for key, pending in self.voter.pending_operations.items() if not pending.sends]:
            self.voter.send_operation(key)

    # -- serving calls ----------------------------------------------------

    def serve_call(self, operation: str, arguments: Arguments, callback: Callback, waits_for_leader: bool = False):
        """Serve a call as leader.

        :param waits_for_leader: true if the caller retries at the next leader, so that it needs no response when this
            leader loses contact with its majority.
        """
        self.call_number += 1
        number = self.call_number
        if not waits_for_leader:
            self.open_calls[number] = OpenCall(operation, callback)

        def respond(result):
            if waits_for_leader:
                callback(result)
            elif self.open_calls.pop(number, None):
                callback(self._result_for_caller(result))

        if self.is_lost():
            # Deferred shortly: heartbeat responses of other nodes may be queued behind this call.
            self.deferred_calls.append(DeferredCall(operation, arguments, respond))
            voter = self.voter
            self._set_timer(min(voter.timers.get('contact', voter.now), voter.now) + voter.settings.gather)
        else:
            self._serve(operation, arguments, respond)

    def _serve(self, operation: str, arguments: Arguments, callback: Callback):
        """Execute an operation; if that fails before anything was proposed, the caller gets 500, and nobody retries it."""
        failure = self.voter.guard.run(f'operation {operation:.40}', self.voter.serve, operation, arguments, callback)
        if failure is not None:
            callback(failure)

    def _result_for_caller(self, result: results.OperationResult) -> results.OperationResult:
        """Return the result for the caller: a refusal for want of a leader, while we lead, means a lost majority."""
        if result['status'] != results.NO_LEADER['status'] or not self.voter.leadership:
            return result
        return results.LOST if result.get('unknown') else NO_MAJORITY

    # -- leader changes ---------------------------------------------------

    def leader_changed(self):
        """Handle a change of the leader that this node follows."""
        self.unreceived_since = None
        self.received_until = durations.ZERO
        self.followed_at = self.voter.now
        for pending in self.voter.pending_operations.values():
            if pending.sends:
                # Proof of receipt is due from the new leader, to which the operation is sent now.
                pending.first_sent_at = self.voter.now

    def leader_lost(self):
        """Restart the timer for pending calls, which may wait for one election from now."""
        self.voter.timers.pop('contact', None)
        if self.voter.pending_operations:
            self.arm_timer()

    def leadership_ended(self):
        """Refuse the deferred calls, which were never started, as this node no longer leads."""
        self._refuse_deferred_calls()
        self.leader_lost()
