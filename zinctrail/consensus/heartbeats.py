"""Heartbeat rounds: by answering them the members show that they still follow the leader."""

import dataclasses
import datetime

import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations

# At a slower pace a member still gets so many heartbeats within a lease: two go by before a lease is renewed, and
# one may be lost.
HEARTBEATS_PER_LEASE = 4
# A heartbeat that would be due within this part of the fastest interval is sent now: rounds come a little late.
DUE_TOLERANCE = 1 / 4
# For how much of the fastest interval something just sent to a member may still be on its way to it.
IN_TRANSIT = 1 / 2


@dataclasses.dataclass(slots=True)
class HeartbeatRound:
    """Heartbeats that were sent at the same time."""

    started_at: datetime.timedelta
    # The nodes that answered it, the leader included.
    answered: set[str]
    # Whether leases may rest on it.
    grants_leases: bool
    # What each member had answered when it began: {node: (round, when)}. Only these answers may make a lease.
    answers_before: dict[str, tuple[int, datetime.timedelta]]
    # The nodes that were granted a lease by it; None until a quorum answered it.
    granted: set[str] | None = None


class Heartbeats(leader_part.LeaderPart):
    """Sends heartbeats and takes their answers."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # The rounds whose answers may still come, by number.
        self.rounds: dict[int, HeartbeatRound] = {}
        # The newest round that a quorum answered, and the latest time at which a quorum surely followed.
        self.quorum_round: int = voter.heartbeat_round
        self.quorum_at: datetime.timedelta = voter.now

    def tick(self):
        """One heartbeat interval is over: begin a round, and look for who does not answer."""
        voter, settings = self.voter, self.voter.settings
        self.start_round(everyone=True)
        voter.set_timer('heartbeat', settings.check)
        if voter.now - self.quorum_at > settings.check * settings.misses:
            voter.step_down('no quorum answers')
            return
        silent = [p for p in self.leadership.peers.values() if p.heard_at < voter.now - self.pace(p) * settings.misses]
        for peer in silent:
            self.leadership.membership.remove(peer, 'silent')
        self.leadership.state_transfers.forget_unused()
        voter.tick_leader()

    def pace(self, peer: peers.Peer) -> datetime.timedelta:
        """How far apart a member's heartbeats are.

        Voters get them at the shortest interval. Members that only follow get them at a longer one where they are
        many, so that a large fleet does not cost its leader more.
        """
        settings = self.voter.settings
        if peer.is_control_node or peer.level < 2:
            return settings.check
        return min(
            max(settings.check, settings.check * (len(self.leadership.peers) / settings.herd)),
            max(settings.check, settings.lease / HEARTBEATS_PER_LEASE),
        )

    def start_round(self, everyone: bool, grants_leases: bool = False):
        """Ask the voters whether they still follow us, and with `everyone` all members whose heartbeat is due.

        Leases rest on rounds with `everyone` or `grants_leases`.
        """
        voter = self.voter
        voter.heartbeat_round += 1
        grants_leases = grants_leases or everyone
        # Noted when the round begins: a lease may only rest on answers from before.
        peers_asked = self.leadership.peers.items() if grants_leases else ()
        before = {node: (peer.answered_round, peer.answered_at) for node, peer in peers_asked}
        self.rounds[voter.heartbeat_round] = HeartbeatRound(voter.now, {voter.node}, grants_leases, before)
        self._forget_old_rounds()
        voting_set = voter.voting_set()
        for peer in self.leadership.peers.values():
            is_voter = peer.node in voting_set['accepted'] or peer.node in voting_set['committed']
            if is_voter or everyone and (peer.is_control_node or self._is_due(peer)):
                self.send_heartbeat(peer)
        self._count_answers(voter.heartbeat_round)
        voter.majority_contact.watch()

    def oldest_unconfirmed(self) -> HeartbeatRound | None:
        """The first round that no quorum answered yet; None if there is none."""
        return self.rounds.get(self.quorum_round + 1)

    def _forget_old_rounds(self):
        # By age and not by number: many reads begin many rounds, and each must have its time.
        settings = self.voter.settings
        oldest = self.voter.now - settings.check * (settings.misses + 1)
        for number in [number for number, r in self.rounds.items() if r.started_at < oldest]:
            del self.rounds[number]

    def _is_due(self, peer):
        since = self.voter.now - peer.heartbeat_sent_at
        return since >= self.pace(peer) - self.voter.settings.check * DUE_TOLERANCE

    def send_heartbeat(self, peer: peers.Peer):
        """Send one member the heartbeat of the newest round."""
        voter = self.voter
        peer.heartbeat_sent_at = voter.now
        # The pace is told since a member must not look for another leader sooner than its next heartbeat is due.
        heartbeat = messages.Heartbeat(
            term=voter.term,
            recipient=peer.node,
            round=voter.heartbeat_round,
            http=voter.location.http,
            interval_ms=None if peer.is_control_node else durations.to_ms(self.pace(peer)),
            granted_round=self.leadership.leases.piggyback(peer),
        )
        voter.send_message(peer.address, heartbeat)

    def on_response(self, message: messages.HeartbeatResponse):
        """A member answered a heartbeat of this term."""
        voter = self.voter
        peer = self.leadership.peers.get(message.sender.node)
        if peer is None:
            return
        peer.heard_at = voter.now
        if message.reads_chunks:
            voter.chunk_readers.add(peer.node)
        if message.round > peer.answered_round:
            if not peer.answered_round and 'lease_round' not in voter.timers:
                # It has no lease yet and serves nobody, so a round that may grant it one is begun soon.
                voter.set_timer('lease_round', voter.settings.gather)
            peer.answered_round, peer.answered_at = message.round, voter.now
        peer.accepted = max(peer.accepted or (0, 0), message.accepted)
        # A voter's own word counts even where it is less: one that was restarted no longer knows what was committed.
        peer.committed = message.committed if peer.is_control_node else max(peer.committed, message.committed)
        self.leadership.replication.note_accepted(peer)
        self.catch_up(peer)
        self._note_answer(peer, message.round)

    def _note_answer(self, peer, number):
        answered = self.rounds.get(number)
        if answered and peer.node not in answered.answered:
            answered.answered.add(peer.node)
            if peer.is_control_node:
                self._count_answers(number)
            if answered.granted is not None:
                self.leadership.leases.grant(peer, answered)

    def catch_up(self, peer: peers.Peer):
        """Send a member again what its answers show that it lacks."""
        updates, transfers = self.leadership.member_updates, self.leadership.state_transfers
        if peer.sent_version is not None and transfers.is_under_way(peer):
            transfers.resend_if_unacknowledged(peer)
            return
        # What it lacks may be on its way to it.
        if self.voter.now - peer.sent_at < self.voter.settings.check * IN_TRANSIT:
            return
        if peer.accepted != updates.latest_for(peer):
            peer.sent_version, peer.notified_commit = None, (0, 0)
            updates.offer(peer)
        elif peer.committed < updates.committed_for(peer):
            peer.notified_commit = (0, 0)
            updates.notify_commit(peer)

    def _count_answers(self, number):
        """Whether a quorum answered a round, and what rests on that."""
        answered = self.rounds[number]
        if number <= self.quorum_round or not replica.joint_quorum(answered.answered, self.voter.voting_set()):
            return
        self.quorum_round = number
        self.quorum_at = max(self.quorum_at, answered.started_at)
        # No leases before the first version of this term is committed: the state may be behind until then.
        if self.voter.replica.committed[0] == self.voter.term:
            self._grant_leases(answered)
        self.leadership.fenced_reads.round_confirmed(number)
        # What waited while no quorum answered.
        self.leadership.replication.try_publish()

    def _grant_leases(self, answered):
        answered.granted = set() if answered.grants_leases else None
        for peer in self.leadership.peers.values():
            number, at = answered.answers_before.get(peer.node, (0, None))
            if number > peer.lease_round:
                peer.lease_round, peer.lease_answered_at = number, at
            if answered.grants_leases:
                self.leadership.leases.grant(peer, answered)
