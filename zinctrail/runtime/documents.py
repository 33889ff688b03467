"""JSON documents from callers, read within bounds that every later step can carry.

What a call brings is encoded, compared, stored, sent to other processes and
read again, each time inside a larger document and deeper in the call stack. So
the nesting of a document is bounded where it is read, and the interpreter's
recursion limit leaves room for the most that this admits.
"""

import json
import math
import sys
import typing

import zinctrail.errors as errors

# The deepest nesting of objects and lists in a call, the outermost one included. Earlier releases accepted somewhat
# less: what the interpreter's own limit of 1,000 left them.
MAX_DEPTH = 1000
# The levels that a message, a file or an exported state adds around what a call brought.
ENVELOPE_DEPTH = 24
# The most stack frames that a recursive function needs for each level.
FRAMES_PER_LEVEL = 4
# The stack frames left for everything else.
OTHER_FRAMES = 1000


def raise_recursion_limit() -> None:
    """Let this interpreter recurse as deeply as the deepest document needs."""
    needed = OTHER_FRAMES + FRAMES_PER_LEVEL * (MAX_DEPTH + ENVELOPE_DEPTH)
    sys.setrecursionlimit(max(sys.getrecursionlimit(), needed))


def parse(body: bytes, max_depth: int = MAX_DEPTH) -> typing.Any:
    """Return the JSON value in a body; raises errors.DocumentError if it is not JSON, or out of bounds."""
    try:
        document = json.loads(body, parse_constant=_refuse_constant, parse_float=_finite)
    except RecursionError as error:
        raise _too_deep(max_depth) from error
    except ValueError as error:
        raise errors.DocumentError(f'is not JSON: {error}') from error
    # Most documents have fewer opening brackets than they may have levels.
    if body.count(b'{') + body.count(b'[') > max_depth:
        _check_depth(document, max_depth)
    return document


def _check_depth(document: typing.Any, max_depth: int) -> None:
    """Raise errors.DocumentError if a value is nested too deeply; works level by level instead of recursively."""
    level = [document] if isinstance(document, (dict, list)) else []
    depth = 0
    while level:
        depth += 1
        if depth > max_depth:
            raise _too_deep(max_depth)
        level = [
            inner
            for value in level
            for inner in (value.values() if isinstance(value, dict) else value)
            if isinstance(inner, (dict, list))
        ]


def _too_deep(max_depth: int) -> errors.DocumentError:
    return errors.DocumentError(f'is nested over {max_depth} levels deep')


def _refuse_constant(text: str) -> typing.NoReturn:
    """Refuse NaN and Infinity, which Python's parser accepts but JSON does not have."""
    raise ValueError(f'{text} is no number')


def _finite(text: str) -> float:
    """Parse a number with a fraction or an exponent; one too large for a float would be read as infinity."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'{text:.40} is too large a number')
    return number
