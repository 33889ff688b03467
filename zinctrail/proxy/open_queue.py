"""Requests of open traffic that wait for a lease of this proxy, or for room at an endpoint."""

import collections
import datetime

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations

Request = request_record.Request
# How often the queue is gone through.
INTERVAL = durations.ms(20)


class OpenQueue(proxy_part.ProxyPart):
    """The queue, and the timer that goes through it."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up without requests."""
        super().__init__(proxy)
        self.queued: collections.deque[Request] = collections.deque()

    def add(self, request: Request, until: datetime.timedelta) -> None:
        """Park a request, whose pass runs again until then."""
        request.waiting_for = request_record.Waiting.ROOM
        self.queued.append(request)
        self.proxy.set_timer_by('queued', min(until, self.proxy.now + INTERVAL))

    def run_queued(self) -> None:
        """Run the pass of every queued request again, by priority; it gives up once its time in the queue is over."""
        queued, self.queued = self.queued, collections.deque()
        full = set()
        # The room there is goes to the traffic of the lowest rank number, and within it to the first that came.
        for request in sorted(queued, key=lambda r: r.open_rule.get('rank', 0)):
            if not self.proxy.runner.is_pending(request) or request.waiting_for is not request_record.Waiting.ROOM:
                continue
            pool_key = (request.pool, request.allowed_regions) if request.open_rule else None
            if pool_key in full and self.proxy.now < request.queue_deadline:
                # In a crowd hundreds wait; where the first of them found no room, the others need not look.
                self.add(request, request.queue_deadline)
                continue
            self.proxy.runner.run_stages(request)
            is_queued = request.waiting_for is request_record.Waiting.ROOM and self.proxy.runner.is_pending(request)
            if pool_key and is_queued:
                full.add(pool_key)
