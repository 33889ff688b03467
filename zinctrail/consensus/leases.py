"""The leases that a leader grants: until when a member may act on its copy of the state."""

import collections
import datetime
import typing

import zinctrail.consensus.heartbeats as heartbeats
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers

# The number of newest commits whose time a leader remembers.
MAX_COMMITS = 2048
# A member whose last grant is older than this many heartbeat intervals gets the next one in a separate frame.
MAX_PIGGYBACK_INTERVALS = 1.5


class Commit(typing.NamedTuple):
    """A committed version, and when it was committed."""

    version: tuple[int, int]
    at: datetime.timedelta
    changes_routes: bool


class Leases(leader_part.LeaderPart):
    """Grants leases to members that have every committed version that concerns them."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # The newest commits of this term, the oldest first.
        self.commits: collections.deque[Commit] = collections.deque(maxlen=MAX_COMMITS)

    def record_commit(self, version: tuple[int, int], changes_routes: bool):
        """Record that a version was committed now."""
        self.commits.append(Commit(version, self.voter.now, changes_routes))

    def grant(self, peer: peers.Peer, heartbeat_round: 'heartbeats.HeartbeatRound | None' = None):
        """Grant a lease to a member that responded before the start of a round that a quorum has confirmed.

        No lease is granted if the member lacks a version that was committed before its response.
        """
        granted = heartbeat_round.granted if heartbeat_round else None
        if granted is not None and peer.node in granted:
            return
        if not peer.lease_round or self.is_piggybacked(peer):
            return
        if not self.has_all_committed(peer, peer.lease_responded_at):
            return
        if granted is not None:
            granted.add(peer.node)
        peer.lease_granted_at = self.voter.now
        self.voter.send_message(peer.address, messages.LeaseGrant(term=self.voter.term, granted_round=peer.lease_round))

    def piggyback(self, peer: peers.Peer) -> int | None:
        """Return the round whose lease is granted in the next heartbeat itself; None if none is granted."""
        if not self.is_piggybacked(peer) or not peer.lease_round:
            return None
        if not self.has_all_committed(peer, peer.lease_responded_at):
            return None
        peer.lease_granted_at = self.voter.now
        return peer.lease_round

    def is_piggybacked(self, peer: peers.Peer) -> bool:
        """True if a member's leases are granted in its heartbeats, which saves a frame in each round.

        Only for intervals longer than the shortest, where the last response is not yet confirmed when the next
        heartbeat is sent; and not after a gap, when the member's lease may have expired or may expire soon.
        """
        interval = self.leadership.heartbeats.interval_for(peer)
        return (
            interval > self.voter.settings.check
            and peer.lease_granted_at is not None
            and self.voter.now - peer.lease_granted_at < interval * MAX_PIGGYBACK_INTERVALS
        )

    def has_all_committed(self, peer: peers.Peer, when: datetime.timedelta) -> bool:
        """True if every version that the member lacks now was committed at `when` or later.

        Times are compared, since some version is nearly always in transit to the member. A response that came after
        the commit of a version that the member lacks must not lead to a lease.
        """
        if peer.committed[0] != self.voter.term:
            return False
        for commit in reversed(self.commits):
            if commit.version <= peer.committed:
                break
            if commit.at < when and (commit.changes_routes or peer.is_control_node):
                return False
        return True
