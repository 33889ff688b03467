"""Whether a control node is in touch with a majority, and what its callers are told while it isn't.

Callers give a node about a second before they turn to another one. A node that
can't reach a majority answers them sooner, so that they lose as little as
possible: 503 for what surely wasn't done, 504 for what may have been. It answers
after it noticed, and never by a guess: an ordinary election doesn't count.
"""

import dataclasses
import datetime
import typing

import zinctrail.consensus.operation_requests as operation_requests
import zinctrail.consensus.results as results
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

# A heartbeat round that no quorum answered for so long means that the leader lost its quorum. Well above a
# round trip between regions; below the second that callers wait.
ROUND_OVERDUE = durations.ms(500)
# How late a leader's heartbeat may be before its followers stop relying on it.
HEARTBEAT_OVERDUE = durations.ms(300)
# How many heartbeats long a call put to the leader may stay unanswered, while nothing else shows either that the
# leader received it: a link may have failed in one direction. A lease granted shows it, two heartbeats later.
ANSWER_HEARTBEATS = 2
# A timer that fires so late shows that this process itself stood still.
STOOD_STILL = durations.ms(50)
# How long a node without a leader waits for an election before it refuses its callers.
ELECTION_OVERDUE = durations.ms(300)
RETRY_MS = 300
NO_CONTACT: results.OperationResult = {
    'status': 503,
    'fault': 'out of touch with a majority',
    'retry_ms': RETRY_MS,
}

Arguments = dict[str, typing.Any]
Callback = typing.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """A call that a leader works on."""

    operation: str
    callback: Callback


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredCall:
    """A call that came while contact was lost, and is served or refused a moment later."""

    operation: str
    arguments: Arguments
    callback: Callback


class ContactVoter(typing.Protocol):
    """What MajorityContact needs of the voter that it belongs to."""

    now: datetime.timedelta
    settings: settings.Settings
    timers: dict[str, datetime.timedelta]
    mode: str
    leadership: 'leadership.Leadership | None'
    # How long it waits without a leader before it refuses its callers.
    election_wait: datetime.timedelta
    leaderless_since: datetime.timedelta
    leader_heard_at: datetime.timedelta
    heartbeats_received: dict[int, datetime.timedelta]
    pending_operations: dict[str, operation_requests.PendingOperation]

    def serve(self, operation: str, arguments: Arguments, callback: Callback) -> None:
        """Carry out an operation as leader; callback(result) comes once."""

    def send_operation(self, key: str) -> None:
        """Send a pending operation to the leader, if there is one."""

    def is_watch(self, operation: str) -> bool:
        """Whether an operation waits for events, however long that takes."""

    def only_reads(self, operation: str) -> bool:
        """Whether an operation surely changes nothing."""


