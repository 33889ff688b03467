"""The Twisted reactor, on its own thread that all scenarios of a process share."""

import collections.abc
import threading
import typing

import twisted.internet.reactor as reactor
import twisted.internet.threads as threads

# Iterations of the reactor after which a condition counts as never met.
MAX_ITERATIONS = 20000


def call(function: collections.abc.Callable[..., typing.Any], *arguments) -> typing.Any:
    """Call a function on the reactor's thread and return its result; wait for the result if it is a Deferred."""
    if not reactor.running:
        threading.Thread(target=reactor.run, kwargs={'installSignalHandlers': False}, daemon=True).start()
    return threads.blockingCallFromThread(reactor, function, *arguments)


def wait_for(condition: collections.abc.Callable[[], typing.Any]) -> typing.Any:
    """Evaluate a condition on the reactor's thread until it is true, and return its value.

    The limit counts iterations of the reactor, not time.

    Raises AssertionError if it is never true.
    """
    for _ in range(MAX_ITERATIONS):
        value = call(condition)
        if value:
            return value
    raise AssertionError(f'the condition was not met in {MAX_ITERATIONS} iterations of the reactor')
