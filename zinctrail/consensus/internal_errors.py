"""Keeps an unforeseen exception from costing more than the call, the frame or the timer that it came with.

An exception that comes before anything was changed or sent leaves the machine as it was: the caller gets 500 with an id
that stands in the log. Once something was changed or sent, memory and disk may differ, and the exception goes on to
the host, which ends a process that has a disk. docs/notes/unforeseen-exceptions.md says why.
"""

import collections
import random
import traceback
import typing

import zinctrail.consensus.results as results

COUNTER = 'internal_errors'
ID_BITS = 48


class GuardedMachine(typing.Protocol):
    """The interface of the state machine that a guard uses."""

    rng: random.Random
    # Counters by name, for metrics.
    counts: collections.Counter[str]

    def progress(self) -> tuple:
        """Return a value that differs once the machine has changed its state or has sent anything."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, with an event name and fields to search by."""


class Guard:
    """Runs the handlers of one machine, and records the exceptions that they raise."""

    def __init__(self, machine: GuardedMachine):
        self.machine = machine
        # Whether exceptions are passed on instead, for checkers that look for them.
        self.passes_on = False

    def run(
        self, description: str, handler: typing.Callable[..., typing.Any], *arguments: typing.Any
    ) -> results.OperationResult | None:
        """Call a handler; return None, or the result for its caller if it raised before it changed or sent anything.

        Raises the exception of a handler that had changed or sent something.
        """
        before = self.machine.progress()
        try:
            handler(*arguments)
        except Exception:
            if self.passes_on or self.machine.progress() != before:
                raise
            return self.record(description)
        return None

    def record(self, description: str) -> results.OperationResult:
        """Log and count the exception that is being handled; return the result for the caller."""
        error_id = f'{self.machine.rng.getrandbits(ID_BITS):012x}'
        self.machine.counts[COUNTER] += 1
        self.machine.log(
            f'Internal error {error_id} in {description}: {traceback.format_exc()}', 'internal_error', id=error_id
        )
        return {'status': 500, 'fault': f'internal error {error_id}', 'error_id': error_id}
