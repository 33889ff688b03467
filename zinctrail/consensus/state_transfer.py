"""Chunked transfers from the leader to members whose missing rows are too large for one frame."""

import typing

import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.codec as codec
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

# Absent members are dropped from the members known to support chunked transfers once these outnumber twice the present
# members by more than this.
CHUNK_READERS_SPARE = 64
NO_VERSION = (0, 0)


class StateTransfers(leader_part.LeaderPart):
    """The chunked transfers in progress."""

    def __init__(self, voter: leader_part.LeadingVoter, leadership: 'leadership.Leadership') -> None:
        super().__init__(voter, leadership)
        # {member: its transfer}, including those to members that are absent for a while.
        self.transfers: dict[str, chunked_transfer.Outgoing] = {}
        # The full states being sent: {True for all tables, False for the routing tables only: content}.
        self.full_states: dict[bool, chunked_transfer.Content] = {}

    def is_under_way(self, peer: peers.Peer) -> bool:
        """True if a chunked transfer to a member is in progress."""
        return peer.node in self.transfers

    def begin(self, peer: peers.Peer, base: tuple[int, int] | None, rows: list | None) -> bool:
        """Begin a chunked transfer of `rows` on `base`, or of the full state if `rows` is None.

        Returns False, without sending, if the member does not support chunked transfers, or the content fits in one
        chunk or is not newer than what the member has.
        """
        voter = self.voter
        if peer.node not in voter.chunk_readers:
            return False
        accepted_version = peer.accepted or NO_VERSION
        if rows is None:
            content = self._whole_state(peer)
        else:
            content = chunked_transfer.Content(self.leadership.member_updates.latest_for(peer), base, rows)
        if content.is_single() or content.version <= accepted_version:
            return False
        if rows is None:
            voter.counts['full'] += 1
        voter.counts['transfers'] += 1
        self.transfers[peer.node] = chunked_transfer.Outgoing(content, voter.now)
        self._send_due(peer)
        return True

    def _whole_state(self, peer: peers.Peer) -> chunked_transfer.Content:
        """Return a full state newer than the member's version.

        A state that is being sent already is reused as long as the history has the changes that follow it.
        """
        everything = peer.is_control_node
        content = self.full_states.get(everything)
        accepted_version = peer.accepted or NO_VERSION
        if (
            content is not None
            and content.version > accepted_version
            and self.voter.history.reaches(content.version, everything)
        ):
            return content
        version = self.leadership.member_updates.latest_for(peer)
        content = chunked_transfer.Content.full_state(version, self.voter.replica.full_state(routes=not everything))
        self.full_states[everything] = content
        return content

    def resume(self, peer: peers.Peer) -> bool:
        """Resume the transfer to a member that has returned; False if there is none that it can still use."""
        transfer = self.transfers.get(peer.node)
        if transfer is None:
            return False
        content = transfer.content
        accepted_version = peer.accepted or NO_VERSION
        fits = content.version > accepted_version and content.base in (None, accepted_version)
        reads_chunks = peer.node in self.voter.chunk_readers
        if not fits or not reads_chunks or not self.voter.history.reaches(content.version, peer.is_control_node):
            del self.transfers[peer.node]
            return False
        transfer.resume(self.voter.now)
        self._send_due(peer)
        return True

    def _send_due(self, peer: peers.Peer) -> None:
        voter = self.voter
        transfer = self.transfers[peer.node]
        content = transfer.content
        peer.sent_at, peer.sent_version = voter.now, content.version
        for number in transfer.take_due(voter.now):
            voter.counts['pieces'] += 1
            voter.send(peer.address, self._chunk_frame(content, number), peer.level >= 2)

    def _chunk_frame(self, content: chunked_transfer.Content, number: int) -> codec.Frame:
        """Return the frame of a chunk: the same object for all receivers, so that it is encoded only once."""
        if number not in content.frames:
            chunk = messages.Chunk(
                term=self.voter.term,
                version=content.version,
                base=content.base,
                number=number,
                # Never empty, since only chunks that are due are sent.
                rows=content.chunk(number) or [],
                http=self.voter.location.http,
                digest=content.digest if content.is_last(number) else None,
            )
            content.frames[number] = self.voter.frame(chunk)
        return content.frames[number]

    def on_response(self, message: messages.ChunkResponse) -> None:
        """Handle a member's acknowledgement of the chunks that it has."""
        node = codec.sender_of(message).node
        peer = self.leadership.peers.get(node)
        transfer = self.transfers.get(node)
        if peer is None or transfer is None:
            return
        peer.last_seen_at = self.voter.now
        if message.version == transfer.content.version and message.base == transfer.content.base:
            transfer.acknowledge(message.received, self.voter.now)
            self._send_due(peer)

    def resend_if_unacknowledged(self, peer: peers.Peer) -> None:
        """Send unacknowledged chunks again if the receiver made no progress for RESEND."""
        transfer = self.transfers[peer.node]
        if self.voter.now - transfer.last_progress_at >= chunked_transfer.RESEND:
            transfer.resume(self.voter.now)
            self._send_due(peer)

    def finish(self, peer: peers.Peer, version: tuple[int, int]) -> None:
        """Handle a member's response to `version`: the transfer is over if it led to that version or an older one."""
        transfer = self.transfers.get(peer.node)
        if transfer is not None and (
            version == transfer.content.version or (peer.accepted or NO_VERSION) >= transfer.content.version
        ):
            del self.transfers[peer.node]
            # Nothing else was sent to the member during the transfer; the changes since must still be offered to it.
            peer.sent_version = None

    def forget_unused(self) -> None:
        """Drop the transfers to members absent for longer than RETENTION, and the full states that none uses."""
        oldest = self.voter.now - chunked_transfer.RETENTION
        peers_here, readers = self.leadership.peers, self.voter.chunk_readers
        for node in [n for n, t in self.transfers.items() if n not in peers_here and t.last_progress_at < oldest]:
            del self.transfers[node]
        used = {id(transfer.content) for transfer in self.transfers.values()}
        self.full_states = {key: content for key, content in self.full_states.items() if id(content) in used}
        if len(readers) > 2 * len(peers_here) + CHUNK_READERS_SPARE:
            readers &= set(peers_here)
