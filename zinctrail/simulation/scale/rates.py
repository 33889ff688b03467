"""Measures messages, bytes and processor time per second of each role, over a window of virtual time."""

import collections
import collections.abc
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.scale.process as scale_process
import zinctrail.simulation.scale.rig as scale_rig

ms = durations.ms

WINDOW = ms(4000)
# Actions are scheduled in this part of a window, so that their consequences fall within the window.
WINDOW_FOR_ACTIONS = WINDOW - ms(1000)
# No measurement runs this close to the next epoch change, or this soon after one.
EPOCH_MARGIN = ms(400)
EPOCH_SETTLING_TIME = ms(500)
EPOCH_LIMIT = ms(12000)

ROLES = ('master', 'follower', 'dir', 'prox')


class RoleRates(typing.TypedDict):
    """Rates per second and process of a role: the mean of its processes; `cpu_ms` only of the complete ones."""

    messages: float
    bytes: float
    cpu_ms: float
    write_bytes: float
    writes: float
    http_bytes: float
    beats: float
    # Frames sent, by kind.
    kinds: dict[str, float]


Rates = dict[str, RoleRates]


class Counts(typing.NamedTuple):
    """The counts of a process at one moment."""

    counts: collections.Counter[str]
    frame_kinds: collections.Counter[str]
    cpu_ns: int


Snapshot = dict[scale_process.Process, Counts]

NOTHING = Counts(collections.Counter(), collections.Counter(), 0)


def snapshot(rig: scale_rig.Rig) -> Snapshot:
    """Return the current counts of all processes."""
    return {
        process: Counts(collections.Counter(process.counts), collections.Counter(process.frame_kinds), process.cpu_ns)
        for process in rig.processes
    }


def processes_of(rig: scale_rig.Rig, role: str) -> list[scale_process.Process]:
    """Return the processes of a role in ROLES that are up; control nodes are split into leader and followers."""
    up = [process for process in rig.processes if process.is_up]
    leader = rig.leader()
    if role == 'master':
        return [process for process in up if process is leader]
    if role == 'follower':
        return [process for process in up if process.role == 'core' and process is not leader]
    return [process for process in up if process.role == role]


def rates_since(rig: scale_rig.Rig, before: Snapshot, seconds: float) -> Rates:
    """Return the rates of each role since a snapshot; a role without processes is omitted."""
    found = {}
    for role in ROLES:
        processes = processes_of(rig, role)
        if processes:
            found[role] = role_rates(processes, before, seconds)
    return found


def role_rates(processes: list[scale_process.Process], before: Snapshot, seconds: float) -> RoleRates:
    """Return the mean rates of one process of a role."""
    counted: collections.Counter[str] = collections.Counter()
    kinds: collections.Counter[str] = collections.Counter()
    cpu_ns = complete = 0
    for process in processes:
        earlier = before.get(process, NOTHING)
        for name, count in process.counts.items():
            counted[name] += count - earlier.counts[name]
        for kind, count in process.frame_kinds.items():
            kinds[kind] += count - earlier.frame_kinds[kind]
        if process.is_complete:
            cpu_ns += process.cpu_ns - earlier.cpu_ns
            complete += 1
    each = len(processes) * seconds
    return {
        'messages': (counted['in'] + counted['out']) / each,
        'bytes': (counted['in_bytes'] + counted['out_bytes']) / each,
        'cpu_ms': cpu_ns / 1e6 / seconds / max(1, complete),
        'write_bytes': counted['write_bytes'] / each,
        'writes': counted['writes'] / each,
        'http_bytes': (counted['http_in_bytes'] + counted['http_out_bytes']) / each,
        'beats': counted['beats'] / each,
        'kinds': {kind: count / each for kind, count in sorted(kinds.items()) if count},
    }


def measure_window(rig: scale_rig.Rig, action: collections.abc.Callable[[], None] | None = None) -> Rates:
    """Measure the rates over a window without an epoch change, in which `action` may schedule work."""
    avoid_epoch(rig, WINDOW)
    before = snapshot(rig)
    if action is not None:
        action()
    rig.run(WINDOW)
    return rates_since(rig, before, WINDOW.total_seconds())


def avoid_epoch(rig: scale_rig.Rig, length: datetime.timedelta) -> None:
    """Run past the next epoch change, if one is due within `length`.

    :raises AssertionError: if the epoch does not change within EPOCH_LIMIT.
    """
    machine = rig.require_leader().machine
    began = machine.epochs.began_at
    if rig.now + length <= began + machine.settings.epoch - EPOCH_MARGIN:
        return
    if not rig.run(EPOCH_LIMIT, lambda: machine.epochs.began_at != began):
        raise AssertionError(f'no epoch change within {EPOCH_LIMIT} of virtual time')
    rig.run(EPOCH_SETTLING_TIME)
