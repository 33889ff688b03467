"""The file formats of a voter's data folder; this module does no I/O.

  node          the node's id, the folder's format (1 if missing), and the node's state in forming a cluster
  term          the current term, and the vote in it
  ckpt-G-T      a snapshot: the full state as of generation G, accepted in term T
  gen-G-T       the rows of one version or of several, and the version that they build on

Every file is one line: a CRC-32, a space, JSON.
"""

import collections.abc
import json
import typing
import zlib

import zinctrail.consensus.replica as replica
import zinctrail.errors as errors

# Format 2: locks name their acquisition, call results name their operation, removed incarnations are rows.
FORMAT = 2
NO_VERSION = (0, 0)
VERSION_PREFIX, SNAPSHOT_PREFIX = 'gen-', 'ckpt-'
STATE_PREFIXES = (VERSION_PREFIX, SNAPSHOT_PREFIX)

Version = tuple[int, int]


class PromisedSet(typing.TypedDict):
    """The cluster that a node has promised to form, and the nodes of that cluster."""

    cluster: str
    # Increases with each promise of a node.
    number: int
    nodes: list[str]


class NodeFile(typing.TypedDict):
    """Content of the file `node`."""

    id: str
    format: typing.NotRequired[int]
    # Whether the node may form a cluster: it took part in the system's first start, and has kept its disk since.
    may_form: typing.NotRequired[bool]
    promised: typing.NotRequired[PromisedSet | None]
    # The sets of nodes that the node promised to form a cluster with earlier.
    earlier_sets: typing.NotRequired[list[list[str]]]


class TermFile(typing.TypedDict):
    """Content of the file `term`."""

    term: int
    vote: str | None


class VersionFile(typing.TypedDict):
    """Content of a file `gen-G-T`."""

    term: int
    gen: int
    # The (term, generation) of the version that the rows build on.
    base: collections.abc.Sequence[int]
    rows: replica.Rows


class SnapshotFile(typing.TypedDict):
    """Content of a file `ckpt-G-T`."""

    term: int
    gen: int
    tables: dict[str, dict]


class FolderDocuments(typing.NamedTuple):
    """The newest snapshot of a data folder, and the versions after it."""

    # NO_VERSION without a snapshot.
    snapshot_version: Version
    snapshot: SnapshotFile | None
    versions: dict[Version, VersionFile]


class LoadedFolder(typing.NamedTuple):
    """The state loaded from a data folder; `node` is None if the folder is empty."""

    node: str | None
    cluster: str
    term: int
    vote: str | None
    replica: replica.Replica


def encode(document: typing.Any) -> str:
    """Encode a document as the text of a file."""
    text = json.dumps(document, separators=(',', ':'), sort_keys=True)
    return f'{zlib.crc32(text.encode()):08x} {text}'


def decode(name: str, text: str) -> typing.Any:
    """Decode the document in a file; raises errors.CorruptionError if its checksum does not match."""
    try:
        checksum, body = text.split(' ', 1)
        if int(checksum, 16) != zlib.crc32(body.encode()):
            raise ValueError('checksum')
        return json.loads(body)
    except ValueError as error:
        raise errors.CorruptionError(str(error), name) from error


class SnapshotText:
    """Builds the text of a snapshot a few rows at a time; the rows of one table must be contiguous."""

    # Takes the place of the checksum until that is known.
    PLACEHOLDER = '0' * 8 + ' '

    def __init__(self, version: Version) -> None:
        self.version = version
        # The CRC-32 of the text after the placeholder so far.
        self.checksum = 0
        # The table of the last row, and all tables begun so far.
        self.table: str | None = None
        self.tables: set[str] = set()
        # Whether the rows of each table were contiguous so far; otherwise the text is no valid snapshot.
        self.is_contiguous = True

    def begin(self) -> str:
        """Return the beginning of the file."""
        return self.PLACEHOLDER + self._counted(f'{{"gen":{self.version[1]},"tables":{{')

    def rows(self, rows: list) -> str:
        """Return the text of further rows."""
        parts = []
        for table, key, value in rows:
            if table != self.table:
                # A table whose JSON object was closed can't take further rows.
                self.is_contiguous = self.is_contiguous and table not in self.tables
                parts.append(f'{"}," if self.tables else ""}{json.dumps(table)}:{{')
                self.table = table
                self.tables.add(table)
            else:
                parts.append(',')
            parts.append(f'{json.dumps(key)}:{json.dumps(value, separators=(",", ":"))}')
        return self._counted(''.join(parts))

    def end(self) -> str:
        """Return the end of the file."""
        return self._counted(f'{"}" if self.tables else ""}}},"term":{self.version[0]}}}')

    def head(self) -> str:
        """Return the checksum that replaces PLACEHOLDER."""
        return f'{self.checksum:08x} '

    def _counted(self, text: str) -> str:
        self.checksum = zlib.crc32(text.encode(), self.checksum)
        return text


