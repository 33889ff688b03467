"""How a voter's durable state is laid out in its data folder, without touching a disk.

  node          the node's id, the format of the folder (1 where none is given), and its part in forming a cluster
  term          the current term, and the vote in it
  ckpt-G-T      a snapshot: the whole state as of generation G, accepted in term T
  gen-G-T       the rows of one version, and the version they build on

Every file is one line: a CRC-32, a space, JSON.
"""

import collections.abc
import json
import typing
import zlib

import zinctrail.consensus.replica as replica
import zinctrail.errors as errors

# 2: locks name their taking, call results what they were for, incarnations gone are rows.
FORMAT = 2
NO_VERSION = (0, 0)
VERSION_PREFIX, SNAPSHOT_PREFIX = 'gen-', 'ckpt-'
STATE_PREFIXES = (VERSION_PREFIX, SNAPSHOT_PREFIX)

Version = tuple[int, int]


class PromisedSet(typing.TypedDict):
    """The cluster that a node has promised to form, and the nodes that form it."""

    cluster: str
    # Rises with each promise of a node.
    number: int
    nodes: list[str]


class NodeFile(typing.TypedDict):
    """The file `node`."""

    id: str
    format: typing.NotRequired[int]
    # Whether the node may form a cluster: it was there when the whole system first started, and kept its disk since.
    may_form: typing.NotRequired[bool]
    promised: typing.NotRequired[PromisedSet | None]
    # The nodes of the clusters that it has promised to form before.
    earlier_sets: typing.NotRequired[list[list[str]]]


class TermFile(typing.TypedDict):
    """The file `term`."""

    term: int
    vote: str | None


class VersionFile(typing.TypedDict):
    """A file `gen-G-T`."""

    term: int
    gen: int
    # A (term, generation) pair.
    base: collections.abc.Sequence[int]
    rows: replica.Rows


class SnapshotFile(typing.TypedDict):
    """A file `ckpt-G-T`."""

    term: int
    gen: int
    tables: dict[str, dict]


class FolderDocuments(typing.NamedTuple):
    """The newest snapshot of a data folder, and the versions after it."""

    # NO_VERSION where there is none.
    snapshot_version: Version
    snapshot: SnapshotFile | None
    versions: dict[Version, VersionFile]


class LoadedFolder(typing.NamedTuple):
    """What a data folder holds; `node` is None for an empty one."""

    node: str | None
    cluster: str
    term: int
    vote: str | None
    replica: replica.Replica


def encode(document: typing.Any) -> str:
    """The text of a file."""
    text = json.dumps(document, separators=(',', ':'), sort_keys=True)
    return f'{zlib.crc32(text.encode()):08x} {text}'


def decode(name: str, text: str) -> typing.Any:
    """The document in a file; raises errors.CorruptionError where its checksum differs."""
    try:
        checksum, body = text.split(' ', 1)
        if int(checksum, 16) != zlib.crc32(body.encode()):
            raise ValueError('checksum')
        return json.loads(body)
    except ValueError as error:
        raise errors.CorruptionError(str(error), name) from error


class SnapshotText:
    """The text of a snapshot, made a few rows at a time; those of one table must come together."""

    # Stands for the checksum until it is known.
    PLACEHOLDER = '0' * 8 + ' '

    def __init__(self, at: Version) -> None:
        self.at = at
        # The CRC-32 of the text after the placeholder so far.
        self.sum = 0
        # The table of the last row, and those that were begun so far.
        self.table: str | None = None
        self.tables: set[str] = set()
        # Whether all rows of each table came together so far, so that the text is a whole snapshot.
        self.fit = True

    def begin(self) -> str:
        """The beginning of the file."""
        return self.PLACEHOLDER + self._counted(f'{{"gen":{self.at[1]},"tables":{{')

    def rows(self, rows: list) -> str:
        """The text of further rows."""
        parts = []
        for table, key, value in rows:
            if table != self.table:
                # Rows of a table that was closed can't be added any more.
                self.fit = self.fit and table not in self.tables
                parts.append(f'{"}," if self.tables else ""}{json.dumps(table)}:{{')
                self.table = table
                self.tables.add(table)
            else:
                parts.append(',')
            parts.append(f'{json.dumps(key)}:{json.dumps(value, separators=(",", ":"))}')
        return self._counted(''.join(parts))

    def end(self) -> str:
        """The end of the file."""
        return self._counted(f'{"}" if self.tables else ""}}},"term":{self.at[0]}}}')

    def head(self) -> str:
        """What takes the place of the placeholder."""
        return f'{self.sum:08x} '

    def _counted(self, text: str) -> str:
        self.sum = zlib.crc32(text.encode(), self.sum)
        return text


