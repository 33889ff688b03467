"""Metrics of requests: counters, latency histograms and, for a sample of them, a log line."""

import bisect
import collections
import datetime
import typing

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.metrics as metrics

Request = request_record.Request
# Upper bounds of the histogram buckets in milliseconds; a further bucket counts what is above the last bound.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
MILLISECOND = durations.ms(1)
# The most causes that are counted separately. Causes are texts of this proxy and few; the bound protects memory in case
# one contains text from a caller.
MAX_CAUSES = 64
# The most characters of a request id that are logged.
MAX_LOGGED_ID_LENGTH = 200


class Histogram:
    """A histogram of durations: `counts[i]` of them were up to BUCKETS_MS[i]; `total_ms` is their sum."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0

    def add(self, duration: datetime.timedelta) -> None:
        """Count a duration."""
        duration_ms = duration / MILLISECOND
        self.counts[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.total_ms += duration_ms

    def metric(self, name: str, text: str) -> metrics.Metric:
        """Return the histogram as a metric with this name and help text."""
        bounds_s = [bound / 1000 for bound in BUCKETS_MS]
        return metrics.histogram(name, text, metrics.Histogram(self.counts, bounds_s, self.total_ms / 1000))


class RequestMetrics(proxy_part.ProxyPart):
    """Counts requests when they end, logs a sample of them, and yields the metrics for the metrics page."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start without counts."""
        super().__init__(proxy)
        # {cause: how many requests were refused for it}.
        self.causes: collections.Counter[str] = collections.Counter()
        # The times that requests spent in this proxy, and at endpoints.
        self.times_in_proxy = Histogram()
        self.times_at_endpoints = Histogram()

    def observe_end(self, request: Request, status: int, outcome: str, cause: str = '') -> None:
        """Record the end of a request; `cause` is the text of the refusal, '' for an endpoint's response."""
        proxy = self.proxy
        at_endpoints = request.time_at_endpoints
        if request.sent_at is not None:
            at_endpoints += proxy.now - request.sent_at
        in_proxy = proxy.now - request.received_at - at_endpoints
        self.times_in_proxy.add(in_proxy)
        if request.send_count:
            self.times_at_endpoints.add(at_endpoints)
        if cause:
            cause = cause.partition(':')[0]
            self.causes[cause if cause in self.causes or len(self.causes) < MAX_CAUSES else 'other'] += 1
        if proxy.request_sampler.is_sampled(request.id) or (
            outcome == refusals.UNKNOWN and proxy.request_sampler.admits_failure(proxy.now)
        ):
            proxy.log(
                f'Request {request.id[:MAX_LOGGED_ID_LENGTH]} ended: {cause or outcome}.',
                'request',
                id=request.id[:MAX_LOGGED_ID_LENGTH],
                outcome=outcome,
                status=status,
                service=request.pool or request.service,
                inc=request.incarnation,
                tried=sorted(request.tried),
                tries=request.send_count,
                here_ms=durations.to_ms(in_proxy),
                there_ms=durations.to_ms(at_endpoints),
                cause=cause,
            )

    def rows(self) -> typing.Iterator[metrics.Metric]:
        """Yield the metrics of requests (runtime/metrics.py)."""
        counts = self.proxy.counts
        outcomes = {o: counts[o] for o in (refusals.RAN, refusals.NOT_RUN, refusals.UNKNOWN, refusals.REPLAYED)}
        yield metrics.by_label(metrics.COUNTER, 'requests', 'Requests answered.', 'outcome', outcomes)
        yield metrics.gauge('requests_open', 'Requests not answered yet.', len(self.proxy.runner.requests))
        yield metrics.counter('tries', 'Requests sent on to endpoints.', counts['sends'])
        yield metrics.counter('repeats', 'Of those, repeats.', counts['repeats'])
        yield metrics.counter(
            'internal_errors', 'Requests ended by an unforeseen exception.', counts['internal_errors']
        )
        yield metrics.counter('garbled', 'Replies that were not whole or of another request.', counts['garbled'])
        yield metrics.by_label(metrics.COUNTER, 'refusals', 'Answers of our own, by their cause.', 'cause', self.causes)
        yield self.times_in_proxy.metric('here_seconds', 'Time that requests spent in this proxy.')
        yield self.times_at_endpoints.metric('there_seconds', 'Time that requests spent at endpoints.')
        queued = len(self.proxy.open_queue.queued) + sum(len(pool.queue) for pool in self.proxy.credit.pools.values())
        yield metrics.gauge('waiting', 'Requests that wait for room at an endpoint.', queued)
        backed_off = sum(
            view.backoff_until > self.proxy.now for view in self.proxy.endpoint_selection.endpoint_views.values()
        )
        unreachable = sum(until > self.proxy.now for until in self.proxy.upstream.unreachable_until.values())
        yield metrics.gauge('resting', 'Endpoints left alone for a while.', backed_off + unreachable)
