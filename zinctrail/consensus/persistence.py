"""A voter's durable writes: its identity, its term and vote, and the versions that it accepts."""

import typing

import zinctrail.consensus.data_folder as data_folder
import zinctrail.consensus.replica as replica
import zinctrail.consensus.segment as segment
import zinctrail.consensus.snapshot_writer as snapshot_writer
import zinctrail.consensus.storage as storage
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

# A segment is closed once its file has this size; rewriting a larger one for further versions would take too long.
SEGMENT_BYTES = 1 << 20
# How long after a failed write the next write is tried.
DISK_RETRY = durations.ms(1000)
# The messages that a voter with a failed disk still handles, because their responses need no writes.
KINDS_WITHOUT_WRITES = ('probe', 'probe_re', 'ask_re', 'fetched')


class PersistentVoter(typing.Protocol):
    """The interface of the voter that Persistence uses."""

    node: str
    term: int
    vote: str | None
    replica: replica.Replica
    settings: settings.Settings
    out: list

    def identity(self) -> storage.NodeFile:
        """Return the content of the file `node`: the voter's identity and its state in forming a cluster."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence about an event."""


class Persistence:
    """Writes a voter's durable state, before the responses that depend on it are sent.

    :param files: the data folder as it was found, {name: text}.
    """

    def __init__(
        self,
        voter: PersistentVoter,
        folder: data_folder.DataFolder,
        snapshots: snapshot_writer.SnapshotWriter,
        files: dict[str, str],
    ) -> None:
        self.voter = voter
        self.folder = folder
        self.snapshots = snapshots
        # Whether a write failed, and the durable state has not been rewritten since.
        self.disk_failed = False
        loaded = voter.replica
        chain = [storage.version_name(version.version) for version in loaded.loaded_versions]
        unread = {*storage.obsolete_files(files), *chain}
        # Version files that a segment replaced, but that were still in the folder at the start.
        self.superseded_files = sorted(
            name for name in files if name.startswith(storage.VERSION_PREFIX) and name not in unread
        )
        self.changes_since_snapshot = 0
        # The bytes of all versions written since the newest snapshot, and those in files before the open segment.
        self.version_bytes = self.closed_bytes = sum(len(files[name]) for name in chain)
        # The versions since the last closed segment.
        self.segment = segment.Segment.from_folder(loaded)

    # -- identity, term and vote ------------------------------------------

    def start(self) -> None:
        """Write the identity, and remove obsolete files.

        The identity is written at every start because it names the format: from
        here on the folder may hold files that older programs can't read.
        Obsolete files are removed here because they would pile up if restarts
        were more frequent than snapshots.
        """
        obsolete = storage.obsolete_files(self.folder.files) + self.superseded_files
        self.write_identity(obsolete, may_be_read=bool(self.superseded_files))

    def write_identity(self, obsolete: typing.Iterable[str] = (), may_be_read: bool = False) -> None:
        """Write the file `node`, then remove the `obsolete` files."""
        self.folder.write('node', self.voter.identity(), obsolete, may_be_read)

    def write_term(self) -> None:
        """Write the term and the vote in it."""
        term: storage.TermFile = {'term': self.voter.term, 'vote': self.voter.vote}
        self.folder.write('term', term)

    def write_retired(self, successor: str) -> None:
        """Record durably that the cluster `successor` has replaced the voter's cluster."""
        self.folder.write('retired', {'for': successor})

    def discard_state(self) -> None:
        """Remove all versions and snapshots; the identity, the term and the vote stay."""
        self.write_identity(self.folder.state_files())

    # -- versions ---------------------------------------------------------

    def write_version(self, version: storage.Version, base: storage.Version, rows: replica.Rows) -> None:
        """Write the version just accepted, which is `rows` on `base`: a file of its rows, a segment or a snapshot."""
        self.changes_since_snapshot += 1
        every = self.voter.settings.checkpoint_every
        # Due only once the versions are as large as the last snapshot: a large state must not be rewritten in full for
        # a few small versions.
        is_due = self.changes_since_snapshot >= every and self.version_bytes >= self.snapshots.newest_bytes
        if is_due and self.snapshots.is_small():
            self.write_snapshot()
            return
        self.segment.add(version, rows)
        if len(self.segment.files) >= every:
            self._write_segment(version)
        else:
            document: storage.VersionFile = {'term': version[0], 'gen': version[1], 'base': base, 'rows': rows}
            self.version_bytes += self.folder.write(storage.version_name(version), document)
        if is_due and not self.snapshots.is_under_way():
            self.begin_snapshot()

    def _write_segment(self, version: storage.Version) -> None:
        """Merge the files of many versions into one, if the state is too large for a snapshot.

        The base of the segment is that of its first version, so a loader builds
        no state from the files that it replaces. The loader still reads them
        while they exist, so they are removed one by one, and not overwritten.
        """
        replaced = self.segment.take_replaced_files()
        document = self.segment.document(version)
        size = self.folder.write(storage.version_name(version), document, replaced, may_be_read=True)
        self.version_bytes = self.closed_bytes + size
        if size >= SEGMENT_BYTES:
            self.closed_bytes = self.version_bytes
            self.segment = segment.Segment(version)

    # -- snapshots --------------------------------------------------------

    def write_snapshot(self) -> None:
        """Write the accepted state as the newest snapshot: in one write, or by completing the chunks received."""
        self._restart_versions()
        if not self.snapshots.finish_received(self.voter.replica.accepted):
            self.snapshots.write_at_once()

    def begin_snapshot(self) -> None:
        """Begin to write a snapshot of the accepted state in chunks; new versions are written in between."""
        self._restart_versions()
        self.snapshots.begin_own()

    def _restart_versions(self) -> None:
        """Reset the counters towards the next snapshot, and open a new segment: none may span a snapshot."""
        self.changes_since_snapshot = 0
        self.version_bytes = self.closed_bytes = 0
        self.segment = segment.Segment(self.voter.replica.accepted)

    # -- disk errors ------------------------------------------------------

    def record_disk_error(self, text: str) -> None:
        """Handle a failed write: the effects after it were not carried out, and the voter makes no more promises."""
        if not self.disk_failed:
            self.voter.log(
                f'Disk can not be written: {text}. This node does not vote or lead until it can.',
                'disk',
                fit=False,
                why=text,
            )
        self.disk_failed = True
        self.snapshots.abandon()

    def rewrite_all(self) -> None:
        """Write the full durable state again, because any write since the disk error may be missing."""
        self.write_identity()
        self.write_term()
        if self.voter.replica.accepted > storage.NO_VERSION:
            self.write_snapshot()
        self.voter.out.append(effects.NotifyDurable('disk'))

    def record_disk_recovery(self) -> None:
        """Resume normal operation: all writes since the disk error are durable."""
        self.disk_failed = False
        self.voter.log('Disk can be written again.', 'disk', fit=True)
