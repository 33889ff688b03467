"""Memory, temporary files, file descriptors and processor time of a process, as the kernel reports them (Linux)."""

import contextlib
import os
import threading
import typing

KIB = 1024
# How the kernel marks the path of an open file that has been removed.
REMOVED_MARK = ' (deleted)'
SAMPLE_INTERVAL_S = 0.01
# The fields of /proc/PID/stat after the name of the program, which ends in a parenthesis: user and system time.
USER_TICKS, SYSTEM_TICKS = 11, 12


class ProcessUsage(typing.NamedTuple):
    """What a process used at most, in bytes and in numbers of descriptors."""

    memory_bytes: int = 0
    temporary_bytes: int = 0
    memory_and_temporary_bytes: int = 0
    descriptors: int = 0
    sockets: int = 0


def memory_bytes(pid: int, field: str) -> int:
    """Return a field of the memory of a process in bytes: VmRSS now, VmHWM at its peak."""
    with open(f'/proc/{pid}/status', encoding='ascii') as status:
        for line in status:
            if line.startswith(f'{field}:'):
                return int(line.split()[1]) * KIB
    raise ProcessLookupError(f'process {pid} has ended')


def processor_ticks(pid: int) -> int:
    """Return the processor time that a process has used, in clock ticks."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])


def descriptor_targets(pid: int) -> dict[str, str]:
    """Return {path of a descriptor: what it refers to}, without those that are closed meanwhile."""
    folder = f'/proc/{pid}/fd'
    targets = {}
    for name in os.listdir(folder):
        path = os.path.join(folder, name)
        with contextlib.suppress(OSError):
            targets[path] = os.readlink(path)
    return targets


def file_size(path: str) -> int:
    """Return the size of an open file in bytes, 0 if it has been closed meanwhile."""
    try:
        return os.stat(path).st_size
    except OSError:
        return 0


def usage_now(pid: int) -> ProcessUsage:
    """Return what a process uses now; files that are open although they were removed count as temporary."""
    targets = descriptor_targets(pid)
    temporary = sum(file_size(path) for path, target in targets.items() if target.endswith(REMOVED_MARK))
    sockets = sum(target.startswith('socket:') for target in targets.values())
    memory = memory_bytes(pid, 'VmRSS')
    return ProcessUsage(memory, temporary, memory + temporary, len(targets), sockets)


class UsageRecorder:
    """Samples what a process uses on a thread of its own, and keeps the highest values."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.highest = ProcessUsage()
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self.sample, daemon=True)
        self.thread.start()

    def sample(self) -> None:
        """Take samples until the end of the recording or of the process."""
        # The process may end at any time; whoever waits for it reports that.
        with contextlib.suppress(OSError):
            while not self.is_over.wait(SAMPLE_INTERVAL_S):
                self.record(usage_now(self.pid))

    def record(self, usage: ProcessUsage) -> None:
        """Keep the values of a sample that are higher than those before."""
        self.highest = ProcessUsage(*map(max, self.highest, usage))

    def stop(self) -> ProcessUsage:
        """End the recording, and return the highest values; raises OSError if the process has ended."""
        self.is_over.set()
        self.thread.join()
        self.record(usage_now(self.pid))
        # The kernel's own peak has no gaps between samples.
        self.record(ProcessUsage(memory_bytes=memory_bytes(self.pid, 'VmHWM')))
        return self.highest
