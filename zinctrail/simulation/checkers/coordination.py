"""Checkers of coordination through the client library: locks, numbers, keys, watches."""

import collections
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.linearizability as linearizability

ms = durations.ms
check = registry.CLIENT.check
seconds = registry.seconds

HISTORY_LEAST = ms(20000)


@check('locks')
def locks(deployment: client_deployment.Deployment) -> list[str]:
    """Two holders believe in a lock at once, or fencing tokens do not rise."""
    findings = []
    for name, earlier, later in registry.belief_pairs(deployment.records.locks):
        is_other = earlier.holder != later.holder
        if is_other and later.since < earlier.until:
            findings.append(registry.overlap(name, earlier, later))
        is_same_token = later.fencing_token == earlier.fencing_token
        if later.fencing_token < earlier.fencing_token or (is_same_token and is_other):
            findings.append(registry.token_order(name, earlier, later))
    return findings


def _unordered(
    operations: typing.Iterable[actor_records.Operation], start: typing.Any, model: typing.Callable
) -> list[str]:
    """Operations that no order of their key explains."""
    findings = []
    for key, rows in registry.grouped(operations, lambda operation: operation.key).items():
        try:
            operation = linearizability.order(rows, start, model)
        except linearizability.UndecidedError as error:
            findings.append(f'{key}: no verdict on {error}')
            continue
        if operation:
            findings.append(
                f'{key}: no order explains {operation.kind} at {seconds(operation.sent_at)} by {operation.value},'
                f' {operation.result} at revision {operation.revision}'
            )
    return findings


@check('numbers')
def numbers(deployment: client_deployment.Deployment) -> list[str]:
    """Every number once, and in the order of time."""
    return _unordered(deployment.records.numbers, 0, linearizability.number)


def _writes(deployment: client_deployment.Deployment) -> list[actor_records.Operation]:
    """The writes of keys that took effect."""
    return [operation for operation in deployment.records.keys if operation.kind != 'get' and operation.result == 'ok']


@check('keys')
def keys(deployment: client_deployment.Deployment) -> list[str]:
    """Reads, writes, comparisons and drops of a key have one order; revisions rise."""
    findings = _unordered(deployment.records.keys, linearizability.NO_KEY, linearizability.key)
    revisions = collections.Counter(write.revision for write in _writes(deployment))
    return findings + [
        f'revision {revision} was given {count} times' for revision, count in revisions.items() if count > 1
    ]


@check('watches')
def watches(deployment: client_deployment.Deployment) -> list[str]:
    """A watch misses a write, its revisions do not rise, or history within 20 s is no longer there."""
    findings = []
    writes = _writes(deployment)
    for watch in deployment.records.watches:
        mine = [write for write in writes if write.key.startswith(watch.prefix)]
        findings += _lost_history(watch, mine) if watch.is_gone else _missed(watch, mine)
    return findings


def _lost_history(watch: actor_records.Watch, writes: list[actor_records.Operation]) -> list[str]:
    """A watch that was refused though nothing it asked for is older than the history must reach."""
    is_old = any(
        write.revision > watch.since and write.responded_at < watch.sent_at - HISTORY_LEAST for write in writes
    )
    if watch.since_at is None or is_old or watch.responded_at - watch.since_at >= HISTORY_LEAST:
        return []
    return [f'watch from {watch.since} lost history of {seconds(watch.responded_at - watch.since_at)}']


def _missed(watch: actor_records.Watch, writes: list[actor_records.Operation]) -> list[str]:
    """Revisions of a watch that do not rise, and writes that it did not show."""
    findings = []
    revisions = [event['rev'] for event in watch.events]
    if revisions != sorted(revisions):
        findings.append(f'watch from {watch.since}: revisions did not rise')
    return findings + [
        f'watch of {watch.prefix} from {watch.since} to {watch.head} missed {write.revision}'
        for write in writes
        if watch.since < write.revision <= watch.head and write.revision not in revisions
    ]
