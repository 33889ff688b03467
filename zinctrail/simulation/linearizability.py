"""A linearizability checker: is there a sequential order of the operations that a model allows?

Each operation must take effect between its sent_at and its responded_at. It is an actors.records.Operation with
responded_at None if its result is unknown: it may have taken effect at any time since sent_at, or never.
A model is a function step(state, operation) that returns the next state, or None if the
operation can't have that result in this state.
"""

import typing

import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.observations as observations

# Deciding linearizability is NP-hard in general, so the search is bounded; an undecided history must not pass.
MAX_STEPS = 400000


State = typing.TypeVar('State')


class UndecidedError(Exception):
    """The search was abandoned after MAX_STEPS steps."""


class KeyState(typing.NamedTuple):
    """The state of a key: value is None if the key does not exist, revision is None if it is unknown."""

    value: str | None
    revision: int | None
    highest_revision: int


NO_KEY = KeyState(None, 0, 0)


def find_violation(
    operations: list[actor_records.Operation],
    initial_state: State,
    step: typing.Callable[[State, actor_records.Operation], State | None],
) -> actor_records.Operation | None:
    """Return the first operation that no sequential order explains, or None if the history is linearizable.

    :raises UndecidedError: the search took too many steps.
    """
    operations = sorted(operations, key=lambda operation: operation.sent_at)
    ends = [operation.responded_at for operation in operations]
    last_end = max((end for end in ends if end is not None), default=None)
    if last_end is None:
        return None
    needed = sum(1 << position for position, end in enumerate(ends) if end is not None)
    seen: set[tuple[int, State]] = set()
    # (bit mask of the operations done, the position below which all are done, state)
    stack = [(0, 0, initial_state)]
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
        if steps > MAX_STEPS:
            raise UndecidedError(f'{len(operations)} operations')
        furthest = max(furthest, low)
        possible = next_possible(operations, ends, done, low)
        # Operations with an unknown result are tried last, since most histories need few of them to take effect.
        # The stack pops the last one first.
        possible.sort(key=lambda position: _stack_order(ends[position], last_end))
        for position in possible:
            new_state = step(state, operations[position])
            if new_state is not None:
                stack.append((done | 1 << position, low, new_state))
    return operations[furthest] if furthest < len(operations) else operations[-1]


def _stack_order(end: observations.Time | None, last_end: observations.Time) -> tuple[bool, float]:
    """Return a sort key that puts the operation to try first on top of the stack."""
    return end is not None, -(end or last_end).total_seconds()


def next_possible(
    operations: list[actor_records.Operation], ends: list[observations.Time | None], done: int, low: int
) -> list[int]:
    """Return the operations that may come next: those sent before any other pending operation ended."""
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


def step_key(state: KeyState, operation: actor_records.Operation) -> KeyState | None:
    """Apply an operation to a key with revisions; None if its result is impossible in this state."""
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
    """Apply a read, which must return the value and its revision."""
    value, revision, highest = state
    if operation.value != value or (revision is not None and operation.revision != revision):
        return None
    return KeyState(value, operation.revision, max(highest, operation.revision))


def _key_refused(state: KeyState, operation: actor_records.Operation) -> KeyState | None:
    """Apply a refusal, which names the key's revision: not the expected one, or there is nothing to drop."""
    value, revision, highest = state
    current = operation.revision or 0
    if (revision is not None and current != revision) or (value is None) != (current == 0):
        return None
    expected = operation.expected_revision
    if expected is not None and current == expected and not (operation.kind == 'drop' and current == 0):
        return None
    return KeyState(value, current, max(highest, current))


def step_number(state: int, operation: actor_records.Operation) -> int | None:
    """Apply an operation that increments a number by one; None if it returned another number."""
    if operation.result == 'ok' and operation.value != state + 1:
        return None
    return state + 1
