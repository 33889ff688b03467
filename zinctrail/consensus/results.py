"""Results that the consensus layer itself gives to operations."""

import typing


class OperationResult(typing.TypedDict, total=False):
    """The result of an operation, as it is sent to the node that requested it; operations add their own fields."""

    status: int
    # Why it was refused, or why its result is not known.
    fault: str
    # Whether the operation may have been carried out all the same.
    unknown: bool
    # Whether this copy of the request was refused only because it was under way for too long.
    late: bool
    retry_ms: int


# Statuses which promise that the operation was not carried out and will not be.
REFUSAL_STATUSES = (421, 429, 503)

NO_LEADER: OperationResult = {'status': 421, 'fault': 'not the master'}
LOST: OperationResult = {
    'status': 504,
    'unknown': True,
    'fault': 'the master changed before the outcome was known',
}
TOO_LATE: OperationResult = {
    'status': 503,
    'late': True,
    'fault': 'the call came too late to be done',
    'retry_ms': 300,
}
NO_ROOM: OperationResult = {
    'status': 503,
    'fault': 'the master carries out too many operations',
    'retry_ms': 300,
}
# Not LOST, because an operation that found nothing to change may have been carried out by an earlier copy of it.
UNSURE: OperationResult = {'status': 421, 'unknown': True, 'fault': 'not the master any more'}
