"""Selects the requests that are logged.

Not all of them are, because on a small machine a log line costs more CPU time
than the request itself. A share is sampled by the request's id, so that every
process logs the same requests. A few failures a second are logged as well; the
others are only counted.
"""

import datetime
import zlib

# In a burst of failures the first few show their cause, and the counters their number.
MAX_FAILURES_PER_SECOND = 5
# One more than the largest CRC-32.
CHECKSUM_RANGE = 1 << 32


class RequestSampler:
    """Samples a `share`, from 0 to 1, of all requests, and limits the rate of failures that are logged."""

    def __init__(self, share: float = 0.0):
        # Ids whose checksum is below this are sampled.
        self.threshold = int(share * CHECKSUM_RANGE)
        self.second: int | None = None
        # The failures within this second, and the failures in total that were not logged.
        self.failures = 0
        self.suppressed = 0

    def is_sampled(self, request_id: str) -> bool:
        """Whether the request with this id is in the sample."""
        return self.threshold > 0 and zlib.crc32(request_id.encode()) < self.threshold

    def admits_failure(self, now: datetime.timedelta) -> bool:
        """Whether one more failure may be logged now; counts the failures that may not."""
        second = int(now.total_seconds())
        if second != self.second:
            self.second, self.failures = second, 0
        self.failures += 1
        if self.failures <= MAX_FAILURES_PER_SECOND:
            return True
        self.suppressed += 1
        return False