def version_name(version: Version) -> str:
    """The name of the file with the rows of a version."""
    return f'{VERSION_PREFIX}{version[1]:016d}-{version[0]:08d}'


def snapshot_name(version: Version) -> str:
    """The name of the snapshot of a version."""
    return f'{SNAPSHOT_PREFIX}{version[1]:016d}-{version[0]:08d}'


def version_of(name: str) -> Version:
    """The version that the name of a file gives; raises errors.CorruptionError where it gives none."""
    try:
        _, generation, term = name.split('-')
        return int(term), int(generation)
    except ValueError as error:
        raise errors.CorruptionError('not a name of ours', name) from error


def versions_of(names: typing.Iterable[str]) -> tuple[dict[str, Version], Version]:
    """({name: version}, that of the newest snapshot)"""
    versions = {name: version_of(name) for name in names if name.startswith(STATE_PREFIXES)}
    snapshots = [version for name, version in versions.items() if name.startswith(SNAPSHOT_PREFIX)]
    return versions, max(snapshots, default=NO_VERSION)


def obsolete_files(names: typing.Iterable[str]) -> list[str]:
    """The files of before the newest snapshot."""
    versions, newest = versions_of(names)
    return sorted(
        name
        for name, version in versions.items()
        if version < newest or (version == newest and name != snapshot_name(newest))
    )


def load(files: dict[str, str]) -> LoadedFolder:
    """Read the files of a data folder, {name: text}.

    Raises errors.CorruptionError where something that was acknowledged is
    missing or damaged, errors.FormatError where a newer program wrote it.
    """
    if 'node' not in files:
        # Without its id nothing else in the folder can be vouched for.
        if any(name.startswith(STATE_PREFIXES) or name == 'term' for name in files):
            raise errors.CorruptionError('missing beside acknowledged files', 'node')
        return LoadedFolder(None, '', 0, None, replica.Replica())
    node = load_node(files)
    term: TermFile = decode('term', files['term']) if 'term' in files else {'term': 0, 'vote': None}
    documents = load_documents(files)
    loaded = load_replica(documents)
    newest = max(documents.versions, default=documents.snapshot_version)
    # A gap in the chain of versions means that something acknowledged is gone.
    has_gap = loaded.accepted < newest or (newest > NO_VERSION and 'term' not in files) or newest[0] > term['term']
    if has_gap:
        raise errors.CorruptionError(f'chain ends at {loaded.accepted}, newest file is {newest}')
    cluster = loaded.latest('meta', 'cluster') or ''
    return LoadedFolder(node['id'], cluster, term['term'], term['vote'], loaded)


def load_node(files: dict[str, str]) -> NodeFile:
    """The file `node`, if this program reads the folder's format."""
    node: NodeFile = decode('node', files['node'])
    level = node.get('format', 1)
    if level > FORMAT:
        raise errors.FormatError(
            f'data folder has format {level}, this program reads up to {FORMAT}: start the program that wrote it'
        )
    return node


def load_documents(files: dict[str, str]) -> FolderDocuments:
    """Read the newest snapshot and the versions after it.

    Older files are not read: they are obsolete, and may be half written over.
    Raises errors.CorruptionError where one is damaged or holds something else.
    """
    versions, newest_snapshot = versions_of(files)
    documents = {
        name: decode(name, files[name])
        for name, version in versions.items()
        if version > newest_snapshot or name == snapshot_name(newest_snapshot)
    }
    for name, document in documents.items():
        # A file that was written over may be whole and still be another's.
        if (document.get('term'), document.get('gen')) != versions[name]:
            raise errors.CorruptionError('holds something else', name)
    snapshot: SnapshotFile | None = documents.pop(snapshot_name(newest_snapshot), None)
    return FolderDocuments(newest_snapshot, snapshot, {versions[name]: documents[name] for name in documents})


def load_replica(documents: FolderDocuments) -> replica.Replica:
    """The state that a snapshot and the chain of versions on it come to."""
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
        loaded.loaded.append(replica.LoadedVersion(version, loaded.accepted, rows, routes_before))
        loaded.accept(version, rows=rows)
    # Folded into the tables, because nobody here knows any more which of the versions are committed.
    loaded.apply_pending()
    return loaded
