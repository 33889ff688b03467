"""Results of operations on the replicated state, as the JSON objects that the HTTP API returns."""

import typing

# {'status': an HTTP status, ...fields of the operation}; a refusal also has 'fault', a message for people. A result
# must never be changed in place, since it may be stored in the replicated state.
Result = typing.Mapping[str, typing.Any]
# Receives the result of an operation; called once.
Callback = typing.Callable[[Result], None]


def ok(**fields: typing.Any) -> Result:
    """Return a successful result. Refusals are raised as errors.CallError, which transactions convert to results."""
    return {'status': 200, **fields}


def refused(status: int, message: str, **fields: typing.Any) -> Result:
    """Return a refusal, where raising is not possible; the field `retry_ms` is the time after which to retry."""
    return {'status': status, 'fault': message, **fields}
