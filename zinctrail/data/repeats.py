"""The repeat bound: a proxy's own share of what a service may be sent again."""

import collections
import datetime

import zinctrail.seam as seam


class Window:
    """Firsts and repeats of one service over the true last while."""

    def __init__(self, bounds):
        self.bounds = bounds
        # Why two spans: with the long one alone, repeats could trail a burst that has left the window.
        self.spans = [Span(bounds.repeat_window), Span(bounds.repeat_window / 10)]

    def first(self, now):
        for s in self.spans:
            s.firsts.append(now)

    def allow(self, now, proxies) -> bool:
        """Count one repeat if it fits; `proxies` share the small fixed allowance (0: none of it is ours)."""
        # Why floored: the shares of all proxies together must not pass the whole.
        share = self.bounds.repeat_allowance // proxies if proxies else 0
        for s in self.spans:
            s.slide(now)
            if len(s.repeats) + 1 > self.bounds.repeat_share * len(s.firsts) + share:
                return False
        for s in self.spans:
            s.repeats.append(now)
        return True

    def retry(self, now) -> datetime.timedelta:
        """When a repeat may fit again."""
        self.spans[0].slide(now)
        if not self.spans[0].repeats:
            return seam.ms(500)
        return max(seam.ms(200), self.spans[0].repeats[0] + self.bounds.repeat_window - now)


class Sharers:
    """How many proxies the fixed allowance is shared by, at the most over the last while."""

    def __init__(self, bounds, began):
        self.length = bounds.repeat_window
        self.began = began
        self.seen = collections.deque()

    def see(self, now, n):
        self.seen.append((now, n))

    def count(self, now):
        # Why none at first: what we would spend, others spent within the same window as their share.
        if now - self.began < self.length:
            return 0
        while len(self.seen) > 1 and self.seen[1][0] <= now - self.length:
            self.seen.popleft()
        # Why the most: one that has just gone may have spent its share a moment ago.
        return max((n for _, n in self.seen), default=0)


class Span:

    def __init__(self, length):
        self.length = length
        self.firsts = collections.deque()
        self.repeats = collections.deque()

    def slide(self, now):
        for q in (self.firsts, self.repeats):
            while q and q[0] <= now - self.length:
                q.popleft()
