"""Open traffic between this proxy and endpoints: sends, results, cancellations and retries."""

import datetime
import typing

import zinctrail.proxy.hedging as hedging
import zinctrail.proxy.open_pipeline as open_pipeline
import zinctrail.proxy.open_responses as open_responses
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

Request = request_record.Request
# How much longer than the request's deadline a fetch waits.
FETCH_MARGIN = durations.ms(20)
# The fraction of the latency target below which the remaining time may be too short for any endpoint.
MIN_REMAINING_FRACTION = 0.1


class OpenFetch(typing.NamedTuple):
    """A request in flight at an endpoint; a hedged request has several."""

    request: Request
    incarnation: str
    sent_at: datetime.timedelta


class OpenUpstream(proxy_part.ProxyPart):
    """Sends requests of open traffic to endpoints, handles the results, and retries."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start with no requests in flight."""
        super().__init__(proxy)
        # {fetch id: the fetch in flight}.
        self.fetches: dict[int, OpenFetch] = {}

    def send(self, request: Request) -> None:
        """Send a request to the endpoint that was chosen for it, and plan its hedge."""
        proxy, now = self.proxy, self.proxy.now
        # Before anything is counted, so that an exception leaves nothing counted for a fetch that was never sent.
        fetch = self.new_fetch(request)
        view = proxy.endpoint_selection.view_of(request.incarnation)
        if not view.in_use:
            view.busy_since = now
        view.in_use += 1
        view.sent_at = now
        request.send_count += 1
        request.fetch_id = fetch.fetch_id
        request.in_flight[request.fetch_id] = request.incarnation
        self.fetches[request.fetch_id] = OpenFetch(request, request.incarnation, now)
        proxy.out.append(fetch)
        proxy.counts['sends'] += 1
        request.sent_at = request.sent_at or now
        if not request.at_most_once and self.may_send_again(request):
            proxy.hedging.plan(request, hedging.first_hedge_at(request, now))

    def new_fetch(self, request: Request) -> effects.HttpFetch:
        """Return the effect that sends a request to the endpoint that was chosen for it."""
        remaining = request.deadline - self.proxy.now
        headers = open_responses.end_to_end_headers(request.call.headers)
        headers['zt-inc'] = request.incarnation
        headers['zt-left-ms'] = str(max(1, durations.to_ms(remaining)))
        return effects.HttpFetch(
            self.proxy.next_number(),
            proxy_part.endpoint_row(self.proxy, request.incarnation)['addr'],
            request.incarnation,
            request.call.method,
            request.path,
            headers,
            request.call.body,
            remaining + FETCH_MARGIN,
            plain=True,
            at_most_once=request.at_most_once,
        )

    def handle_fetch_result(self, fetch_id: int, result: effects.HttpResult) -> None:
        """Handle the end of a fetch: update the endpoint's view, resume the request, and process the queue."""
        fetch = self.end_fetch(fetch_id)
        self.proxy.runner.guarded(fetch.request, self.use_result, fetch_id, fetch, result)
        if self.proxy.open_queue.queued:
            self.proxy.open_queue.run_queued()

    def end_fetch(self, fetch_id: int) -> OpenFetch:
        """Remove a fetch from those in flight, and give back what is counted for it."""
        fetch = self.fetches.pop(fetch_id)
        view = self.proxy.endpoint_selection.endpoint_views.get(fetch.incarnation)
        if view is not None:
            view.in_use -= 1
        fetch.request.in_flight.pop(fetch_id, None)
        return fetch

    def use_result(self, fetch_id: int, fetch: OpenFetch, result: effects.HttpResult) -> None:
        """Update the endpoint's view with the result of a fetch that has ended, and resume the request."""
        proxy = self.proxy
        request, incarnation, sent_at = fetch
        view = proxy.endpoint_selection.endpoint_views.get(incarnation)
        if view is not None:
            if not result.fault:
                view.responded_at = proxy.now
            proxy.outlier_reports.observe_load(view, result)
            proxy.outlier_reports.observe_response(
                request, incarnation, view, result, durations.to_ms(proxy.now - sent_at)
            )
        proxy.client_disconnects.observe_fetch_end(request, incarnation, sent_at)
        if request.sent_at is not None and not request.in_flight:
            request.time_at_endpoints += proxy.now - request.sent_at
            request.sent_at = None
        if proxy.runner.is_pending(request):
            request.result, request.incarnation, request.fetch_id = result, incarnation, fetch_id
            proxy.runner.resume(request, open_pipeline.check_response)

    def cancel(self, request: Request) -> None:
        """Cancel the fetches of a request that are still in flight, since no caller waits for them."""
        if not request.in_flight:
            return
        proxy = self.proxy
        for fetch_id, incarnation in list(request.in_flight.items()):
            fetch = self.end_fetch(fetch_id)
            view = proxy.endpoint_selection.endpoint_views.get(incarnation)
            if view is not None:
                proxy.outlier_reports.observe_cancelled(request, view, durations.to_ms(proxy.now - fetch.sent_at))
            proxy.out.append(effects.CancelFetch(fetch_id))
        if proxy.open_queue.queued:
            proxy.open_queue.run_queued()

    def back_off_endpoint(self, incarnation: str) -> None:
        """Avoid an endpoint for a while, longer each time, and report it to the leader as unreachable."""
        self.proxy.endpoint_selection.view_of(incarnation).back_off(self.proxy.now)
        self.proxy.upstream.report_unreachable(incarnation)

    def is_too_late(self, request: Request) -> bool:
        """True if the remaining time is a small fraction of the latency target and below the pool's typical latency.

        Such a request is refused instead of sent: the caller can still learn
        that it did not run. If it were sent, its outcome would most likely be
        unknown, and the endpoint's work wasted.
        """
        remaining = request.deadline - self.proxy.now
        least = (request.latency_target - request.received_at) * MIN_REMAINING_FRACTION
        return remaining < least and durations.to_ms(remaining) < self.proxy.endpoint_selection.typical_ms.get(
            request.pool, 0.0
        )

    def may_send_again(self, request: Request) -> bool:
        """True if the rule's attempts and the deadline allow one more send, and the caller has not disconnected."""
        return (
            request.send_count < request.open_rule.get('attempts', 1)
            and self.proxy.now < request.deadline
            and request.disconnected_at is None
        )

    def retry(self, request: Request, refusal: refusals.Refusal | None) -> bool:
        """Send the request again if rule, deadline and retry budget allow it; otherwise raise `refusal`.

        If `refusal` is None, the response that was received is passed on instead.
        """
        request.tried.add(request.incarnation)
        request.is_retry = request.send_count > 0
        if request.in_flight:
            # The request was hedged, and the other response may still come.
            request.position = request.stages.index(open_pipeline.check_response)
            return request_record.WAIT
        if self.may_send_again(request):
            try:
                if request.send_count:
                    self.proxy.retry_budgets.require(request)
                if self.proxy.endpoint_selection.choose_endpoint(request) is not None or (
                    not request.send_count and self.proxy.endpoint_selection.has_candidates(request)
                ):
                    self.proxy.runner.resume(request, open_pipeline.choose_endpoint)
                    return request_record.WAIT
            except refusals.Refusal:
                # The result of this attempt tells the caller more than that the retry budget is spent.
                pass
        if refusal is None:
            return request_record.GO
        raise refusal
