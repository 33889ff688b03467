"""The watches that callers of one process wait for: how many there may be, and what becomes of them without a caller."""

import typing

import zinctrail.control.replies as replies
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations

if typing.TYPE_CHECKING:
    import zinctrail.control.http_api as http_api

# The operation by which the leader drops a watch, and the argument of both operations that identifies the watch.
CANCEL_OPERATION = 'watch.cancel'
WATCHER = 'watcher'
# One part in this many of the pending calls of a process may be watches, so that other calls are served beside them.
SHARE_DIVISOR = 2
RETRY_TOO_MANY_MS = 1000


class WatchCalls:
    """The pending watches of a process's callers."""

    def __init__(self, member: 'http_api.ServingMember') -> None:
        self.member = member
        # {respond: what identifies the watch at the leader}.
        self.watchers: dict[replies.Callback, str] = {}
        self.last_number = 0

    def begin(self, respond: replies.Callback) -> str:
        """Register a watch, and return what identifies it; raises UnavailableError if there are too many."""
        if len(self.watchers) >= self.member.settings.queue_most // SHARE_DIVISOR:
            raise errors.UnavailableError('too many watches', retry_ms=RETRY_TOO_MANY_MS)
        self.last_number += 1
        # With the time, because a node keeps its id over restarts.
        watcher = f'{self.member.node}/{durations.to_ms(self.member.now)}/{self.last_number}'
        self.watchers[respond] = watcher
        return watcher

    def end(self, respond: replies.Callback) -> None:
        """Remove the watch of a caller that gets its response."""
        self.watchers.pop(respond, None)

    def abandon(self, respond: replies.Callback) -> None:
        """Have the leader drop the watch of a caller that disconnected."""
        watcher = self.watchers.pop(respond, None)
        if watcher is not None:
            self.member.request_operation(CANCEL_OPERATION, {WATCHER: watcher}, ignore_result)


def ignore_result(result: replies.Result) -> None:
    """Ignore the result of a cancellation: leaders of earlier releases refuse it, and no caller waits for it."""
