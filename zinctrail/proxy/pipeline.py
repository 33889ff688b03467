"""The pipeline stages of a client's request, in order.

A stage takes the proxy and the request. It returns GO (the next stage runs) or
WAIT (the request is parked or responded to; the part that it waits for resumes
it), or raises a Refusal. STAGES is the registry.
"""

import re

import zinctrail.client.seal as seal
import zinctrail.proxy.admission as admission
import zinctrail.proxy.at_most_once as at_most_once
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.parsing as parsing
import zinctrail.runtime.process_limits as process_limits

GO, WAIT = request_record.GO, request_record.WAIT
Request = request_record.Request
# A request id: an epoch, a dot, and a part that the caller chooses.
ID_PATTERN = re.compile(r'[0-9]{1,11}\.[A-Za-z0-9_-]{1,64}\Z')
MAX_ATTEMPTS = 1000
DEFAULT_DEADLINE_MS = 5000
# Milliseconds after which a refused caller may retry, by cause.
RETRY_BUSY_MS = 300
RETRY_NO_LEASE_MS = 100
RETRY_EVACUATED_MS = 100
RETRY_NO_CREDIT_MS = 500
RETRY_ENDPOINT_MS = 300
# The factor by which a pool's smoothed latency decreases with each request that is refused because of it.
LATENCY_DECAY = 0.95


def parse_labels(text: str) -> dict[str, str]:
    """Return the labels in the text of a `zt-labels` header."""
    labels = {}
    for part in text.split(','):
        key, equals, value = part.strip().partition('=')
        if part.strip():
            if not equals or not key:
                raise refusals.MalformedRequest('zt-labels must be k=v, parted by commas')
            labels[key] = value
    return labels


