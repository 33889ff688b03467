"""Heartbeat rounds, whose responses confirm that the members still follow the leader."""

import dataclasses
import datetime

import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations

# The minimum number of heartbeats per lease for members with a longer interval: renewing a lease takes two, and one
# may be lost.
HEARTBEATS_PER_LEASE = 4
# A heartbeat due within this fraction of the shortest interval is sent in the current round: rounds start a little late.
DUE_TOLERANCE = 1 / 4
# The fraction of the shortest interval for which a message just sent to a member may still be in transit.
IN_TRANSIT_FRACTION = 1 / 2


@dataclasses.dataclass(slots=True)
class HeartbeatRound:
    """A round of heartbeats sent at the same time, and the responses to them."""

    started_at: datetime.timedelta
    # The nodes that responded, including the leader.
    responded: set[str]
    # Whether leases may be based on this round.
    grants_leases: bool
    # Each member's newest response before the round started: {node: (round, when)}. Only on these responses may a
    # lease be based.
    responses_before: dict[str, tuple[int, datetime.timedelta]]
    # The nodes granted a lease in this round; None until a quorum responded.
    granted: set[str] | None = None


class Heartbeats(leader_part.LeaderPart):
    """Sends heartbeats and evaluates the responses."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # The rounds to which responses may still come, by number.
        self.rounds: dict[int, HeartbeatRound] = {}
        # The newest round that a quorum responded to, and the latest time at which a quorum certainly followed.
        self.quorum_round: int = voter.heartbeat_round
        self.quorum_at: datetime.timedelta = voter.now

    def tick(self):
        """Start the round of the next heartbeat interval, and remove the members that do not respond."""
        voter, settings = self.voter, self.voter.settings
        self.start_round(everyone=True)
        voter.set_timer('heartbeat', settings.check)
        if voter.now - self.quorum_at > settings.check * settings.misses:
            voter.step_down('no quorum answers')
            return
        unresponsive = [
            p
            for p in self.leadership.peers.values()
            if p.last_seen_at < voter.now - self.interval_for(p) * settings.misses
        ]
        for peer in unresponsive:
            self.leadership.membership.remove(peer, 'silent')
        self.leadership.state_transfers.forget_unused()
        voter.tick_leader()

    def interval_for(self, peer: peers.Peer) -> datetime.timedelta:
        """Return the interval of a member's heartbeats.

        Control nodes get the shortest interval. In a large fleet the other members get a longer one, so that the
        number of members does not increase the leader's load.
        """
        settings = self.voter.settings
        if peer.is_control_node or peer.level < 2:
            return settings.check
        return min(
            max(settings.check, settings.check * (len(self.leadership.peers) / settings.herd)),
            max(settings.check, settings.lease / HEARTBEATS_PER_LEASE),
        )

    def start_round(self, everyone: bool, grants_leases: bool = False):
        """Send heartbeats to the voters, and with `everyone` also to all other members whose heartbeat is due.

        Leases are based only on rounds with `everyone` or `grants_leases`.
        """
        voter = self.voter
        voter.heartbeat_round += 1
        grants_leases = grants_leases or everyone
        # Recorded at the start of the round: a lease may only be based on earlier responses.
        peers_asked = self.leadership.peers.items() if grants_leases else ()
        before = {node: (peer.responded_round, peer.responded_at) for node, peer in peers_asked}
        self.rounds[voter.heartbeat_round] = HeartbeatRound(voter.now, {voter.node}, grants_leases, before)
        self._forget_old_rounds()
        voting_set = voter.voting_set()
        for peer in self.leadership.peers.values():
            is_voter = peer.node in voting_set['accepted'] or peer.node in voting_set['committed']
            if is_voter or everyone and (peer.is_control_node or self._is_due(peer)):
                self.send_heartbeat(peer)
        self._count_responses(voter.heartbeat_round)
        voter.majority_contact.arm_timer()

    def oldest_unconfirmed(self) -> HeartbeatRound | None:
        """Return the first round that no quorum has responded to yet; None if there is none."""
        return self.rounds.get(self.quorum_round + 1)

    def _forget_old_rounds(self):
        # By age and not by count: many reads start many rounds, and each needs its full time for responses.
        settings = self.voter.settings
        oldest = self.voter.now - settings.check * (settings.misses + 1)
        for number in [number for number, r in self.rounds.items() if r.started_at < oldest]:
            del self.rounds[number]

    def _is_due(self, peer):
        since = self.voter.now - peer.heartbeat_sent_at
        return since >= self.interval_for(peer) - self.voter.settings.check * DUE_TOLERANCE

    def send_heartbeat(self, peer: peers.Peer):
        """Send one member the heartbeat of the newest round."""
        voter = self.voter
        peer.heartbeat_sent_at = voter.now
        # The interval is included, since a member must not look for another leader before its next heartbeat is due.
        heartbeat = messages.Heartbeat(
            term=voter.term,
            recipient=peer.node,
            round=voter.heartbeat_round,
            http=voter.location.http,
            interval_ms=None if peer.is_control_node else durations.to_ms(self.interval_for(peer)),
            granted_round=self.leadership.leases.piggyback(peer),
        )
        voter.send_message(peer.address, heartbeat)

    def on_response(self, message: messages.HeartbeatResponse):
        """Handle a member's response to a heartbeat of this term."""
        voter = self.voter
        peer = self.leadership.peers.get(message.sender.node)
        if peer is None:
            return
        peer.last_seen_at = voter.now
        if message.reads_chunks:
            voter.chunk_readers.add(peer.node)
        if message.round > peer.responded_round:
            if not peer.responded_round and 'lease_round' not in voter.timers:
                # The member has no lease yet, so it serves no requests; a round that may grant it one starts soon.
                voter.set_timer('lease_round', voter.settings.gather)
            peer.responded_round, peer.responded_at = message.round, voter.now
        peer.accepted = max(peer.accepted or (0, 0), message.accepted)
        # A control node's report counts even if it is lower: after a restart it no longer knows what was committed.
        peer.committed = message.committed if peer.is_control_node else max(peer.committed, message.committed)
        self.leadership.replication.record_accepted(peer)
        self.catch_up(peer)
        self._record_response(peer, message.round)

    def _record_response(self, peer, number):
        heartbeat_round = self.rounds.get(number)
        if heartbeat_round and peer.node not in heartbeat_round.responded:
            heartbeat_round.responded.add(peer.node)
            if peer.is_control_node:
                self._count_responses(number)
            if heartbeat_round.granted is not None:
                self.leadership.leases.grant(peer, heartbeat_round)

    def catch_up(self, peer: peers.Peer):
        """Resend to a member the versions and commit notices that its responses show to be missing."""
        updates, transfers = self.leadership.member_updates, self.leadership.state_transfers
        if peer.sent_version is not None and transfers.is_under_way(peer):
            transfers.resend_if_unacknowledged(peer)
            return
        # The missing versions may be in transit.
        if self.voter.now - peer.sent_at < self.voter.settings.check * IN_TRANSIT_FRACTION:
            return
        if peer.accepted != updates.latest_for(peer):
            peer.sent_version, peer.notified_commit = None, (0, 0)
            updates.send_missing(peer)
        elif peer.committed < updates.committed_for(peer):
            peer.notified_commit = (0, 0)
            updates.notify_commit(peer)

    def _count_responses(self, number):
        """Confirm a round once a quorum has responded: grant leases, release reads, continue publishing."""
        heartbeat_round = self.rounds[number]
        if number <= self.quorum_round or not replica.joint_quorum(heartbeat_round.responded, self.voter.voting_set()):
            return
        self.quorum_round = number
        self.quorum_at = max(self.quorum_at, heartbeat_round.started_at)
        # No leases before the first version of this term is committed: the committed state may be outdated until then.
        if self.voter.replica.committed[0] == self.voter.term:
            self._grant_leases(heartbeat_round)
        self.leadership.fenced_reads.round_confirmed(number)
        # Publish the changes that waited while no quorum responded.
        self.leadership.replication.try_publish()

    def _grant_leases(self, heartbeat_round):
        heartbeat_round.granted = set() if heartbeat_round.grants_leases else None
        for peer in self.leadership.peers.values():
            number, at = heartbeat_round.responses_before.get(peer.node, (0, None))
            if number > peer.lease_round:
                peer.lease_round, peer.lease_responded_at = number, at
            if heartbeat_round.grants_leases:
                self.leadership.leases.grant(peer, heartbeat_round)
