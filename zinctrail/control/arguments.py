"""Validation of the arguments of operations; an invalid one is refused with status 400, naming the argument."""

import zinctrail.errors as errors
import zinctrail.runtime.parsing as parsing

# JSON parsers that store numbers as doubles represent integers up to this value exactly.
MAX_EXACT_INTEGER = 1 << 53
MAX_TEXT_LENGTH = 200
# An epoch lasts seconds, so the epoch number never exceeds eleven digits.
MAX_EPOCH_DIGITS = 11


def text(args: dict, key: str, max_length: int = MAX_TEXT_LENGTH) -> str:
    """Return a required name or id; names with a leading slash are reserved for internal rows."""
    value = args.get(key)
    if not isinstance(value, str) or not value or len(value) > max_length:
        raise errors.BadRequestError(f'{key} must be a text of 1 to {max_length}')
    if value.startswith('/'):
        raise errors.BadRequestError(f'{key} must not begin with a slash: those are our own')
    return value


def whole_number(args: dict, key: str, low: int, high: int, default: int | None = None) -> int:
    """Return an integer argument from `low` to `high`; it is required unless there is a default."""
    value = args.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise errors.BadRequestError(f'{key} must be a whole number from {low} to {high}')
    return value


def epoch_number(digits: str) -> int | None:
    """Parse the epoch number in the first part of an id; None if it is not one."""
    return int(digits) if parsing.is_whole(digits) and len(digits) <= MAX_EPOCH_DIGITS else None
