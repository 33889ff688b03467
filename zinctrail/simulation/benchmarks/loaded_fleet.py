"""Benchmark of a small real fleet under load: requests, time without a leader, and recovery time."""

import collections.abc
import contextlib
import random
import tempfile
import time

import twisted.internet.reactor as reactor
import twisted.internet.threads as threads

import zinctrail.fleet.deployments as deployments
import zinctrail.fleet.histogram as histogram
import zinctrail.fleet.processes as processes
import zinctrail.simulation.benchmarks.figures as figures

ENDPOINTS_READY_S = 3
STEADY_STATE_S = 10
# The pauses after a leader was restarted, and after all processes were restarted.
LEADER_BACK_S, ALL_BACK_S = 4, 6
# The recovery objective: requests must succeed again within this time.
RECOVERY_LIMIT_MS = 15000
# More than this many requests must run, so that requests in flight at the kill do not count as recovery.
MORE_THAN_IN_FLIGHT = 5


@contextlib.contextmanager
def loaded() -> collections.abc.Iterator[processes.Fleet]:
    """Start a small real fleet with endpoints and clients, and stop it at the end of the context."""
    fleet = processes.Fleet(deployments.PRESETS['small'], tempfile.mkdtemp(), reactor)
    try:
        fleet.start()
        fleet.configure()
        threads.blockingCallFromThread(reactor, fleet.start_endpoints, random.Random(1))
        time.sleep(ENDPOINTS_READY_S)
        threads.blockingCallFromThread(reactor, lambda: fleet.start_callers(random.Random(2)) and None)
        yield fleet
    finally:
        fleet.stop()


def fleet_under_kills(kills: int = 5) -> dict:
    """Measure requests without faults, then the effect of killing the leader and of killing all processes."""
    with loaded() as fleet:
        time.sleep(STEADY_STATE_S)
        found = {'calm': dict(fleet.counts), 'waits_ms': histogram.spread(fleet.waits)}
        found['gap_ms'] = figures.spread([leader_gap_ms(fleet) for _ in range(kills)])
        recoveries_ms = sorted(recovery_ms(fleet) for _ in range(kills))
        found['back_over_15_s'] = [round(each / RECOVERY_LIMIT_MS, 2) for each in recoveries_ms]
        found['all'] = fleet.report()
        return found


def leader_gap_ms(fleet: processes.Fleet) -> float:
    """Kill the leader and restart it once another is elected; returns the time until the election."""
    old = fleet.until(fleet.leader, 'a leader')
    old.kill()
    began = time.monotonic()
    fleet.until(lambda: (fleet.leader() or old) is not old, 'a successor')
    gap_ms = 1000 * (time.monotonic() - began)
    old.start()
    time.sleep(LEADER_BACK_S)
    return gap_ms


def recovery_ms(fleet: processes.Fleet) -> float:
    """Kill and restart all processes; returns the time from the restart until requests run."""
    for process in fleet.processes.values():
        process.kill()
    for process in fleet.processes.values():
        process.start()
    began, ran = time.monotonic(), len(fleet.ran)
    fleet.until(lambda: len(fleet.ran) > ran + MORE_THAN_IN_FLIGHT, 'service')
    took_ms = (time.monotonic() - began) * 1000
    time.sleep(ALL_BACK_S)
    return took_ms
