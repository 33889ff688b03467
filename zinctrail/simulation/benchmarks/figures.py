"""Percentiles of measured values."""

import collections.abc

PERCENTILES = (50, 90, 99)
DIGITS = 3


def spread(values: collections.abc.Iterable[float]) -> dict[str, float]:
    """Return the number of values, their percentiles and the maximum."""
    ordered = sorted(values)
    last = len(ordered) - 1
    percentiles = {
        f'p{percent}': round(ordered[min(last, len(ordered) * percent // 100)], DIGITS) for percent in PERCENTILES
    }
    return {'n': len(ordered), **percentiles, 'most': round(ordered[last], DIGITS)}
