"""The data folder: written aside, synced, renamed, and the folder synced too."""

import collections
import fcntl
import os
import time

import zinctrail.faults as faults

# Why bounded: a folder must not keep growing when little is written.
OLD_MOST = 512


class Disk:
    def __init__(self, folder):
        self.folder = folder
        # Files that a synced checkpoint made needless, by age.
        self.old = collections.deque()
        try:
            os.makedirs(folder, exist_ok=True)
            self.lock = open(os.path.join(folder, 'lock'), 'w')
            # Why a lock: two processes on one folder would vote twice with one memory.
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            probe = os.path.join(folder, 'probe.tmp')
            with open(probe, 'w') as f:
                f.write('writable')
            os.remove(probe)
        except OSError as e:
            raise faults.DiskFault(f'data folder {folder} can not be used: {e.strerror or e}') from e

    def load(self):
        """Every whole file. What was still aside was never acknowledged, and goes."""
        files = {}
        for name in os.listdir(self.folder):
            path = os.path.join(self.folder, name)
            if name.endswith('.tmp'):
                os.remove(path)
            elif name != 'lock' and os.path.isfile(path):
                try:
                    with open(path, encoding='utf-8') as f:
                        files[name] = f.read()
                except (OSError, UnicodeDecodeError) as e:
                    raise faults.DamageFault(f'{name}: {e}') from e
        return files

    def set_aside(self):
        """Move damaged data out of the way; the node starts as somebody new."""
        aside = os.path.join(self.folder, f'damaged-{time.strftime("%Y%m%dT%H%M%S")}-{os.getpid()}')
        os.mkdir(aside)
        for name in os.listdir(self.folder):
            path = os.path.join(self.folder, name)
            if name != 'lock' and os.path.isfile(path):
                os.rename(path, os.path.join(aside, name))
        self._sync_folder()
        return aside

    def write(self, name, text, gone=()):
        path = os.path.join(self.folder, name)
        try:
            fd = self._aside(path + '.tmp')
            try:
                data = text.encode()
                size = len(data)
                while data:
                    data = data[os.write(fd, data) :]
                os.ftruncate(fd, size)
                os.fsync(fd)
            finally:
                os.close(fd)
            os.rename(path + '.tmp', path)
            self._sync_folder()
        except OSError as e:
            raise faults.DiskFault(f'{name}: {e.strerror or e}') from e
        # Why only now: the checkpoint that makes them needless is synced.
        self.old.extend(g for g in gone if g != name)

    def _aside(self, tmp):
        """Open the file to write aside: an old one over again, where there is one.

        Why: removing hundreds of files at a checkpoint held up the loop for a
        second; writing an old one over costs less than making a new one. If
        the power goes here, the old name may show new bytes: the loader does
        not look at what is older than the newest checkpoint.
        """
        if self.old:
            try:
                os.rename(os.path.join(self.folder, self.old.popleft()), tmp)
            except FileNotFoundError:
                pass
        if len(self.old) > OLD_MOST:
            try:
                os.remove(os.path.join(self.folder, self.old.popleft()))
            except FileNotFoundError:
                pass
        return os.open(tmp, os.O_WRONLY | os.O_CREAT, 0o644)

    def _sync_folder(self):
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
