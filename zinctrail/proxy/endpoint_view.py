"""An endpoint of open traffic as this proxy sees it: its load, speed and failures."""

import datetime

import zinctrail.runtime.durations as durations

# For how long a reported load says anything; it fades until then.
LOAD_VALID = durations.ms(1500)
# How long an endpoint is avoided after a failure; longer with each one in a row, up to so many times.
BACKOFF = durations.ms(1000)
MAX_BACKOFF_FACTOR = 4
# The weight of one more response in what is kept of an endpoint's responses, and when a failure is forgotten.
SMOOTHING = 0.15
FAILURES_VALID = durations.ms(8000)
# An endpoint with work is unresponsive after so long, and so many times the usual, without a response.
MIN_UNRESPONSIVE_TIME = durations.ms(300)
UNRESPONSIVE_FACTOR = 4
# Bounds of an endpoint's usual time as a multiple of its pool's.
MIN_SLOWNESS, MAX_SLOWNESS = 0.6, 3.0
# How many successes are reported with a failure at the most.
MAX_SUCCESSES = 8
LONG_AGO = durations.ms(-3600000)


def unresponsive_after(typical_ms: float) -> datetime.timedelta:
    """How long an endpoint with work may go without a response, where its pool's usual time is so many milliseconds."""
    return max(MIN_UNRESPONSIVE_TIME, durations.ms(UNRESPONSIVE_FACTOR * typical_ms))


class EndpointView:
    """What this proxy learned of one incarnation. Its times are monotonic, as the state machine's `now`."""

    def __init__(self) -> None:
        # Requests of this proxy that are there now.
        self.in_use = 0
        # The load that it reported last, when, and how much of it was ours then.
        self.reported_load = 0
        self.reported_at: datetime.timedelta | None = None
        self.reported_in_use = 0
        # Until when it is not chosen at all, and until when only where there is no other.
        self.backoff_until = durations.ZERO
        self.suspect_until = durations.ZERO
        # How often in a row it failed; the share of its last responses that were failures, and when that is of.
        self.consecutive_failures = 0
        self.failure_share = 0.0
        self.failure_share_at = durations.ZERO
        # Its usual time, in milliseconds; 0 before the first success.
        self.latency_ms = 0.0
        # Since when it has had work of ours, and when it last responded.
        self.busy_since = LONG_AGO
        self.responded_at = LONG_AGO
        # Successes that the leader was not told of yet.
        self.successes = 0
        # When it was sent a request last. Kept while it is warm too, because it may be cold the next moment.
        self.sent_at = LONG_AGO

    def load(self, now: datetime.timedelta) -> float:
        """The requests there: ours now, and others' as last reported, fading."""
        if self.reported_at is None or now - self.reported_at >= LOAD_VALID:
            return self.in_use
        others = max(0, self.reported_load - self.reported_in_use)
        return self.in_use + others * (1 - (now - self.reported_at) / LOAD_VALID)

    def report_load(self, now: datetime.timedelta, load: int) -> None:
        """It reported its load."""
        self.reported_load, self.reported_in_use, self.reported_at = load, self.in_use, now

    def is_unresponsive(self, now: datetime.timedelta, typical_ms: float) -> bool:
        """Whether it has had work of ours for several times the usual time, and did not respond."""
        return self.in_use > 0 and now - max(self.busy_since, self.responded_at) > unresponsive_after(typical_ms)

    def slowness(self, typical_ms: float) -> float:
        """Its usual time over that of its pool, within bounds."""
        if not self.latency_ms or not typical_ms:
            return 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, self.latency_ms / typical_ms))

    def recent_failures(self, now: datetime.timedelta) -> float:
        """The share of its last few responses that were failures, fading."""
        return self.failure_share * max(0.0, 1 - (now - self.failure_share_at) / FAILURES_VALID)

    def observe(self, now: datetime.timedelta, has_failed: bool, latency_ms: int) -> None:
        """It responded, or failed to."""
        share = self.recent_failures(now)
        self.failure_share = share + ((1.0 if has_failed else 0.0) - share) * SMOOTHING
        self.failure_share_at = now
        if has_failed:
            self.consecutive_failures += 1
            if self.consecutive_failures > 1:
                # From the second on: one lost response is chance, two in a row are an unhealthy endpoint.
                self.suspect_until = now + self.backoff_duration(self.consecutive_failures - 1)
        else:
            self.consecutive_failures = 0
            self.latency_ms += (latency_ms - self.latency_ms) * SMOOTHING if self.latency_ms else latency_ms
            self.successes = min(MAX_SUCCESSES, self.successes + 1)

    def observe_cancelled(self, now: datetime.timedelta, latency_ms: int, typical_ms: float) -> None:
        """A request that it did not respond to for so long was given up.

        That time says at least how long it takes; without it, an endpoint that nobody has the patience to wait for would
        look as if it had no work and were as fast as ever.
        """
        if durations.ms(latency_ms) > unresponsive_after(typical_ms):
            self.observe(now, has_failed=True, latency_ms=latency_ms)
        elif 0 < self.latency_ms < latency_ms:
            self.latency_ms += (latency_ms - self.latency_ms) * SMOOTHING

    def back_off(self, now: datetime.timedelta) -> None:
        """Do not choose it for a while, longer each time."""
        self.consecutive_failures += 1
        self.backoff_until = now + self.backoff_duration(self.consecutive_failures)

    def backoff_duration(self, failures: int) -> datetime.timedelta:
        """How long it is avoided after so many failures in a row."""
        return BACKOFF * min(MAX_BACKOFF_FACTOR, failures)
