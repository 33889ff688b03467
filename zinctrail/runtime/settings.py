"""All settings of a process, validated together at start.

Each field has a flag of the same name; the flags of durations end in `_ms`.
"""

import dataclasses
import datetime

import zinctrail.runtime.durations as durations

ms = durations.ms

# The settings that may change while a process runs. The others must be equal on all members, or take effect only when
# sockets and connections are set up at start.
RELOADABLE = (
    'answer',
    'beat',
    'beats_missed',
    'prober',
    'demand',
    'linger',
    'grace',
    'repeat_share',
    'repeat_allowance',
    'queue_most',
    'call',
    'ack',
    'remember',
)

# A follower's lease must be shorter than `touch` by this margin, because a commit takes time as well.
COMMIT_MARGIN = ms(400)
MAX_ANSWER = ms(5000)
MAX_RETRY_SHARE = 0.2
MAX_CLOCK_DRIFT = 0.5
# The largest frame must have room for this many copies of the largest configuration.
FRAMES_PER_CONFIGURATION = 4


@dataclasses.dataclass
class Settings:
    """The settings of one process; durations as timedelta, sizes in bytes."""

    # How often the leader sends heartbeats to the members.
    check: datetime.timedelta = ms(400)
    # After this many heartbeats without a response a member counts as unreachable.
    misses: int = 3
    # Up to how many members the leader sends heartbeats at the interval `check`; with more, members that only follow
    # get fewer.
    herd: int = 40
    # How often discovery probes are sent to nodes that are not known yet.
    probe: datetime.timedelta = ms(400)
    # For how long a node without contact may act on the state that it has.
    touch: datetime.timedelta = ms(3000)
    # For how long a member may act on the replicated state after the leader confirmed it.
    lease: datetime.timedelta = ms(2400)
    # For how long a directory's response to a lookup is valid.
    answer: datetime.timedelta = ms(2000)
    # The leader steps down if a version of the replicated state lacks a quorum for this time.
    publish: datetime.timedelta = ms(1200)
    # For how long newer versions to a non-voting member wait for its acknowledgement of the last one.
    ack: datetime.timedelta = ms(200)
    # The minimum interval between two versions of the replicated state; changes within it are batched into one.
    gather: datetime.timedelta = ms(8)
    # The minimum and the maximum election timeout.
    elect: datetime.timedelta = ms(150)
    elect_most: datetime.timedelta = ms(1500)
    # The length of an epoch, and for how many epochs claims, results and events are retained.
    epoch: datetime.timedelta = ms(10000)
    epochs_kept: int = 7
    # How often endpoints send heartbeats, and after how many missed ones they are removed.
    beat: datetime.timedelta = ms(2000)
    beats_missed: float = 2.5
    # The timeout of a health check.
    prober: datetime.timedelta = ms(600)
    # For how long credit granted to a proxy is valid.
    credit: datetime.timedelta = ms(3000)
    # How often proxies report their demand for credit.
    demand: datetime.timedelta = ms(400)
    # The maximum drift between two clocks, as a share of the time passed.
    slack: float = 0.05
    # The time limit for a process to shut down; all pending work is handed over by then.
    grace: datetime.timedelta = ms(11000)
    # How much longer than its caller a proxy waits for an endpoint; the credit stays in use meanwhile.
    linger: datetime.timedelta = ms(10000)
    # The retry budget: its window, the maximum share of the requests in the window, and a number that is always allowed.
    repeat_window: datetime.timedelta = ms(10000)
    repeat_share: float = 0.2
    repeat_allowance: int = 24
    # The timeout of calls between processes.
    call: datetime.timedelta = ms(3000)
    # A new snapshot is due after this many versions, or later if they are small compared with the last snapshot.
    checkpoint_every: int = 256
    # The maximum number of requests or calls queued at one process.
    queue_most: int = 512
    # The maximum size of a request's body, of the configuration, and of a frame between processes, in bytes.
    body_most: int = 1 << 20
    config_most: int = 2 << 20
    frame_most: int = 32 << 20
    # How many control nodes a new cluster waits for, and below which a voting set is not shrunk, so that it tolerates the
    # required number of losses.
    least_voters: int = 1
    # The memory of the machine in MB, of which a part may be held for clients, and the limit of file descriptors.
    memory_mb: int = 160
    file_descriptors: int = 4096
    # For how long a discovered node that is not a member is remembered.
    remember: datetime.timedelta = ms(600000)

    def faults(self) -> list[tuple[str, str]]:
        """Return all invalid settings as (name of the setting, error)."""
        return [*self._not_positive(), *self._bad_leases(), *self._out_of_bounds()]

    def _not_positive(self) -> list[tuple[str, str]]:
        values = {field.name: getattr(self, field.name) for field in dataclasses.fields(self)}
        return [(name, 'must be above zero') for name, value in values.items() if not _is_positive(value)]

    def _bad_leases(self) -> list[tuple[str, str]]:
        found = []
        longest_lease = self.touch - COMMIT_MARGIN
        if self.lease > longest_lease:
            text = (
                f'must be at most {durations.to_ms(longest_lease)} ms: a member could act on a stale state for longer'
                f' than {durations.to_ms(self.touch) / 1000:g} s'
            )
            found.append(('lease', text))
        if self.answer > MAX_ANSWER:
            text = f'must be at most {durations.to_ms(MAX_ANSWER)} ms: clients could still use it after an evacuation'
            found.append(('answer', text))
        # A partitioned leader has to step down before the leases that it granted expire.
        if self.check * (self.misses + 1) >= self.lease:
            found.append(('check', 'check x (misses + 1) must be below the lease'))
        return found

    def _out_of_bounds(self) -> list[tuple[str, str]]:
        found = []
        if self.frame_most < FRAMES_PER_CONFIGURATION * self.config_most:
            found.append(('frame_most', 'must be at least four times config_most'))
        if self.repeat_share > MAX_RETRY_SHARE:
            found.append(('repeat_share', f'must be at most {MAX_RETRY_SHARE}'))
        if self.slack > MAX_CLOCK_DRIFT:
            found.append(('slack', f'must be at most {MAX_CLOCK_DRIFT}'))
        return found


def _is_positive(value: datetime.timedelta | float) -> bool:
    return (value.total_seconds() if isinstance(value, datetime.timedelta) else value) > 0
