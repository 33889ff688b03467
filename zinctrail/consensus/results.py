"""Results of operations that the consensus layer itself produces."""

import typing


class OperationResult(typing.TypedDict, total=False):
    """The result of an operation, as sent to the node that requested it; operations add fields of their own."""

    status: int
    # Why the operation was refused, or why its outcome is unknown.
    fault: str
    # Whether the operation may have been carried out despite the status.
    unknown: bool
    # Whether this copy of the request was refused only because it was in flight for too long.
    late: bool
    retry_ms: int
    # The id under which the log has the unforeseen exception.
    error_id: str


# The statuses that guarantee that the operation was not carried out and will not be.
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
OVERLOADED: OperationResult = {
    'status': 503,
    'fault': 'the master carries out too many operations',
    'retry_ms': 300,
}
# For an operation that changed nothing, if the leadership is lost before it is confirmed. Not LOST, because such an
# operation found nothing to change, possibly because an earlier copy of it had been carried out.
LEADERSHIP_UNCONFIRMED: OperationResult = {'status': 421, 'unknown': True, 'fault': 'not the master any more'}
