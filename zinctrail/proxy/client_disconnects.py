"""Callers that disconnect before their response: their requests are dropped, cancelled, or run to their end.

A repeatable request is of no more use: it is dropped if it waits, and
cancelled if it is at an endpoint. An at-most-once request runs on at the
endpoint where it is, because an endpoint that is interrupted may have done half
of the work. Such a request of open traffic is not sent again; one of a client
that links the client library continues as if its caller were connected, because
the next attempt with its id gets its result.
"""

import datetime
import typing

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.metrics as metrics

Request = request_record.Request
# What happens to a request whose caller disconnects; labels of a metric.
DROPPED, CANCELLED, RUNS_ON = 'dropped', 'cancelled', 'runs_on'


class ClientDisconnects(proxy_part.ProxyPart):
    """Ends the requests of callers that disconnected, and counts and logs them."""

    def handle_disconnect(self, call_id: typing.Any) -> None:
        """Handle the disconnect of a caller; its request may have its response already."""
        request = self.proxy.runner.requests.get(call_id)
        if request is None:
            return
        if request.is_open_traffic:
            in_flight = sorted(request.in_flight.values())
            fate = self.end_open_request(request)
        else:
            in_flight = [request.incarnation] if request.fetch_id in self.proxy.upstream.fetches else []
            fate = self.end_client_request(request)
        self.observe(request, in_flight, fate)

    def end_open_request(self, request: Request) -> str:
        """Drop or cancel a request of open traffic, or let it run on; return which of these was done."""
        if request.in_flight and request.at_most_once:
            request.disconnected_at = self.proxy.now
            return RUNS_ON
        is_at_endpoint = bool(request.in_flight)
        # Removed before the cancellation, so that the capacity it frees goes to requests whose callers still wait.
        self.proxy.runner.remove(request)
        self.proxy.open_upstream.cancel(request)
        return CANCELLED if is_at_endpoint else DROPPED

    def end_client_request(self, request: Request) -> str:
        """Drop or cancel a client's request, or let it run on; return which of these was done."""
        if request.at_most_once:
            return RUNS_ON
        is_at_endpoint = request.fetch_id in self.proxy.upstream.fetches
        self.proxy.runner.remove(request)
        self.proxy.credit.leave_queue(request)
        self.proxy.upstream.cancel(request)
        return CANCELLED if is_at_endpoint else DROPPED

    def observe(self, request: Request, in_flight: list[str], fate: str) -> None:
        """Count a disconnect, and log it if the sampler's limit per second allows."""
        self.proxy.counts[f'disconnects_{fate}'] += 1
        if self.proxy.request_sampler.admits_failure(self.proxy.now):
            self.proxy.log(
                f'Client of request {request.id} has disconnected.',
                'disconnect',
                id=request.id,
                fate=fate,
                in_flight=in_flight,
                tries=request.send_count,
                age_ms=durations.to_ms(self.proxy.now - request.received_at),
            )

    def observe_fetch_end(self, request: Request, incarnation: str, sent_at: datetime.timedelta) -> None:
        """Log the end of a fetch whose caller had disconnected, if the sampler's limit per second allows."""
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
        """Yield the metrics of disconnects (runtime/metrics.py)."""
        counts = self.proxy.counts
        yield metrics.by_label(
            metrics.COUNTER,
            'disconnects',
            'Clients that went away before their answer, by what became of their request.',
            'fate',
            {fate: counts[f'disconnects_{fate}'] for fate in (DROPPED, CANCELLED, RUNS_ON)},
        )
