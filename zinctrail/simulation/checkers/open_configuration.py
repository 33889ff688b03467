"""Checkers of configured items on days of open traffic: in force in time, kept, one content to a version."""

import collections
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.checkers.open_contact as open_contact
import zinctrail.simulation.checkers.open_requests as open_requests
import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

ms = durations.ms
check = registry.OPEN.check
seconds = registry.seconds
TERMS = terms.TERMS

# Statuses of changes that are refused for good.
REFUSED = (400, 409, 413, 422)


def key_of(change: open_records.Change) -> str:
    """The key of the item that a change is about."""
    return change.key


class Versions:
    """What may be in force of each rule at a moment."""

    def __init__(self, deployment: open_deployment.Deployment) -> None:
        # Without the refused ones: nothing of them may be in force, ever.
        changes = [change for change in deployment.records.changes if change.status not in REFUSED]
        self.rows = registry.grouped(changes, key_of)
        for rows in self.rows.values():
            rows.sort(key=lambda change: change.version)

    def possible(self, key: str, at: datetime.timedelta, over: datetime.timedelta | None) -> list[open_records.Change]:
        """Changes that may govern a request sent at a time, by `over` as the bound on older ones (None: no bound)."""
        rows = [change for change in self.rows.get(key, ()) if change.sent_at <= at]
        if over is None:
            return rows
        floor = max((change.version for change in self.in_force(rows, at, over)), default=-1)
        return [change for change in rows if change.version >= floor]

    def must_route(self, key: str, at: datetime.timedelta, over: datetime.timedelta) -> bool:
        """Whether some rule must govern a request: a version of it has passed its bound, none dropped it.

        Until its first version has passed the bound, the state before it, which is no rule at all, may be in force.
        """
        rows = self.possible(key, at, over)
        return bool(self.in_force(rows, at, over)) and all(change.row for change in rows)

    @staticmethod
    def in_force(
        rows: typing.Iterable[open_records.Change], at: datetime.timedelta, over: datetime.timedelta
    ) -> list[open_records.Change]:
        """Changes whose acknowledgement lies further back than the bound."""
        return [change for change in rows if change.status == 200 and change.responded_at + over < at]


def rule_key(attempt: open_records.Attempt) -> str:
    """The key of the rule that a request matches."""
    return f'rules/{attempt.request.rule}'


def pools_of_all(changes: typing.Iterable[open_records.Change]) -> set[str]:
    """The pools that any of these contents routes to."""
    return set().union(*(terms.pools_of(change.row) for change in changes))


@check('route')
def route(deployment: open_deployment.Deployment) -> list[str]:
    """A request runs at a service that no configuration ever sent allows; this rule knows no time."""
    findings = []
    ever = {key: pools_of_all(rows) for key, rows in Versions(deployment).rows.items()}
    for run in deployment.records.runs:
        attempt = open_requests.attempt_of(deployment, run)
        if attempt and run.service not in ever.get(rule_key(attempt), ()):
            findings.append(f'{run.id} of {attempt.request.rule} ran at {run.service}, which no configuration allows')
    return findings


@check('config')
def config(deployment: open_deployment.Deployment) -> list[str]:
    """Late: what only an older version allows, once the newer one was acknowledged long enough ago."""
    findings = []
    versions = Versions(deployment)
    ran = open_requests.by_id(deployment.records.runs)
    for attempt in deployment.records.attempts:
        sent_at = attempt.sent_at
        proxy = attempt.proxy
        key = rule_key(attempt)
        slack = deployment.contact.slack(proxy, attempt.responded_at or sent_at, sent_at - TERMS.config)
        if slack is None:
            continue
        over = TERMS.config + slack
        possible = versions.possible(key, sent_at, over)
        if not possible:
            continue
        what = f'{attempt.id} of {attempt.request.rule}, sent at {seconds(sent_at)} to {proxy},'
        pools = pools_of_all(possible)
        for run in ran.get(attempt.id, ()):
            if run.service not in pools:
                in_force = [(change.version, sorted(terms.pools_of(change.row))) for change in possible]
                findings.append(f'{what} ran at {run.service}; in force {in_force}')
        has_no_rule = attempt.has_response() and attempt.status == 404 and 'zt-id' not in attempt.headers
        if has_no_rule and versions.must_route(key, sent_at, over):
            findings.append(f'{what} got 404')
    return findings


