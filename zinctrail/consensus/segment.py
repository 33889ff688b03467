"""The open segment: the versions that will be merged into the next segment file."""

import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage

# The most rows of the versions loaded from the data folder that the first segment after a start takes up.
ROWS_AT_START = 2048


class Segment:
    """The rows of consecutive versions, and the files that hold these versions individually so far."""

    def __init__(self, base: storage.Version) -> None:
        # The version that the first version of the segment builds on.
        self.base = base
        # The files that the segment file will replace, in the order of their versions.
        self.files: list[str] = []
        # The newest value of each key: {(table, key): value, None if the key is removed}.
        self.rows: dict[tuple[str, str], object] = {}

    @classmethod
    def from_folder(cls, loaded: replica.Replica) -> 'Segment':
        """Return a segment with the newest versions that the data folder held, up to ROWS_AT_START rows."""
        segment = cls(loaded.accepted)
        newest: list[replica.LoadedVersion] = []
        rows_remaining = ROWS_AT_START
        for version in reversed(loaded.loaded_versions):
            rows_remaining -= len(version.rows)
            if rows_remaining < 0:
                break
            newest.insert(0, version)
        if newest:
            segment.base = newest[0].base
        for version in newest:
            segment.add(version.version, version.rows)
        return segment

    def add(self, version: storage.Version, rows: replica.Rows) -> None:
        """Add a version that is written to a file of its own."""
        self.files.append(storage.version_name(version))
        self.rows.update(((table, key), value) for table, key, value in rows)

    def take_replaced_files(self) -> list[str]:
        """Return the files that the segment file replaces, and remove them from `files`.

        Only the newest file stays in `files`, because the segment file takes over its name.
        """
        replaced, self.files = self.files[:-1], self.files[-1:]
        return replaced

    def document(self, version: storage.Version) -> storage.VersionFile:
        """Return the content of a segment file with all rows, up to `version`."""
        rows = [[table, key, value] for (table, key), value in self.rows.items()]
        return {'term': version[0], 'gen': version[1], 'base': self.base, 'rows': rows}
