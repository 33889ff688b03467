"""Runs requests through their passes: parking, resuming, refusing, deadlines."""

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
# How long a request that is given up waits for its claim to be closed; a leader that is there answers in much less.
CLOSE_WAIT = durations.ms(500)


def unconfirmed_refusal(refusal: refusals.Refusal) -> refusals.Refusal:
    """The refusal of a request whose claim could not be closed, so that a late copy of it may run."""
    return refusals.OutcomeUnknown(504, f'{refusal}; could not be made sure of')


class RequestRunner(proxy_part.ProxyPart):
    """The table of requests, and the passes that they go through."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up without requests."""
        super().__init__(proxy)
        # Requests that are not answered yet: {call id: Request}.
        self.requests: dict[typing.Any, Request] = {}

    def begin_client_request(self, call_id: typing.Any, call: effects.HttpRequest) -> None:
        """A request of a client came."""
        self.begin(Request(call_id, call, self.proxy.now, pipeline.STAGES))

    def begin_open_request(self, call_id: typing.Any, call: effects.HttpRequest) -> None:
        """A request of open traffic came."""
        self.begin(Request(call_id, call, self.proxy.now, open_pipeline.STAGES, is_open_traffic=True))

    def is_pending(self, request: Request) -> bool:
        """Whether a request is not answered yet."""
        return request.call_id in self.requests

    def remove(self, request: Request) -> None:
        """Forget a request that is answered, or whose caller went away."""
        del self.requests[request.call_id]

    def begin(self, request: Request) -> None:
        """Take a request on and run its passes."""
        self.requests[request.call_id] = request
        self.proxy.counts['requests'] += 1
        self.run_stages(request)

    def run_stages(self, request: Request) -> None:
        """Run passes from the request's position on, until one parks or refuses it or none is left."""
        request.waiting_for = Waiting.NOTHING
        while request.position < len(request.stages):
            try:
                if not request.stages[request.position](self.proxy, request):
                    return
            except refusals.Refusal as refusal:
                self.refuse(request, refusal)
                return
            request.position += 1

    def resume(self, request: Request, at: typing.Callable | None = None) -> None:
        """Go on with the next pass, or with the named one."""
        request.position = request.stages.index(at) if at else request.position + 1
        self.run_stages(request)

    # -- refusing ---------------------------------------------------------

    def refuse(self, request: Request, refusal: refusals.Refusal) -> None:
        """Give a request up. What is claimed and did not run is answered once its claim is closed."""
        if not self.is_pending(request):
            return
        if request.may_have_run and refusal.outcome == refusals.NOT_RUN:
            refusal = refusal.with_unknown_outcome()
        if request.is_claimed and refusal.outcome == refusals.NOT_RUN:
            self.close_claim(request, refusal)
            return
        self.respond_refusal(request, refusal)

    def close_claim(self, request: Request, refusal: refusals.Refusal) -> None:
        """Have the leader commit that the id does not run: "not run" must hold against a late copy at any proxy."""
        request.waiting_for, request.refusal = Waiting.CLAIM_CLOSED, refusal
        # It is given up, so its caller is answered soon; "unknown" is a true answer where no leader answers.
        request.deadline = min(request.deadline, self.proxy.now + CLOSE_WAIT)
        self.proxy.set_timer_by('deadlines', request.deadline)
        self.proxy.request_operation(
            'close',
            {'id': request.id, 'nonce': request.claim_nonce},
            lambda result: self.handle_close_result(request, refusal, result),
        )

    def handle_close_result(self, request: Request, refusal: refusals.Refusal, result: dict) -> None:
        """The leader's answer to `close`."""
        is_closed = result['status'] == 200
        if self.is_pending(request):
            self.respond_refusal(request, refusal if is_closed else unconfirmed_refusal(refusal))
            return
        stored = self.proxy.at_most_once.stored_results.get(request.id)
        if is_closed and stored is not None and stored.claim_nonce == request.claim_nonce:
            # It was answered "unknown" for want of a leader, but it never ran, and the next attempt may.
            self.proxy.at_most_once.forget_result(request.id)

    def respond_refusal(self, request: Request, refusal: refusals.Refusal) -> None:
        """Answer a request that is given up."""
        if request.is_open_traffic:
            self.proxy.open_responses.respond_refusal(request, refusal)
        else:
            self.proxy.client_responses.respond_client_refusal(request, refusal)

    # -- deadlines --------------------------------------------------------

    def expire_requests(self) -> None:
        """Answer what has reached its deadline."""
        for request in [r for r in self.requests.values() if r.deadline and r.deadline <= self.proxy.now]:
            if request.is_open_traffic:
                self.proxy.open_responses.handle_deadline(request)
            else:
                self.handle_deadline(request)
        # An owner that never answers must not leave its query behind.
        self.proxy.at_most_once.result_queries = {
            k: r for k, r in self.proxy.at_most_once.result_queries.items() if r.call_id in self.requests
        }
        times = [r.deadline for r in self.requests.values() if r.deadline and r.deadline > self.proxy.now]
        if times:
            self.proxy.set_timer_by('deadlines', min(times))

    def handle_deadline(self, request: Request) -> None:
        """Give up a client's request by what it waits for; a claim's answer has a timer of its own."""
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