def accept(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Read the headers and the path; refuse the request if this proxy may not serve it now."""
    read_identity(request)
    remaining_ms = admission.remaining_time_ms(request.call.headers, 'zt-left-ms')
    if remaining_ms is not None:
        if remaining_ms == 0:
            raise refusals.DeadlineExceeded
        request.deadline = request.received_at + durations.ms(remaining_ms)
    read_path(request)
    homes = request.call.headers.get('zt-home', '').split(',')
    request.allowed_regions = tuple(region.strip() for region in homes if region.strip())
    if len(proxy.runner.requests) > process_limits.max_pending_requests(proxy.settings):
        raise refusals.Unavailable('busy', RETRY_BUSY_MS)
    require_lease(proxy, request)
    require_location(proxy, request)
    return GO


def read_identity(request: Request) -> None:
    """Read the request's id and attempt number, and refuse malformed ones."""
    headers = request.call.headers
    request.id = headers.get('zt-id', '')
    # The attempt number is checked first, because every later refusal has to name the attempt.
    attempt = headers.get('zt-attempt', '1')
    if not parsing.is_whole(attempt) or len(attempt) > admission.MAX_DIGITS or not 1 <= int(attempt) <= MAX_ATTEMPTS:
        raise refusals.MalformedRequest('zt-attempt must be a whole number from 1 to 1000')
    request.attempt = int(attempt)
    if not ID_PATTERN.match(request.id):
        raise refusals.MalformedRequest('zt-id must be an epoch, a dot and up to 64 letters, digits, - or _')


def read_path(request: Request) -> None:
    """Read the service, and the path at its endpoints, from /r/SERVICE/..."""
    parts = request.call.path.split('?', 1)[0].split('/', 3)
    if len(parts) < 3 or parts[1] != 'r' or not parts[2]:
        raise refusals.NoRoute('no such page: requests go to /r/SERVICE/...')
    request.service = parts[2]
    request.path = request.call.path[len('/r/') + len(request.service) :] or '/'


def require_lease(proxy: proxy_part.ProxyNode, request: Request) -> None:
    """Refuse the request while this proxy has no lease on its replica; the refusal names proxies that may have one."""
    if not proxy.has_lease():
        raise refusals.Unavailable(
            'no lease on the state', RETRY_NO_LEASE_MS, elsewhere=proxy.other_proxies(request.allowed_regions)
        )


def require_location(proxy: proxy_part.ProxyNode, request: Request) -> None:
    """Refuse the request if this proxy is outside its home regions or in an evacuated zone, by the current state."""
    if proxy.at_most_once.is_outside_home(request, proxy.location.cell):
        raise refusals.Refusal(
            403, 'this proxy lies outside the home regions', elsewhere=proxy.other_proxies(request.allowed_regions)
        )
    if proxy.routes.is_evacuated(proxy.location.cell):
        raise refusals.Unavailable(
            'this cell is evacuated', RETRY_EVACUATED_MS, elsewhere=proxy.other_proxies(request.allowed_regions)
        )


def match_route(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Find the rule for the request's labels; set its pool and deadline."""
    labels = parse_labels(request.call.headers.get('zt-labels', ''))
    labels['service'] = request.service
    _, rule = proxy.routes.rule_for_labels(labels)
    if rule is None or not proxy.routes.has_pool(rule['pool']):
        raise refusals.NoRoute
    request.client_rule, request.pool, request.at_most_once = rule, rule['pool'], rule.get('run_once', True)
    admission.limit_deadline(request, proxy.now, rule.get('deadline_ms', DEFAULT_DEADLINE_MS))
    proxy.set_timer_by('deadlines', request.deadline)
    return GO


def replay_stored(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Replay the result of an at-most-once id that this proxy knows, at once or when the running attempt ends."""
    if not request.at_most_once:
        return GO
    stored = proxy.at_most_once.stored_results.get(request.id)
    if stored is None:
        return GO
    if stored.response is not None:
        proxy.at_most_once.replay(request, stored.response, stored.zone)
        return WAIT
    if stored.is_running:
        stored.waiting.append(request)
        request.waiting_for = request_record.Waiting.RUNNING_ATTEMPT
        return WAIT
    return GO


def claim(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Claim the id: have the leader commit that only this attempt, through this proxy, may run."""
    if not request.at_most_once or request.is_claimed:
        return GO
    epoch = proxy.replica.get('meta', 'epoch') or 0
    # An id of a later epoch is accepted, because its creator may have seen a newer state than this proxy.
    if at_most_once.epoch_of(request) <= epoch - proxy.settings.epochs_kept:
        # Claims of that epoch are no longer retained, so an earlier attempt may have run.
        raise refusals.OutcomeUnknown(409, 'request id of an epoch no longer kept', epoch=epoch)
    request.claim_nonce = f'{proxy.node}.{proxy.next_number()}'
    proxy.at_most_once.begin_result(request)
    request.waiting_for = request_record.Waiting.CLAIM
    arguments = {
        'id': request.id,
        'attempt': request.attempt,
        'nonce': request.claim_nonce,
        'proxy': proxy.node,
        'at': proxy.location.addr,
    }
    proxy.request_operation(
        'claim',
        arguments,
        lambda result: proxy.at_most_once.handle_claim_result(request, result),
        min(proxy.settings.call, request.deadline - proxy.now),
    )
    return WAIT


def check_retry_budget(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Refuse a retry, by the caller or this proxy, that exceeds the retry budget, before it waits for credit."""
    # A caller may send an id again as attempt 1. Without a claim to show that, recent ids are checked.
    request.is_retry = request.attempt > 1 or request.send_count > 0 or proxy.retry_budgets.was_seen_before(request)
    if request.is_retry and not request.is_charged:
        proxy.retry_budgets.require(request)
    return GO


def no_credit() -> refusals.Unavailable:
    """Return the refusal of a request for which no endpoint has room in time."""
    return refusals.Unavailable('no endpoint can take this now', RETRY_NO_CREDIT_MS)


def acquire_credit(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Choose an endpoint at which this proxy has credit; queue the request for credit if that may come in time."""
    incarnation = proxy.credit.choose_endpoint(request)
    if incarnation is None:
        # A request that can't be served in time is refused now, while its caller can still try another proxy.
        queued = len(proxy.credit.pool_credit(request.pool).queue)
        if not proxy.credit.can_wait(request, queued, proxy.credit.pool_capacity(request.pool)):
            raise no_credit()
        proxy.credit.queue_for_credit(request)
        return WAIT
    request.incarnation, request.zone = incarnation, proxy_part.endpoint_row(proxy, incarnation)['cell']
    return GO


def send(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Send the request to the chosen endpoint, after repeating the checks of its arrival, since time has passed."""
    if proxy.now >= request.deadline:
        raise refusals.DeadlineExceeded
    pool = proxy.credit.pool_credit(request.pool)
    # With less than half of the smoothed latency remaining, a response would hardly ever come in time, and the work
    # would be wasted with an unknown outcome.
    if request.deadline - proxy.now < durations.ms(pool.latency_ms / 2):
        # The smoothed latency is reduced, so that a request is sent now and then: otherwise nothing would show that
        # the pool got faster.
        pool.latency_ms *= LATENCY_DECAY
        raise refusals.DeadlineExceeded('not enough time left for this service')
    require_lease(proxy, request)
    require_location(proxy, request)
    if not request.is_charged:
        # Charged only here, because the budget bounds the sends to endpoints at the time of sending.
        admission.charge_retry_budget(proxy, request, request.is_retry)
        request.is_charged = True
    proxy.upstream.send(request)
    return WAIT


def response_error(request: Request, result: effects.HttpResult) -> str:
    """Return why a result is not a complete response to this request by its incarnation; '' if it is one."""
    headers = result.headers
    if result.fault:
        return result.fault
    if headers.get('zt-id') != request.id or headers.get('zt-attempt') != str(request.attempt):
        return 'reply to another request'
    if headers.get('zt-inc') != request.incarnation and headers.get('zt-outcome') != refusals.NOT_RUN:
        return 'reply of another incarnation'
    if not seal.is_intact(result.status, headers, result.body):
        return 'reply altered'
    if headers.get('zt-outcome') not in (refusals.RAN, refusals.NOT_RUN):
        return 'reply without an outcome'
    return ''


def check_response(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Go on with a complete response; retry or refuse the request after any other result."""
    result = request.result
    if result.is_unsendable:
        raise refusals.MalformedRequest('the request can not be passed on')
    if not result.sent:
        proxy.upstream.mark_unreachable(request.incarnation)
        return proxy.upstream.retry(
            request, refusals.Unavailable('the endpoint could not be reached', RETRY_ENDPOINT_MS)
        )
    result.fault = response_error(request, result)
    if result.fault:
        proxy.counts['garbled'] += 1
        request.may_have_run = True
        unknown_outcome = refusals.OutcomeUnknown(502, f'outcome unknown: {result.fault}')
        if request.at_most_once:
            raise unknown_outcome
        return proxy.upstream.retry(request, unknown_outcome)
    if result.headers['zt-outcome'] == refusals.NOT_RUN:
        return proxy.upstream.retry(request, refusals.Unavailable('the endpoint did not run it', RETRY_ENDPOINT_MS))
    return GO


def respond(proxy: proxy_part.ProxyNode, request: Request) -> bool:
    """Respond to the caller with the endpoint's response."""
    proxy.client_responses.respond_result(request)
    return WAIT


STAGES: list[proxy_part.Stage] = [
    accept,
    match_route,
    replay_stored,
    claim,
    check_retry_budget,
    acquire_credit,
    send,
    check_response,
    respond,
]
