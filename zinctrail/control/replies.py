"""Results of operations on the replicated state, as the JSON objects that the HTTP interface returns."""

import typing

# {'status': an HTTP status, ...fields of the operation}; a refusal also has 'fault', a sentence for people. A result
# may be remembered in the replicated state, so that it is never changed in place.
Result = typing.Mapping[str, typing.Any]
# Takes the result of an operation, once.
Callback = typing.Callable[[Result], None]


def ok(**fields: typing.Any) -> Result:
    """A successful result. Refusals are raised as errors.CallError and turned into results by the transaction."""
    return {'status': 200, **fields}


def refused(status: int, message: str, **fields: typing.Any) -> Result:
    """A refusal, where nothing can be raised; `retry_ms` among the fields says when to try again."""
    return {'status': status, 'fault': message, **fields}
