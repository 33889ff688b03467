"""The only clock of a process: monotonic, and it keeps running while the machine is suspended."""

import datetime
import time

import zinctrail.transport.twisted_types as twisted_types


def seconds() -> float:
    """Return the seconds since the machine booted, including the time it was suspended."""
    # time.monotonic() stops while the machine is suspended, so a lease would stay valid after it has expired.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now() -> datetime.timedelta:
    """Return `seconds()` as a timedelta, the type that the state machines use for time."""
    return datetime.timedelta(seconds=seconds())


def use_steady_clock(reactor: twisted_types.Reactor) -> twisted_types.Reactor:
    """Make a reactor's delayed calls follow this clock, and return the reactor.

    By default, Twisted's delayed calls follow the wall clock: if it were set back
    by an hour, no heartbeat, timeout or timer of the process would run for an hour.
    """
    reactor.seconds = seconds
    return reactor
