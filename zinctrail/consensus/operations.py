"""The leader's side of operations that other members request: each is carried out at most once.

A request is retried while its caller waits, at the same leader and at the next
one, so a leader may receive several copies of it. Three mechanisms keep a copy
from taking effect a second time:

- A leader stores the results of its own term by the request's key, for longer
  than requests are retried; when it has too many, it refuses new operations.
- A request names the last heartbeat round that its sender received, and is
  refused once that round is older than any that a member in contact with the
  leader can name. A frame that was delayed on its way is thus never carried out
  later, whoever leads.
- An operation that an earlier leader may have carried out is carried out again
  only if the state recognizes it by its content (its id, version, fencing token
  or value). The result of any other operation is unknown.
"""

import collections
import dataclasses
import datetime
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.majority_contact as majority_contact
import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.messages as messages
import zinctrail.consensus.operation_requests as operation_requests
import zinctrail.consensus.peers as peers
import zinctrail.consensus.results as results
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

# For how long a leader stores a result, and how many results; an operation beyond that is not begun.
RESULT_RETENTION = durations.ms(10000)
MAX_RESULTS = 1 << 16

Arguments = dict[str, typing.Any]
Callback = typing.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RememberedResult:
    """The stored result of an operation, and when it was given."""

    given_at: datetime.timedelta
    result: results.OperationResult


class ServingVoter(typing.Protocol):
    """The interface of the voter that OperationService uses."""

    now: datetime.timedelta
    term: int
    settings: settings.Settings
    counts: dict[str, int]
    stopping: bool
    leadership: 'leadership.Leadership | None'
    majority_contact: majority_contact.MajorityContact
    pending_operations: dict[str, operation_requests.PendingOperation]

    @property
    def is_leader(self) -> bool:
        """True if this node considers itself the leader."""

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """Return the leader's records of the other members: {node: record}."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def has_effects(self, operation: str) -> bool:
        """True if executing an operation twice differs from executing it once."""

    def is_retryable(self, operation: str, arguments: Arguments) -> bool:
        """True if the operation may be executed again, even after other changes, with the effect of one execution."""


class OperationService:
    """Carries out operations on the leader."""

    def __init__(self, voter: ServingVoter):
        self.voter = voter
        # The keys of the requests that are being carried out.
        self.in_progress: set[str] = set()
        # The results of completed requests by key, the oldest first, for copies of a request that arrive later.
        self.results: collections.OrderedDict[str, RememberedResult] = collections.OrderedDict()

    def serve_waiting(self):
        """Carry out the operations that waited on this node for a leader, now that it is the leader itself."""
        waiting, self.voter.pending_operations = self.voter.pending_operations, {}
        for pending in waiting.values():
            if pending.first_term is not None and not self.voter.is_retryable(pending.operation, pending.arguments):
                pending.callback(dict(results.LOST))
            else:
                self._serve_pending(pending)

    def _serve_pending(self, pending: operation_requests.PendingOperation):
        self.voter.majority_contact.serve_call(
            pending.operation, pending.arguments, lambda result: pending.complete(result, 0)
        )

    def on_operation_request(self, message: messages.OperationRequest):
        """Carry out a requested operation, or respond to a copy of the request with the stored result."""
        key = message.key
        if not self.voter.is_leader or self.voter.stopping:
            self.send_result(message, results.NO_LEADER)
        elif key in self.in_progress:
            # Requests are retried while they are being carried out, which takes long for a watch.
            return
        elif key in self.results:
            self.send_result(message, self.results[key].result)
        elif self.is_outdated(message):
            # The refusal reaches a caller that still waits at once, and it may retry.
            self.voter.counts['late_asks'] += 1
            self.send_result(message, results.TOO_LATE)
        elif self.may_have_been_carried_out(message):
            self.send_result(message, results.LOST)
        elif self.voter.has_effects(message.operation) and not self.has_capacity():
            self.voter.counts['asks_without_room'] += 1
            self.send_result(message, results.OVERLOADED)
        else:
            self.carry_out(message)

    def send_result(self, message: messages.OperationRequest, result: results.OperationResult):
        """Send the result of a request to its sender."""
        self.voter.send_message(
            codec.sender_of(message).address, messages.OperationResponse(key=message.key, result=dict(result))
        )

    def may_have_been_carried_out(self, message: messages.OperationRequest) -> bool:
        """True if an earlier leader may have carried out the operation, and the state cannot tell whether it did."""
        return (
            message.first_term is not None
            and message.first_term < self.voter.term
            and not self.voter.is_retryable(message.operation, message.arguments)
        )

    def carry_out(self, message: messages.OperationRequest):
        """Carry out an operation, and send the result once it is known."""
        self.in_progress.add(message.key)
        peer = self.voter.peers.get(codec.sender_of(message).node)
        # Proxies and directories retry a refused request at the next leader; callers of control nodes don't wait that
        # long.
        waits_for_leader = peer is None or peer.role != member_roles.CONTROL_NODE

        def respond(result):
            self.in_progress.discard(message.key)
            if self.voter.has_effects(message.operation) and result['status'] not in results.REFUSAL_STATUSES:
                self.remember_result(message.key, result)
            self.send_result(message, result)

        self.voter.majority_contact.serve_call(message.operation, message.arguments, respond, waits_for_leader)

    def remember_result(self, key: str, result: results.OperationResult):
        """Store a result, so that a copy of the request that is still in flight does not take effect again."""
        self.results[key] = RememberedResult(self.voter.now, result)
        self.forget_old_results()

    def forget_old_results(self):
        """Drop the results that are so old that no copy of their request can still be in flight."""
        oldest = self.voter.now - RESULT_RETENTION
        while self.results and next(iter(self.results.values())).given_at < oldest:
            self.results.popitem(last=False)

    def has_capacity(self) -> bool:
        """True if the result of one more operation can be stored."""
        self.forget_old_results()
        return len(self.results) + len(self.in_progress) < MAX_RESULTS

    def is_outdated(self, message: messages.OperationRequest) -> bool:
        """True if a request was in flight for so long that its caller may no longer wait for it."""
        if message.last_round is None:
            # Members of the previous wire level name no round.
            return False
        term, number = message.last_round
        leadership = self.voter.leadership
        heartbeat_round = leadership.heartbeats.rounds.get(number) if leadership else None
        # A member counts as unreachable after this time of silence; one in contact has received a newer round.
        oldest = self.voter.now - self.voter.settings.check * (self.voter.settings.misses + 1)
        return term != self.voter.term or heartbeat_round is None or heartbeat_round.started_at < oldest
