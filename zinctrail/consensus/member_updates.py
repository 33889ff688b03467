"""What a leader sends each member: versions that it lacks, and which of them are committed."""

import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.history as history
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.member as member
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers

# From how many changes on only the last value of each key is sent.
MERGE_FROM = 64


class SharedFrame(typing.NamedTuple):
    """A frame that goes to all members that lack the same."""

    frame: codec.Frame
    # Whether it holds the whole state, not changes.
    is_whole_state: bool


class MemberUpdates(leader_part.LeaderPart):
    """Sends members what they lack."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # The frames that carry the newest version, shared by all members that lack the same:
        # {(accepted, version, whether to a control node, base, commit told along): frame}.
        self.shared_frames: dict[tuple, SharedFrame] = {}

    def latest_for(self, peer: peers.Peer) -> tuple[int, int]:
        """The newest version of what a member keeps: everything, or the routes only."""
        if peer.is_control_node:
            return self.voter.replica.accepted
        return member.as_version(self.voter.replica.latest('meta', 'routes'))

    def committed_for(self, peer: peers.Peer) -> tuple[int, int]:
        """The newest committed version of what a member keeps."""
        if peer.is_control_node:
            return self.voter.replica.committed
        return member.as_version(self.voter.replica.get('meta', 'routes'))

    def changes_since(self, base: tuple[int, int], everything: bool) -> tuple[list, list] | None:
        """(rows, versions between) from `base` to the newest version; None if that is too far back.

        :param everything: all rows, else only those of the routes.
        """
        changes = self.voter.history.since(base, everything)
        if not changes:
            return None
        rows = history.rows_between(changes, everything)
        if len(changes) >= MERGE_FROM:
            rows = history.latest_rows(rows)
            # Whoever lacks more rows than there are gets the state.
            if len(rows) > self.voter.replica.size():
                return None
        return rows, [change.at for change in reversed(changes)][1:]

    def offer(self, peer: peers.Peer):
        """Send a member what it lacks: the changes since what it has, or everything."""
        transfers = self.leadership.state_transfers
        if peer.sent_version is None:
            # Before its first answer nothing is known of what it has; and what is on its way in chunks goes on.
            if peer.accepted is None or transfers.resume(peer) or self._catch_up_in_chunks(peer):
                return
        elif transfers.is_under_way(peer):
            return
        voter = self.voter
        version = self.latest_for(peer)
        base = peer.sent_version or peer.accepted
        # Told along, so that a voter learns what is committed without a frame of its own.
        committed = (
            voter.replica.committed if peer.is_control_node and voter.replica.committed[0] == voter.term else None
        )
        peer.sent_at, peer.sent_version = voter.now, version
        peer.notified_commit = committed or peer.notified_commit
        shared = self._shared_frame(version, peer.is_control_node, base, committed)
        if shared.is_whole_state:
            voter.counts['full'] += 1
        voter.send(peer.address, shared.frame, peer.level >= 2)

    def _catch_up_in_chunks(self, peer):
        """Whether what a member was found to lack is sent to it in chunks, being too much for one frame."""
        found = self.changes_since(peer.accepted, peer.is_control_node)
        return self.leadership.state_transfers.begin(peer, peer.accepted, found and found[0])

    def _shared_frame(self, version, everything, base, committed):
        """The frame with a version: most members lack the same, so it is made and encoded once for all of them."""
        accepted = self.voter.replica.accepted
        key = (accepted, version, everything, base, committed)
        if key not in self.shared_frames:
            self.shared_frames = {k: shared for k, shared in self.shared_frames.items() if k[0] == accepted}
            message = self._publish_message(version, everything, base, committed)
            self.shared_frames[key] = SharedFrame(self.voter.frame(message), message.tables is not None)
        return self.shared_frames[key]

    def _publish_message(self, version, everything, base, committed):
        voter = self.voter
        message = messages.Publish(term=voter.term, version=version, http=voter.location.http, committed=committed)
        found = self.changes_since(base, everything) if base else None
        if found:
            message.base = base
            message.rows, between = found
            # The member may have accepted any of these meanwhile: it takes the rows on that too, being whole values.
            message.between = between or None
        else:
            message.tables = voter.replica.full_state(routes=not everything)
        return message

    def notify_commit(self, peer: peers.Peer):
        """Tell a member what is committed of what it has."""
        if peer.accepted is None:
            return
        voter = self.voter
        if peer.accepted[0] == voter.term:
            version = min(peer.accepted, voter.replica.committed)
        else:
            # Of an older term it may hold what never was committed, unless it is what this term builds on.
            version = peer.accepted if peer.accepted == self.latest_for(peer) else (0, 0)
        is_of_use = peer.is_control_node or version == peer.accepted
        if version > peer.notified_commit and version <= voter.replica.committed and is_of_use:
            peer.notified_commit = version
            voter.send_message(
                peer.address, messages.Commit(term=voter.term, version=version, http=voter.location.http)
            )
