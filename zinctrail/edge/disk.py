"""The data folder: written aside, synced, renamed, and the folder synced too."""

import fcntl
import os
import time

import zinctrail.faults as faults


class Disk:

    def __init__(self, folder):
        self.folder = folder
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
            fd = os.open(path + '.tmp', os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
            try:
                data = text.encode()
                while data:
                    data = data[os.write(fd, data):]
                os.fsync(fd)
            finally:
                os.close(fd)
            os.rename(path + '.tmp', path)
            self._sync_folder()
            for old in gone:
                # Why only now: the checkpoint that makes them needless is synced.
                try:
                    os.remove(os.path.join(self.folder, old))
                except FileNotFoundError:
                    pass
        except OSError as e:
            raise faults.DiskFault(f'{name}: {e.strerror or e}') from e

    def _sync_folder(self):
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
