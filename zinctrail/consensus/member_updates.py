"""Replication to the individual members: the versions that each lacks, and notices of commits."""

import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.history as history
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.member as member
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers

# From this number of changes on, only the last value of each key is sent.
MERGE_FROM = 64


class SharedFrame(typing.NamedTuple):
    """A frame shared by all members that lack the same versions."""

    frame: codec.Frame
    # Whether the frame holds the complete state instead of changes.
    is_full_state: bool


class MemberUpdates(leader_part.LeaderPart):
    """Sends each member the versions that it lacks, and notices of commits."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # The frames that carry the newest version, shared by all members that lack the same versions:
        # {(accepted, version, whether for a control node, base, commit notice in the frame): frame}.
        self.shared_frames: dict[tuple, SharedFrame] = {}

    def latest_for(self, peer: peers.Peer) -> tuple[int, int]:
        """Return the newest version of the data that a member stores: of the complete state, or of the routes only."""
        if peer.is_control_node:
            return self.voter.replica.accepted
        return member.as_version(self.voter.replica.latest('meta', 'routes'))

    def committed_for(self, peer: peers.Peer) -> tuple[int, int]:
        """Return the newest committed version of the data that a member stores."""
        if peer.is_control_node:
            return self.voter.replica.committed
        return member.as_version(self.voter.replica.get('meta', 'routes'))

    def changes_since(self, base: tuple[int, int], everything: bool) -> tuple[list, list] | None:
        """Return (rows, versions between) from `base` to the newest version; None if `base` is too old.

        :param everything: if true all rows, else only those of the routes.
        """
        changes = self.voter.history.since(base, everything)
        if not changes:
            return None
        rows = history.rows_between(changes, everything)
        if len(changes) >= MERGE_FROM:
            rows = history.latest_rows(rows)
            # With more changed rows than the state has, sending the complete state is cheaper.
            if len(rows) > self.voter.replica.size():
                return None
        return rows, [change.at for change in reversed(changes)][1:]

    def send_missing(self, peer: peers.Peer):
        """Send a member what it lacks: the changes since its version, or the complete state."""
        transfers = self.leadership.state_transfers
        if peer.sent_version is None:
            # Before a member's first response its version is unknown; and a chunked transfer in progress continues.
            if peer.accepted is None or transfers.resume(peer) or self._catch_up_in_chunks(peer):
                return
        elif transfers.is_under_way(peer):
            return
        voter = self.voter
        version = self.latest_for(peer)
        base = peer.sent_version or peer.accepted
        # The commit notice is included, so that a control node needs no separate frame for it.
        committed = (
            voter.replica.committed if peer.is_control_node and voter.replica.committed[0] == voter.term else None
        )
        peer.sent_at, peer.sent_version = voter.now, version
        peer.notified_commit = committed or peer.notified_commit
        shared = self._shared_frame(version, peer.is_control_node, base, committed)
        if shared.is_full_state:
            voter.counts['full'] += 1
        voter.send(peer.address, shared.frame, peer.level >= 2)

    def _catch_up_in_chunks(self, peer):
        """Start a chunked transfer if a member lacks too much for one frame; return True if one was started."""
        found = self.changes_since(peer.accepted, peer.is_control_node)
        return self.leadership.state_transfers.begin(peer, peer.accepted, found and found[0])

    def _shared_frame(self, version, everything, base, committed):
        """Return the frame with a version; it is built and encoded once, because most members lack the same versions."""
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
            # The member may have accepted any of these versions meanwhile. Rows hold complete values, so that they can
            # be applied to each of them too.
            message.between = between or None
        else:
            message.tables = voter.replica.full_state(routes=not everything)
        return message

    def notify_commit(self, peer: peers.Peer):
        """Notify a member of the newest committed version among those that it has accepted."""
        if peer.accepted is None:
            return
        voter = self.voter
        if peer.accepted[0] == voter.term:
            version = min(peer.accepted, voter.replica.committed)
        else:
            # A version of an older term may never have been committed, unless this term builds on it.
            version = peer.accepted if peer.accepted == self.latest_for(peer) else (0, 0)
        is_useful = peer.is_control_node or version == peer.accepted
        if version > peer.notified_commit and version <= voter.replica.committed and is_useful:
            peer.notified_commit = version
            voter.send_message(
                peer.address, messages.Commit(term=voter.term, version=version, http=voter.location.http)
            )
