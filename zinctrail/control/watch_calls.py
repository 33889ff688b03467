"""The watches that callers of one process wait for: how many there may be."""

import typing

import zinctrail.control.replies as replies
import zinctrail.errors as errors

if typing.TYPE_CHECKING:
    import zinctrail.control.http_api as http_api

# One part in this many of the pending calls of a process may be watches, so that other calls are served beside them.
SHARE_DIVISOR = 2
RETRY_TOO_MANY_MS = 1000


class WatchCalls:
    """The pending watches of a process's callers."""

    def __init__(self, member: 'http_api.ServingMember') -> None:
        self.member = member
        self.watchers: set[replies.Callback] = set()

    def begin(self, respond: replies.Callback) -> None:
        """Register a watch; raises UnavailableError if there are too many."""
        if len(self.watchers) >= self.member.settings.queue_most // SHARE_DIVISOR:
            raise errors.UnavailableError('too many watches', retry_ms=RETRY_TOO_MANY_MS)
        self.watchers.add(respond)

    def end(self, respond: replies.Callback) -> None:
        """Remove the watch of a caller that gets its response, or that disconnected."""
        self.watchers.discard(respond)
