"""The retry budget: a proxy's own share of what a service may be sent again."""

import collections
import datetime

import zinctrail.consensus.member_roles as member_roles
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

Request = request_record.Request
# How many ids of requests without a claim are remembered. One that is forgotten sooner counts as a first attempt
# again, which widens the budget a little.
MAX_RECENT_IDS = 20000
# What is earned counts as a whole retry from here on: five times a fifth must make one.
ONE_RETRY = 1 - 1e-6
# Bounds of the time after which a refused retry may come again.
MIN_RETRY_WAIT = durations.ms(200)
DEFAULT_RETRY_WAIT = durations.ms(500)
MAX_RETRY_WAIT = durations.ms(1000)


class RetryBudget:
    """What one proxy may send again to one service.

    Each first attempt earns a share of a retry. Only little is saved up, so
    that retries can't follow a burst of first attempts beyond any span of
    time. What is saved and what is borrowed without being earned make this
    proxy's share of the small fixed allowance.
    """

    def __init__(self, bounds: settings.Settings):
        self.settings = bounds
        # Retries that are earned and not spent, and how many may be saved up.
        self.earned = 0.0
        self.max_earned = 1
        # When retries that nothing earned were sent, within the window.
        self.borrowed: collections.deque[datetime.timedelta] = collections.deque()

    def earn(self) -> None:
        """A first attempt is sent."""
        self.earned = min(self.max_earned, self.earned + self.settings.repeat_share)

    def return_earned(self) -> None:
        """The last first attempt reached no endpoint."""
        self.earned = max(0.0, self.earned - self.settings.repeat_share)

    def allows(self, now: datetime.timedelta, proxies: int) -> bool:
        """Whether one more retry fits; `proxies` share the fixed allowance (0: none of it is ours)."""
        # Rounded down: the shares of all proxies together must not exceed the whole.
        share = self.settings.repeat_allowance // proxies if proxies else 0
        self.max_earned = max(1, share // 2)
        while self.borrowed and self.borrowed[0] <= now - self.settings.repeat_window:
            self.borrowed.popleft()
        return self.earned > ONE_RETRY or len(self.borrowed) < share - self.max_earned

    def spend(self, now: datetime.timedelta) -> None:
        """A retry is sent."""
        if self.earned > ONE_RETRY:
            self.earned -= 1
        else:
            self.borrowed.append(now)

    def retry_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """When a retry may fit again: first attempts may earn it before, so it is never long."""
        if not self.borrowed:
            return DEFAULT_RETRY_WAIT
        return min(MAX_RETRY_WAIT, max(MIN_RETRY_WAIT, self.borrowed[0] + self.settings.repeat_window - now))


class ProxyCountHistory:
    """How many proxies share the fixed allowance: the most that there were within the window."""

    def __init__(self, bounds: settings.Settings, began: datetime.timedelta):
        self.window = bounds.repeat_window
        self.began = began
        # (when, how many proxies there were from then on)
        self.observed: collections.deque[tuple[datetime.timedelta, int]] = collections.deque()

    def observe(self, now: datetime.timedelta, proxies: int) -> None:
        """A version of the state names so many proxies."""
        self.observed.append((now, proxies))

    def count(self, now: datetime.timedelta) -> int:
        """The number to divide the allowance by; 0 at first, when none of it may be used."""
        # What this process would use right after its start, others used within the same window as their share.
        if now - self.began < self.window:
            return 0
        while len(self.observed) > 1 and self.observed[1][0] <= now - self.window:
            self.observed.popleft()
        # The most, because a proxy that has just gone may have used its share a moment ago.
        return max((proxies for _, proxies in self.observed), default=0)


class RetryBudgets(proxy_part.ProxyPart):
    """A budget for each service, and which ids were here before."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up without budgets."""
        super().__init__(proxy)
        # {service: its budget}.
        self.budgets: dict[str, RetryBudget] = {}
        self.proxy_counts = ProxyCountHistory(proxy.settings, proxy.now)
        # Ids of requests that need no claim: {id: (call id of the first, when it came)}, oldest first.
        self.recent_ids: collections.OrderedDict[str, tuple] = collections.OrderedDict()

    def start(self) -> None:
        """The process starts: the window in which it uses nothing of the fixed allowance counts from now."""
        self.proxy_counts = ProxyCountHistory(self.proxy.settings, self.proxy.now)

    def observe_proxies(self) -> None:
        """A version of the state came into force: note how many proxies share the fixed allowance."""
        self.proxy_counts.observe(self.proxy.now, len(self.proxy.routes.members(member_roles.PROXY)))

    def budget_of(self, pool: str) -> RetryBudget:
        """The budget of a pool's service."""
        # By the service of the configuration: names out of callers' paths would grow without end. The pool's own name
        # serves where the pool was removed while a claim was under way.
        row = self.proxy.replica.get('conf', f'pools/{pool}')
        service = row['service'] if row else pool
        return self.budgets.setdefault(service, RetryBudget(self.proxy.settings))

    def require(self, request: Request) -> RetryBudget:
        """The budget, if it allows a retry now.

        :raises refusals.Unavailable: if it does not.
        """
        budget = self.budget_of(request.pool)
        if not budget.allows(self.proxy.now, self.proxy_counts.count(self.proxy.now)):
            self.proxy.counts['repeats_dropped'] += 1
            raise refusals.Unavailable(
                'too many repeats to this service', durations.to_ms(budget.retry_wait(self.proxy.now))
            )
        return budget

    def was_seen_before(self, request: Request) -> bool:
        """Whether another request with this id was here within the window."""
        if request.at_most_once:
            # Its claim tells, for all proxies.
            return False
        first_call, seen_at = self.recent_ids.get(request.id, (request.call_id, self.proxy.now))
        self.recent_ids[request.id] = (first_call, seen_at)
        while self.recent_ids and (
            len(self.recent_ids) > MAX_RECENT_IDS
            or next(iter(self.recent_ids.values()))[1] <= self.proxy.now - self.proxy.settings.repeat_window
        ):
            self.recent_ids.popitem(last=False)
        return first_call != request.call_id
