"""Following a leader: heartbeats, and the lease that is based on them."""

import collections
import datetime
import typing

import zinctrail.consensus.messages as messages
import zinctrail.runtime.durations as durations

# The number of heartbeat rounds for which the receipt time is stored.
HEARTBEATS_REMEMBERED = 32
# The number of responses to a new leader's heartbeats in which a member says that it supports chunked transfers.
CHUNK_NOTICES = 3
# The longest heartbeat interval accepted from a leader is the lease divided by this.
HEARTBEATS_PER_LEASE = 3


class Following:
    """Follows the leader of the newest term, and holds a lease granted by it. Mixed into Member."""

    def __init__(self, rng):
        super().__init__(rng)
        self.term = 0
        self.mode = 'candidate'
        # {'id', 'addr', 'http'} of the leader that is followed.
        self.leader: messages.LeaderRow | None = None
        self.leaderless_since = durations.ZERO
        self.leader_last_seen_at = durations.ZERO
        # Why the last leader was lost, for the log of the next election.
        self.leader_loss_reason = ''
        # {heartbeat round of this leader: when its heartbeat was received}, in order of receipt.
        self.heartbeats_received = collections.OrderedDict()
        # The heartbeat interval that the leader announced.
        self.heartbeat_interval = durations.ZERO
        self.chunk_notices = 0
        self.lease_until: datetime.timedelta | None = None

    def raise_term(self, term: int, vote: str | None = None):
        """Enter a newer term; voters also write it, with their `vote`, to disk."""
        self.term = term

    def follow(self, message, interval: datetime.timedelta | None = None) -> bool:
        """Follow the sender of a leader's message; return False if its term is older than ours."""
        if message.term < self.term:
            return False
        sender = message.sender
        if message.term > self.term:
            # A restarted leader numbers its rounds from the beginning, so the stored rounds are no longer valid.
            self.heartbeats_received.clear()
            self.raise_term(message.term, sender.node)
        self.leader_last_seen_at = self.now
        if not self.leader or self.leader['id'] != sender.node or self.mode != 'follower':
            self.mode = 'follower'
            self.leader = {'id': sender.node, 'addr': sender.address, 'http': message.http}
            self.heartbeats_received.clear()
            self.log(
                f'Follows {sender.node} in term {self.term}.',
                'follow',
                term=self.term,
                node=sender.node,
                addr=sender.address,
            )
            self.leader_changed()
        if interval is not None:
            self.heartbeat_interval = interval
        self.set_timer('leader', max(self.heartbeat_interval, self.settings.check) * self.settings.misses)
        return True

    def leader_changed(self):
        """Handle a change of the leader that this node follows."""
        self.chunk_notices = 0
        self.version_receiver.drop_foreign_transfer()
        self.retry_operations()

    def on_heartbeat(self, message: messages.Heartbeat):
        """Respond to the leader's heartbeat, and accept the lease that may come with it."""
        if message.recipient != self.node:
            # The leader still believes that an earlier process runs at this address.
            if self.can_join() and message.term >= self.term:
                self.join(message.sender.address)
            return
        # Bounded, so that whatever the frame says, the search for another leader starts while the lease may still be
        # valid.
        longest_ms = durations.to_ms(self.settings.lease / HEARTBEATS_PER_LEASE)
        if not self.follow(message, durations.ms(min(message.interval_ms or 0, longest_ms))):
            self.send_message(
                message.sender.address,
                messages.HeartbeatResponse(term=self.term, round=message.round, is_refused=True),
            )
            return
        self.record_heartbeat(message)
        self.respond_to_heartbeat(message)

    def record_heartbeat(self, message: messages.Heartbeat):
        """Record when a heartbeat came, and accept the lease that it grants.

        A lease starts at our own receipt time, so that a delayed grant cannot
        extend it. The first receipt of a round counts: a response may have been
        sent then, and the lease is based on the state before that response.
        """
        is_first = not self.heartbeats_received
        self.heartbeats_received.setdefault(message.round, self.now)
        if is_first and self.sends_last_round:
            # Operations waiting for this leader can be sent only now, since a request must name one of its rounds.
            self.retry_operations()
        if message.granted_round is not None:
            self.accept_lease(message.granted_round)
        while len(self.heartbeats_received) > HEARTBEATS_REMEMBERED:
            self.heartbeats_received.popitem(last=False)

    def respond_to_heartbeat(self, message: messages.Heartbeat):
        """Report the versions accepted and committed here to the leader.

        Support for chunked transfers is reported in the first responses only: a new
        leader knows nothing of this node, and in later responses the field would
        cost bytes with every heartbeat.
        """
        reads_chunks = True if self.chunk_notices < CHUNK_NOTICES else None
        self.chunk_notices += 1
        self.send_message(
            message.sender.address,
            messages.HeartbeatResponse(
                term=self.term,
                round=message.round,
                accepted=self.replica.accepted,
                committed=self.replica.committed,
                reads_chunks=reads_chunks,
                **self.heartbeat_details(),
            ),
        )

    def heartbeat_details(self) -> dict[str, typing.Any]:
        """Hook of the role: return further fields of the HeartbeatResponse."""
        return {}

    def on_lease_grant(self, message: messages.LeaseGrant):
        """Accept a lease from the leader that this node follows."""
        if message.term == self.term and self.leader and self.leader['id'] == message.sender.node:
            self.accept_lease(message.granted_round)

    def accept_lease(self, granted_round: int):
        """Extend the lease to its full length from the receipt of the heartbeat of `granted_round`."""
        received_at = self.heartbeats_received.get(granted_round)
        if received_at is not None:
            self.record_leader_received(received_at)
            until = received_at + self.settings.lease
            if self.lease_until is None or until > self.lease_until:
                self.lease_until = until

    def has_lease(self) -> bool:
        """True if this node holds a valid lease, so that it may act on its state."""
        return self.lease_until is not None and self.now < self.lease_until

    def lease_remaining(self) -> datetime.timedelta:
        """Return the remaining time of the lease; zero without a valid lease."""
        return self.lease_until - self.now if self.has_lease() else durations.ZERO

    def on_step_down(self, message: messages.StepDown):
        """Look for a new leader at once, without the timeout, as the leader itself reports that it stepped down."""
        if self.mode == 'follower' and self.leader['id'] == message.sender.node and message.term == self.term:
            self.lose_leader('steps down')

    def on_lost(self, address: str):
        """Treat a closed connection to the leader as its loss: it is stronger evidence than three missed heartbeats."""
        if self.leader and self.leader['addr'] == address and self.mode == 'follower':
            self.lose_leader('disconnected')

    def timer_leader(self):
        """Stop following the leader, as no heartbeat came in time."""
        self.lose_leader('silent')

    def lose_leader(self, reason: str):
        """Stop following the leader, and look for the next one."""
        self.leader_loss_reason = reason
        leader = self.leader['id'] if self.leader else ''
        self.log(f'Lost the leader {leader or "?"}: {reason}.', 'lost', term=self.term, node=leader, why=reason)
        self.leader = None
        self.leaderless_since = self.now
        self.mode = 'candidate'
        self.timers.pop('leader', None)
        self.restart_discovery()

    def record_leader_received(self, sent_at: datetime.timedelta):
        """Handle proof, in a message of the leader, that it received what we sent at `sent_at`."""
