"""Checks, before a version is proposed, that it can be sent, stored and read back.

Nodes that had agreed on a version that one of these steps refuses would end on it one after another.
"""

import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage
import zinctrail.errors as errors

# What a frame or a file adds to the rows of a version.
ENVELOPE_BYTES = 65536


class VersionTooLargeError(errors.ZinctrailError):
    """The rows of a version are larger than a frame may be."""


class UnreadableVersionError(errors.ZinctrailError):
    """The rows of a version are not the same after they were written and read."""


def check(rows: replica.Rows, frame_bytes: int) -> None:
    """Raise the reason why rows can't be carried: one of the errors above, or what writing or reading them raises."""
    text = storage.encode(rows)
    if len(text) > frame_bytes - ENVELOPE_BYTES:
        raise VersionTooLargeError(f'{len(text)} bytes')
    if storage.decode('rows', text) != rows:
        raise UnreadableVersionError('the rows are read back as others')
