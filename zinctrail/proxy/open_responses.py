"""Responses of open traffic: the validation of endpoints' responses, and the responses to callers."""

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.effects as effects

Request = request_record.Request
# Headers that concern one connection only, and those that this proxy sets itself.
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
# Headers that are passed on even if the header `connection` names them.
NEVER_REMOVED = {'zt-id', 'host'}
# Statuses that promise the caller that its request did not run and never will.
NOT_RUN_STATUSES = (408, 429, 503)
MISDIRECTED = 421


def end_to_end_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers: those that concern more than one connection."""
    # A header that `connection` names concerns that connection only (RFC 9110, 7.6.1).
    named = {name.strip().lower() for name in headers.get('connection', '').split(',')} - NEVER_REMOVED
    return {name: value for name, value in headers.items() if name not in HOP_BY_HOP and name not in named}


def is_refused(request: Request, result: effects.HttpResult) -> bool:
    """True if the endpoint declares that it did not run this request and never will.

    The response must name this request's id: a late response to another
    request, or one without an id, promises nothing about this request.
    """
    return (
        not result.fault
        and result.headers.get('zt-id') == request.id
        and (result.status == MISDIRECTED or 'zt-not-run' in result.headers)
    )


def response_error(request: Request, result: effects.HttpResult) -> str:
    """Return why a result is not a complete response to this request; '' if it is one."""
    if result.fault:
        return result.fault
    if result.headers.get('zt-id') != request.id:
        return 'reply to another request'
    if 200 <= result.status < 300 and 'zt-stamp' not in result.headers:
        return 'success without a stamp'
    if 'content-encoding' in result.headers:
        return 'reply in an encoding that nobody asked for'
    if result.status in NOT_RUN_STATUSES and 'zt-not-run' not in result.headers:
        # The status would promise the caller that nothing ran, which the endpoint did not declare.
        return f'a {result.status} that does not say whether it ran'
    return ''


class OpenResponses(proxy_part.ProxyPart):
    """Sends the responses to requests of open traffic, also at their deadlines."""

    def respond_result(self, request: Request) -> None:
        """Respond with the endpoint's response."""
        result = request.result
        self.proxy.counts[refusals.RAN] += 1
        self.proxy.request_metrics.observe_end(request, result.status, refusals.RAN)
        headers = end_to_end_headers(result.headers)
        self.complete(request, result.status, headers, result.body)

    def respond_refusal(self, request: Request, refusal: refusals.Refusal) -> None:
        """Respond with a refusal as plain text."""
        status, outcome = refusal.status, refusal.outcome
        if outcome == refusals.UNKNOWN and status == 503:
            # 503 promises that nothing ran.
            status = 502
        elif outcome == refusals.NOT_RUN and status == 504:
            # Nothing ran, so 503 can promise it.
            status = 503
        headers = {'content-type': 'text/plain', 'zt-outcome': outcome}
        if outcome == refusals.NOT_RUN and refusal.retry_ms is not None:
            headers['retry-after'] = f'{refusal.retry_ms / 1000:g}'
        self.proxy.counts[outcome] += 1
        self.proxy.request_metrics.observe_end(request, status, outcome, str(refusal))
        self.complete(request, status, headers, f'{refusal}\n'.encode())

    def complete(self, request: Request, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send the response, and end the request."""
        self.proxy.runner.remove(request)
        self.proxy.out.append(effects.HttpResponse(request.call_id, status, headers, body))

    def handle_deadline(self, request: Request) -> None:
        """Refuse a request whose deadline has passed; the outcome is "unknown" if it may have run."""
        if request.waiting_for is request_record.Waiting.ROOM and not request.may_have_run:
            self.proxy.runner.refuse(request, refusals.DeadlineExceeded())
        elif request.in_flight:
            self.proxy.runner.refuse(request, refusals.OutcomeUnknown(504, 'no reply in time'))
        else:
            self.proxy.runner.refuse(request, refusals.DeadlineExceeded(outcome=refusals.UNKNOWN))