class MajorityContact:
    """Notices that a control node is out of touch with a majority, and answers its callers then."""

    def __init__(self, voter: ContactVoter):
        self.voter = voter
        # Calls a leader works on, by number; each is answered once, whoever comes first.
        self.open_calls: dict[int, OpenCall] = {}
        self.call_number = 0
        # Calls that came while contact was lost.
        self.deferred_calls: list[DeferredCall] = []
        # When the timer was meant to fire, and whether it was put off because this process had stood still.
        self.timer_due = durations.ZERO
        self.is_postponed = False
        # Up to when the leader is known to have received what we sent.
        self.received_until = durations.ZERO
        # When the call was put that the leader seems not to have received.
        self.unreceived_since: datetime.timedelta | None = None
        # Since when the present leader is followed.
        self.followed_at = durations.ZERO

    # -- noticing ---------------------------------------------------------

    def is_lost(self) -> bool:
        """Whether no majority is known to be reached any more."""
        voter = self.voter
        if voter.leadership:
            return self.is_round_overdue()
        if voter.mode == 'follower' and not voter.heartbeats_received:
            # It follows a leader that does not count it as a member yet, and can ask it nothing.
            return voter.now - self.followed_at >= voter.election_wait
        if voter.mode == 'follower':
            return (
                self.unreceived_since is not None
                or voter.now - voter.leader_heard_at >= voter.settings.check + HEARTBEAT_OVERDUE
            )
        return voter.now - voter.leaderless_since >= voter.election_wait

    def is_round_overdue(self) -> bool:
        """Whether this node leads, and its heartbeat rounds show that it lost its quorum."""
        if not self.voter.leadership:
            return False
        heartbeats, now = self.voter.leadership.heartbeats, self.voter.now
        oldest = heartbeats.oldest_unconfirmed()
        if oldest is not None and now - oldest.started_at >= ROUND_OVERDUE:
            return True
        # A process that was suspended may have begun no round for a long time.
        return now - heartbeats.quorum_at >= self.voter.settings.check + ROUND_OVERDUE

    def watch(self):
        """Have the timer fire when contact would be found lost, if nothing is heard until then."""
        if 'contact' not in self.voter.timers:
            self._set_timer(max(self._deadline(), self.voter.now + self.voter.settings.gather))

    def note_received(self, sent_at: datetime.timedelta):
        """The leader is known to have received what we sent at `sent_at`."""
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
            return min(voter.leader_heard_at + voter.settings.check + HEARTBEAT_OVERDUE, self._answer_deadline())
        return voter.leaderless_since + voter.election_wait

    def _answer_deadline(self) -> datetime.timedelta:
        """When the oldest call that the leader leaves unanswered counts as not received."""
        return self._oldest_unreceived() + self.voter.settings.check * ANSWER_HEARTBEATS

    def _oldest_unreceived(self) -> datetime.timedelta:
        """When the oldest call was put of which nothing shows that the leader received it; now, if there is none."""
        put = (pending.first_sent_at for pending in self.voter.pending_operations.values())
        return min((at for at in put if at is not None and at > self.received_until), default=self.voter.now)

    def _set_timer(self, at: datetime.timedelta):
        self.timer_due = at
        self.voter.timers['contact'] = at

    def on_timer(self):
        """Answer the callers if contact is lost, and serve them if it is there again."""
        voter = self.voter
        if voter.now > self.timer_due + STOOD_STILL and not self.is_postponed:
            # What was sent to it meanwhile is read first; but once only, or a busy process would never answer.
            self.is_postponed = True
            self._set_timer(voter.now + voter.settings.gather)
            return
        self.is_postponed = False
        if voter.mode == 'follower' and voter.now >= self._answer_deadline():
            self.unreceived_since = self._oldest_unreceived()
        if self.is_lost():
            self.answer_waiting_callers()
        self._release_deferred_calls()
        if voter.pending_operations or (voter.leadership and voter.leadership.heartbeats.oldest_unconfirmed()):
            self.watch()

    # -- answering --------------------------------------------------------

    def answer_waiting_callers(self):
        """Answer all callers that wait: nobody knows when a majority will be reached again."""
        if self.voter.leadership:
            self._refuse_unpublished(self.voter.leadership)
            self._answer_unknown()
        else:
            self._answer_pending_operations()

    def _refuse_unpublished(self, leadership: 'leadership.Leadership'):
        """Refuse what surely wasn't done: reads, and changes that never left this node."""
        self._refuse_deferred_calls()
        leadership.replication.refuse_callers()
        leadership.fenced_reads.refuse_all()

    def _refuse_deferred_calls(self):
        deferred, self.deferred_calls = self.deferred_calls, []
        for call in deferred:
            call.callback(results.NO_LEADER)

    def _answer_unknown(self):
        """What is published may still be committed, here or by a successor."""
        for number, call in list(self.open_calls.items()):
            # A callback before this one may have answered it.
            if number in self.open_calls and not self.voter.is_watch(call.operation):
                del self.open_calls[number]
                call.callback(results.LOST)

    def _answer_pending_operations(self):
        """As a node that isn't leader: what was never put to a leader surely wasn't done."""
        waiting, self.voter.pending_operations = self.voter.pending_operations, {}
        for pending in waiting.values():
            if pending.sends and not self.voter.only_reads(pending.operation):
                pending.callback(dict(results.LOST))
            else:
                pending.callback(dict(NO_CONTACT, unknown=False))

    def _release_deferred_calls(self):
        deferred, self.deferred_calls = self.deferred_calls, []
        for call in deferred:
            self.voter.serve(call.operation, call.arguments, call.callback)
        for key in [key for key, pending in self.voter.pending_operations.items() if not pending.sends]:
            self.voter.send_operation(key)

    # -- the calls themselves ---------------------------------------------

    def serve_call(self, operation: str, arguments: Arguments, callback: Callback, waits_for_leader: bool = False):
        """Serve a call as leader. A `waits_for_leader` caller waits for the next leader by itself."""
        self.call_number += 1
        number = self.call_number
        if not waits_for_leader:
            self.open_calls[number] = OpenCall(operation, callback)

        def answered(result):
            if waits_for_leader:
                callback(result)
            elif self.open_calls.pop(number, None):
                callback(self._as_refused_to_callers(result))

        if self.is_lost():
            # Held for a moment: answers of the others may be waiting behind this call.
            self.deferred_calls.append(DeferredCall(operation, arguments, answered))
            voter = self.voter
            self._set_timer(min(voter.timers.get('contact', voter.now), voter.now) + voter.settings.gather)
        else:
            self.voter.serve(operation, arguments, answered)

    def _as_refused_to_callers(self, result: results.OperationResult) -> results.OperationResult:
        """A refusal by who is still leader means that it lost its majority."""
        if result['status'] != results.NO_LEADER['status'] or not self.voter.leadership:
            return result
        return results.LOST if result.get('unknown') else NO_CONTACT

    # -- changes of leaders -----------------------------------------------

    def leader_followed(self):
        """Another leader than before is followed from now on."""
        self.unreceived_since = None
        self.received_until = durations.ZERO
        self.followed_at = self.voter.now
        for pending in self.voter.pending_operations.values():
            if pending.sends:
                # It is put to another leader now.
                pending.first_sent_at = self.voter.now

    def leader_lost(self):
        """No leader is followed any more: what waits here has an election's time from now."""
        self.voter.timers.pop('contact', None)
        if self.voter.pending_operations:
            self.watch()

    def leadership_ended(self):
        """This node leads no more: what is still deferred was never begun."""
        self._refuse_deferred_calls()
        self.leader_lost()
