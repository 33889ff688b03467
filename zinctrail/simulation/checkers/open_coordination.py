"""Checkers of coordination in scenarios of open traffic: locks, sequence numbers, registers (cells) and watches."""

import collections
import datetime
import typing

import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

Row = typing.TypeVar('Row', open_records.Number, open_records.Put)
check = registry.OPEN.check
seconds = registry.seconds


@check('one')
def lock_exclusion(deployment: open_deployment.Deployment) -> list[str]:
    """Two applications believe that they hold a lock at the same time, or its fencing tokens do not increase."""
    findings = []
    for name, earlier, later in registry.belief_pairs(deployment.records.locks):
        if earlier.holder == later.holder:
            continue
        if later.since < earlier.until:
            findings.append(registry.overlap(name, earlier, later))
        is_same_token = earlier.fencing_token == later.fencing_token
        is_after = earlier.since <= later.sent_at
        if is_same_token or (is_after and later.fencing_token <= earlier.fencing_token):
            findings.append(registry.token_order(name, earlier, later))
    return findings


def not_increasing(rows: typing.Sequence[Row], number: typing.Callable[[Row], int], label: str) -> list[str]:
    """Return findings for numbers given twice, or not above one that was given before their call was sent."""
    counts = collections.Counter(map(number, rows))
    findings = [f'{label} {value} was given {count} times' for value, count in counts.items() if count > 1]
    ended = sorted(rows, key=lambda row: row.responded_at)
    position = 0
    highest = None
    for row in sorted(rows, key=lambda row: row.sent_at):
        while position < len(ended) and ended[position].responded_at <= row.sent_at:
            highest = max(highest or 0, number(ended[position]))
            position += 1
        if highest is not None and number(row) <= highest:
            findings.append(f'{label} {number(row)}, requested at {seconds(row.sent_at)}, is not above {highest}')
    return findings


def group_of(name: str) -> str:
    """Return the group of a register, with its trailing dot."""
    return name[: name.index('.') + 1]


def acknowledged_puts(deployment: open_deployment.Deployment) -> list[open_records.Put]:
    """Return the puts that succeeded."""
    return [put for put in deployment.records.puts if put.status == 200]


@check('order')
def ordering(deployment: open_deployment.Deployment) -> list[str]:
    """Numbers or revisions do not increase, a put replaces another revision than expected, or a watch skips a put."""
    findings = not_increasing(deployment.records.numbers, lambda row: row.value, 'number')
    puts = acknowledged_puts(deployment)
    by_group = registry.group_by(puts, lambda put: group_of(put.name))
    for group in sorted(by_group):
        findings += not_increasing(by_group[group], lambda put: put.revision, f'revision of {group}')
    for name, name_puts in registry.group_by(puts, lambda put: put.name).items():
        for put in name_puts:
            between = [other.revision for other in name_puts if put.expected_revision < other.revision < put.revision]
            if between:
                findings.append(
                    f'{name}: put over revision {put.expected_revision} got {put.revision}, skipping {between}'
                )
    for watch in deployment.records.watches:
        if watch.status == 200:
            findings += _watch_findings(watch, by_group.get(watch.group, ()))
    return findings


def _watch_findings(watch: open_records.Watch, puts: typing.Iterable[open_records.Put]) -> list[str]:
    """Return findings for revisions of a watch that do not increase, and for puts that it skipped."""
    findings = []
    revisions = [event['rev'] for event in watch.events]
    if revisions != sorted(set(revisions)):
        findings.append(f'watch of {watch.group} from {watch.since}: revisions {revisions} do not increase')
    if watch.since:
        findings += [
            f'watch of {watch.group} from {watch.since} to {watch.revision} skips {put.revision}'
            for put in puts
            if watch.since < put.revision <= watch.revision and put.revision not in revisions
        ]
    return findings


@check('stale')
def stale_reads(deployment: open_deployment.Deployment) -> list[str]:
    """A read returns an older revision than one acknowledged before the read was sent."""
    findings = []
    by_name = registry.group_by(acknowledged_puts(deployment), lambda put: put.name)
    for get in deployment.records.gets:
        earlier = [put.revision for put in by_name.get(get.name, ()) if put.responded_at <= get.sent_at]
        floor = max(earlier, default=0)
        if get.revision < floor:
            findings.append(
                f'{get.name} read at {seconds(get.sent_at)} at revision {get.revision}, {floor} was acknowledged before'
            )
    return findings


def observed_values(
    deployment: open_deployment.Deployment,
) -> typing.Iterator[tuple[str, str, int, datetime.timedelta]]:
    """Yield (name, value, revision, time) of every value that a read or a watch returned."""
    for get in deployment.records.gets:
        if get.value is not None:
            yield get.name, get.value, get.revision, get.responded_at
    for watch in deployment.records.watches:
        for event in watch.events:
            yield event['name'], event['value'], event['rev'], watch.responded_at


@check('value')
def value(deployment: open_deployment.Deployment) -> list[str]:
    """A read or watch returns a value never put, put but refused, or under two revisions.

    Also a finding: a refusal names a revision that no put was given.
    """
    findings = []
    puts = {put.value: put for put in deployment.records.puts}
    revisions = collections.defaultdict(set)
    known = collections.defaultdict(set)
    for put in acknowledged_puts(deployment):
        revisions[put.name, put.value].add(put.revision)
        known[put.name].add(put.revision)
    for name, observed_value, revision, at in observed_values(deployment):
        put = puts.get(observed_value)
        revisions[name, observed_value].add(revision)
        known[name].add(revision)
        if put is None or put.name != name:
            findings.append(f'{name} returned {observed_value}, which was never put there')
        elif put.status == 409 or (put.statuses and set(put.statuses) <= {503, 429}):
            findings.append(f'{name} returned {observed_value} at {seconds(at)}, whose put got {put.statuses}')
    findings += [
        f'{name}: {observed_value} was returned under revisions {sorted(value_revisions)}'
        for (name, observed_value), value_revisions in revisions.items()
        if len(value_revisions) > 1
    ]
    # Registers with a put of unknown result, which may have been given any revision.
    uncertain = {put.name for put in deployment.records.puts if put.status not in (200, 409)}
    for put in deployment.records.puts:
        is_unknown = put.named_revision and put.named_revision not in known[put.name]
        if put.status == 409 and is_unknown and put.name not in uncertain:
            findings.append(f'{put.name}: a refusal named revision {put.named_revision}, which no put was given')
    return findings


@check('history')
def watch_history(deployment: open_deployment.Deployment) -> list[str]:
    """A watch is refused although it asked for nothing older than the history that must be kept."""
    return [
        f'watch of {watch.group} from {watch.since} got 410,'
        f' {seconds(watch.sent_at - watch.given_at)} after that revision was given'
        for watch in deployment.records.watches
        if watch.status == 410
        and watch.given_at is not None
        and watch.responded_at - watch.given_at < terms.TERMS.history
    ]
