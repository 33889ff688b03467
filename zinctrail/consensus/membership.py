"""Who is a member of the cluster, as its leader decides."""

import datetime

import zinctrail.consensus.codec as codec
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.transactions as transactions
import zinctrail.runtime.durations as durations

# For so long after a removal was submitted no other one of the same member is.
REMOVAL_PAUSE = durations.ms(1000)
# For how much of a heartbeat interval the answer to a join request may still be on its way.
IN_TRANSIT = 1 / 2


class Membership(leader_part.LeaderPart):
    """Admits members, and removes those that leave or fall silent."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # Members whose removal waits to be committed: {node: when it was submitted}.
        self.removals: dict[str, datetime.timedelta] = {}
        # Control nodes that said they shut down: {node: when}.
        self.leaving: dict[str, datetime.timedelta] = {}

    def add_elected_peers(self, votes: dict):
        """Begin with the members of the state that the leadership builds on; `votes` came from some of them."""
        voter = self.voter
        for node, row in voter.replica.full_table('members').items():
            if node == voter.node or row is None:
                continue
            peer = self.leadership.peers[node] = peers.Peer.of_row(node, row, voter.now)
            if node in votes:
                peer.accepted = voter.reported_versions.pop(node, None)
            else:
                self.assume_caught_up(peer)

    def assume_caught_up(self, peer):
        """Take a member to hold what we hold, until it answers otherwise.

        Nearly always it does. A whole state for each member would fill our link for longer than
        voters wait for a leader, and one of them would stand for the next term. A member that
        holds something else refuses the first version and tells what it holds.
        """
        peer.sent_version = self.leadership.member_updates.latest_for(peer)

    def sync_peers(self):
        """Follow a committed change of the table of members."""
        rows = self.voter.replica.get('members')
        # Newcomers of a version that is not committed yet are offered it already, and stay.
        admitted = {n for n, row in self.voter.replica.full_table('members').items() if row}
        for node in [n for n in self.leadership.peers if n not in rows and n not in admitted]:
            # Absent since it was last heard, not since that was noticed.
            absent_since = self.leadership.peers.pop(node).heard_at
            self.leadership.voting_configuration.absent_since[node] = absent_since
        updates = self.leadership.member_updates
        for node, row in rows.items():
            peer = self.add_peer(node, row)
            if peer:
                if peer.accepted != updates.latest_for(peer):
                    updates.offer(peer)
                updates.notify_commit(peer)
                self.leadership.heartbeats.send_heartbeat(peer)

    def add_peer(self, node: str, row: dict) -> peers.Peer | None:
        """The new member of this row; None if it is known already."""
        if node == self.voter.node or node in self.leadership.peers:
            return None
        peer = self.leadership.peers[node] = peers.Peer.of_row(node, row, self.voter.now)
        self.voter.log(
            f'Member {node} ({peer.role} {peer.address}) is here.',
            'here',
            node=node,
            role=peer.role,
            addr=peer.address,
        )
        # A member that returns needs only what it missed.
        peer.accepted = self.voter.reported_versions.pop(node, None)
        return peer

    def on_join(self, message: messages.Join | messages.Vote):
        """A node asks to become a member, or a member to be caught up; a vote that comes late asks for the same."""
        voter, node = self.voter, codec.sender_of(message).node
        # A node that shuts down asks to join no more, so that it was started again.
        self.leaving.pop(node, None)
        voter.note_reads_chunks(message)
        voter.reported_versions[node] = message.accepted
        peer = self.leadership.peers.get(node)
        if peer is not None:
            self._rejoin(peer, message.accepted)
            return
        row = dict(message.member)
        voter.submit(lambda transaction: transactions.add_member(transaction, node, row), lambda result: None)

    def _rejoin(self, peer: peers.Peer, accepted: messages.Version):
        voter = self.voter
        peer.heard_at = voter.now
        in_transit = voter.now - peer.sent_at < voter.settings.check * IN_TRANSIT
        if peer.sent_version is not None and accepted == (peer.accepted or (0, 0)) and in_transit:
            # It asks whoever names a leader, so the same question comes several times; its answer is on its way.
            return
        peer.accepted, peer.sent_version, peer.notified_commit = accepted, None, (0, 0)
        self.leadership.heartbeats.catch_up(peer)

    def on_leave(self, message: messages.Leave):
        """A member says that it shuts down; one that votes may wait until it is released."""
        voter, peer = self.voter, self.leadership.peers.get(codec.sender_of(message).node)
        if peer is None:
            if message.awaits_release:
                # It was released before, and that answer was lost.
                voter.send_message(codec.sender_of(message).address, messages.LeaveResponse())
            return
        if peer.is_control_node:
            self.leaving.setdefault(peer.node, voter.now)
        if peer.is_control_node and message.awaits_release:
            self.leadership.voting_configuration.reconfigure()
        else:
            self.remove(peer, 'left')

    def on_connection_lost(self, address: str):
        """The connection to whoever is at an address was closed."""
        for peer in [p for p in self.leadership.peers.values() if p.address == address]:
            self.remove(peer, 'disconnected')

    def remove(self, peer: peers.Peer, why: str):
        """Take a member out of the cluster."""
        voter, node = self.voter, peer.node
        if node in self.removals and self.removals[node] > voter.now - REMOVAL_PAUSE:
            return
        self.removals[node] = voter.now
        self.leadership.voting_configuration.caught_up.discard(node)
        voter.log(
            f'Member {node} ({peer.role} {peer.address}) is gone: {why}.',
            'gone',
            node=node,
            role=peer.role,
            addr=peer.address,
            why=why,
        )

        def drop(transaction):
            transaction.drop('members', node)
            voter.member_gone(transaction, node)
            return {'status': 200}

        voter.submit(drop, lambda result: self.removals.pop(node, None))
