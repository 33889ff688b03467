"""The measurements: each one in `RUNS` is called with a seed and returns a Deferred of its figures."""

import collections.abc
import functools
import json
import time

import twisted.internet.defer as defer

import zinctrail.simulation.loopback.children as children
import zinctrail.simulation.loopback.load as load
import zinctrail.simulation.scale.sizes as sizes


@defer.inlineCallbacks
def measure_open_traffic(size: sizes.Size, rate: float, seconds: float, seed: int):
    """Measure open traffic through a proxy, compared with the same traffic directly to the endpoint."""
    addresses = children.free_addresses()
    with children.child('end', addresses.endpoint), children.child('prox', json.dumps(vars(size)), *addresses) as proxy:
        traffic = load.OpenTraffic(addresses, seed)
        yield traffic.warm_up()
        began, spent_before = time.perf_counter(), children.spent_ms(proxy)
        yield traffic.run(rate, seconds)
        wall = time.perf_counter() - began
        spent, memory = children.spent_ms(proxy) - spent_before, children.rss_mb(proxy)
    times = {way: load.percentiles(traffic.times_ms[way]) for way in (load.THROUGH, load.DIRECT)}
    added = {key: times[load.THROUGH][key] - times[load.DIRECT][key] for key in ('p50', 'p90', 'p99')}
    return {
        'rate': rate,
        'seed': seed,
        'seconds': seconds,
        'size': vars(size),
        'cpu_ms': spent / max(1, times[load.THROUGH]['n']),
        'rss_mb': memory,
        'wall': wall,
        **times,
        'added': added,
        'faults': traffic.errors,
    }


@defer.inlineCallbacks
def measure_control_calls(size: sizes.Size, kind: str, rate: float, seconds: float, seed: int):
    """Measure calls at a control node: heartbeats ('beat') or lookups ('answer')."""
    addresses = children.free_addresses()
    with children.child('core', json.dumps(vars(size)), *addresses) as node:
        calls = load.ControlCalls(kind, size, addresses)
        yield load.send_requests(load.WARM_UP_RATE, load.CONTROL_WARM_UP_S, f'{seed}/warm', calls.send)
        calls.succeeded, spent_before = 0, children.spent_ms(node)
        yield load.send_requests(rate, seconds, seed, calls.send)
        spent = children.spent_ms(node) - spent_before
    return {
        'what': kind,
        'rate': rate,
        'seed': seed,
        'size': vars(size),
        'n': calls.succeeded,
        'faults': calls.errors,
        'cpu_ms': spent / max(1, calls.succeeded),
    }


SMALL = sizes.Size(endpoints=children.POOL_SIZE, services=1, routes=100)
LARGE = sizes.Size(nodes=12000, endpoints=75000, services=1900, routes=46000, tenants=470000, dirs=0)
KNOWN_NODES = (10, 100, 1000, 10000)

# A function that runs a measurement with a seed.
Measurement = collections.abc.Callable[..., defer.Deferred]


def open_traffic(size: sizes.Size, rate: float, seconds: float) -> Measurement:
    """Return a measurement of open traffic at a rate."""
    return functools.partial(measure_open_traffic, size, rate, seconds)


def control_calls(nodes: int, kind: str, rate: float) -> Measurement:
    """Return a measurement of calls at a control node that knows `nodes` nodes."""
    return functools.partial(measure_control_calls, sizes.Size(nodes=nodes, endpoints=10), kind, rate, 5)


RUNS: dict[str, list[Measurement]] = {
    'open': [open_traffic(SMALL, rate, 12) for rate in (1, 3, 10, 30, 92, 300)],
    'open_large': [open_traffic(LARGE, rate, 12) for rate in (10, 92)],
    'open_pool': [open_traffic(sizes.Size(endpoints=n, services=1, routes=100), 30, 10) for n in (1, 10, 40)],
    'beat': [control_calls(nodes, 'beat', 100) for nodes in KNOWN_NODES],
    'answer': [control_calls(nodes, 'answer', 30) for nodes in KNOWN_NODES],
}
