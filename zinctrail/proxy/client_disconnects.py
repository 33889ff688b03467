"""Callers of open traffic that go away before their answer: what was under way for them, and what came of it."""

import datetime
import typing

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.metrics as metrics

Request = request_record.Request
# The counters of this part, by what was under way when the caller went away.
WAITING, AT_ENDPOINT = 'waiting', 'at_endpoint'
# The counter of requests that were sent after their caller had gone.
SENT_AFTERWARDS = 'sent_after_disconnect'


class ClientDisconnects(proxy_part.ProxyPart):
    """Counts and logs disconnects, and the work that goes on after them."""

    def observe_disconnect(self, request: Request) -> None:
        """A caller has gone; its request is not answered yet."""
        request.disconnected_at = self.proxy.now
        self.proxy.counts[f'disconnects_{AT_ENDPOINT if request.in_flight else WAITING}'] += 1
        if self.proxy.request_sampler.admits_failure(self.proxy.now):
            self.proxy.log(
                f'Client of request {request.id} has disconnected.',
                'disconnect',
                id=request.id,
                in_flight=sorted(request.in_flight.values()),
                tries=request.send_count,
                age_ms=durations.to_ms(self.proxy.now - request.received_at),
            )

    def observe_send(self, request: Request) -> None:
        """A request is sent to an endpoint; nobody may be there any more to take the answer."""
        if request.disconnected_at is not None:
            self.proxy.counts[SENT_AFTERWARDS] += 1

    def observe_fetch_end(self, request: Request, incarnation: str, sent_at: datetime.timedelta) -> None:
        """A request's work at an endpoint has ended."""
        if request.disconnected_at is None or not self.proxy.request_sampler.admits_failure(self.proxy.now):
            return
        self.proxy.log(
            f'Request {request.id} ended at its endpoint after its client had disconnected.',
            'orphan',
            id=request.id,
            inc=incarnation,
            sent_before_ms=durations.to_ms(request.disconnected_at - sent_at),
            ended_after_ms=durations.to_ms(self.proxy.now - request.disconnected_at),
        )

    def rows(self) -> typing.Iterator[metrics.Metric]:
        """Rows of runtime/metrics.py."""
        counts = self.proxy.counts
        states = {state: counts[f'disconnects_{state}'] for state in (WAITING, AT_ENDPOINT)}
        yield metrics.by_label(
            metrics.COUNTER, 'disconnects', 'Clients that went away before their answer.', 'state', states
        )
        yield metrics.counter(
            SENT_AFTERWARDS, 'Requests sent to endpoints after their client had gone.', counts[SENT_AFTERWARDS]
        )
