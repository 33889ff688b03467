"""Admission checks shared by client requests and open traffic: remaining time, deadlines, the retry budget."""

import datetime

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.parsing as parsing

# A number in a header with more digits is refused before it is converted.
MAX_DIGITS = 9


def remaining_time_ms(headers: dict, subject: str) -> int | None:
    """Return the remaining time in the header `zt-left-ms`, in milliseconds; None if the header is absent.

    :param subject: the name of the header in the refusal's text.
    :raises refusals.MalformedRequest: if the header is not a whole number.
    """
    text = headers.get('zt-left-ms')
    if text is None:
        return None
    if not parsing.is_whole(text) or len(text) > MAX_DIGITS:
        raise refusals.MalformedRequest(f'{subject} must be a whole number of milliseconds')
    return int(text)


def limit_deadline(request: request_record.Request, now: datetime.timedelta, timeout_ms: int) -> None:
    """Set the request's deadline to the earlier of the caller's and the rule's; refuse the request if it has passed."""
    limit = request.received_at + durations.ms(timeout_ms)
    request.deadline = min(request.deadline, limit) if request.deadline else limit
    if now >= request.deadline:
        raise refusals.DeadlineExceeded


def charge_retry_budget(proxy: proxy_part.ProxyNode, request: request_record.Request, is_retry: bool) -> None:
    """Account for one send in the retry budget: a first attempt earns budget; a retry spends it, or is refused."""
    if is_retry:
        proxy.retry_budgets.require(request).spend(proxy.now)
        proxy.counts['repeats'] += 1
    else:
        proxy.retry_budgets.budget_of(request.pool).earn()
