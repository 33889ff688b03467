"""The leader's admission and removal of cluster members."""

import datetime

import zinctrail.consensus.codec as codec
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.transactions as transactions
import zinctrail.runtime.durations as durations

# The minimum time between two submitted removals of the same member.
MIN_REMOVAL_INTERVAL = durations.ms(1000)
# The fraction of a heartbeat interval for which the response to a join request may still be in transit.
IN_TRANSIT_FRACTION = 1 / 2


class Membership(leader_part.LeaderPart):
    """Admits members, and removes those that shut down, disconnect or stop responding."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # The members whose removal is not committed yet: {node: when it was submitted}.
        self.removals: dict[str, datetime.timedelta] = {}
        # The control nodes that announced their shutdown: {node: when}.
        self.leaving: dict[str, datetime.timedelta] = {}

    def add_elected_peers(self, votes: dict):
        """Create the peers of a new leader from the members of its accepted state; some of them sent the `votes`."""
        voter = self.voter
        for node, row in voter.replica.full_table('members').items():
            if node == voter.node or row is None:
                continue
            peer = self.leadership.peers[node] = peers.Peer.from_row(node, row, voter.now)
            if node in votes:
                peer.accepted = voter.reported_versions.pop(node, None)
            else:
                self.assume_caught_up(peer)

    def assume_caught_up(self, peer):
        """Assume that a member has the leader's version, until its response says otherwise.

        The assumption nearly always holds. Sending the complete state to each member would fill
        the leader's link for longer than voters wait for a leader, and one of them would start an
        election. A member that has another version refuses the first one sent and reports its own.
        """
        peer.sent_version = self.leadership.member_updates.latest_for(peer)

    def sync_peers(self):
        """Update the peers after a committed change of the `members` table."""
        rows = self.voter.replica.get('members')
        # Members admitted by a version not committed yet remain: that version is sent to them already.
        admitted = {n for n, row in self.voter.replica.full_table('members').items() if row}
        for node in [n for n in self.leadership.peers if n not in rows and n not in admitted]:
            # Absence counts from the last message of the member, not from its removal.
            absent_since = self.leadership.peers.pop(node).last_seen_at
            self.leadership.voting_configuration.absent_since[node] = absent_since
        updates = self.leadership.member_updates
        for node, row in rows.items():
            peer = self.add_peer(node, row)
            if peer:
                if peer.accepted != updates.latest_for(peer):
                    updates.send_missing(peer)
                updates.notify_commit(peer)
                self.leadership.heartbeats.send_heartbeat(peer)

    def add_peer(self, node: str, row: dict) -> peers.Peer | None:
        """Create and return the peer for a row of the `members` table; None if the peer exists already."""
        if node == self.voter.node or node in self.leadership.peers:
            return None
        peer = self.leadership.peers[node] = peers.Peer.from_row(node, row, self.voter.now)
        self.voter.log(
            f'Member {node} ({peer.role} {peer.address}) joined.',
            'here',
            node=node,
            role=peer.role,
            addr=peer.address,
        )
        # A returning member needs only the versions that it missed.
        peer.accepted = self.voter.reported_versions.pop(node, None)
        return peer

    def on_join(self, message: messages.Join | messages.Vote):
        """Admit a node, or send a member the versions that it lacks; a late vote counts as such a request."""
        voter, node = self.voter, codec.sender_of(message).node
        # A node that shuts down sends no join requests, so this one was restarted.
        self.leaving.pop(node, None)
        voter.record_chunk_support(message)
        voter.reported_versions[node] = message.accepted
        peer = self.leadership.peers.get(node)
        if peer is not None:
            self._rejoin(peer, message.accepted)
            return
        row = dict(message.member)
        voter.submit(lambda transaction: transactions.add_member(transaction, node, row), lambda result: None)

    def _rejoin(self, peer: peers.Peer, accepted: messages.Version):
        voter = self.voter
        peer.last_seen_at = voter.now
        in_transit = voter.now - peer.sent_at < voter.settings.check * IN_TRANSIT_FRACTION
        if peer.sent_version is not None and accepted == (peer.accepted or (0, 0)) and in_transit:
            # The node sends a join request for each probe response that names the leader, so requests are repeated;
            # the response to an earlier one is in transit.
            return
        peer.accepted, peer.sent_version, peer.notified_commit = accepted, None, (0, 0)
        self.leadership.heartbeats.catch_up(peer)

    def on_leave(self, message: messages.Leave):
        """Remove a member that shuts down; a control node may wait for its release first."""
        voter, peer = self.voter, self.leadership.peers.get(codec.sender_of(message).node)
        if peer is None:
            if message.awaits_release:
                # The member was released before, and that response was lost.
                voter.send_message(codec.sender_of(message).address, messages.LeaveResponse())
            return
        if peer.is_control_node:
            self.leaving.setdefault(peer.node, voter.now)
        if peer.is_control_node and message.awaits_release:
            self.leadership.voting_configuration.reconfigure()
        else:
            self.remove(peer, 'left')

    def on_connection_lost(self, address: str):
        """Remove the member at an address whose connection was closed."""
        for peer in [p for p in self.leadership.peers.values() if p.address == address]:
            self.remove(peer, 'disconnected')

    def remove(self, peer: peers.Peer, why: str):
        """Remove a member from the cluster."""
        voter, node = self.voter, peer.node
        if node in self.removals and self.removals[node] > voter.now - MIN_REMOVAL_INTERVAL:
            return
        self.removals[node] = voter.now
        self.leadership.voting_configuration.caught_up.discard(node)
        voter.log(
            f'Member {node} ({peer.role} {peer.address}) removed: {why}.',
            'gone',
            node=node,
            role=peer.role,
            addr=peer.address,
            why=why,
        )

        def drop(transaction):
            transaction.drop('members', node)
            voter.member_removed(transaction, node)
            return {'status': 200}

        voter.submit(drop, lambda result: self.removals.pop(node, None))
