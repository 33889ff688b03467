"""Operations that other members request of the leader, each of them carried out once.

A request is sent again while its caller waits, to the same leader and to the
next one, so a leader may receive several copies of it. Three things keep a copy
from acting a second time:

- a leader remembers the results of its own term by the request's key, for longer
  than a request is sent again, and refuses further ones where that is too many;
- a request names the heartbeat round that its sender saw last, and is refused
  once that round is older than any that a member in touch can name: a frame that
  was held up on its way acts at no later time, under no leader;
- an operation that an older leader may have carried out is carried out again
  only where the state recognizes it by what it says (its id, version, fencing
  token or value). The result of any other is unknown.
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

# How long a leader remembers a result, and how many; one that it has no room for is not begun.
RESULTS_KEPT = durations.ms(10000)
RESULTS_MOST = 1 << 16

Arguments = dict[str, typing.Any]
Callback = typing.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RememberedResult:
    """The result of an operation, and when it was given."""

    given_at: datetime.timedelta
    result: results.OperationResult


class ServingVoter(typing.Protocol):
    """What OperationService needs of the voter that it belongs to."""

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
        """Whether this node leads, as far as it knows."""

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """The other members, as their leader knows them."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def has_effects(self, operation: str) -> bool:
        """Whether carrying an operation out twice differs from carrying it out once."""

    def is_retryable(self, operation: str, arguments: Arguments) -> bool:
        """Whether carrying it out again, after others acted, is the same as having carried it out once."""


class OperationService:
    """Carries out operations as leader."""

    def __init__(self, voter: ServingVoter):
        self.voter = voter
        # The keys of the requests that are being carried out.
        self.in_progress: set[str] = set()
        # The results of those that were, by key, for copies of a request that come later; the oldest first.
        self.results: collections.OrderedDict[str, RememberedResult] = collections.OrderedDict()

    def serve_waiting(self):
        """Carry out what waited here for a leader, now that this node is the leader."""
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
        """Carry out an operation, or answer a copy of one from what is remembered."""
        key = message.key
        if not self.voter.is_leader or self.voter.stopping:
            self.send_result(message, results.NO_LEADER)
        elif key in self.in_progress:
            # Requests are sent again while they are carried out, which takes long for a watch.
            return
        elif key in self.results:
            self.send_result(message, self.results[key].result)
        elif self.is_outdated(message):
            # A caller that still waits for it learns of this at once, and may send it again.
            self.voter.counts['late_asks'] += 1
            self.send_result(message, results.TOO_LATE)
        elif self.may_be_done_already(message):
            self.send_result(message, results.LOST)
        elif self.voter.has_effects(message.operation) and not self.has_room():
            self.voter.counts['asks_without_room'] += 1
            self.send_result(message, results.NO_ROOM)
        else:
            self.carry_out(message)

    def send_result(self, message: messages.OperationRequest, result: results.OperationResult):
        """Answer a request."""
        self.voter.send_message(
            codec.sender_of(message).address, messages.OperationResponse(key=message.key, result=dict(result))
        )

    def may_be_done_already(self, message: messages.OperationRequest) -> bool:
        """Whether an older leader may have carried it out, and the state could not tell."""
        return (
            message.first_term is not None
            and message.first_term < self.voter.term
            and not self.voter.is_retryable(message.operation, message.arguments)
        )

    def carry_out(self, message: messages.OperationRequest):
        """Carry out an operation, and answer once its result is known."""
        self.in_progress.add(message.key)
        peer = self.voter.peers.get(codec.sender_of(message).node)
        # Proxies and directories send what was refused to the next leader; callers of control nodes don't wait so long.
        patient = peer is None or peer.role != member_roles.CONTROL_NODE

        def answer(result):
            self.in_progress.discard(message.key)
            if self.voter.has_effects(message.operation) and result['status'] not in results.REFUSAL_STATUSES:
                self.remember_result(message.key, result)
            self.send_result(message, result)

        self.voter.majority_contact.serve_call(message.operation, message.arguments, answer, patient)

    def remember_result(self, key: str, result: results.OperationResult):
        """Keep a result, so that a copy of the request that is still on its way does not act a second time."""
        self.results[key] = RememberedResult(self.voter.now, result)
        self.forget_old_results()

    def forget_old_results(self):
        """Forget results that are so old that no copy of their request is on its way any more."""
        oldest = self.voter.now - RESULTS_KEPT
        while self.results and next(iter(self.results.values())).given_at < oldest:
            self.results.popitem(last=False)

    def has_room(self) -> bool:
        """Whether the result of one more operation can be remembered."""
        self.forget_old_results()
        return len(self.results) + len(self.in_progress) < RESULTS_MOST

    def is_outdated(self, message: messages.OperationRequest) -> bool:
        """Whether a request was under way for so long that its caller may have gone on to something else."""
        if message.last_round is None:
            # Members of the level before name no round.
            return False
        term, number = message.last_round
        leadership = self.voter.leadership
        heartbeat_round = leadership.heartbeats.rounds.get(number) if leadership else None
        # As long as a member may be silent: one in touch has seen a newer round.
        oldest = self.voter.now - self.voter.settings.check * (self.voter.settings.misses + 1)
        return term != self.voter.term or heartbeat_round is None or heartbeat_round.started_at < oldest
