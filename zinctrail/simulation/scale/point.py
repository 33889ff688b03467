"""Measures one point: all figures of a cluster of one size with one seed."""

import collections.abc
import dataclasses
import functools
import json
import resource
import time
import typing

import zinctrail.consensus.messages as messages
import zinctrail.simulation.scale.losses as losses
import zinctrail.simulation.scale.process as scale_process
import zinctrail.simulation.scale.rates as rates
import zinctrail.simulation.scale.rig as scale_rig
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as state
import zinctrail.simulation.scale.workloads as workloads

Point = dict[str, typing.Any]

# The tables that every member holds; control nodes also hold the others.
ROUTING_TABLES = ('meta', 'conf', 'items', 'cells', 'endpoints', 'members', 'duties')
# How often a proxy's processor time is measured; the minimum counts.
REPEATS = 3
NANOSECONDS_PER_MS = 1e6

# Optional workloads, by the field of the size that holds their count.
WORKLOADS: dict[str, collections.abc.Callable[[scale_rig.Rig, int], None]] = {
    'claims': workloads.schedule_claims,
    'answers': workloads.schedule_resolutions,
}
LOSSES: dict[str, collections.abc.Callable[[scale_rig.Rig, int], list[str]]] = {
    'killed': losses.kill_proxies,
    'restarted': losses.restart_proxies,
}


def measure_point(size: sizes.Size, seed: int) -> Point:
    """Measure all figures of one size and seed, in the format of docs/capacity/points.json."""
    rig = scale_rig.Rig(size, seed)
    rig.start()
    if size.endpoints:
        workloads.EndpointHeartbeats(rig).start()
    rig.settle()
    quiet = rates.measure_window(rig)
    point = {'size': dataclasses.asdict(size), 'seed': seed, 'quiet': quiet}
    point.update(measure_workloads(rig))
    point.update(measure_state(rig))
    point.update(measure_losses(rig, quiet))
    point['rss_mb'] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return point


def measure_workloads(rig: scale_rig.Rig) -> Point:
    """Measure the rates while rules are changed and under each optional workload of the size."""
    in_force_ms: list[int] = []
    changes = functools.partial(workloads.schedule_changes, rig, rig.size.changes, in_force_ms)
    point: Point = {'changed': rates.measure_window(rig, changes), 'in_force_ms': sorted(in_force_ms)}
    versions = rig.require_leader().machine.counts['generations']
    for name, schedule in WORKLOADS.items():
        count = getattr(rig.size, name)
        if count:
            point[name] = rates.measure_window(rig, functools.partial(schedule, rig, count))
    point['generations'] = versions
    return point


def measure_state(rig: scale_rig.Rig) -> Point:
    """Measure the size of the state and the processor time to encode it and to route with it."""
    leader, proxy = rig.require_leader(), rig.complete('prox')
    tables = leader.machine.replica.tables
    point: Point = {
        'state': {
            'core': rows_and_bytes(leader.machine.replica.full_state()),
            'routes': rows_and_bytes(routing_tables(proxy.machine.replica.tables)),
        },
        'tables': {name: rows_and_bytes({name: rows}) for name, rows in tables.items() if rows},
        'routes_ms': routing_ms(proxy.machine),
    }
    point['packed_bytes'], point['encode_ms'] = encode_routes(leader)
    return point


def measure_losses(rig: scale_rig.Rig, quiet: rates.Rates) -> Point:
    """Measure the cost of each kind of loss that the size asks for; the leader is killed last."""
    size = rig.size
    point: Point = {}
    for name, lose in LOSSES.items():
        count = getattr(size, name)
        if count:
            point[name] = losses.measure_event(rig, quiet, functools.partial(lose, rig, count))
    if size.parted:
        point['parted'] = losses.measure_partition(rig, quiet, size.parted)
    if size.headless:
        point['headless'] = losses.measure_event(rig, quiet, functools.partial(losses.kill_leader, rig))
    return point


def routing_tables(tables: state.Tables) -> state.Tables:
    """Return the tables that every member holds."""
    return {name: rows for name, rows in tables.items() if name in ROUTING_TABLES}


def rows_and_bytes(tables: state.Tables) -> dict[str, int]:
    """Return the number of rows and the bytes of the tables as JSON."""
    return {
        'rows': sum(len(rows) for rows in tables.values()),
        'bytes': len(json.dumps(tables, separators=(',', ':'))),
    }


def encode_routes(leader: scale_process.Process) -> tuple[int, float]:
    """Return (bytes of the frame that sends all routes to a new node, ms of processor time to encode it)."""
    began = time.thread_time_ns()
    machine = leader.machine
    message = messages.Publish(
        term=machine.term,
        version=machine.replica.accepted,
        tables=machine.replica.full_state(routes=True),
        http=machine.location.http,
    )
    data = leader.connections.encoded(machine.frame(message), True)
    return len(data), (time.thread_time_ns() - began) / NANOSECONDS_PER_MS


def routing_ms(machine) -> float:
    """Return the processor time, in ms, to build a proxy's route index (once per version) and match one request."""
    times_ms = []
    for _ in range(REPEATS):
        machine.routes.invalidate()
        began = time.thread_time_ns()
        machine.routes.rule_for_path('host-1.example', '/v1/part-1/x')
        times_ms.append((time.thread_time_ns() - began) / NANOSECONDS_PER_MS)
    return min(times_ms)
