"""Predicates that validate the fields of a received frame before any of them is used.

A check takes a value as ``json.loads`` returned it and returns whether it is
valid. The functions that end in ``_of``, and `null_or`, build checks from other
checks.
"""

import typing

import zinctrail.runtime.parsing as parsing

Check = typing.Callable[[typing.Any], bool]

is_address = parsing.is_address

# The greatest plausible load ratio; no measurement yields a larger one.
MAX_RATIO = 1e6
# Counters of an endpoint's failures fit in 31 bits.
COUNTER_LIMIT = 1 << 31


def is_string(value: typing.Any) -> bool:
    """True if `value` is a string."""
    return isinstance(value, str)


def is_integer(value: typing.Any) -> bool:
    """True if `value` is an integer; JSON's true and false are none."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_count(value: typing.Any) -> bool:
    """True if `value` is an integer that is not negative."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def is_boolean(value: typing.Any) -> bool:
    """True if `value` is true or false."""
    return isinstance(value, bool)


def is_version(value: typing.Any) -> bool:
    """True if `value` is a (term, generation) pair, or another pair of counts."""
    return isinstance(value, (list, tuple)) and len(value) == 2 and is_count(value[0]) and is_count(value[1])


def is_anything(value: typing.Any) -> bool:
    """Accept every value; the code that uses the value has to check it."""
    return True


def is_ratio(value: typing.Any) -> bool:
    """True if `value` is a number from 0 to MAX_RATIO."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value <= MAX_RATIO


def is_row(value: typing.Any) -> bool:
    """True if `value` is a row of the replicated state: [table, key, value]."""
    return isinstance(value, (list, tuple)) and len(value) == 3 and is_string(value[0]) and is_string(value[1])


def is_known_member(value: typing.Any) -> bool:
    """True if `value` is [address, id, has responded recently]: a control node that a probed node knows."""
    return (
        isinstance(value, (list, tuple))
        and len(value) == 3
        and is_address(value[0])
        and is_string(value[1])
        and is_boolean(value[2])
    )


def is_held_credit(value: typing.Any) -> bool:
    """True if `value` is [credit held, credit in use], each {incarnation: count}."""
    return isinstance(value, (list, tuple)) and len(value) == 2 and all(is_count_map(counts) for counts in value)


def is_failure_counts(value: typing.Any) -> bool:
    """True if `value` is a pair of failure counters, each below COUNTER_LIMIT."""
    return (
        isinstance(value, (list, tuple))
        and len(value) == 2
        and all(is_count(count) and count < COUNTER_LIMIT for count in value)
    )


def is_http_result(value: typing.Any) -> bool:
    """True if `value` is [status, headers, body in base64]."""
    return (
        isinstance(value, (list, tuple))
        and len(value) == 3
        and is_integer(value[0])
        and is_string_map(value[1])
        and is_string(value[2])
    )


def map_of(check: Check) -> Check:
    """Return a check for objects whose values all pass `check`."""
    return lambda value: (
        isinstance(value, dict) and all(isinstance(key, str) and check(entry) for key, entry in value.items())
    )


def list_of(check: Check) -> Check:
    """Return a check for lists whose items all pass `check`."""
    return lambda value: isinstance(value, (list, tuple)) and all(check(entry) for entry in value)


def null_or(check: Check) -> Check:
    """Return a check for null and for values that pass `check`."""
    return lambda value: value is None or check(value)


def object_of(required: dict[str, Check], optional: dict[str, Check] | None = None) -> Check:
    """Return a check for objects with all `required` fields; `optional` fields are checked if present.

    Further fields are allowed, and not checked.
    """

    def check_object(value: typing.Any) -> bool:
        return (
            isinstance(value, dict)
            and all(name in value and check(value[name]) for name, check in required.items())
            and all(check(value[name]) for name, check in (optional or {}).items() if name in value)
        )

    return check_object


is_count_map = map_of(is_count)
is_string_map = map_of(is_string)
is_object = map_of(is_anything)
is_tables = map_of(is_object)
is_member = object_of(
    {'role': is_string, 'addr': is_address, 'http': is_string, 'cell': is_string, 'level': is_integer},
    {'front': is_string},
)
is_leader = object_of({'id': is_string, 'addr': is_address, 'http': is_string})
is_result = object_of({'status': is_integer})
