"""Latency histograms with buckets of 10 ms."""

import collections
import datetime
import typing

import zinctrail.runtime.durations as durations

BUCKET_MS = 10
PERCENTILES = (50, 90, 99)


def bucket_of(wait_ms: int) -> int:
    """Return the lower bound of the bucket that a latency in milliseconds falls into."""
    return wait_ms // BUCKET_MS * BUCKET_MS


def latency_histogram(waits: typing.Iterable[datetime.timedelta]) -> collections.Counter[int]:
    """Return the histogram of some latencies, by bucket in milliseconds."""
    return collections.Counter(bucket_of(durations.to_ms(wait)) for wait in waits)


def spread(histogram: dict[int, int]) -> dict[str, int]:
    """Return the percentiles {p50, p90, p99} of a histogram, in milliseconds."""
    total = sum(histogram.values())
    percentiles: dict[str, int] = {}
    so_far = 0
    for wait_ms, count in sorted(histogram.items()):
        so_far += count
        for percentile in PERCENTILES:
            if so_far * 100 >= total * percentile:
                percentiles.setdefault(f'p{percentile}', wait_ms)
    return percentiles