@check('config-back')
def config_back(deployment: open_deployment.Deployment) -> list[str]:
    """A machine goes back, within one life of its process, after an endpoint saw the effect of a newer version."""
    findings = []
    versions = Versions(deployment)
    # (when it ran, the oldest version that allows it) by process and rule.
    seen: dict[tuple[str, int, str], list[tuple[datetime.timedelta, int]]] = collections.defaultdict(list)
    ran = open_requests.by_id(deployment.records.runs)
    for attempt in sorted(deployment.records.attempts, key=lambda attempt: attempt.sent_at):
        key = rule_key(attempt)
        rows = versions.rows.get(key, ())
        if len(rows) < 2:
            continue
        for run in ran.get(attempt.id, ()):
            fitting = [
                change.version
                for change in rows
                if change.sent_at <= run.at and run.service in terms.pools_of(change.row)
            ]
            if not fitting:
                continue
            process = (attempt.proxy, attempt.proxy_incarnation, key)
            earlier = [low for at, low in seen[process] if at + TERMS.revert * 8 < attempt.sent_at]
            floor = max(earlier, default=-1)
            if max(fitting) < floor:
                findings.append(
                    f'{attempt.id} of {attempt.request.rule} by {attempt.proxy} at {seconds(run.at)}:'
                    f' back from {floor} to {max(fitting)}'
                )
            seen[process].append((run.at, min(fitting)))
    return findings


@check('config-refused')
def config_refused(deployment: open_deployment.Deployment) -> list[str]:
    """What is invalid is acknowledged; what is valid is refused for good."""
    findings = []
    for change in deployment.records.changes:
        is_invalid = change.is_invalid
        status = change.status
        if is_invalid and status == 200:
            findings.append(f'{change.key} {change.version} is invalid and was acknowledged')
        if not is_invalid and status in REFUSED and not _is_contested(deployment, change):
            findings.append(f'{change.key} {change.version} is valid and got {status}')
    return findings


def _is_contested(deployment: open_deployment.Deployment, refused: open_records.Change) -> bool:
    """Whether a 409 is right: an item of the call has a version under which another content was sent."""
    changes = deployment.records.changes
    items = [change for change in changes if change.command is refused.command]
    contents = {(change.key, change.version): change.row for change in items}
    return refused.status == 409 and any(
        contents.get((change.key, change.version), change.row) != change.row and change.status not in (400, 409)
        for change in changes
    )


@check('config-one')
def config_one(deployment: open_deployment.Deployment) -> list[str]:
    """Two contents are acknowledged under one version of an item, or a content that was acknowledged is refused."""
    contents: dict[tuple[str, int], list[dict | None]] = collections.defaultdict(list)
    for change in deployment.records.changes:
        version = (change.key, change.version)
        if change.status == 200 and change.row not in contents[version]:
            contents[version].append(change.row)
    findings = [
        f'{key} {version}: {len(rows)} contents were acknowledged'
        for (key, version), rows in contents.items()
        if len(rows) > 1
    ]
    statuses = collections.defaultdict(set)
    for rows in registry.grouped(deployment.records.changes, lambda change: id(change.command)).values():
        items = str([(change.key, change.version, change.row) for change in rows])
        statuses[items].add(rows[0].status)
    return findings + [f'{items}: acknowledged and refused' for items, all_ in statuses.items() if {200, 409} <= all_]


@check('config-kept')
def config_kept(deployment: open_deployment.Deployment) -> list[str]:
    """Read back: each item as the newest acknowledged version or a newer one that was sent, whole."""
    findings = []
    records = deployment.records
    changes = registry.grouped(records.changes, key_of)
    if records.reads and records.reads[-1].items is None:
        findings.append('the last read-back had no answer')
    for read in records.reads:
        if read.items is None:
            continue
        rows = {f'{part}/{row["name"]}': row for part in ('rules', 'pools') for row in read.items[part]}
        for key, of_key in changes.items():
            findings += _not_kept(key, of_key, rows.pop(key, None), read)
        findings += [f'read at {seconds(read.sent_at)}: {key} was never sent' for key in rows]
    return findings


