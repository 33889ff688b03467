"""A data folder in memory that models the effects of a loss of power.

After a loss of power each entry that was created, renamed or removed since the
folder was last synced may be preserved or lost independently, and bytes that
were not synced may be old, new or torn.
"""

import collections.abc
import io
import itertools
import os
import types

import zinctrail.transport.disk as disk

FOLDER = '/data'
FIRST_HANDLE = 100

# {path: index of its inode}
Entries = dict[str, int]
# The bytes of each inode.
Contents = list[bytes]


class FolderModel:
    """Implements the calls of `os` that transport.disk makes; inodes and folder entries are synced separately."""

    O_WRONLY, O_CREAT, O_RDONLY, O_TRUNC = os.O_WRONLY, os.O_CREAT, os.O_RDONLY, os.O_TRUNC

    def __init__(self, entries: collections.abc.Mapping[str, int] = types.MappingProxyType({}), contents=()):
        # The bytes of each inode: [synced, newest].
        self.inodes = [[data, data] for data in contents]
        self.entries: Entries = dict(entries)
        self.synced: Entries = dict(entries)
        # {path: inodes that it has named since its folder was last synced, None for no inode}
        self.changed: dict[str, set[int | None]] = {}
        # An open file's [inode, position], or the path of an open folder.
        self.handles: dict[int, list[int] | str] = {}
        # Called after each step that a loss of power may follow.
        self.after_step = lambda: None
        self.path = types.SimpleNamespace(join=os.path.join, isfile=lambda path: path in self.entries)

    def set_entry(self, path: str, inode: int | None) -> None:
        """Set an entry to an inode, or remove it."""
        self.changed.setdefault(path, {self.synced.get(path)}).add(inode)
        if inode is None:
            self.entries.pop(path, None)
        else:
            self.entries[path] = inode

    # -- the calls of os --------------------------------------------------

    def rename(self, old: str, new: str) -> None:
        """As os.rename."""
        if old not in self.entries:
            raise FileNotFoundError(old)
        inode = self.entries[old]
        self.set_entry(old, None)
        self.set_entry(new, inode)
        self.after_step()

    def remove(self, path: str) -> None:
        """As os.remove."""
        if path not in self.entries:
            raise FileNotFoundError(path)
        self.set_entry(path, None)
        self.after_step()

    def mkdir(self, path: str) -> None:
        """Do nothing: folders are not modelled."""

    def getpid(self) -> int:
        """As os.getpid."""
        return 1

    def listdir(self, folder: str) -> list[str]:
        """As os.listdir."""
        return [os.path.basename(path) for path in self.entries if os.path.dirname(path) == folder]

    def stat(self, path: str) -> types.SimpleNamespace:
        """As os.stat, but only with the inode."""
        return types.SimpleNamespace(st_ino=self.entries[path])

    def open(self, path: str, flags: int, mode: int = 0) -> int:
        """As os.open; without O_CREAT the path is a folder."""
        handle = len(self.handles) + FIRST_HANDLE
        if flags & os.O_CREAT:
            if path not in self.entries:
                self.inodes.append([b'', b''])
                self.set_entry(path, len(self.inodes) - 1)
                self.after_step()
            self.handles[handle] = [self.entries[path], 0]
            if flags & os.O_TRUNC:
                self.inodes[self.entries[path]][1] = b''
                self.after_step()
        else:
            self.handles[handle] = path
        return handle

    def write(self, handle: int, data: bytes) -> int:
        """As os.write."""
        inode, position = self.handles[handle]
        self.overwrite(inode, data, position)
        self.handles[handle][1] += len(data)
        self.after_step()
        return len(data)

    def pwrite(self, handle: int, data: bytes, position: int) -> int:
        """As os.pwrite."""
        self.overwrite(self.handles[handle][0], data, position)
        self.after_step()
        return len(data)

    def overwrite(self, inode: int, data: bytes, position: int) -> None:
        """Replace the bytes of an inode from a position on, as far as the data reaches."""
        kept = self.inodes[inode][1]
        self.inodes[inode][1] = kept[:position] + data + kept[position + len(data) :]

    def ftruncate(self, handle: int, size: int) -> None:
        """As os.ftruncate, which here only shortens."""
        inode = self.handles[handle][0]
        self.inodes[inode][1] = self.inodes[inode][1][:size]
        self.after_step()

    def fsync(self, handle: int) -> None:
        """As os.fsync, of a file or of a folder."""
        target = self.handles[handle]
        if isinstance(target, str):
            self.sync_entries(target)
        else:
            self.inodes[target[0]][0] = self.inodes[target[0]][1]
        self.after_step()

    def sync_entries(self, folder: str) -> None:
        """Make the entries of a folder durable."""
        for path in [path for path in self.changed if os.path.dirname(path) == folder]:
            del self.changed[path]
            self.synced.pop(path, None)
            if path in self.entries:
                self.synced[path] = self.entries[path]

    def close(self, handle: int) -> None:
        """Do nothing: handles are never used again."""

    def open_text(self, path: str, mode: str = 'r', encoding: str | None = None) -> io.StringIO:
        """As the built-in open, for reading."""
        return io.StringIO(self.inodes[self.entries[path]][1].decode())

    # -- states that a loss of power may leave -----------------------------------

    def possible_remains(self) -> collections.abc.Iterator[tuple[Entries, Contents]]:
        """Yield every (entries, contents) that a loss of power now may leave."""
        paths = sorted(self.changed)
        choices = [sorted(self.changed[path], key=str) for path in paths]
        for chosen in itertools.product(*choices):
            entries = {path: inode for path, inode in self.synced.items() if path not in self.changed}
            entries.update((path, inode) for path, inode in zip(paths, chosen, strict=True) if inode is not None)
            used = sorted(set(entries.values()))
            for data in itertools.product(*(self.possible_bytes(inode) for inode in used)):
                contents = [b''] * len(self.inodes)
                for inode, kept in zip(used, data, strict=True):
                    contents[inode] = kept
                yield entries, contents

    def possible_bytes(self, inode: int) -> list[bytes]:
        """Return the possible bytes of an inode after a loss of power: the synced ones, the newest, or a mixture."""
        old, new = self.inodes[inode]
        return sorted({old, new, new[: len(new) // 2] + old[len(new) // 2 :]})

    def newest_contents(self) -> Contents:
        """Return the bytes of each inode without a loss of power."""
        return [newest for _, newest in self.inodes]


def open_disk(model: FolderModel) -> disk.Disk:
    """Return a transport.disk.Disk on a modelled folder; until `restore_os` every Disk works on that model."""
    modelled = disk.Disk.__new__(disk.Disk)
    modelled.folder, modelled.reusable = FOLDER, disk.collections.deque()
    modelled.multiply_linked, modelled.possibly_open = set(), set()
    modelled.chunked_name = modelled.chunked_fd = None
    disk.os, disk.open = model, model.open_text
    return modelled


def restore_os() -> None:
    """Make transport.disk call the operating system again."""
    disk.os = os
    if hasattr(disk, 'open'):
        del disk.open


def files_of(entries: Entries, contents: Contents) -> dict[str, str]:
    """Return the files as Disk.load does: {name: text}."""
    return {
        os.path.basename(path): contents[inode].decode()
        for path, inode in entries.items()
        if os.path.dirname(path) == FOLDER and not path.endswith('.tmp')
    }
