"""Transfers in chunks, from the leader to members that lack more than one frame should carry."""

import typing

import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.codec as codec
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

# Of so many members beyond twice the present ones it is remembered that they read chunks.
CHUNK_READERS_SPARE = 64
NO_VERSION = (0, 0)


class StateTransfers(leader_part.LeaderPart):
    """The transfers in chunks that are under way."""

    def __init__(self, voter: leader_part.LeadingVoter, leadership: 'leadership.Leadership') -> None:
        super().__init__(voter, leadership)
        # {member: its transfer}, also of members that are gone for a while.
        self.transfers: dict[str, chunked_transfer.Outgoing] = {}
        # Whole states being sent: {whether everything, and not only the routes: content}.
        self.whole_states: dict[bool, chunked_transfer.Content] = {}

    def is_under_way(self, peer: peers.Peer) -> bool:
        """Whether a member is being sent something in chunks."""
        return peer.node in self.transfers

    def begin(self, peer: peers.Peer, base: tuple[int, int] | None, rows: list | None) -> bool:
        """Whether what a member lacks goes to it in chunks: `rows` on `base`, or everything where rows is None."""
        voter = self.voter
        if peer.node not in voter.chunk_readers:
            return False
        has = peer.accepted or NO_VERSION
        if rows is None:
            content = self._whole_state(peer)
        else:
            content = chunked_transfer.Content(self.leadership.member_updates.latest_for(peer), base, rows)
        if content.is_single() or content.at <= has:
            return False
        if rows is None:
            voter.counts['full'] += 1
        voter.counts['transfers'] += 1
        self.transfers[peer.node] = chunked_transfer.Outgoing(content, voter.now)
        self._send_due(peer)
        return True

    def _whole_state(self, peer: peers.Peer) -> chunked_transfer.Content:
        """A state newer than what a member has; one being sent already will do while changes lead on from it."""
        everything = peer.is_control_node
        content = self.whole_states.get(everything)
        has = peer.accepted or NO_VERSION
        if content is not None and content.at > has and self.voter.history.reaches(content.at, everything):
            return content
        version = self.leadership.member_updates.latest_for(peer)
        content = chunked_transfer.Content.whole(version, self.voter.replica.whole(routes=not everything))
        self.whole_states[everything] = content
        return content

    def resume(self, peer: peers.Peer) -> bool:
        """Go on with a transfer to a member that is back; False if there is none that still serves it."""
        transfer = self.transfers.get(peer.node)
        if transfer is None:
            return False
        content = transfer.content
        has = peer.accepted or NO_VERSION
        fits = content.at > has and content.base in (None, has)
        reads_chunks = peer.node in self.voter.chunk_readers
        if not fits or not reads_chunks or not self.voter.history.reaches(content.at, peer.is_control_node):
            del self.transfers[peer.node]
            return False
        transfer.resume(self.voter.now)
        self._send_due(peer)
        return True

    def _send_due(self, peer: peers.Peer) -> None:
        voter = self.voter
        transfer = self.transfers[peer.node]
        content = transfer.content
        peer.sent_at, peer.sent_version = voter.now, content.at
        for number in transfer.due(voter.now):
            voter.counts['pieces'] += 1
            voter.send(peer.address, self._chunk_frame(content, number), peer.level >= 2)

    def _chunk_frame(self, content: chunked_transfer.Content, number: int) -> codec.Frame:
        """The frame of a chunk: the same object for all receivers, so that it is encoded once for many."""
        if number not in content.frames:
            chunk = messages.Chunk(
                term=self.voter.term,
                version=content.at,
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
        """A member says how many chunks of its transfer it has."""
        node = codec.sender_of(message).node
        peer = self.leadership.peers.get(node)
        transfer = self.transfers.get(node)
        if peer is None or transfer is None:
            return
        peer.last_seen_at = self.voter.now
        if message.version == transfer.content.at and message.base == transfer.content.base:
            transfer.acknowledge(message.received, self.voter.now)
            self._send_due(peer)

    def resend_if_unacknowledged(self, peer: peers.Peer) -> None:
        """Send again what was not acknowledged for long."""
        transfer = self.transfers[peer.node]
        if self.voter.now - transfer.last_seen_at >= chunked_transfer.RESEND:
            transfer.resume(self.voter.now)
            self._send_due(peer)

    def finish(self, peer: peers.Peer, version: tuple[int, int]) -> None:
        """The member answered for `version`; where that is the whole of its transfer, the transfer is over."""
        transfer = self.transfers.get(peer.node)
        if transfer is not None and (
            version == transfer.content.at or (peer.accepted or NO_VERSION) >= transfer.content.at
        ):
            del self.transfers[peer.node]
            # Nothing else was sent to it meanwhile: what changed since is still to come.
            peer.sent_version = None

    def forget_unused(self) -> None:
        """Drop transfers to members that stay away, and whole states that nobody is being sent."""
        oldest = self.voter.now - chunked_transfer.KEPT
        peers_here, readers = self.leadership.peers, self.voter.chunk_readers
        for node in [n for n, t in self.transfers.items() if n not in peers_here and t.last_seen_at < oldest]:
            del self.transfers[node]
        used = {id(transfer.content) for transfer in self.transfers.values()}
        self.whole_states = {key: content for key, content in self.whole_states.items() if id(content) in used}
        if len(readers) > 2 * len(peers_here) + CHUNK_READERS_SPARE:
            readers &= set(peers_here)