def _not_kept(key: str, changes: list[open_records.Change], row: dict | None, read: open_records.Read) -> list[str]:
    """What is wrong with one item of a read, where something is."""
    acknowledged = [
        change.version for change in changes if change.status == 200 and change.responded_at <= read.sent_at
    ]
    floor = max(acknowledged, default=-1)
    possible = [
        change
        for change in changes
        if change.sent_at <= read.responded_at and change.version >= floor and change.status not in REFUSED
    ]
    if (floor < 0 and row is None) or any(change.row == row for change in possible):
        return []
    return [
        f'read at {seconds(read.sent_at)}: {key} is {row and row["version"]}, {floor} was acknowledged,'
        f' {[change.version for change in possible]} could be'
    ]


@check('denied')
def denied(deployment: open_deployment.Deployment) -> list[str]:
    """Proper requests are refused as if they were wrong, more than a few of them."""
    versions = Versions(deployment)
    attempts = deployment.records.attempts
    wrong = [
        attempt
        for attempt in attempts
        if attempt.has_response()
        and 300 <= attempt.status < 500
        and attempt.status not in (408, 421, 429)
        and 'zt-stamp' not in attempt.headers
        and deployment.contact.is_bound(attempt.proxy, attempt.responded_at)
        and versions.must_route(rule_key(attempt), attempt.sent_at, TERMS.config)
    ]
    if len(wrong) > 5 + len(attempts) / 500:
        statuses = sorted({attempt.status for attempt in wrong})
        return [f'{len(wrong)} of {len(attempts)} proper requests got {statuses}']
    return []


@check('acks')
def acks(deployment: open_deployment.Deployment) -> list[str]:
    """A proper order without an acknowledgement while the control nodes were settled."""
    findings = []
    drains = 0
    late_drains = 0
    records = deployment.records
    contact = deployment.contact
    contested = {
        id(change.command) for change in records.changes if change.status == 409 and _is_contested(deployment, change)
    }
    for command in records.commands:
        if command.is_invalid or id(command) in contested:
            continue
        until = command.sent_at + TERMS.ack + ms(3) * command.size
        end = command.responded_at if command.status == 200 else deployment.world.now
        is_settled = open_contact.is_calm(contact.control, command.sent_at - TERMS.contact, until)
        # No stretch counts in which acknowledgements are lost.
        is_late = end > until and is_settled and open_contact.is_calm(records.ack_losses, command.sent_at, until)
        if command.what == 'drain':
            drains = drains + 1
            late_drains = late_drains + is_late
        elif is_late:
            findings.append(
                f'{command.what} sent at {seconds(command.sent_at)} had no acknowledgement by {seconds(until)}:'
                f' {command.status}'
            )
    if late_drains >= 3 and late_drains > drains / 5:
        findings.append(f'{late_drains} of {drains} endpoints that said they leave had no acknowledgement')
    return findings


@check('budget')
def budget(deployment: open_deployment.Deployment) -> list[str]:
    """Further arrivals of the same request exceed their share; the first finding of each service is told."""
    findings: dict[str, str] = {}
    seen = set()
    extra = collections.defaultdict(list)
    for arrival in deployment.records.arrivals:
        if arrival.id in seen:
            extra[arrival.service].append(arrival.at)
        seen.add(arrival.id)
    asked = _asked_of_pools(deployment)
    for service, times in extra.items():
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - TERMS.repeat_window:
                first += 1
            count = last - first + 1
            requests = _requests_around(asked[service], at) if count > TERMS.repeat_slack else 0
            if count > TERMS.repeat_share * requests + TERMS.repeat_slack:
                text = f'{service}: {count} further arrivals for {requests} requests in the window before {seconds(at)}'
                findings.setdefault(service, text)
    return list(findings.values())


def _asked_of_pools(deployment: open_deployment.Deployment) -> dict[str, list[datetime.timedelta]]:
    """When requests were sent that a pool may have been meant for, by the pool."""
    asked = collections.defaultdict(list)
    versions = Versions(deployment)
    for attempt in deployment.records.attempts:
        for pool in pools_of_all(versions.possible(rule_key(attempt), attempt.sent_at, None)):
            asked[pool].append(attempt.sent_at)
    return asked


def _requests_around(times: list[datetime.timedelta], at: datetime.timedelta) -> int:
    """The most requests in a window that ends at a time, or somewhat before."""
    window = TERMS.repeat_window
    return max(sum(1 for time in times if end - window < time <= end) for end in (at, at - window, at - window / 2))
