"""A voter's durable writes: its identity, its term and vote, and the versions that it accepted."""

import typing

import zinctrail.consensus.data_folder as data_folder
import zinctrail.consensus.replica as replica
import zinctrail.consensus.segment as segment
import zinctrail.consensus.snapshot_writer as snapshot_writer
import zinctrail.consensus.storage as storage
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

# A segment is closed once its file holds so many bytes: a larger one would take long to write anew.
SEGMENT_BYTES = 1 << 20
# How long after a failed write the disk is tried again.
DISK_RETRY = durations.ms(1000)
# What a voter whose disk can not be written still takes: messages whose answers need no writing.
KINDS_WITHOUT_WRITES = ('probe', 'probe_re', 'ask_re', 'fetched')


class PersistentVoter(typing.Protocol):
    """What the durable writes need of the voter whose state they hold."""

    node: str
    term: int
    vote: str | None
    replica: replica.Replica
    settings: settings.Settings
    out: list

    def identity(self) -> storage.NodeFile:
        """Who this voter is, and its part in forming a cluster."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence about an event."""


class Persistence:
    """Writes what a voter must not forget, before its answers leave.

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
        # Whether the disk can not be written.
        self.disk_failed = False
        loaded = voter.replica
        chain = [storage.version_name(version.version) for version in loaded.loaded]
        unread = {*storage.obsolete_files(files), *chain}
        # Files that a segment replaced, and that were not removed yet at the start.
        self.superseded_files = sorted(
            name for name in files if name.startswith(storage.VERSION_PREFIX) and name not in unread
        )
        self.changes_since_snapshot = 0
        # The bytes of all versions that were written since the newest snapshot, and those before the open segment.
        self.version_bytes = self.closed_bytes = sum(len(files[name]) for name in chain)
        # The changes since the last segment that was closed.
        self.segment = segment.Segment.from_folder(loaded)

    # -- identity, term and vote ------------------------------------------

    def start(self) -> None:
        """Write the identity, and forget obsolete files with it.

        It is written at every start: from here on the folder may hold what older
        programs can't read. Over restarts that are more frequent than snapshots
        the obsolete files would pile up.
        """
        obsolete = storage.obsolete_files(self.folder.files) + self.superseded_files
        self.write_identity(obsolete, may_be_open=bool(self.superseded_files))

    def write_identity(self, obsolete: typing.Iterable[str] = (), may_be_open: bool = False) -> None:
        """Write the file `node`, then forget the `obsolete` files."""
        self.folder.write('node', self.voter.identity(), obsolete, may_be_open)

    def write_term(self) -> None:
        """Write the term and the vote in it."""
        term: storage.TermFile = {'term': self.voter.term, 'vote': self.voter.vote}
        self.folder.write('term', term)

    def write_retired(self, successor: str) -> None:
        """Write down that the voter's cluster was given up for another one."""
        self.folder.write('retired', {'for': successor})

    def discard_state(self) -> None:
        """Forget all versions and snapshots; the identity, the term and the vote in it stay."""
        self.write_identity(self.folder.state_files())

    # -- versions ---------------------------------------------------------

    def write_version(self, version: storage.Version, base: storage.Version, rows: replica.Rows) -> None:
        """Write the version just accepted, which is `rows` on `base`: them, or a snapshot where one is due."""
        self.changes_since_snapshot += 1
        every = self.voter.settings.checkpoint_every
        # By size too: a large state must not be written whole for a few small versions.
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
        """Gather the files of many versions into one, where the state is too large for a snapshot of them.

        Its base is that of the first, so that a reader passes over those that
        it takes the place of; as long as it does look at them, they are
        removed one by one, and not written over.
        """
        replaced = self.segment.take_replaced_files()
        document = self.segment.document(version)
        size = self.folder.write(storage.version_name(version), document, replaced, may_be_open=True)
        self.version_bytes = self.closed_bytes + size
        if size >= SEGMENT_BYTES:
            self.closed_bytes = self.version_bytes
            self.segment = segment.Segment(version)

    # -- snapshots --------------------------------------------------------

    def write_snapshot(self) -> None:
        """Write all that is accepted as the newest snapshot, at once or as the end of its chunks."""
        self._restart_versions()
        if not self.snapshots.finish_received(self.voter.replica.accepted):
            self.snapshots.write_at_once()

    def begin_snapshot(self) -> None:
        """Begin to write what is accepted now in chunks; changes go on being written behind it."""
        self._restart_versions()
        self.snapshots.begin_own()

    def _restart_versions(self) -> None:
        """Only what comes after a snapshot counts towards the next, and no segment may reach over it."""
        self.changes_since_snapshot = 0
        self.version_bytes = self.closed_bytes = 0
        self.segment = segment.Segment(self.voter.replica.accepted)

    # -- a disk that fails ------------------------------------------------

    def record_disk_error(self, text: str) -> None:
        """A write failed: the effects behind it were not carried out, and nothing more is promised."""
        if not self.disk_failed:
            self.voter.log(f'Disk can not be written: {text}. Does not vote or lead.', 'disk', fit=False, why=text)
        self.disk_failed = True
        self.snapshots.abandon()

    def rewrite_all(self) -> None:
        """Write everything again: any of the writes since the fault may be the one that is missing."""
        self.write_identity()
        self.write_term()
        if self.voter.replica.accepted > storage.NO_VERSION:
            self.write_snapshot()
        self.voter.out.append(effects.NotifyDurable('disk'))

    def record_disk_recovery(self) -> None:
        """All writes since the fault are durable."""
        self.disk_failed = False
        self.voter.log('Disk can be written again.', 'disk', fit=True)
