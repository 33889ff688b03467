"""Checkers of coordination through the client library: locks, sequence numbers, keys and watches."""

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

MIN_HISTORY = ms(20000)


@check('locks')
def locks(deployment: client_deployment.Deployment) -> list[str]:
    """Two applications believe that they hold a lock at the same time, or its fencing tokens do not increase."""
    findings = []
    for name, earlier, later in registry.belief_pairs(deployment.records.locks):
        is_other_holder = earlier.holder != later.holder
        if is_other_holder and later.since < earlier.until:
            findings.append(registry.overlap(name, earlier, later))
        is_same_token = later.fencing_token == earlier.fencing_token
        if later.fencing_token < earlier.fencing_token or (is_same_token and is_other_holder):
            findings.append(registry.token_order(name, earlier, later))
    return findings


def _not_linearizable(
    operations: typing.Iterable[actor_records.Operation], initial_state: typing.Any, model: typing.Callable
) -> list[str]:
    """Return a finding for each key whose operations are not linearizable."""
    findings = []
    for key, rows in registry.group_by(operations, lambda operation: operation.key).items():
        try:
            operation = linearizability.find_violation(rows, initial_state, model)
        except linearizability.UndecidedError as error:
            findings.append(f'{key}: linearizability undecided for {error}')
            continue
        if operation:
            findings.append(
                f'{key}: not linearizable: {operation.kind} at {seconds(operation.sent_at)} of {operation.value},'
                f' {operation.result} at revision {operation.revision}'
            )
    return findings


@check('numbers')
def numbers(deployment: client_deployment.Deployment) -> list[str]:
    """A sequence number is given twice, or out of order."""
    return _not_linearizable(deployment.records.numbers, 0, linearizability.step_number)


def _writes(deployment: client_deployment.Deployment) -> list[actor_records.Operation]:
    """Return the writes of keys that succeeded."""
    return [operation for operation in deployment.records.keys if operation.kind != 'get' and operation.result == 'ok']


@check('keys')
def keys(deployment: client_deployment.Deployment) -> list[str]:
    """The reads, writes, compare-and-sets and drops of a key are not linearizable, or a revision is given twice."""
    findings = _not_linearizable(deployment.records.keys, linearizability.NO_KEY, linearizability.step_key)
    revisions = collections.Counter(write.revision for write in _writes(deployment))
    return findings + [
        f'revision {revision} was given {count} times' for revision, count in revisions.items() if count > 1
    ]


@check('watches')
def watches(deployment: client_deployment.Deployment) -> list[str]:
    """A watch misses a write, its revisions do not increase, or history younger than 20 s was discarded."""
    findings = []
    writes = _writes(deployment)
    for watch in deployment.records.watches:
        watched = [write for write in writes if write.key.startswith(watch.prefix)]
        findings += _lost_history(watch, watched) if watch.is_gone else _missed(watch, watched)
    return findings


def _lost_history(watch: actor_records.Watch, writes: list[actor_records.Operation]) -> list[str]:
    """Return a finding if a watch was refused although it asked for nothing older than MIN_HISTORY."""
    is_old = any(write.revision > watch.since and write.responded_at < watch.sent_at - MIN_HISTORY for write in writes)
    if watch.since_at is None or is_old or watch.responded_at - watch.since_at >= MIN_HISTORY:
        return []
    return [f'watch from {watch.since} was refused for a history of {seconds(watch.responded_at - watch.since_at)}']


def _missed(watch: actor_records.Watch, writes: list[actor_records.Operation]) -> list[str]:
    """Return findings for revisions of a watch that do not increase, and for writes that it did not report."""
    findings = []
    revisions = [event['rev'] for event in watch.events]
    if revisions != sorted(revisions):
        findings.append(f'watch from {watch.since}: revisions did not increase')
    return findings + [
        f'watch of {watch.prefix} from {watch.since} to {watch.head} missed {write.revision}'
        for write in writes
        if watch.since < write.revision <= watch.head and write.revision not in revisions
    ]
