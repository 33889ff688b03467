"""Snapshots of the state: small ones written at once, large ones in chunks so that no heartbeat waits for them."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.data_folder as data_folder
import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage
import zinctrail.consensus.version_receiver as version_receiver
import zinctrail.runtime.durations as durations

# Smaller states are written at once.
AT_ONCE_BYTES = 1 << 20
AT_ONCE_ROWS = 4096
# How long after a chunk the next one of our own snapshot is written.
PAUSE = durations.ms(20)
# The timer of the next chunk.
TIMER = 'snapshot'


@dataclasses.dataclass(slots=True)
class OpenSnapshot:
    """A snapshot that is being written in chunks."""

    text: storage.SnapshotText
    # Its rows where it is our own; None for a state that is received.
    content: chunked_transfer.Content | None
    # The number of the next chunk of them.
    next_chunk: int = 0
    written_bytes: int = 0

    def is_received(self, version: storage.Version) -> bool:
        """Whether it is that of a version which is received in chunks."""
        return self.content is None and self.text.at == version


class SnapshottedVoter(typing.Protocol):
    """What the snapshots need of the voter whose state they hold."""

    replica: replica.Replica
    version_receiver: version_receiver.VersionReceiver
    timers: dict[str, datetime.timedelta]

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or move it."""


class SnapshotWriter:
    """Writes a voter's snapshots.

    One is under way at a time: our own, of a version that is kept as it was
    while the state goes on, or that of a state which is received in chunks.

    :param files: the data folder as it was found, {name: text}.
    """

    def __init__(self, voter: SnapshottedVoter, folder: data_folder.DataFolder, files: dict[str, str]) -> None:
        self.voter = voter
        self.folder = folder
        # The length of the newest snapshot.
        self.newest_bytes = max(
            (len(text) for name, text in files.items() if name.startswith(storage.SNAPSHOT_PREFIX)), default=0
        )
        # The snapshot that is being written in chunks.
        self.open_snapshot: OpenSnapshot | None = None

    def is_small(self) -> bool:
        """Whether the state is small enough for a snapshot that is written at once."""
        return self.newest_bytes < AT_ONCE_BYTES and self.voter.replica.size() < AT_ONCE_ROWS

    def write_at_once(self) -> None:
        """Write all that is accepted as the newest snapshot; one that is under way is given up."""
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
        """Whether a snapshot is under way; that of a state which is not received any more does not count."""
        if self.open_snapshot is None:
            return False
        return self.open_snapshot.content is not None or self.voter.version_receiver.incoming is not None

    def abandon(self) -> None:
        """Give up the snapshot that is under way."""
        self.open_snapshot = None
        self.voter.timers.pop(TIMER, None)

    def _begin(self, version: storage.Version, content: chunked_transfer.Content | None) -> None:
        """Begin to write the snapshot of a version in chunks; one that is under way is given up."""
        self.abandon()
        self.open_snapshot = OpenSnapshot(storage.SnapshotText(version), content)
        self._write_chunk(self.open_snapshot, self.open_snapshot.text.begin(), first=True)

    def _write_chunk(self, snapshot: OpenSnapshot, text: str, first: bool = False) -> None:
        snapshot.written_bytes += len(text)
        self.folder.write_chunk(storage.snapshot_name(snapshot.text.at), text, first)

    def _finish(self, snapshot: OpenSnapshot) -> None:
        """The snapshot that was written in chunks becomes the newest one."""
        text, name = snapshot.text, storage.snapshot_name(snapshot.text.at)
        self._write_chunk(snapshot, text.end())
        self.abandon()
        obsolete = tuple(
            file for file in self.folder.state_files() if storage.version_of(file) <= text.at and file != name
        )
        self.newest_bytes = snapshot.written_bytes
        self.folder.commit_chunks(name, text.head(), obsolete)

    # -- our own ----------------------------------------------------------

    def begin_own(self) -> None:
        """Begin to write what is accepted now in chunks."""
        version = self.voter.replica.accepted
        self._begin(version, chunked_transfer.Content.full_state(version, self.voter.replica.full_state()))
        self.voter.set_timer(TIMER, PAUSE)

    def write_next_chunk(self) -> None:
        """Write the next chunk of our own snapshot, if one is under way."""
        snapshot = self.open_snapshot
        if snapshot is None or snapshot.content is None:
            return
        rows = snapshot.content.take_chunk(snapshot.next_chunk)
        snapshot.next_chunk += 1
        if rows is None:
            self._finish(snapshot)
        else:
            self._write_chunk(snapshot, snapshot.text.rows(rows))
            self.voter.set_timer(TIMER, PAUSE)

    # -- of a state that is received in chunks ----------------------------

    def chunk_received(self, incoming: chunked_transfer.Incoming, rows: replica.Rows) -> None:
        """Write a chunk of a whole state as it comes, so that not all of it has to be written at its end."""
        if incoming.tables is None:
            return
        version = incoming.key.version
        if incoming.received == 1:
            self._begin(version, None)
        snapshot = self.open_snapshot
        if snapshot is not None and snapshot.is_received(version):
            self._write_chunk(snapshot, snapshot.text.rows(rows))

    def finish_received(self, version: storage.Version) -> bool:
        """Complete the snapshot of a version that was written in chunks as it came; False if it was not."""
        snapshot = self.open_snapshot
        if snapshot is None or not snapshot.is_received(version) or not snapshot.text.fit:
            return False
        self._finish(snapshot)
        return True
