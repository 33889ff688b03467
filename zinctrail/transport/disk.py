"""The data folder of a node. A file is written under a temporary name, synced and renamed; then the folder is synced.

`Disk` carries out the disk effects of a state machine (`runtime.effects.DISK_EFFECTS`).
Once one of its methods returns, what it wrote survives a loss of power.
"""

import collections
import contextlib
import errno
import fcntl
import os
import time
import typing
import weakref

import zinctrail.errors as errors
import zinctrail.runtime.effects as effects

# How many obsolete files are retained for reuse. Without a limit, the folder would keep growing when few files are
# written.
MAX_REUSABLE_FILES = 512
# The name prefix of the folders that damaged data is moved into.
ASIDE_PREFIX = 'damaged-'
# The file that holds the node's identity. Without it, every other file in the folder is ignored (consensus/storage.py).
IDENTITY_FILE = 'node'
FILE_MODE = 0o644
# Write errors that may go away without intervention: no space, no quota left, a device error.
TRANSIENT_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)


class FolderLock:
    """Exclusive lock on a folder, held until it is closed or the process ends.

    Two processes on one folder would vote twice under one identity. Both a lock file and the folder itself are
    locked: earlier releases lock only the file, and a full disk has no room to create it.
    """

    def __init__(self, folder: str):
        """Acquire the lock; raises OSError if another process holds it."""
        self.descriptors: list[int] = []
        # Closes the descriptors also if this object is garbage-collected: a leaked one would hold the lock for ever.
        self.close = weakref.finalize(self, close_all, self.descriptors)
        self.descriptors.append(os.open(folder, os.O_RDONLY))
        try:
            self.descriptors.append(os.open(os.path.join(folder, 'lock'), os.O_RDWR | os.O_CREAT, FILE_MODE))
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
        for descriptor in self.descriptors:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)


def close_all(descriptors: list[int]) -> None:
    """Close file descriptors."""
    for descriptor in descriptors:
        os.close(descriptor)


