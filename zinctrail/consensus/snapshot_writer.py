"""Writes snapshots of the state: small ones in one write, large ones in chunks so as not to delay heartbeats."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.data_folder as data_folder
import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage
import zinctrail.consensus.version_receiver as version_receiver
import zinctrail.runtime.durations as durations

# States with fewer bytes and fewer rows are written in one write.
AT_ONCE_BYTES = 1 << 20
AT_ONCE_ROWS = 4096
# The interval between the chunks of a local snapshot.
CHUNK_INTERVAL = durations.ms(20)
# The name of the timer for the next chunk.
TIMER = 'snapshot'


@dataclasses.dataclass(slots=True)
class OpenSnapshot:
    """A snapshot that is being written in chunks."""

    text: storage.SnapshotText
    # The rows of a local snapshot; None for a state that is being received.
    content: chunked_transfer.Content | None
    # The number of the next chunk of `content` to write.
    next_chunk: int = 0
    written_bytes: int = 0

    def is_received(self, version: storage.Version) -> bool:
        """True if this is the snapshot of `version`, written as the version is received in chunks."""
        return self.content is None and self.text.version == version


class SnapshottedVoter(typing.Protocol):
    """The interface of the voter that SnapshotWriter uses."""

    replica: replica.Replica
    version_receiver: version_receiver.VersionReceiver
    timers: dict[str, datetime.timedelta]

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or reset it if it is set already."""


class SnapshotWriter:
    """Writes a voter's snapshots.

    At most one is in progress: a local snapshot, of a version that stays
    unchanged while the state advances, or the snapshot of a state that is being
    received in chunks.

    :param files: the data folder as it was found, {name: text}.
    """

    def __init__(self, voter: SnapshottedVoter, folder: data_folder.DataFolder, files: dict[str, str]) -> None:
        self.voter = voter
        self.folder = folder
        # The size of the newest complete snapshot.
        self.newest_bytes = max(
            (len(text) for name, text in files.items() if name.startswith(storage.SNAPSHOT_PREFIX)), default=0
        )
        # The snapshot that is being written in chunks.
        self.open_snapshot: OpenSnapshot | None = None

    def is_small(self) -> bool:
        """True if the state is small enough to write its snapshot in one write."""
        return self.newest_bytes < AT_ONCE_BYTES and self.voter.replica.size() < AT_ONCE_ROWS

    def write_at_once(self) -> None:
        """Write the accepted state as the newest snapshot in one write; abandon a snapshot in progress."""
        self.abandon()
        version = self.voter.replica.accepted
        name = storage.snapshot_name(version)
        obsolete = [file for file in self.folder.state_files() if file != name]
        document: storage.SnapshotFile = {
            'term': version[0],
            'gen': version[1],
            'tables': self.voter.replica.full_state(),
        }
        self.newest_bytes = self.folder.write(name, document, obsolete)

    # -- in chunks --------------------------------------------------------

    def is_under_way(self) -> bool:
        """True if a snapshot is in progress; one whose state is no longer being received does not count."""
        if self.open_snapshot is None:
            return False
        return self.open_snapshot.content is not None or self.voter.version_receiver.incoming is not None

    def abandon(self) -> None:
        """Abandon the snapshot in progress, if there is one."""
        self.open_snapshot = None
        self.voter.timers.pop(TIMER, None)

    def _begin(self, version: storage.Version, content: chunked_transfer.Content | None) -> None:
        """Begin to write the snapshot of a version in chunks; abandon a snapshot in progress."""
        self.abandon()
        self.open_snapshot = OpenSnapshot(storage.SnapshotText(version), content)
        self._write_chunk(self.open_snapshot, self.open_snapshot.text.begin(), first=True)

    def _write_chunk(self, snapshot: OpenSnapshot, text: str, first: bool = False) -> None:
        snapshot.written_bytes += len(text)
        self.folder.write_chunk(storage.snapshot_name(snapshot.text.version), text, first)

    def _finish(self, snapshot: OpenSnapshot) -> None:
        """Complete a snapshot that was written in chunks; it becomes the newest one."""
        text, name = snapshot.text, storage.snapshot_name(snapshot.text.version)
        self._write_chunk(snapshot, text.end())
        self.abandon()
        obsolete = tuple(
            file for file in self.folder.state_files() if storage.version_of(file) <= text.version and file != name
        )
        self.newest_bytes = snapshot.written_bytes
        self.folder.commit_chunks(name, text.head(), obsolete)

    # -- local snapshots --------------------------------------------------

    def begin_own(self) -> None:
        """Begin to write a local snapshot of the accepted state in chunks."""
        version = self.voter.replica.accepted
        self._begin(version, chunked_transfer.Content.full_state(version, self.voter.replica.full_state()))
        self.voter.set_timer(TIMER, CHUNK_INTERVAL)

    def write_next_chunk(self) -> None:
        """Write the next chunk of the local snapshot, if one is in progress."""
        snapshot = self.open_snapshot
        if snapshot is None or snapshot.content is None:
            return
        rows = snapshot.content.take_chunk(snapshot.next_chunk)
        snapshot.next_chunk += 1
        if rows is None:
            self._finish(snapshot)
        else:
            self._write_chunk(snapshot, snapshot.text.rows(rows))
            self.voter.set_timer(TIMER, CHUNK_INTERVAL)

    # -- snapshots of a state that is received in chunks ------------------

    def chunk_received(self, incoming: chunked_transfer.Incoming, rows: replica.Rows) -> None:
        """Write a chunk of a full state as it arrives, so that not all chunks have to be written after the last."""
        if incoming.tables is None:
            return
        version = incoming.key.version
        if incoming.received == 1:
            self._begin(version, None)
        snapshot = self.open_snapshot
        if snapshot is not None and snapshot.is_received(version):
            self._write_chunk(snapshot, snapshot.text.rows(rows))

    def finish_received(self, version: storage.Version) -> bool:
        """Complete the snapshot of a version that was written as it was received; False if there is none."""
        snapshot = self.open_snapshot
        if snapshot is None or not snapshot.is_received(version) or not snapshot.text.is_contiguous:
            return False
        self._finish(snapshot)
        return True
