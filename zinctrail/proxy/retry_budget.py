"""The retry budget: this proxy's share of the retries that may be sent to a service."""

import collections
import datetime

import zinctrail.consensus.member_roles as member_roles
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

Request = request_record.Request
# How many ids of requests without a claim are remembered. A request whose id was evicted early counts as a first
# attempt again, which enlarges the budget slightly.
MAX_RECENT_IDS = 20000
# Earned budget from this value on counts as a whole retry, because five times 0.2 must make one despite rounding.
ONE_RETRY = 1 - 1e-6
# Bounds and default of the time after which the caller of a refused retry may try again.
MIN_RETRY_WAIT = durations.ms(200)
DEFAULT_RETRY_WAIT = durations.ms(500)
MAX_RETRY_WAIT = durations.ms(1000)


class RetryBudget:
    """The retry budget of one proxy for one service.

    Each first attempt earns a fraction of a retry. The saved budget is small,
    so that a burst of first attempts does not permit a burst of retries at any
    later time. Saved retries and borrowed ones, which no first attempt earned,
    together are bounded by this proxy's share of a small fixed allowance.
    """

    def __init__(self, bounds: settings.Settings):
        self.settings = bounds
        # Retries that are earned and not spent, and the most that may be saved.
        self.earned = 0.0
        self.max_earned = 1
        # The times of the borrowed retries, sent without being earned, within the window.
        self.borrowed: collections.deque[datetime.timedelta] = collections.deque()

    def earn(self) -> None:
        """Add the budget that a first attempt earns when it is sent."""
        self.earned = min(self.max_earned, self.earned + self.settings.repeat_share)

    def return_earned(self) -> None:
        """Take back the budget of the last first attempt, because it reached no endpoint."""
        self.earned = max(0.0, self.earned - self.settings.repeat_share)

    def allows(self, now: datetime.timedelta, proxies: int) -> bool:
        """True if the budget allows one more retry.

        :param proxies: how many proxies share the fixed allowance; 0 if this proxy may use none of it.
        """
        # Rounded down, so that the shares of all proxies together do not exceed the allowance.
        share = self.settings.repeat_allowance // proxies if proxies else 0
        self.max_earned = max(1, share // 2)
        while self.borrowed and self.borrowed[0] <= now - self.settings.repeat_window:
            self.borrowed.popleft()
        return self.earned > ONE_RETRY or len(self.borrowed) < share - self.max_earned

    def spend(self, now: datetime.timedelta) -> None:
        """Charge a retry that is sent."""
        if self.earned > ONE_RETRY:
            self.earned -= 1
        else:
            self.borrowed.append(now)

    def retry_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return after how long the budget may allow a retry; bounded, because first attempts may earn it earlier."""
        if not self.borrowed:
            return DEFAULT_RETRY_WAIT
        return min(MAX_RETRY_WAIT, max(MIN_RETRY_WAIT, self.borrowed[0] + self.settings.repeat_window - now))


class ProxyCountHistory:
    """Holds the history of the number of proxies, to determine how many share the fixed allowance."""

    def __init__(self, bounds: settings.Settings, began: datetime.timedelta):
        self.window = bounds.repeat_window
        self.began = began
        # (when, how many proxies there were from then on), oldest first.
        self.observed: collections.deque[tuple[datetime.timedelta, int]] = collections.deque()

    def observe(self, now: datetime.timedelta, proxies: int) -> None:
        """Record the number of proxies in a new version of the state."""
        self.observed.append((now, proxies))

    def count(self, now: datetime.timedelta) -> int:
        """Return the highest number of proxies within the window, by which the allowance is divided.

        0 during the first window after the start, when this proxy may use none of the allowance.
        """
        # In the window before the start, the other proxies may have used the share that is now this process's.
        if now - self.began < self.window:
            return 0
        while len(self.observed) > 1 and self.observed[1][0] <= now - self.window:
            self.observed.popleft()
        # The highest number, because a proxy that has just shut down may have used its share shortly before.
        return max((proxies for _, proxies in self.observed), default=0)


class RetryBudgets(proxy_part.ProxyPart):
    """Holds the retry budget of each service, and the recent request ids."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start without budgets."""
        super().__init__(proxy)
        # {service: its budget}.
        self.budgets: dict[str, RetryBudget] = {}
        self.proxy_counts = ProxyCountHistory(proxy.settings, proxy.now)
        # {request id: (call id of the first call with it, when that came)}, oldest first; only of requests without a
        # claim.
        self.recent_ids: collections.OrderedDict[str, tuple] = collections.OrderedDict()

    def start(self) -> None:
        """Start the first window, in which this process may use none of the fixed allowance."""
        self.proxy_counts = ProxyCountHistory(self.proxy.settings, self.proxy.now)

    def observe_proxies(self) -> None:
        """Record how many proxies share the fixed allowance in a new version of the state."""
        self.proxy_counts.observe(self.proxy.now, len(self.proxy.routes.members(member_roles.PROXY)))

    def budget_of(self, pool: str) -> RetryBudget:
        """Return the budget of a pool's service, creating it if necessary."""
        # Keyed by the service in the configuration, because names from callers' paths would grow without bound. The
        # pool's own name is used if the pool was removed while a claim was in progress.
        row = self.proxy.replica.get('conf', f'pools/{pool}')
        service = row['service'] if row else pool
        return self.budgets.setdefault(service, RetryBudget(self.proxy.settings))

    def require(self, request: Request) -> RetryBudget:
        """Return the budget for the request, if it allows a retry now.

        :raises refusals.Unavailable: if the budget does not allow a retry.
        """
        budget = self.budget_of(request.pool)
        if not budget.allows(self.proxy.now, self.proxy_counts.count(self.proxy.now)):
            self.proxy.counts['repeats_dropped'] += 1
            raise refusals.Unavailable(
                'too many repeats to this service', durations.to_ms(budget.retry_wait(self.proxy.now))
            )
        return budget

    def was_seen_before(self, request: Request) -> bool:
        """True if this proxy received another request with the same id within the window."""
        if request.at_most_once:
            # The claim of such a request shows earlier attempts through any proxy.
            return False
        first_call, seen_at = self.recent_ids.get(request.id, (request.call_id, self.proxy.now))
        self.recent_ids[request.id] = (first_call, seen_at)
        while self.recent_ids and (
            len(self.recent_ids) > MAX_RECENT_IDS
            or next(iter(self.recent_ids.values()))[1] <= self.proxy.now - self.proxy.settings.repeat_window
        ):
            self.recent_ids.popitem(last=False)
        return first_call != request.call_id
