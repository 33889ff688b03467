"""Is there one order of operations, each within its own time, that a model allows?

An operation is an actors.records.Operation: it has sent_at, responded_at and result; responded_at is None where
its result is unknown: it may have happened at any time since sent_at, or never.
A model gives step(state, operation) -> the next state, or None where the
operation can't have happened there with that result.
"""

import typing

import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.observations as observations

# The question is hard in general, and an undecided history must not pass for a good one.
STEPS_MOST = 400000


State = typing.TypeVar('State')


class UndecidedError(Exception):
    """The search was given up after STEPS_MOST steps."""


class KeyState(typing.NamedTuple):
    """The state of a key: no value where there is none, no revision where it is unknown."""

    value: str | None
    revision: int | None
    highest_revision: int


NO_KEY = KeyState(None, 0, 0)


def order(
    operations: list[actor_records.Operation],
    start: State,
    step: typing.Callable[[State, actor_records.Operation], State | None],
) -> actor_records.Operation | None:
    """The first operation that no order explains, or None if there is an order.

    :raises UndecidedError: the search took too many steps.
    """
    operations = sorted(operations, key=lambda operation: operation.sent_at)
    ends = [operation.responded_at for operation in operations]
    last_end = max((end for end in ends if end is not None), default=None)
    if last_end is None:
        return None
    needed = sum(1 << position for position, end in enumerate(ends) if end is not None)
    seen: set[tuple[int, State]] = set()
    # (bits of the operations that are done, below which position all are done, state)
    stack = [(0, 0, start)]
    furthest = 0
    steps = 0
    while stack:
        done, low, state = stack.pop()
        if done & needed == needed:
            return None
        while low < len(operations) and done >> low & 1:
            low += 1
        if (done, state) in seen:
            continue
        seen.add((done, state))
        steps += 1
        if steps > STEPS_MOST:
            raise UndecidedError(f'{len(operations)} operations')
        furthest = max(furthest, low)
        possible = next_possible(operations, ends, done, low)
        # Unknown ones are tried last, since most histories need few of them; the stack takes the last first.
        possible.sort(key=lambda position: _stack_order(ends[position], last_end))
        for position in possible:
            new_state = step(state, operations[position])
            if new_state is not None:
                stack.append((done | 1 << position, low, new_state))
    return operations[furthest] if furthest < len(operations) else operations[-1]


def _stack_order(end: observations.Time | None, last_end: observations.Time) -> tuple[bool, float]:
    """What sorts operations so that the one to try first is on top of the stack."""
    return end is not None, -(end or last_end).total_seconds()


def next_possible(
    operations: list[actor_records.Operation], ends: list[observations.Time | None], done: int, low: int
) -> list[int]:
    """The operations that may come next: what began after an operation ended comes after it."""
    earliest_end = None
    found: list[int] = []
    for position in range(low, len(operations)):
        if earliest_end is not None and operations[position].sent_at > earliest_end:
            break
        if done >> position & 1:
            continue
        found.append(position)
        end = ends[position]
        if end is not None and (earliest_end is None or end < earliest_end):
            earliest_end = end
    return [position for position in found if earliest_end is None or operations[position].sent_at <= earliest_end]


def key(state: KeyState, operation: actor_records.Operation) -> KeyState | None:
    """A key with revisions."""
    if operation.kind == 'get':
        return _key_read(state, operation)
    if operation.result == 'refused':
        return _key_refused(state, operation)
    value, revision, highest = state
    is_drop = operation.kind == 'drop'
    expected = operation.expected_revision
    fits = expected is None or revision is None or revision == expected
    if not fits or (is_drop and value is None):
        return None
    new_value = None if is_drop else operation.value
    if operation.result == 'unknown':
        return KeyState(new_value, 0 if is_drop else None, highest)
    if operation.revision <= highest:
        return None
    return KeyState(new_value, 0 if is_drop else operation.revision, operation.revision)


def _key_read(state: KeyState, operation: actor_records.Operation) -> KeyState | None:
    """A read shows the value and its revision."""
    value, revision, highest = state
    if operation.value != value or (revision is not None and operation.revision != revision):
        return None
    return KeyState(value, operation.revision, max(highest, operation.revision))


def _key_refused(state: KeyState, operation: actor_records.Operation) -> KeyState | None:
    """Either of another revision than expected, or nothing there to drop; the revision there is told."""
    value, revision, highest = state
    current = operation.revision or 0
    if (revision is not None and current != revision) or (value is None) != (current == 0):
        return None
    expected = operation.expected_revision
    if expected is not None and current == expected and not (operation.kind == 'drop' and current == 0):
        return None
    return KeyState(value, current, max(highest, current))


def number(state: int, operation: actor_records.Operation) -> int | None:
    """A number that goes up by one."""
    if operation.result == 'ok' and operation.value != state + 1:
        return None
    return state + 1