def version_name(version: Version) -> str:
    """Return the name of the file with the rows of a version."""
    return f'{VERSION_PREFIX}{version[1]:016d}-{version[0]:08d}'


def snapshot_name(version: Version) -> str:
    """Return the name of the snapshot file of a version."""
    return f'{SNAPSHOT_PREFIX}{version[1]:016d}-{version[0]:08d}'


def version_of(name: str) -> Version:
    """Parse the version in a file's name; raises errors.CorruptionError if there is none."""
    try:
        _, generation, term = name.split('-')
        return int(term), int(generation)
    except ValueError as error:
        raise errors.CorruptionError('the file name holds no version', name) from error


def versions_of(names: typing.Iterable[str]) -> tuple[dict[str, Version], Version]:
    """Return ({name: version} of all snapshots and version files, the version of the newest snapshot)."""
    versions = {name: version_of(name) for name in names if name.startswith(STATE_PREFIXES)}
    snapshots = [version for name, version in versions.items() if name.startswith(SNAPSHOT_PREFIX)]
    return versions, max(snapshots, default=NO_VERSION)


def obsolete_files(names: typing.Iterable[str]) -> list[str]:
    """Return the names of the snapshots and version files that the newest snapshot supersedes, sorted."""
    versions, newest = versions_of(names)
    return sorted(
        name
        for name, version in versions.items()
        if version < newest or (version == newest and name != snapshot_name(newest))
    )


def load(files: dict[str, str]) -> LoadedFolder:
    """Load the state from the files of a data folder, {name: text}.

    Raises errors.CorruptionError if acknowledged data is missing or damaged,
    errors.FormatError if a newer program wrote the folder.
    """
    if 'node' not in files:
        # Without the node's id the other files can't be trusted.
        if any(name.startswith(STATE_PREFIXES) or name == 'term' for name in files):
            raise errors.CorruptionError('is missing, but files with acknowledged data exist', 'node')
        return LoadedFolder(None, '', 0, None, replica.Replica())
    node = load_node(files)
    term: TermFile = decode('term', files['term']) if 'term' in files else {'term': 0, 'vote': None}
    documents = load_documents(files)
    loaded = load_replica(documents)
    newest = max(documents.versions, default=documents.snapshot_version)
    # A gap in the chain of versions means that acknowledged data was lost.
    has_gap = loaded.accepted < newest or (newest > NO_VERSION and 'term' not in files) or newest[0] > term['term']
    if has_gap:
        raise errors.CorruptionError(
            f'the chain of versions ends at {loaded.accepted}, but the newest file has version {newest}'
        )
    cluster = loaded.latest('meta', 'cluster') or ''
    return LoadedFolder(node['id'], cluster, term['term'], term['vote'], loaded)


def load_node(files: dict[str, str]) -> NodeFile:
    """Load the file `node`; raises errors.FormatError if the folder's format is newer than this program's."""
    node: NodeFile = decode('node', files['node'])
    level = node.get('format', 1)
    if level > FORMAT:
        raise errors.FormatError(
            f'data folder has format {level}, this program reads up to {FORMAT}: start the release that wrote it'
        )
    return node


def load_documents(files: dict[str, str]) -> FolderDocuments:
    """Load the newest snapshot and the versions after it.

    Older files are not read: they are obsolete, and may be partly overwritten.
    Raises errors.CorruptionError if a file is damaged or holds another version
    than its name says.
    """
    versions, newest_snapshot = versions_of(files)
    documents = {
        name: decode(name, files[name])
        for name, version in versions.items()
        if version > newest_snapshot or name == snapshot_name(newest_snapshot)
    }
    for name, document in documents.items():
        # A reused file may have a valid checksum and still hold the content of another file.
        if (document.get('term'), document.get('gen')) != versions[name]:
            raise errors.CorruptionError('holds another version than its name says', name)
    snapshot: SnapshotFile | None = documents.pop(snapshot_name(newest_snapshot), None)
    return FolderDocuments(newest_snapshot, snapshot, {versions[name]: documents[name] for name in documents})


def load_replica(documents: FolderDocuments) -> replica.Replica:
    """Build the state from a snapshot and the chain of versions that follows it."""
    loaded = replica.Replica()
    if documents.snapshot is not None and documents.snapshot_version > NO_VERSION:
        loaded.accept(documents.snapshot_version, tables=documents.snapshot['tables'])
    # {base: the newest version that builds on it}
    following: dict[Version, Version] = {}
    for version, document in documents.versions.items():
        base = (document['base'][0], document['base'][1])
        following[base] = max(following.get(base, version), version)
    while loaded.accepted in following:
        version = following[loaded.accepted]
        rows = documents.versions[version]['rows']
        routes_before = tuple(loaded.latest('meta', 'routes') or NO_VERSION)
        loaded.loaded_versions.append(replica.LoadedVersion(version, loaded.accepted, rows, routes_before))
        loaded.accept(version, rows=rows)
    # Applied to the tables, because the folder does not record which of the versions are committed.
    loaded.apply_pending()
    return loaded
