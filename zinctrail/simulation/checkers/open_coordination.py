"""Checkers of coordination on days of open traffic: locks, numbers, cells, watches."""

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
def one(deployment: open_deployment.Deployment) -> list[str]:
    """Two holders believe in a lock at once, or fencing tokens do not rise."""
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


def not_rising(rows: typing.Sequence[Row], number: typing.Callable[[Row], int], what: str) -> list[str]:
    """Rows whose number was given twice, or is not above one given before the call was sent."""
    counts = collections.Counter(map(number, rows))
    findings = [f'{what} {value} was given {count} times' for value, count in counts.items() if count > 1]
    ended = sorted(rows, key=lambda row: row.responded_at)
    position = 0
    top = None
    for row in sorted(rows, key=lambda row: row.sent_at):
        while position < len(ended) and ended[position].responded_at <= row.sent_at:
            top = max(top or 0, number(ended[position]))
            position += 1
        if top is not None and number(row) <= top:
            findings.append(f'{what} {number(row)}, asked for at {seconds(row.sent_at)}, is not above {top}')
    return findings


def group_of(name: str) -> str:
    """The group of a cell, with the dot that ends it."""
    return name[: name.index('.') + 1]


def acknowledged_puts(deployment: open_deployment.Deployment) -> list[open_records.Put]:
    """The puts that were answered with success."""
    return [put for put in deployment.records.puts if put.status == 200]


@check('order')
def order(deployment: open_deployment.Deployment) -> list[str]:
    """Numbers and revisions rise, puts are over what they named, and watches skip nothing."""
    findings = not_rising(deployment.records.numbers, lambda row: row.value, 'number')
    puts = acknowledged_puts(deployment)
    by_group = registry.grouped(puts, lambda put: group_of(put.name))
    for group in sorted(by_group):
        findings += not_rising(by_group[group], lambda put: put.revision, f'revision of {group}')
    for name, of_name in registry.grouped(puts, lambda put: put.name).items():
        for put in of_name:
            between = [other.revision for other in of_name if put.expected_revision < other.revision < put.revision]
            if between:
                findings.append(f'{name}: put over {put.expected_revision} got {put.revision}, past {between}')
    for watch in deployment.records.watches:
        if watch.status == 200:
            findings += _watch_findings(watch, by_group.get(watch.group, ()))
    return findings


def _watch_findings(watch: open_records.Watch, puts: typing.Iterable[open_records.Put]) -> list[str]:
    """Revisions of a watch that do not rise, and puts that it skipped."""
    findings = []
    revisions = [event['rev'] for event in watch.events]
    if revisions != sorted(set(revisions)):
        findings.append(f'watch of {watch.group} from {watch.since}: {revisions} does not rise')
    if watch.since:
        findings += [
            f'watch of {watch.group} from {watch.since} to {watch.revision} skips {put.revision}'
            for put in puts
            if watch.since < put.revision <= watch.revision and put.revision not in revisions
        ]
    return findings


@check('stale')
def stale(deployment: open_deployment.Deployment) -> list[str]:
    """A read shows an older revision than was acknowledged before it was sent."""
    findings = []
    by_name = registry.grouped(acknowledged_puts(deployment), lambda put: put.name)
    for get in deployment.records.gets:
        earlier = [put.revision for put in by_name.get(get.name, ()) if put.responded_at <= get.sent_at]
        floor = max(earlier, default=0)
        if get.revision < floor:
            findings.append(
                f'{get.name} read at {seconds(get.sent_at)} at revision {get.revision}, {floor} was acknowledged before'
            )
    return findings


def shown(deployment: open_deployment.Deployment) -> typing.Iterator[tuple[str, str, int, datetime.timedelta]]:
    """(name, value, revision, when) of all that reads and watches showed."""
    for get in deployment.records.gets:
        if get.value is not None:
            yield get.name, get.value, get.revision, get.responded_at
    for watch in deployment.records.watches:
        for event in watch.events:
            yield event['name'], event['value'], event['rev'], watch.responded_at


@check('value')
def value(deployment: open_deployment.Deployment) -> list[str]:
    """A value nobody put, under two revisions, or whose put was refused; a refusal names a revision never given."""
    findings = []
    puts = {put.value: put for put in deployment.records.puts}
    revisions = collections.defaultdict(set)
    known = collections.defaultdict(set)
    for put in acknowledged_puts(deployment):
        revisions[put.name, put.value].add(put.revision)
        known[put.name].add(put.revision)
    for name, shown_value, revision, at in shown(deployment):
        put = puts.get(shown_value)
        revisions[name, shown_value].add(revision)
        known[name].add(revision)
        if put is None or put.name != name:
            findings.append(f'{name} showed {shown_value}, which nobody put there')
        elif put.status == 409 or (put.statuses and set(put.statuses) <= {503, 429}):
            findings.append(f'{name} showed {shown_value} at {seconds(at)}, whose put was told {put.statuses}')
    findings += [
        f'{name}: {shown_value} is shown under {sorted(of_value)}'
        for (name, shown_value), of_value in revisions.items()
        if len(of_value) > 1
    ]
    # Names with a put of unknown result, which may have been given any revision.
    unsure = {put.name for put in deployment.records.puts if put.status not in (200, 409)}
    for put in deployment.records.puts:
        is_unknown = put.named_revision and put.named_revision not in known[put.name]
        if put.status == 409 and is_unknown and put.name not in unsure:
            findings.append(f'{put.name}: told of revision {put.named_revision}, which no put was given')
    return findings


@check('history')
def history(deployment: open_deployment.Deployment) -> list[str]:
    """A watch is refused though what it asked for is not older than history must reach."""
    return [
        f'watch of {watch.group} from {watch.since} got 410,'
        f' {seconds(watch.sent_at - watch.given_at)} after it was given'
        for watch in deployment.records.watches
        if watch.status == 410
        and watch.given_at is not None
        and watch.responded_at - watch.given_at < terms.TERMS.history
    ]
