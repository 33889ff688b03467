"""Runs requests through the stages of their pipeline: parking, resumption, refusal, deadlines."""

import collections
import traceback
import typing

import zinctrail.proxy.open_pipeline as open_pipeline
import zinctrail.proxy.pipeline as pipeline
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

Request = request_record.Request
Waiting = request_record.Waiting
# How long a refused request waits for its claim to be closed; a reachable leader responds in much less.
CLOSE_WAIT = durations.ms(500)


def unconfirmed_refusal(refusal: refusals.Refusal) -> refusals.Refusal:
    """Return the refusal of a request whose claim could not be closed, so that a delayed copy of it may still run."""
    return refusals.OutcomeUnknown(504, f'{refusal}; could not be made sure of')


class RequestRunner(proxy_part.ProxyPart):
    """Holds the pending requests, and runs the stages that they go through."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start without requests."""
        super().__init__(proxy)
        # {call id: Request}: the pending requests, which have no response yet.
        self.requests: dict[typing.Any, Request] = {}
        # How many pending requests of open traffic each pool has.
        self.pending_in_pool: collections.Counter[str] = collections.Counter()

    def begin_client_request(self, call_id: typing.Any, call: effects.HttpRequest) -> None:
        """Start the pipeline of a client's request."""
        self.begin(Request(call_id, call, self.proxy.now, pipeline.STAGES))

    def begin_open_request(self, call_id: typing.Any, call: effects.HttpRequest) -> None:
        """Start the pipeline of a request of open traffic."""
        self.begin(Request(call_id, call, self.proxy.now, open_pipeline.STAGES, is_open_traffic=True))

    def is_pending(self, request: Request) -> bool:
        """True if a request has no response yet, and its caller has not disconnected."""
        return request.call_id in self.requests

    def remove(self, request: Request) -> None:
        """Remove a request that has its response, or whose caller disconnected."""
        del self.requests[request.call_id]
        if request.counted_pool:
            self.pending_in_pool[request.counted_pool] -= 1

    def count_in_pool(self, request: Request) -> None:
        """Count a request among the pending ones of its pool, until it is removed."""
        request.counted_pool = request.pool
        self.pending_in_pool[request.pool] += 1

    def begin(self, request: Request) -> None:
        """Add a request and run its stages."""
        self.requests[request.call_id] = request
        self.proxy.counts['requests'] += 1
        self.run_stages(request)

    def run_stages(self, request: Request) -> None:
        """Run the stages from the request's position on, until one parks or refuses the request, or all have run."""
        request.waiting_for = Waiting.NOTHING
        while request.position < len(request.stages):
            try:
                if not request.stages[request.position](self.proxy, request):
                    return
            except refusals.Refusal as refusal:
                self.refuse(request, refusal)
                return
            except Exception:
                self.fail(request)
                return
            request.position += 1

    def resume(self, request: Request, at: typing.Callable | None = None) -> None:
        """Continue with the stage `at`, by default the next one."""
        request.position = request.stages.index(at) if at else request.position + 1
        self.run_stages(request)

    # -- unforeseen exceptions ----------------------------------------------

    def guarded(self, request: Request, function: typing.Callable, *args: typing.Any) -> None:
        """Call a function that works on a request; if it raises an exception, that ends this request and no other."""
        try:
            function(*args)
        except Exception:
            self.fail(request)

    def fail(self, request: Request) -> None:
        """End a request because of the exception that is being handled, and give back all that is counted for it.

        What is counted for a fetch in flight is given back when the fetch ends,
        or is cancelled here if its request may run more than once.
        """
        proxy = self.proxy
        proxy.counts['internal_errors'] += 1
        proxy.log(
            f'Request {request.id:.200} ended by an internal error: {traceback.format_exc()}',
            'internal_error',
            id=request.id,
        )
        if not self.is_pending(request):
            return
        may_have_run = request.may_have_run or request.send_count > 0
        proxy.credit.leave_queue(request)
        if not request.at_most_once:
            proxy.upstream.cancel(request)
            proxy.open_upstream.cancel(request)
        # Not closed at the leader first: without the outcome "not run" its claim may stand.
        outcome = refusals.UNKNOWN if may_have_run or request.claim_nonce else refusals.NOT_RUN
        self.respond_refusal(request, refusals.InternalError(outcome))

    # -- refusing ---------------------------------------------------------

    def refuse(self, request: Request, refusal: refusals.Refusal) -> None:
        """Refuse a request. If it is claimed and did not run, the response waits until its claim is closed."""
        if not self.is_pending(request):
            return
        if request.may_have_run and refusal.outcome == refusals.NOT_RUN:
            refusal = refusal.with_unknown_outcome()
        if request.is_claimed and refusal.outcome == refusals.NOT_RUN:
            self.close_claim(request, refusal)
            return
        self.respond_refusal(request, refusal)

    def close_claim(self, request: Request, refusal: refusals.Refusal) -> None:
        """Have the leader commit that the id does not run.

        After the outcome "not run", no delayed copy of the request may run through any proxy.
        """
        request.waiting_for, request.refusal = Waiting.CLAIM_CLOSED, refusal
        # The request is refused, so its caller gets a response soon; if no leader responds, the outcome is "unknown",
        # which is true.
        request.deadline = min(request.deadline, self.proxy.now + CLOSE_WAIT)
        self.proxy.set_timer_by('deadlines', request.deadline)
        self.proxy.request_operation(
            'close',
            {'id': request.id, 'nonce': request.claim_nonce},
            lambda result: self.handle_close_result(request, refusal, result),
        )

    def handle_close_result(self, request: Request, refusal: refusals.Refusal, result: dict) -> None:
        """Handle the leader's result of the operation `close`."""
        is_closed = result['status'] == 200
        if self.is_pending(request):
            self.respond_refusal(request, refusal if is_closed else unconfirmed_refusal(refusal))
            return
        stored = self.proxy.at_most_once.stored_results.get(request.id)
        if is_closed and stored is not None and stored.claim_nonce == request.claim_nonce:
            # Its caller got the outcome "unknown" because no leader responded in time. But the request never ran, so
            # the next attempt may run.
            self.proxy.at_most_once.discard_result(request.id)

    def respond_refusal(self, request: Request, refusal: refusals.Refusal) -> None:
        """Send the response of a refused request."""
        if request.is_open_traffic:
            self.proxy.open_responses.respond_refusal(request, refusal)
        else:
            self.proxy.client_responses.respond_client_refusal(request, refusal)

    # -- deadlines --------------------------------------------------------

    def expire_requests(self) -> None:
        """Respond to the requests whose deadline has passed, and set the timer for the next deadline."""
        for request in [r for r in self.requests.values() if r.deadline and r.deadline <= self.proxy.now]:
            is_open = request.is_open_traffic
            self.guarded(
                request, self.proxy.open_responses.handle_deadline if is_open else self.handle_deadline, request
            )
        # Queries to claim owners that never responded are removed with their requests.
        self.proxy.at_most_once.result_queries = {
            k: r for k, r in self.proxy.at_most_once.result_queries.items() if r.call_id in self.requests
        }
        times = [r.deadline for r in self.requests.values() if r.deadline and r.deadline > self.proxy.now]
        if times:
            self.proxy.set_timer_by('deadlines', min(times))

    def handle_deadline(self, request: Request) -> None:
        """Refuse a client's request whose deadline has passed, by what it waits for.

        A request that waits for its claim is left: the operation `claim` has its own timeout.
        """
        waiting_for = request.waiting_for
        if waiting_for is Waiting.CREDIT:
            self.refuse(request, refusals.DeadlineExceeded())
        elif waiting_for is Waiting.RUNNING_ATTEMPT:
            # The other attempt may have run.
            self.refuse(request, refusals.DeadlineExceeded(outcome=refusals.UNKNOWN))
        elif waiting_for is Waiting.CLAIM_CLOSED:
            assert request.refusal is not None
            self.respond_refusal(request, unconfirmed_refusal(request.refusal))
        elif waiting_for is Waiting.OWNER:
            self.refuse(request, refusals.OutcomeUnknown(504, 'the outcome did not come in time'))
        elif waiting_for is Waiting.NOTHING and request.fetch_id in self.proxy.upstream.fetches:
            self.refuse(request, refusals.OutcomeUnknown(504, 'no reply in time'))
