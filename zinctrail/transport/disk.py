"""The data folder of a node: files are written aside, synced, renamed, and their folder is synced.

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

# How many files that are no longer needed are kept for reuse. Without a limit, a folder would keep growing when
# little is written.
MAX_REUSABLE = 512
# How the names of folders begin that hold damaged data.
ASIDE_PREFIX = 'damaged-'
# The file without which nothing else in the folder counts (consensus/storage.py).
IDENTITY = 'node'
FILE_MODE = 0o644
# Refusals of a write that may pass by themselves: no space, no quota left, an error of the device.
PASSING_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)


class FolderLock:
    """The lock of a folder, held until it is closed or the process ends: two on one folder would vote twice.

    By a file, as earlier releases do, and by the folder itself, as a full disk takes no new file.
    """

    def __init__(self, folder: str):
        """Take the lock; raises OSError where another process has it."""
        self.descriptors: list[int] = []
        # A descriptor that is lost would hold the lock for ever.
        self.close = weakref.finalize(self, close_all, self.descriptors)
        self.descriptors.append(os.open(folder, os.O_RDONLY))
        try:
            self.descriptors.append(os.open(os.path.join(folder, 'lock'), os.O_RDWR | os.O_CREAT, FILE_MODE))
        except OSError as error:
            if error.errno not in PASSING_ERRORS:
                raise
        for descriptor in self.descriptors:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)


def close_all(descriptors: list[int]) -> None:
    """Close descriptors."""
    for descriptor in descriptors:
        os.close(descriptor)


class Disk:
    """A data folder that this process holds the lock of."""

    def __init__(self, folder: str):
        """Create the folder where it is missing, lock it, and check that it is writable.

        A disk that refuses writes for a reason that may pass is accepted: the state machine that writes to it waits
        until they reach it (consensus/persistence.py), as it does where that happens later.

        :raises zinctrail.errors.DiskError: the folder can't be used, or another process has it.
        """
        self.folder = folder
        # Files that a synced snapshot made unnecessary, oldest first.
        self.reusable: collections.deque[str] = collections.deque()
        # Files that must not be overwritten: one inode under two names, and files that a reader may still load.
        self.multiply_linked: set[str] = set()
        self.still_read: set[str] = set()
        # The name and the descriptor of the file that is being written in parts.
        self.part_name: str | None = None
        self.part_fd: int | None = None
        try:
            make_durable_folder(folder)
            self.lock = FolderLock(folder)
            probe(folder)
        except OSError as error:
            raise errors.DiskError(f'data folder {folder} can not be used: {error.strerror or error}') from error

    def load(self) -> dict[str, str]:
        """Return the text of every complete file by its name.

        A file that was still aside was never acknowledged, so it is removed.

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
        # A rename of which a loss of power kept only half leaves two names of one file.
        self.multiply_linked = {name for names in by_inode.values() if len(names) > 1 for name in names}
        return files

    def has_set_aside(self) -> bool:
        """Whether damaged data was ever moved aside: the folder may then be empty and still not new."""
        return any(name.startswith(ASIDE_PREFIX) for name in os.listdir(self.folder))

    def set_aside(self) -> str:
        """Move damaged data into a folder of its own, and return that folder.

        The identity is moved first, and durably: a folder that loses power
        during this must not name a voter that has lost its memory.
        """
        aside = os.path.join(self.folder, f'{ASIDE_PREFIX}{time.strftime("%Y%m%dT%H%M%S")}-{os.getpid()}')
        os.mkdir(aside)
        # Before anything is moved there: without its entry the folder would look like a new one.
        sync_folder(self.folder)
        for name in sorted(os.listdir(self.folder), key=lambda name: name != IDENTITY):
            path = os.path.join(self.folder, name)
            if name != 'lock' and os.path.isfile(path):
                os.rename(path, os.path.join(aside, name))
                if name == IDENTITY:
                    sync_folder(self.folder)
        sync_folder(self.folder)
        sync_folder(aside)
        return aside

    def carry_out(self, effect: effects.Write | effects.WriteChunk | effects.CommitChunks) -> None:
        """Carry out one of `effects.DISK_EFFECTS`; raises DiskError where it did not reach the disk."""
        if isinstance(effect, effects.WriteChunk):
            self.write_part(effect.name, effect.text, effect.first)
        elif isinstance(effect, effects.CommitChunks):
            self.write_end(effect.name, effect.head, effect.obsolete_files)
        else:
            self.write(effect.name, effect.text, effect.obsolete_files, effect.may_be_read)

    def write_part(self, name: str, text: str, first: bool) -> None:
        """Append a part to a file that is written aside; the first one starts it anew.

        Each part is synced separately, so that no caller waits for all of them.
        """
        try:
            if first:
                if self.part_fd is not None:
                    os.close(self.part_fd)
                self.part_name, self.part_fd = name, None
                self.part_fd = os.open(self._part_path(name), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
            descriptor = self._part_descriptor(name)
            write_all(descriptor, text.encode())
            os.fsync(descriptor)
        except OSError as error:
            raise errors.DiskError(f'{name}: {error.strerror or error}') from error

    def write_end(self, name: str, head: str, unneeded: typing.Sequence[str]) -> None:
        """Overwrite the beginning of the parts with `head`, and give the file its name."""
        descriptor = self._part_descriptor(name)
        self.part_fd = None
        try:
            try:
                os.pwrite(descriptor, head.encode(), 0)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.rename(self._part_path(name), os.path.join(self.folder, name))
            sync_folder(self.folder)
        except OSError as error:
            raise errors.DiskError(f'{name}: {error.strerror or error}') from error
        self._release(name, unneeded, False)

    def _part_descriptor(self, name: str) -> int:
        """The descriptor of the file whose parts are being written."""
        if self.part_fd is None or name != self.part_name:
            raise errors.DiskError(f'{name}: its first part was not written')
        return self.part_fd

    def _part_path(self, name: str) -> str:
        return os.path.join(self.folder, f'{name}.part.tmp')

    def write(self, name: str, text: str, unneeded: typing.Sequence[str] = (), still_read: bool = False) -> None:
        """Write a whole file durably; after that the files in `unneeded` may be reused.

        With `still_read`, a reader may still load the unneeded files, so they are removed but never overwritten.
        """
        path = os.path.join(self.folder, name)
        try:
            descriptor = self._open_aside(path + '.tmp')
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
        self._release(name, unneeded, still_read)

    def _release(self, name: str, unneeded: typing.Sequence[str], still_read: bool) -> None:
        # Called only after the file that makes the others unnecessary has been synced.
        self.reusable.extend(other for other in unneeded if other != name)
        if still_read:
            self.still_read.update(other for other in unneeded if other != name)
        else:
            self.still_read.difference_update(unneeded)

    def _open_aside(self, path: str) -> int:
        """Open the file to write aside, reusing an unneeded one where possible.

        Removing hundreds of files at a snapshot blocked the loop for a second,
        and overwriting an old file costs less than creating one. If power is
        lost here, the old name may show new bytes: the loader does not look at
        files that are older than the newest snapshot.
        """
        if self.reusable:
            self._reuse_oldest(path)
        if len(self.reusable) > MAX_REUSABLE:
            with contextlib.suppress(FileNotFoundError):
                os.remove(os.path.join(self.folder, self.reusable.popleft()))
        return os.open(path, os.O_WRONLY | os.O_CREAT, FILE_MODE)

    def _reuse_oldest(self, path: str) -> None:
        name = self.reusable.popleft()
        try:
            if name in self.multiply_linked or name in self.still_read:
                self.still_read.discard(name)
                os.remove(os.path.join(self.folder, name))
            else:
                os.rename(os.path.join(self.folder, name), path)
        except FileNotFoundError:
            pass


def probe(folder: str) -> None:
    """Check that files can be written to a folder, or could be but for a reason that may pass; raises OSError."""
    path = os.path.join(folder, 'probe.tmp')
    try:
        with open(path, 'w') as file:
            file.write('writable')
        os.remove(path)
    except OSError as error:
        if error.errno not in PASSING_ERRORS:
            raise


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, also where the system takes only some bytes at a time."""
    while data:
        data = data[os.write(descriptor, data) :]


def sync_folder(folder: str) -> None:
    """Make the entries of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_durable_folder(folder: str) -> None:
    """Create a folder and its missing parents, and make the entry of each new one durable."""
    if os.path.isdir(folder):
        return
    parent = os.path.dirname(os.path.abspath(folder))
    make_durable_folder(parent)
    os.makedirs(folder, exist_ok=True)
    sync_folder(parent)
