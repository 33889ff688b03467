"""The queue of open-traffic requests that wait for a lease of this proxy or for room at an endpoint."""

import collections
import datetime

import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.request as request_record
import zinctrail.runtime.durations as durations

Request = request_record.Request
# How often the queue is processed.
INTERVAL = durations.ms(20)


class OpenQueue(proxy_part.ProxyPart):
    """Queues requests of open traffic, and tries them again on a timer."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start with an empty queue."""
        super().__init__(proxy)
        self.queued: collections.deque[Request] = collections.deque()

    def add(self, request: Request, until: datetime.timedelta) -> None:
        """Queue a request whose current stage is to run again, at the latest at `until`."""
        request.waiting_for = request_record.Waiting.ROOM
        self.queued.append(request)
        self.proxy.set_timer_by('queued', min(until, self.proxy.now + INTERVAL))

    def run_queued(self) -> None:
        """Run the current stage of every queued request again, by priority; it refuses those whose wait is over."""
        queued, self.queued = self.queued, collections.deque()
        full = set()
        # Free capacity goes to the traffic with the lowest rank, and within a rank to the request that came first.
        for request in sorted(queued, key=lambda r: r.open_rule.get('rank', 0)):
            if not self.proxy.runner.is_pending(request) or request.waiting_for is not request_record.Waiting.ROOM:
                continue
            pool_key = (request.pool, request.allowed_regions) if request.open_rule else None
            if pool_key in full and self.proxy.now < request.queue_deadline:
                # Under overload hundreds of requests wait: once the first one of a pool finds no room, the others of
                # that pool are queued again without a search.
                self.add(request, request.queue_deadline)
                continue
            self.proxy.runner.run_stages(request)
            is_queued = request.waiting_for is request_record.Waiting.ROOM and self.proxy.runner.is_pending(request)
            if pool_key and is_queued:
                full.add(pool_key)
