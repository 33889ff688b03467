"""The base class of all state machines: each input yields effects; there are named timers, and no I/O."""

import datetime
import random

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.request_sampling as request_sampling


class StateMachine:
    """A state machine that a host drives with one input at a time.

    An input of kind K is handled by the method `on_K`, a timer named T by the
    method `timer_T`. Handlers append effects to `out`. Time is the monotonic
    time of the last input, and randomness comes from `rng` alone, so that the
    same inputs always give the same effects.
    """

    # The name of the process in its log lines.
    prefix = 'zt'

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.now = durations.ZERO
        self.out: list = []
        # {name: the time when the timer fires}
        self.timers: dict[str, datetime.timedelta] = {}
        self.request_sampler = request_sampling.RequestSampler()

    def feed(self, kind: str, now: datetime.timedelta, *args) -> list:
        """Handle one input and return its effects, in the order in which they must be carried out."""
        # Clocks are monotonic, but inputs of one moment may arrive with equal or older times.
        self.now = max(self.now, now)
        self.handle(kind, args)
        out, self.out = self.out, []
        return out

    def handle(self, kind: str, args: tuple):
        """Call the handler of an input."""
        getattr(self, 'on_' + kind)(*args)

    def next_timer(self) -> datetime.timedelta | None:
        """Return the time at which the host must feed `wake` next; None if no timer is set."""
        return min(self.timers.values(), default=None)

    def on_wake(self):
        """Run the timers that are due, in the order of their times."""
        for name, at in sorted(self.timers.items(), key=lambda timer: timer[1]):
            # An earlier timer of this wake-up may have moved or cancelled this one.
            if at <= self.now and self.timers.get(name) == at:
                del self.timers[name]
                self.run_timer(name)

    def run_timer(self, name: str):
        """Handle a timer that is due."""
        getattr(self, 'timer_' + name)()

    def set_timer(self, name: str, delay: datetime.timedelta):
        """Set a timer, or reset it if it is set already."""
        self.timers[name] = self.now + delay

    def send(self, address: str, frame: dict, may_compress: bool = False):
        """Send a frame to another process; `may_compress` says whether that process reads compressed frames."""
        self.out.append(effects.Send(address, frame, may_compress))

    def log(self, text: str, event: str = '', **fields):
        """Log a sentence; `event` names the kind of event, and `fields` are values to search the logs for."""
        self.out.append(effects.Log(f'{self.prefix}: {text}', {'event': event, **fields} if event else fields))
