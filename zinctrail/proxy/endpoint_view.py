"""This proxy's view of an endpoint of open traffic: its load, latency and failures."""

import datetime

import zinctrail.runtime.durations as durations

# How long a reported load is used; its weight decreases linearly to zero in that time.
LOAD_VALID = durations.ms(1500)
# How long an endpoint is avoided after a failure: BACKOFF times the consecutive failures, up to MAX_BACKOFF_FACTOR.
BACKOFF = durations.ms(1000)
MAX_BACKOFF_FACTOR = 4
# The weight of a new response in the moving averages of latency and failures, and how long a failure counts.
SMOOTHING = 0.15
FAILURES_VALID = durations.ms(8000)
# An endpoint with requests in flight is unresponsive once it has not responded for the minimum time and for so many
# times the typical latency of its pool.
MIN_UNRESPONSIVE_TIME = durations.ms(300)
UNRESPONSIVE_FACTOR = 4
# Bounds of an endpoint's latency as a multiple of its pool's.
MIN_SLOWNESS, MAX_SLOWNESS = 0.6, 3.0
# The most successes that are reported with a failure.
MAX_SUCCESSES = 8
LONG_AGO = durations.ms(-3600000)


def unresponsive_after(typical_ms: float) -> datetime.timedelta:
    """Return how long an endpoint with requests in flight may go without a response.

    :param typical_ms: the typical latency of its pool, in milliseconds.
    """
    return max(MIN_UNRESPONSIVE_TIME, durations.ms(UNRESPONSIVE_FACTOR * typical_ms))


class EndpointView:
    """Holds what this proxy has observed of one incarnation. Times are monotonic, like the state machine's `now`."""

    def __init__(self) -> None:
        # How many requests of this proxy are in flight there.
        self.in_use = 0
        # The load that it reported last, when it did, and how much of that load was this proxy's.
        self.reported_load = 0
        self.reported_at: datetime.timedelta | None = None
        self.reported_in_use = 0
        # Until when it is not chosen at all, and until when it is chosen only if there is no other.
        self.backoff_until = durations.ZERO
        self.suspect_until = durations.ZERO
        # Its consecutive failures; the moving average of its failures, and when that was computed.
        self.consecutive_failures = 0
        self.failure_share = 0.0
        self.failure_share_at = durations.ZERO
        # Its smoothed latency, in milliseconds; 0 before the first success.
        self.latency_ms = 0.0
        # Since when it has had requests of this proxy in flight, and when it last responded.
        self.busy_since = LONG_AGO
        self.responded_at = LONG_AGO
        # Successes that were not reported to the leader yet.
        self.successes = 0
        # When it was last sent a request. Set also while it is not warming up, because its warm-up may begin any time.
        self.sent_at = LONG_AGO

    def load(self, now: datetime.timedelta) -> float:
        """Return its estimated load: this proxy's requests now, and those of others as last reported, decaying."""
        if self.reported_at is None or now - self.reported_at >= LOAD_VALID:
            return self.in_use
        others = max(0, self.reported_load - self.reported_in_use)
        return self.in_use + others * (1 - (now - self.reported_at) / LOAD_VALID)

    def report_load(self, now: datetime.timedelta, load: int) -> None:
        """Record the load that the endpoint reported."""
        self.reported_load, self.reported_in_use, self.reported_at = load, self.in_use, now

    def is_unresponsive(self, now: datetime.timedelta, typical_ms: float) -> bool:
        """True if it has not responded for several times the typical latency, with requests of this proxy in flight."""
        return self.in_use > 0 and now - max(self.busy_since, self.responded_at) > unresponsive_after(typical_ms)

    def slowness(self, typical_ms: float) -> float:
        """Return the ratio of its latency to that of its pool, within bounds; 1 while either is unknown."""
        if not self.latency_ms or not typical_ms:
            return 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, self.latency_ms / typical_ms))

    def recent_failures(self, now: datetime.timedelta) -> float:
        """Return the moving average of its failures, decaying to zero."""
        return self.failure_share * max(0.0, 1 - (now - self.failure_share_at) / FAILURES_VALID)

    def observe(self, now: datetime.timedelta, has_failed: bool, latency_ms: int) -> None:
        """Record a response or a failure."""
        share = self.recent_failures(now)
        self.failure_share = share + ((1.0 if has_failed else 0.0) - share) * SMOOTHING
        self.failure_share_at = now
        if has_failed:
            self.consecutive_failures += 1
            if self.consecutive_failures > 1:
                # Only from the second failure on: one lost response may be chance, two in a row are an unhealthy
                # endpoint.
                self.suspect_until = now + self.backoff_duration(self.consecutive_failures - 1)
        else:
            self.consecutive_failures = 0
            self.latency_ms += (latency_ms - self.latency_ms) * SMOOTHING if self.latency_ms else latency_ms
            self.successes = min(MAX_SUCCESSES, self.successes + 1)

    def observe_cancelled(self, now: datetime.timedelta, latency_ms: int, typical_ms: float) -> None:
        """Record that a request was cancelled `latency_ms` after it was sent, before a response.

        That time is a lower bound of the endpoint's latency. Without it, an endpoint so slow that callers disconnect
        before its response would look idle, and as fast as before.
        """
        if durations.ms(latency_ms) > unresponsive_after(typical_ms):
            self.observe(now, has_failed=True, latency_ms=latency_ms)
        elif 0 < self.latency_ms < latency_ms:
            self.latency_ms += (latency_ms - self.latency_ms) * SMOOTHING

    def back_off(self, now: datetime.timedelta) -> None:
        """Avoid the endpoint for a while, longer after each consecutive failure."""
        self.consecutive_failures += 1
        self.backoff_until = now + self.backoff_duration(self.consecutive_failures)

    def backoff_duration(self, failures: int) -> datetime.timedelta:
        """Return how long the endpoint is avoided after so many consecutive failures."""
        return BACKOFF * min(MAX_BACKOFF_FACTOR, failures)
