"""Responses of open traffic: which of an endpoint's are complete, and the answers of this proxy."""

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.effects as effects

Request = request_record.Request
# Headers of one connection only, and those that this proxy sets itself.
HOP_BY_HOP = (
    'connection',
    'keep-alive',
    'proxy-connection',
    'te',
    'trailer',
    'trailers',
    'transfer-encoding',
    'upgrade',
    'content-length',
    'expect',
    'zt-left-ms',
    'zt-inc',
)
# No caller may have these removed on the way by naming them in `connection`.
NEVER_REMOVED = {'zt-id', 'host'}
# Statuses by which a caller is promised that its request did not run and never will.
NOT_RUN_STATUSES = (408, 429, 503)
MISDIRECTED = 421


def end_to_end_headers(headers: dict[str, str]) -> dict[str, str]:
    """The headers that concern more than one connection."""
    # A header that `connection` names is of that connection only (RFC 9110, 7.6.1).
    named = {name.strip().lower() for name in headers.get('connection', '').split(',')} - NEVER_REMOVED
    return {name: value for name, value in headers.items() if name not in HOP_BY_HOP and name not in named}


def is_refused(request: Request, result: effects.HttpResult) -> bool:
    """Whether the endpoint says, of this very request, that it did not run it and will not.

    A response to another request, which comes late in the place of ours, or
    one that names no request promises nothing of ours.
    """
    return (
        not result.fault
        and result.headers.get('zt-id') == request.id
        and (result.status == MISDIRECTED or 'zt-not-run' in result.headers)
    )


def response_error(request: Request, result: effects.HttpResult) -> str:
    """Why a response is not complete or not of this request; '' if it is."""
    if result.fault:
        return result.fault
    if result.headers.get('zt-id') != request.id:
        return 'reply to another request'
    if 200 <= result.status < 300 and 'zt-stamp' not in result.headers:
        return 'success without a stamp'
    if 'content-encoding' in result.headers:
        return 'reply in an encoding that nobody asked for'
    if result.status in NOT_RUN_STATUSES and 'zt-not-run' not in result.headers:
        # To its caller the status would promise that nothing ran, and the endpoint does not say so.
        return f'a {result.status} that does not say whether it ran'
    return ''


class OpenResponses(proxy_part.ProxyPart):
    """Answers requests of open traffic, also at their deadlines."""

    def respond_result(self, request: Request) -> None:
        """Answer with the endpoint's response."""
        result = request.result
        self.proxy.counts[refusals.RAN] += 1
        self.proxy.request_metrics.observe_end(request, result.status, refusals.RAN)
        headers = end_to_end_headers(result.headers)
        self.complete(request, result.status, headers, result.body)

    def respond_refusal(self, request: Request, refusal: refusals.Refusal) -> None:
        """Answer with a refusal as plain text."""
        status, outcome = refusal.status, refusal.outcome
        if outcome == refusals.UNKNOWN and status == 503:
            # That status promises that nothing ran.
            status = 502
        elif outcome == refusals.NOT_RUN and status == 504:
            # Nothing of it was sent, so the promise can be made.
            status = 503
        headers = {'content-type': 'text/plain', 'zt-outcome': outcome}
        if outcome == refusals.NOT_RUN and refusal.retry_ms is not None:
            headers['retry-after'] = f'{refusal.retry_ms / 1000:g}'
        self.proxy.counts[outcome] += 1
        self.proxy.request_metrics.observe_end(request, status, outcome, str(refusal))
        self.complete(request, status, headers, f'{refusal}\n'.encode())

    def complete(self, request: Request, status: int, headers: dict[str, str], body: bytes) -> None:
        """Answer the call."""
        self.proxy.runner.remove(request)
        self.proxy.out.append(effects.HttpResponse(request.call_id, status, headers, body))

    def handle_deadline(self, request: Request) -> None:
        """Give a request up whose deadline is reached."""
        if request.waiting_for is request_record.Waiting.ROOM and not request.may_have_run:
            self.proxy.runner.refuse(request, refusals.DeadlineExceeded())
        elif request.in_flight:
            self.proxy.runner.refuse(request, refusals.OutcomeUnknown(504, 'no reply in time'))
        else:
            self.proxy.runner.refuse(request, refusals.DeadlineExceeded(outcome=refusals.UNKNOWN))
