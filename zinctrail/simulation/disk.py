"""A simulated disk: files as they are, and separately as they would survive a power loss."""

import typing

import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

IDENTITY_FILE = 'node'


class Disk:
    """The disk of one machine: synced writes survive a power loss, unsynced writes may be lost."""

    # Whether writes are synced. Tests switch this off to show that checkers detect the loss of unsynced writes. The
    # identity file is always synced: a node that had lost it as well would wait for the others, and would not reveal
    # its older state.
    syncs = True

    def __init__(self):
        # The contents of files by name: the current ones, and those that survive a power loss.
        self.files: dict[str, str] = {}
        self.synced: dict[str, str] = {}
        self.full = False
        # How long each write blocks its process.
        self.stall = durations.ZERO
        self.writes = 0
        # Names of files that are no longer needed; each write overwrites or removes the oldest.
        self.obsolete: list[str] = []
        # Names of obsolete files that are removed and never overwritten.
        self.only_removed: set[str] = set()
        # The chunks of incomplete files, by file name.
        self.chunks: dict[str, list[str]] = {}

    def carry_out(self, effect: effects.Write | effects.WriteChunk | effects.CommitChunks) -> None:
        """Carry out a write effect.

        :raises errors.DiskError: the disk is full.
        """
        if isinstance(effect, effects.WriteChunk):
            self.write_chunk(effect.name, effect.text, effect.first)
        elif isinstance(effect, effects.CommitChunks):
            content = effect.head + ''.join(self.chunks.pop(effect.name))[len(effect.head) :]
            self.write(effect.name, content, effect.obsolete_files)
        else:
            self.write(effect.name, effect.text, effect.obsolete_files, effect.may_be_read)

    def write_chunk(self, name: str, text: str, is_first: bool) -> None:
        """Append a chunk to an incomplete file; the first chunk begins the file anew."""
        if self.full:
            raise errors.DiskError('no space left', name)
        if is_first:
            self.chunks[name] = []
        self.chunks[name].append(text)

    def write(self, name: str, text: str, obsolete: typing.Iterable[str], only_remove: bool = False) -> None:
        """Write a complete file, after which the files named in `obsolete` are no longer needed."""
        if self.full:
            raise errors.DiskError('no space left', name)
        self.writes += 1
        # transport.disk overwrites obsolete files too, the oldest first.
        if self.obsolete:
            self.files.pop(self.obsolete.pop(0), None)
        self.files[name] = text
        self.obsolete += [other for other in obsolete if other != name]
        if only_remove:
            self.only_removed.update(obsolete)
        else:
            self.only_removed.difference_update(obsolete)
        if self.syncs:
            self.synced = dict(self.files)
        elif name == IDENTITY_FILE:
            self.synced[name] = text

    def lose_power(self) -> None:
        """Revert the files to their synced contents."""
        self.chunks = {}
        self.files = dict(self.synced)
        # The obsolete file that was being overwritten may have its old name and new bytes.
        for name in self.obsolete[:1]:
            if name in self.files and name not in self.only_removed:
                self.files[name] = 'half written over'

    def wipe(self) -> None:
        """Lose all files, as if the disk was replaced."""
        self.files = {}
        self.synced = {}
        self.obsolete = []
