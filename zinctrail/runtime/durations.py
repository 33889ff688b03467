"""Conversions of durations: datetime.timedelta in code, milliseconds in flags, JSON fields and headers."""

import datetime

ZERO = datetime.timedelta(0)
_MILLISECOND = datetime.timedelta(milliseconds=1)


def ms(count: float) -> datetime.timedelta:
    """Return a duration of `count` milliseconds."""
    return datetime.timedelta(milliseconds=count)


def to_ms(duration: datetime.timedelta) -> int:
    """Return a duration in milliseconds, rounded towards zero."""
    return int(duration / _MILLISECOND)
