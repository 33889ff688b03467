"""Virtual time: an event loop that runs calls in the order of their time and then of their scheduling."""

import datetime
import heapq
import typing

import zinctrail.runtime.durations as durations

DEFAULT_RUN_LENGTH = durations.ms(60000)


class Timer:
    """A scheduled call that can be cancelled, as twisted's callLater returns it."""

    def __init__(self, function: typing.Callable[[], typing.Any]):
        # None after it has run or was cancelled.
        self.function: typing.Callable[[], typing.Any] | None = function

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self.function is not None

    def cancel(self) -> None:
        """Cancel the call."""
        self.function = None

    def __call__(self) -> None:
        """Run the call, unless it has run or was cancelled."""
        function = self.function
        self.function = None
        if function:
            function()


class Clock:
    """The clock and the event loop of a simulation; it also serves as twisted's clock."""

    def __init__(self):
        self.now = durations.ZERO
        # (time, number, function, arguments)
        self.events: list[tuple[datetime.timedelta, int, typing.Callable, tuple]] = []
        # The last number given to an event or request; events of the same time run in the order of their numbers.
        self.sequence = 0

    def at(self, when: datetime.timedelta, function: typing.Callable, *args: typing.Any) -> None:
        """Schedule a call at a point of virtual time."""
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, function, args))

    def after(self, delay: datetime.timedelta, function: typing.Callable, *args: typing.Any) -> None:
        """Schedule a call `delay` from now."""
        self.at(self.now + delay, function, *args)

    def run(
        self, length: datetime.timedelta | None = None, until: typing.Callable[[], typing.Any] | None = None
    ) -> bool:
        """Run for `length` (DEFAULT_RUN_LENGTH by default), or until until() is true; return whether it became true."""
        end = self.now + (DEFAULT_RUN_LENGTH if length is None else length)
        while self.events and self.events[0][0] <= end:
            if until is not None and until():
                return True
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        if until is not None and until():
            return True
        self.now = max(self.now, end)
        return False

    def callLater(self, delay: float, function: typing.Callable, *args: typing.Any) -> Timer:
        """Schedule a call `delay` seconds from now, as twisted's IReactorTime, so that client libraries run here."""
        timer = Timer(lambda: function(*args))
        self.after(datetime.timedelta(seconds=delay), timer)
        return timer

    def seconds(self) -> float:
        """Return the virtual time in seconds, as twisted's IReactorTime."""
        return self.now.total_seconds()
