"""The open segment: the versions that the next file of many versions will hold."""

import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage

# How many rows of what a folder held beyond its snapshot may go into the segment begun after a start.
ROWS_AT_START = 2048


class Segment:
    """Rows of versions that follow each other, and the files that hold them one by one so far."""

    def __init__(self, base: storage.Version) -> None:
        # The version that its first one builds on.
        self.base = base
        # The files that it will replace, in the order of their versions.
        self.files: list[str] = []
        # What their rows come to: {(table, key): value, None where the key is removed}.
        self.rows: dict[tuple[str, str], object] = {}

    @classmethod
    def from_folder(cls, loaded: replica.Replica) -> 'Segment':
        """The segment that goes on with the newest versions which the data folder held."""
        segment = cls(loaded.accepted)
        newest: list[replica.LoadedVersion] = []
        rows_left = ROWS_AT_START
        for version in reversed(loaded.loaded):
            rows_left -= len(version.rows)
            if rows_left < 0:
                break
            newest.insert(0, version)
        if newest:
            segment.base = newest[0].base
        for version in newest:
            segment.add(version.version, version.rows)
        return segment

    def add(self, version: storage.Version, rows: replica.Rows) -> None:
        """Add a version that has a file of its own."""
        self.files.append(storage.version_name(version))
        self.rows.update(((table, key), value) for table, key, value in rows)

    def take_replaced_files(self) -> list[str]:
        """The files that one with all the rows replaces; only the newest is left, whose name that one takes."""
        replaced, self.files = self.files[:-1], self.files[-1:]
        return replaced

    def document(self, version: storage.Version) -> storage.VersionFile:
        """The content of a file with all the rows, up to `version`."""
        rows = [[table, key, value] for (table, key), value in self.rows.items()]
        return {'term': version[0], 'gen': version[1], 'base': self.base, 'rows': rows}
