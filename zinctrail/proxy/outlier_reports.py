"""Observation of endpoints by their responses, and reports of their failures to the leader.

One of many proxies sends an endpoint too few requests to judge it alone; the
leader judges by the reports of all proxies (control/outlier_detection.py).
"""

import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.proxy.endpoint_view as endpoint_view
import zinctrail.proxy.open_responses as open_responses
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.parsing as parsing

Request = request_record.Request
# The most endpoints in one report, and how long failures are collected for it, since a fault makes many requests fail
# at once.
MAX_REPORTED_ENDPOINTS = 32
REPORT_DELAY = durations.ms(50)
# A failure at the request's deadline, after less than this fraction of the rule's timeout, is not reported: the caller
# allowed little time, so the failure says little about the endpoint.
MIN_TIMEOUT_FRACTION = 1 / 2
DEADLINE_MARGIN = durations.ms(30)


class OutlierReports(proxy_part.ProxyPart):
    """Observes the results of fetches, and reports failures to the leader."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start with nothing to report."""
        super().__init__(proxy)
        # {incarnation: (successes, failures)} not yet reported to the leader.
        self.unreported: dict[str, tuple[int, int]] = {}

    def observe_load(self, view: endpoint_view.EndpointView, result: effects.HttpResult) -> None:
        """Record the load that an endpoint reports in the header `zt-load`: "running,queued,slots"."""
        parts = result.headers.get('zt-load', '').split(',')
        if len(parts) == 3 and all(parsing.is_whole(part.strip()) for part in parts):
            # One less than reported is running, because the request of this response has ended.
            view.report_load(self.proxy.now, max(0, int(parts[0]) - 1) + int(parts[1]))

    def observe_response(
        self,
        request: Request,
        incarnation: str,
        view: endpoint_view.EndpointView,
        result: effects.HttpResult,
        latency_ms: int,
    ) -> None:
        """Record a success or a failure of an endpoint; a request that it did not run is neither."""
        if not result.sent or open_responses.is_refused(request, result):
            return
        has_failed = bool(open_responses.response_error(request, result)) or result.status >= 500
        view.observe(self.proxy.now, has_failed, latency_ms)
        if has_failed:
            self.report_failure(request, view, incarnation, latency_ms)
        else:
            typical = self.proxy.endpoint_selection.typical_ms.get(request.pool, 0.0)
            self.proxy.endpoint_selection.typical_ms[request.pool] = (
                typical + (latency_ms - typical) * endpoint_view.SMOOTHING if typical else float(latency_ms)
            )

    def observe_cancelled(self, request: Request, view: endpoint_view.EndpointView, latency_ms: int) -> None:
        """Record a request that was cancelled before its endpoint responded.

        It is not reported to the leader, because no response was due yet.
        """
        view.observe_cancelled(
            self.proxy.now, latency_ms, self.proxy.endpoint_selection.typical_ms.get(request.pool, 0.0)
        )

    def report_failure(
        self, request: Request, view: endpoint_view.EndpointView, incarnation: str, latency_ms: int
    ) -> None:
        """Add a failure to the next report, with the successes since the last one."""
        is_short = latency_ms < request.open_rule['timeout_ms'] * MIN_TIMEOUT_FRACTION
        if is_short and self.proxy.now >= request.deadline - DEADLINE_MARGIN:
            # The caller allowed the endpoint little time.
            return
        successes, failures = self.unreported.get(incarnation, (0, 0))
        self.unreported[incarnation] = (successes + view.successes, failures + 1)
        view.successes = 0
        self.proxy.set_timer_by('failure_report', self.proxy.now + REPORT_DELAY)

    def send_report(self) -> None:
        """Send the collected failures to the leader."""
        unreported, self.unreported = self.unreported, {}
        if self.proxy.leader and unreported:
            failures = {
                incarnation: list(unreported[incarnation])
                for incarnation in sorted(unreported)[:MAX_REPORTED_ENDPOINTS]
            }
            self.proxy.send_message(self.proxy.leader['addr'], traffic_messages.EndpointFailures(endpoints=failures))
