"""The pipeline stages of a request of open traffic, in order.

Open traffic is routed by host and path, to endpoints that do not link the
endpoint library. Such an endpoint returns the request's id and a stamp,
declares by a header that it did not run a request, and refuses requests that
name another incarnation. Any request that it was sent and did not refuse may
have run. Each id is one attempt of its caller and reaches one proxy. An
at-most-once request is therefore never sent again after it may have run
(docs/notes/open-traffic.md).
"""

import zinctrail.control.routing_table as routing_table
import zinctrail.proxy.admission as admission
import zinctrail.proxy.open_responses as open_responses
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.process_limits as process_limits

GO, WAIT = request_record.GO, request_record.WAIT
Request = request_record.Request
MAX_ID_LENGTH = 200
# How long a request waits for a lease of this proxy: the election of a new leader takes little longer.
LEASE_WAIT = durations.ms(100)
# A request may wait for room for a fifth of its latency target, so that another proxy can still serve it afterwards.
QUEUE_DIVISOR = 5
# Bounds of the milliseconds until a refused caller's retry, and the remaining time assumed if there is no deadline.
MIN_RETRY_MS, MAX_RETRY_MS = 50, 1000
DEFAULT_REMAINING_MS = 900
# Milliseconds after which a refused caller may retry, by cause.
RETRY_LEAVING_MS = 50
RETRY_UNREACHABLE_MS = 100
RETRY_NOT_RUN_MS = 150


def retry_ms(proxy: proxy_part.ProxyNode, request: Request) -> int:
    """Return the milliseconds until a retry: a third of the remaining time, which most faults need to pass."""
    remaining = durations.to_ms(request.deadline - proxy.now) if request.deadline else DEFAULT_REMAINING_MS
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, remaining // 3))


def accept(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Read the headers; refuse the request, or queue it for a lease, if this proxy cannot serve it now."""
    headers = request.call.headers
    request.id = headers.get('zt-id', '')
    if not request.id or len(request.id) > MAX_ID_LENGTH:
        raise refusals.MalformedRequest('the id is missing, or longer than 200')
    remaining_ms = admission.remaining_time_ms(headers, 'the time left')
    if remaining_ms is not None:
        request.deadline = request.received_at + durations.ms(remaining_ms)
    if proxy.shutdown.refuses_open_traffic:
        # A request that is accepted now would still be in flight when the process has to exit.
        raise refusals.Unavailable('leaving', RETRY_LEAVING_MS)
    if len(proxy.runner.requests) > process_limits.max_pending_requests(proxy.settings):
        raise refusals.Unavailable('busy', retry_ms(proxy, request))
    if not proxy.has_lease():
        if proxy.now >= request.received_at + LEASE_WAIT:
            raise no_lease(proxy, request)
        proxy.open_queue.add(request, request.received_at + LEASE_WAIT)
        return WAIT
    return GO


def no_lease(proxy: proxy_part.ProxyNode, request: Request) -> refusals.Unavailable:
    """Return the refusal of a request while this proxy has no lease on its replica of the state."""
    return refusals.Unavailable('no lease on the state', retry_ms(proxy, request))


def match_route(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Find the rule for the host and path; set the request's pool, deadline and latency target."""
    path = request.call.path.split('?', 1)[0]
    rule = proxy.routes.rule_for_path(routing_table.without_port(request.call.headers.get('host', '')), path)
    if rule is None:
        raise refusals.NoRoute
    request.open_rule, request.path, request.at_most_once = rule, request.call.path, rule['once']
    request.allowed_regions = tuple(rule.get('home', ()))
    request.pool = rule['pool'] if 'pool' in rule else proxy.endpoint_selection.choose_share(rule['shares'])
    admission.limit_deadline(request, proxy.now, rule['timeout_ms'])
    target = durations.ms(rule.get('aim_ms', rule['timeout_ms']))
    request.latency_target = request.received_at + target
    request.queue_deadline = min(request.deadline, request.received_at + target / QUEUE_DIVISOR)
    proxy.set_timer_by('deadlines', request.deadline)
    if proxy.runner.pending_in_pool[request.pool] >= process_limits.max_pending_in_pool(proxy.settings):
        raise refusals.Unavailable('busy with requests for one service', retry_ms(proxy, request))
    proxy.runner.count_in_pool(request)
    return GO


def choose_endpoint(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Choose an endpoint with room; queue the request for room if it was not sent before."""
    if request.send_count:
        # Checked before an endpoint is chosen, so that a retry that the budget refuses does not wait for room.
        proxy.retry_budgets.require(request)
    if not proxy.has_lease():
        # Checked again, because the lease may have expired while the request waited or was at an endpoint.
        raise no_lease(proxy, request)
    incarnation = proxy.endpoint_selection.choose_endpoint(request)
    if incarnation is None:
        if (
            proxy.now >= request.queue_deadline
            or request.send_count
            or not proxy.endpoint_selection.has_candidates(request)
        ):
            raise refusals.Unavailable('no endpoint can take this now', retry_ms(proxy, request))
        proxy.open_queue.add(request, request.queue_deadline)
        return WAIT
    request.incarnation = incarnation
    return GO


def send(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Send the request to the chosen endpoint, if any endpoint can serve it in the remaining time."""
    if proxy.now >= request.deadline:
        raise refusals.DeadlineExceeded
    if not request.send_count and proxy.open_upstream.is_too_late(request):
        raise refusals.Unavailable('too little time left for any endpoint', retry_ms(proxy, request))
    admission.charge_retry_budget(proxy, request, is_retry=request.send_count > 0)
    proxy.open_upstream.send(request)
    return WAIT


def check_response(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Go on with a complete response; retry or refuse the request after any other result."""
    result = request.result
    if result.is_unsendable:
        raise refusals.MalformedRequest('the request can not be passed on')
    if not result.sent:
        return retry_unsent(proxy, request)
    error = open_responses.response_error(request, result)
    if open_responses.is_refused(request, result):
        if result.status == open_responses.MISDIRECTED:
            proxy.open_upstream.back_off_endpoint(request.incarnation)
        return proxy.open_upstream.retry(request, refusals.Unavailable('the endpoint did not run it', RETRY_NOT_RUN_MS))
    if error:
        proxy.counts['garbled'] += 1
        request.may_have_run = True
        unknown_outcome = refusals.OutcomeUnknown(502, f'outcome unknown: {error}')
        if request.at_most_once:
            raise unknown_outcome
        return proxy.open_upstream.retry(request, unknown_outcome)
    if result.status >= 500 and not request.at_most_once:
        request.may_have_run = True
        return proxy.open_upstream.retry(request, None)
    return GO


def retry_unsent(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Retry a request that certainly reached no endpoint; that send is not counted."""
    proxy.open_upstream.back_off_endpoint(request.incarnation)
    if not request.is_retry:
        proxy.retry_budgets.budget_of(request.pool).return_earned()
    request.send_count -= 1
    refusal = refusals.Unavailable('the endpoint could not be reached', RETRY_UNREACHABLE_MS)
    return proxy.open_upstream.retry(request, refusal)


def respond(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Respond to the caller with the endpoint's response."""
    proxy.open_responses.respond_result(request)
    return WAIT


STAGES: list[proxy_part.Stage] = [accept, match_route, choose_endpoint, send, check_response, respond]
