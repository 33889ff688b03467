"""Hedged requests: a request without a response after most of its latency target is also sent to a second endpoint.

The first complete response is used. Only requests that may run more than once are hedged.
"""

import datetime

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations

Request = request_record.Request
# The fraction of its latency target after which a request is hedged.
HEDGE_FRACTION = 0.6
# The minimum time between two checks for requests to hedge, because a timer for each request costs more than a delay
# of some milliseconds.
CHECK_INTERVAL = durations.ms(25)
# When a hedge that found no endpoint or no budget is tried again: the budget earns a retry within some tenths of a
# second, and an endpoint that fails holds several requests.
RETRY_INTERVAL = durations.ms(60)


def first_hedge_at(request: Request, now: datetime.timedelta) -> datetime.timedelta:
    """Return when a request that is sent now is hedged."""
    target = request.latency_target - request.received_at
    return max(now, request.received_at) + target * HEDGE_FRACTION


class Hedging(proxy_part.ProxyPart):
    """Plans and sends hedged requests."""

    def plan(self, request: Request, at: datetime.timedelta) -> None:
        """Schedule a hedge of the request at the given time, in case no response comes first."""
        request.hedge_at = at
        self.proxy.set_timer_by('hedge', at)

    def send_due_hedges(self) -> None:
        """Hedge the requests whose time has come, and set the timer for the next ones."""
        due: list[Request] = []
        later: list[datetime.timedelta] = []
        for request in self.proxy.runner.requests.values():
            if request.hedge_at is None or not request.in_flight:
                continue
            if request.hedge_at <= self.proxy.now:
                due.append(request)
            else:
                later.append(request.hedge_at)
        for request in due:
            request.hedge_at = None
            self.proxy.runner.guarded(request, self.hedge, request)
        if later:
            self.proxy.set_timer_by('hedge', max(self.proxy.now + CHECK_INTERVAL, min(later)))

    def hedge(self, request: Request) -> None:
        """Send the request to a second endpoint, if its rule, the retry budget and the endpoints allow it."""
        if not self.proxy.open_upstream.may_send_again(request) or not self.proxy.has_lease():
            return
        request.tried.update(request.in_flight.values())
        try:
            budget = self.proxy.retry_budgets.require(request)
        except refusals.Refusal:
            budget = None
        incarnation = self.proxy.endpoint_selection.choose_endpoint(request) if budget else None
        if budget is None or incarnation is None:
            self.plan(request, self.proxy.now + RETRY_INTERVAL)
            return
        budget.spend(self.proxy.now)
        self.proxy.counts['hedges'] += 1
        request.incarnation, request.is_retry = incarnation, True
        self.proxy.open_upstream.send(request)
