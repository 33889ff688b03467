"""The load generator: sends requests at random times and records their results."""

import collections.abc
import functools
import json
import random
import time

import twisted.internet.defer as defer
import twisted.internet.reactor as reactor

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.loopback.children as children
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as scale_state
import zinctrail.transport.endpoint_client as endpoint_client

REQUEST_BODY = b'{"item": 12345, "patron": 67890}'
TIMEOUT = durations.ms(3000)

WARM_UP_RATE = 20
OPEN_WARM_UP_S, CONTROL_WARM_UP_S = 2, 1
MIN_REQUESTS = 2
PERCENTILES = (50, 90, 99)
# The paths of a request: through the proxy, and directly to the endpoint.
THROUGH, DIRECT = 'through', 'straight'


def random_times(rate: float, seconds: float, seed: int | str) -> list[float]:
    """Return the times at which requests are sent: at random, `rate` per second, two at least."""
    rng = random.Random(seed)
    times: list[float] = []
    at = rng.expovariate(rate)
    while at <= seconds or len(times) < MIN_REQUESTS:
        times.append(at)
        at += rng.expovariate(rate)
    return times


def send_requests(
    rate: float, seconds: float, seed: int | str, send: collections.abc.Callable[[int], defer.Deferred]
) -> defer.Deferred:
    """Call send(0), send(1) and so on at random times; the Deferred fires when all requests have finished."""
    done: defer.Deferred = defer.Deferred()
    times = random_times(rate, seconds, seed)
    remaining = len(times)

    def on_finished(result):
        nonlocal remaining
        remaining -= 1
        if not remaining:
            done.callback(None)
        return result

    def send_one(number):
        send(number).addBoth(on_finished)

    for number, at in enumerate(times):
        reactor.callLater(at, send_one, number)
    return done


class OpenTraffic:
    """Open traffic through the proxy and directly to the endpoint; holds the latencies of successful requests."""

    def __init__(self, addresses: children.Addresses, seed: int):
        self.targets = {THROUGH: addresses.ingress, DIRECT: addresses.endpoint}
        self.seed = seed
        self.client = endpoint_client.EndpointClient(reactor)
        self.times_ms: dict[str, list[float]] = {way: [] for way in self.targets}
        self.errors = 0

    def send(self, way: str, number: int) -> defer.Deferred:
        """Send one request through the proxy or directly."""
        began = time.perf_counter()
        headers = {
            'host': 'host-0.example',
            'zt-id': f'{self.seed}.{way}.{number}',
            'zt-left-ms': str(durations.to_ms(TIMEOUT)),
            'content-type': 'application/json',
        }
        target = self.targets[way]
        fetched = self.client.fetch(way, target, 'POST', '/v1/part-0/x', headers, REQUEST_BODY, TIMEOUT, False)
        return fetched.addCallback(self.record_result, way, began)

    def record_result(self, result: effects.HttpResult, way: str, began: float) -> None:
        """Record the latency of a successful request, or count an error."""
        if result.status != 200 or result.fault:
            self.errors += 1
        else:
            self.times_ms[way].append(1000 * (time.perf_counter() - began))

    @defer.inlineCallbacks
    def warm_up(self):
        """Send some requests, so that opening connections and filling caches are not measured."""
        for way in self.targets:
            # Numbers are negated, because no request id may be reused in the measurement.
            send = functools.partial(self.send_warm_up, way)
            yield send_requests(WARM_UP_RATE, OPEN_WARM_UP_S, f'{self.seed}/{way}/warm', send)
        for times in self.times_ms.values():
            times.clear()

    def send_warm_up(self, way: str, number: int) -> defer.Deferred:
        """Send one request with an id that the measurement does not use."""
        return self.send(way, -number)

    def run(self, rate: float, seconds: float) -> defer.Deferred:
        """Send through the proxy and directly at the same time; the Deferred fires when all requests have finished."""
        return defer.gatherResults(
            send_requests(rate, seconds, f'{self.seed}/{way}', functools.partial(self.send, way))
            for way in self.targets
        )


def percentiles(values: list[float]) -> dict[str, float]:
    """Return the number of values and their percentiles."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        'n': len(ordered),
        **{f'p{percent}': ordered[min(last, len(ordered) * percent // 100)] for percent in PERCENTILES},
    }


class ControlCalls:
    """Sends heartbeats of one endpoint, or lookups, to a control node and counts the results."""

    def __init__(self, kind: str, size: sizes.Size, addresses: children.Addresses):
        self.kind, self.address = kind, addresses.api
        self.client = endpoint_client.EndpointClient(reactor)
        self.succeeded = self.errors = 0
        document = heartbeat(size, addresses.endpoint) if kind == 'beat' else {'cell': 'r0/z0', 'front': True}
        self.body = json.dumps(document).encode()

    def send(self, number: int) -> defer.Deferred:
        """Send one call."""
        headers = {'host': self.address, 'content-type': 'application/json'}
        fetched = self.client.fetch(
            'node', self.address, 'POST', f'/v1/{self.kind}', headers, self.body, TIMEOUT, False
        )
        return fetched.addCallback(self.record_result)

    def record_result(self, result: effects.HttpResult) -> None:
        """Count a call as succeeded or failed."""
        if result.status == 200 and not result.fault:
            self.succeeded += 1
        else:
            self.errors += 1


def heartbeat(size: sizes.Size, address: str) -> dict:
    """Return the heartbeat of the first endpoint of a state."""
    incarnation, row = next(iter(scale_state.state_tables(size)['endpoints'].items()))
    known = {field: row[field] for field in ('service', 'cell', 'slots', 'state')}
    return {**known, 'addr': address, 'inc': incarnation, 'cold': 0, 'seq': 1, 'cold_ms': 0, 'pressure': 0.0}
