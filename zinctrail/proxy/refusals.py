"""Outcomes of a request, and the errors by which a stage of the pipeline refuses a request.

    ZinctrailError
      Refusal                an attempt is refused, with the status and the outcome that its caller gets
        MalformedRequest     400; the same request never succeeds
        NoRoute              404; no page and no rule matches
        Unavailable          503; it did not run, and a retry may succeed
        DeadlineExceeded     504; the deadline has passed
        OutcomeUnknown       it may have run
        InternalError        500; an unforeseen exception

The texts up to a colon are labels of a metric (request_metrics.py), so that part
must not contain text that a caller chose.
"""

import typing

import zinctrail.errors as errors

# Outcomes in the header `zt-outcome`: the request did not run and never will; it ran; it may have run.
NOT_RUN, RAN, UNKNOWN = 'not-run', 'ran', 'unknown'
# Counted like an outcome: the caller got the stored result of another attempt.
REPLAYED = 'replayed'


class Refusal(errors.ZinctrailError):
    """The refusal of an attempt.

    `status` is the HTTP status, `outcome` is the known outcome of the attempt.
    The others are fields of the JSON body, omitted if None: `retry_ms`,
    milliseconds until a retry may succeed; `elsewhere`, addresses of proxies
    that may serve the request; `epoch`, the newest epoch known to this proxy.
    """

    def __init__(
        self,
        status: int,
        text: str,
        outcome: str = NOT_RUN,
        *,
        retry_ms: int | None = None,
        elsewhere: list[str] | None = None,
        epoch: int | None = None,
    ):
        super().__init__(text)
        self.status = status
        self.outcome = outcome
        self.retry_ms = retry_ms
        self.elsewhere = elsewhere
        self.epoch = epoch

    def details(self) -> dict[str, typing.Any]:
        """Return the optional fields of the JSON body, in their order."""
        fields = {'elsewhere': self.elsewhere, 'retry_ms': self.retry_ms, 'epoch': self.epoch}
        return {name: value for name, value in fields.items() if value is not None}

    def with_unknown_outcome(self) -> 'Refusal':
        """Return the same refusal with the outcome "unknown", for a request that may have run."""
        return Refusal(
            self.status, str(self), UNKNOWN, retry_ms=self.retry_ms, elsewhere=self.elsewhere, epoch=self.epoch
        )


class MalformedRequest(Refusal):
    """400: a header or the path cannot be read."""

    def __init__(self, text: str):
        super().__init__(400, text)


class NoRoute(Refusal):
    """404: no page and no traffic rule matches the request."""

    def __init__(self, text: str = 'no traffic rule matches'):
        super().__init__(404, text)


class Unavailable(Refusal):
    """503: the request did not run; `retry_ms` says when a retry may succeed."""

    def __init__(self, text: str, retry_ms: int, elsewhere: list[str] | None = None):
        super().__init__(503, text, retry_ms=retry_ms, elsewhere=elsewhere)


class DeadlineExceeded(Refusal):
    """504: the deadline of the caller or of the rule has passed."""

    def __init__(self, text: str = 'no time left', outcome: str = NOT_RUN):
        super().__init__(504, text, outcome)


class OutcomeUnknown(Refusal):
    """The request may have run: its response was lost, or the result of an earlier attempt is not available."""

    def __init__(self, status: int, text: str, *, retry_ms: int | None = None, epoch: int | None = None):
        super().__init__(status, text, UNKNOWN, retry_ms=retry_ms, epoch=epoch)


class InternalError(Refusal):
    """500: an unforeseen exception ended the request; `outcome` says whether it may have run."""

    def __init__(self, outcome: str = NOT_RUN):
        super().__init__(500, 'internal error', outcome)