class Disk:
    """A data folder that this process has locked."""

    def __init__(self, folder: str):
        """Create the folder if it is missing, lock it, and check that it is writable.

        A disk that rejects writes with one of `TRANSIENT_ERRORS` is accepted: the state machine that writes to it
        waits until its writes succeed (consensus/persistence.py), as it does for errors that occur later.

        :raises zinctrail.errors.DiskError: the folder can't be used, or another process has locked it.
        """
        self.folder = folder
        # Files that a synced snapshot made obsolete, oldest first.
        self.reusable: collections.deque[str] = collections.deque()
        # Files that must not be overwritten: one inode under two names, and files that a reader may still have open.
        self.multiply_linked: set[str] = set()
        self.possibly_open: set[str] = set()
        # The name and the descriptor of the file that is being written in chunks.
        self.chunked_name: str | None = None
        self.chunked_fd: int | None = None
        try:
            make_durable_folder(folder)
            self.lock = FolderLock(folder)
            check_writable(folder)
        except OSError as error:
            raise errors.DiskError(f'data folder {folder} can not be used: {error.strerror or error}') from error

    def load(self) -> dict[str, str]:
        """Return {file name: text} of every complete file.

        A file that still has its temporary name was never acknowledged, so it is removed.

        :raises zinctrail.errors.CorruptionError: a file can't be read, or is not UTF-8.
        """
        files = {}
        by_inode = collections.defaultdict(list)
        for name in os.listdir(self.folder):
            path = os.path.join(self.folder, name)
            if name.endswith('.tmp'):
                os.remove(path)
            elif name != 'lock' and os.path.isfile(path):
                by_inode[os.stat(path).st_ino].append(name)
                try:
                    with open(path, encoding='utf-8') as file:
                        files[name] = file.read()
                except (OSError, UnicodeDecodeError) as error:
                    raise errors.CorruptionError(f'{name}: {error}') from error
        # A power loss can leave a rename half done: one file under two names.
        self.multiply_linked = {name for names in by_inode.values() if len(names) > 1 for name in names}
        return files

    def has_set_aside(self) -> bool:
        """True if damaged data was ever moved aside: the folder may then be empty without being new."""
        return any(name.startswith(ASIDE_PREFIX) for name in os.listdir(self.folder))

    def set_aside(self) -> str:
        """Move damaged data into a new subfolder, and return its path.

        The identity file is moved first, and durably: if power is lost during
        the move, the folder must not hold the identity of a voter whose state
        is incomplete.
        """
        aside = os.path.join(self.folder, f'{ASIDE_PREFIX}{time.strftime("%Y%m%dT%H%M%S")}-{os.getpid()}')
        os.mkdir(aside)
        # Synced before anything is moved: if the subfolder's entry were lost, the data folder would look new.
        sync_folder(self.folder)
        for name in sorted(os.listdir(self.folder), key=lambda name: name != IDENTITY_FILE):
            path = os.path.join(self.folder, name)
            if name != 'lock' and os.path.isfile(path):
                os.rename(path, os.path.join(aside, name))
                if name == IDENTITY_FILE:
                    sync_folder(self.folder)
        sync_folder(self.folder)
        sync_folder(aside)
        return aside

    def carry_out(self, effect: effects.Write | effects.WriteChunk | effects.CommitChunks) -> None:
        """Carry out one of `effects.DISK_EFFECTS`; raises DiskError if the write did not reach the disk."""
        if isinstance(effect, effects.WriteChunk):
            self.write_chunk(effect.name, effect.text, effect.first)
        elif isinstance(effect, effects.CommitChunks):
            self.commit_chunks(effect.name, effect.head, effect.obsolete_files)
        else:
            self.write(effect.name, effect.text, effect.obsolete_files, effect.may_be_read)

    def write_chunk(self, name: str, text: str, first: bool) -> None:
        """Append a chunk to a file under its temporary name; the first chunk truncates that file.

        Each chunk is synced separately, so that no single call blocks for the whole file.
        """
        try:
            if first:
                if self.chunked_fd is not None:
                    os.close(self.chunked_fd)
                self.chunked_name, self.chunked_fd = name, None
                self.chunked_fd = os.open(self._chunked_path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
            descriptor = self._chunked_descriptor(name)
            write_all(descriptor, text.encode())
            os.fsync(descriptor)
        except OSError as error:
            raise errors.DiskError(f'{name}: {error.strerror or error}') from error

    def commit_chunks(self, name: str, head: str, obsolete_files: typing.Sequence[str]) -> None:
        """Overwrite the beginning of the file with `head`, and rename the file to its final name."""
        descriptor = self._chunked_descriptor(name)
        self.chunked_fd = None
        try:
            try:
                os.pwrite(descriptor, head.encode(), 0)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.rename(self._chunked_path(name), os.path.join(self.folder, name))
            sync_folder(self.folder)
        except OSError as error:
            raise errors.DiskError(f'{name}: {error.strerror or error}') from error
        self._release(name, obsolete_files, False)

    def _chunked_descriptor(self, name: str) -> int:
        """Return the descriptor of the file that is being written in chunks."""
        if self.chunked_fd is None or name != self.chunked_name:
            raise errors.DiskError(f'{name}: its first chunk was not written')
        return self.chunked_fd

    def _chunked_path(self, name: str) -> str:
        return os.path.join(self.folder, f'{name}.part.tmp')

    def write(
        self, name: str, text: str, obsolete_files: typing.Sequence[str] = (), possibly_open: bool = False
    ) -> None:
        """Write a complete file durably; after that, the files in `obsolete_files` may be reused.

        With `possibly_open`, a reader may still have the obsolete files open: they are removed, never overwritten.
        """
        path = os.path.join(self.folder, name)
        try:
            descriptor = self._open_temporary(path + '.tmp')
            try:
                data = text.encode()
                size = len(data)
                write_all(descriptor, data)
                os.ftruncate(descriptor, size)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.rename(path + '.tmp', path)
            sync_folder(self.folder)
        except OSError as error:
            raise errors.DiskError(f'{name}: {error.strerror or error}') from error
        self._release(name, obsolete_files, possibly_open)

    def _release(self, name: str, obsolete_files: typing.Sequence[str], possibly_open: bool) -> None:
        # Called only after the file that makes the others obsolete has been synced.
        self.reusable.extend(other for other in obsolete_files if other != name)
        if possibly_open:
            self.possibly_open.update(other for other in obsolete_files if other != name)
        else:
            self.possibly_open.difference_update(obsolete_files)

    def _open_temporary(self, path: str) -> int:
        """Open a temporary file for writing, reusing an obsolete file where possible.

        Removing hundreds of files at a snapshot blocked the event loop for a
        second, and overwriting an old file costs less than creating one. If
        power is lost here, the old name may show new bytes: the loader ignores
        files that are older than the newest snapshot.
        """
        if self.reusable:
            self._reuse_oldest(path)
        if len(self.reusable) > MAX_REUSABLE_FILES:
            with contextlib.suppress(FileNotFoundError):
                os.remove(os.path.join(self.folder, self.reusable.popleft()))
        return os.open(path, os.O_WRONLY | os.O_CREAT, FILE_MODE)

    def _reuse_oldest(self, path: str) -> None:
        name = self.reusable.popleft()
        try:
            if name in self.multiply_linked or name in self.possibly_open:
                self.possibly_open.discard(name)
                os.remove(os.path.join(self.folder, name))
            else:
                os.rename(os.path.join(self.folder, name), path)
        except FileNotFoundError:
            pass


def check_writable(folder: str) -> None:
    """Raise OSError if files can't be written to a folder, unless the error is one of `TRANSIENT_ERRORS`."""
    path = os.path.join(folder, 'probe.tmp')
    try:
        with open(path, 'w') as file:
            file.write('writable')
        os.remove(path)
    except OSError as error:
        if error.errno not in TRANSIENT_ERRORS:
            raise


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, repeating writes that accept only some of the bytes."""
    while data:
        data = data[os.write(descriptor, data) :]


def sync_folder(folder: str) -> None:
    """Sync a folder, which makes its entries durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_durable_folder(folder: str) -> None:
    """Create a folder and its missing parents, and sync the parent of each folder that is created."""
    if os.path.isdir(folder):
        return
    parent = os.path.dirname(os.path.abspath(folder))
    make_durable_folder(parent)
    os.makedirs(folder, exist_ok=True)
    sync_folder(parent)
