"""Every setting of a process in one place: a flag each, checked together at start.

The names of the fields are the names of the flags.
"""

import dataclasses
import datetime

import zinctrail.runtime.durations as durations

ms = durations.ms

# The settings that may change while a process runs. The others have to be the same at all members, or are
# built into sockets and connections at start.
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

# A follower's lease ends at least this long before `touch`, since a commit takes its time as well.
COMMIT_MARGIN = ms(400)
MAX_ANSWER = ms(5000)
MAX_RETRY_SHARE = 0.2
MAX_CLOCK_DRIFT = 0.5
# A snapshot of the configuration has to fit into a frame several times over.
FRAMES_PER_CONFIGURATION = 4


@dataclasses.dataclass
class Settings:
    """The settings of one process; durations as timedelta, sizes in bytes."""

    # How often the leader sends heartbeats to the members.
    check: datetime.timedelta = ms(400)
    # After so many heartbeats without an answer a member counts as unreachable.
    misses: int = 3
    # How many members the leader checks at the fastest pace; beyond, those that only follow are checked less often.
    herd: int = 40
    # How often discovery probes are sent to nodes that are not known yet.
    probe: datetime.timedelta = ms(400)
    # For how long a node may be without contact before it must not act on what it knew.
    touch: datetime.timedelta = ms(3000)
    # For how long a member may act on the replicated state after the leader confirmed it.
    lease: datetime.timedelta = ms(2400)
    # For how long the answer of a lookup at a directory is valid.
    answer: datetime.timedelta = ms(2000)
    # For how long a version of the replicated state may lack a quorum before the leader steps down.
    publish: datetime.timedelta = ms(1200)
    # For how long a member that does not vote is not sent a newer version before it acknowledged the last one.
    ack: datetime.timedelta = ms(200)
    # The least time between two versions of the replicated state: changes within it are batched into one.
    gather: datetime.timedelta = ms(8)
    # The least and the greatest election timeout.
    elect: datetime.timedelta = ms(150)
    elect_most: datetime.timedelta = ms(1500)
    # The length of an epoch, and for how many epochs claims, results and events are kept.
    epoch: datetime.timedelta = ms(10000)
    epochs_kept: int = 7
    # How often endpoints send heartbeats, and after how many missed ones they count as gone.
    beat: datetime.timedelta = ms(2000)
    beats_missed: float = 2.5
    # The timeout of a health check.
    prober: datetime.timedelta = ms(600)
    # For how long credit that a proxy was given is valid.
    credit: datetime.timedelta = ms(3000)
    # How often proxies report their demand for credit.
    demand: datetime.timedelta = ms(400)
    # How far two clocks may drift apart, as a share of the time passed.
    slack: float = 0.05
    # For how long a process may live after it was told to stop; all pending work is handed on by then.
    grace: datetime.timedelta = ms(11000)
    # How much longer than its caller a proxy waits for an endpoint, with the credit still in use.
    linger: datetime.timedelta = ms(10000)
    # The retry budget: over this window, at most so large a share of requests, and always this many.
    repeat_window: datetime.timedelta = ms(10000)
    repeat_share: float = 0.2
    repeat_allowance: int = 24
    # The timeout of calls between processes.
    call: datetime.timedelta = ms(3000)
    # After so many versions a new snapshot is written.
    checkpoint_every: int = 256
    # The most requests or calls that wait at one process.
    queue_most: int = 512
    # The largest body of a request, configuration, and frame between processes, in bytes.
    body_most: int = 1 << 20
    config_most: int = 2 << 20
    frame_most: int = 32 << 20
    # How many control nodes a new cluster waits for, so that it bears as many losses as it has to.
    least_voters: int = 1
    # For how long a discovered node is remembered that is no member.
    remember: datetime.timedelta = ms(600000)

    def faults(self) -> list[tuple[str, str]]:
        """All that is wrong, as (setting, fault)."""
        return [*self._not_positive(), *self._bad_leases(), *self._out_of_bounds()]

    def _not_positive(self) -> list[tuple[str, str]]:
        values = {field.name: getattr(self, field.name) for field in dataclasses.fields(self)}
        return [(name, 'must be above zero') for name, value in values.items() if not _is_positive(value)]

    def _bad_leases(self) -> list[tuple[str, str]]:
        found = []
        longest_lease = self.touch - COMMIT_MARGIN
        if self.lease > longest_lease:
            text = (
                f'longer than {durations.to_ms(longest_lease)} ms: a stale view would outlive'
                f' its bound of {durations.to_ms(self.touch) / 1000:g} s'
            )
            found.append(('lease', text))
        if self.answer > MAX_ANSWER:
            text = f'longer than {durations.to_ms(MAX_ANSWER)} ms: requesters would outlive an evacuation'
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
            found.append(('repeat_share', 'above a fifth'))
        if self.slack > MAX_CLOCK_DRIFT:
            found.append(('slack', 'above a half'))
        return found


def _is_positive(value: datetime.timedelta | float) -> bool:
    return (value.total_seconds() if isinstance(value, datetime.timedelta) else value) > 0
