"""Checkers of configuration items in scenarios of open traffic: applied in time, durable, one content per version."""

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

# Statuses of changes that are refused permanently.
REFUSED = (400, 409, 413, 422)


def item_key(change: open_records.Change) -> str:
    """Return the key of the item that a change sets or drops."""
    return change.key


class RuleVersions:
    """Computes which versions of a rule may be in force at a given time."""

    def __init__(self, deployment: open_deployment.Deployment) -> None:
        # Refused changes are left out: they must never be in force.
        changes = [change for change in deployment.records.changes if change.status not in REFUSED]
        self.rows = registry.group_by(changes, item_key)
        for rows in self.rows.values():
            rows.sort(key=lambda change: change.version)

    def candidates(
        self, key: str, at: datetime.timedelta, bound: datetime.timedelta | None
    ) -> list[open_records.Change]:
        """Return the changes that may apply to a request sent at `at`.

        An older version may apply until `bound` after the acknowledgement of a newer one; without end if it is None.
        """
        rows = [change for change in self.rows.get(key, ()) if change.sent_at <= at]
        if bound is None:
            return rows
        floor = max((change.version for change in self.past_bound(rows, at, bound)), default=-1)
        return [change for change in rows if change.version >= floor]

    def must_match(self, key: str, at: datetime.timedelta, bound: datetime.timedelta) -> bool:
        """True if a rule must match a request: a version of it has passed its bound, and no candidate drops it.

        Until its first version has passed the bound, the state before that version, without any rule, may be in force.
        """
        rows = self.candidates(key, at, bound)
        return bool(self.past_bound(rows, at, bound)) and all(change.row for change in rows)

    @staticmethod
    def past_bound(
        rows: typing.Iterable[open_records.Change], at: datetime.timedelta, bound: datetime.timedelta
    ) -> list[open_records.Change]:
        """Return the changes that were acknowledged more than the bound ago."""
        return [change for change in rows if change.status == 200 and change.responded_at + bound < at]


def rule_key(attempt: open_records.Attempt) -> str:
    """Return the key of the rule that a request matches."""
    return f'rules/{attempt.request.rule}'


def pools_of_all(changes: typing.Iterable[open_records.Change]) -> set[str]:
    """Return the pools that any of these versions of a rule routes to."""
    return set().union(*(terms.pools_of(change.row) for change in changes))


@check('route')
def route(deployment: open_deployment.Deployment) -> list[str]:
    """A request runs at a service that no configuration ever sent allows, at whatever time it was sent."""
    findings = []
    allowed_pools = {key: pools_of_all(rows) for key, rows in RuleVersions(deployment).rows.items()}
    for run in deployment.records.runs:
        attempt = open_requests.attempt_of(deployment, run)
        if attempt and run.service not in allowed_pools.get(rule_key(attempt), ()):
            findings.append(f'{run.id} of {attempt.request.rule} ran at {run.service}, which no configuration allows')
    return findings


@check('config')
def config(deployment: open_deployment.Deployment) -> list[str]:
    """A request runs, or gets 404, as only an older version allows after the newer one has passed its bound."""
    findings = []
    versions = RuleVersions(deployment)
    ran = open_requests.by_id(deployment.records.runs)
    for attempt in deployment.records.attempts:
        sent_at = attempt.sent_at
        proxy = attempt.proxy
        key = rule_key(attempt)
        slack = deployment.contact.slack(proxy, attempt.responded_at or sent_at, sent_at - TERMS.config)
        if slack is None:
            continue
        bound = TERMS.config + slack
        candidates = versions.candidates(key, sent_at, bound)
        if not candidates:
            continue
        subject = f'{attempt.id} of {attempt.request.rule}, sent at {seconds(sent_at)} to {proxy},'
        pools = pools_of_all(candidates)
        for run in ran.get(attempt.id, ()):
            if run.service not in pools:
                in_force = [(change.version, sorted(terms.pools_of(change.row))) for change in candidates]
                findings.append(f'{subject} ran at {run.service}; in force {in_force}')
        has_no_rule = attempt.has_response() and attempt.status == 404 and 'zt-id' not in attempt.headers
        if has_no_rule and versions.must_match(key, sent_at, bound):
            findings.append(f'{subject} got 404')
    return findings


@check('config-back')
def config_back(deployment: open_deployment.Deployment) -> list[str]:
    """A process returns to an older version of a rule after an endpoint saw the effect of a newer one."""
    findings = []
    versions = RuleVersions(deployment)
    # {(ingress, incarnation, rule): [(time of a run, oldest version that allows the run)]}
    seen: dict[tuple[str, int, str], list[tuple[datetime.timedelta, int]]] = collections.defaultdict(list)
    ran = open_requests.by_id(deployment.records.runs)
    for attempt in sorted(deployment.records.attempts, key=lambda attempt: attempt.sent_at):
        key = rule_key(attempt)
        rows = versions.rows.get(key, ())
        if len(rows) < 2:
            continue
        for run in ran.get(attempt.id, ()):
            allowing_versions = [
                change.version
                for change in rows
                if change.sent_at <= run.at and run.service in terms.pools_of(change.row)
            ]
            if not allowing_versions:
                continue
            process = (attempt.proxy, attempt.proxy_incarnation, key)
            earlier = [oldest for at, oldest in seen[process] if at + TERMS.revert * 8 < attempt.sent_at]
            floor = max(earlier, default=-1)
            if max(allowing_versions) < floor:
                findings.append(
                    f'{attempt.id} of {attempt.request.rule} by {attempt.proxy} at {seconds(run.at)}:'
                    f' back from version {floor} to {max(allowing_versions)}'
                )
            seen[process].append((run.at, min(allowing_versions)))
    return findings


@check('config-refused')
def config_refused(deployment: open_deployment.Deployment) -> list[str]:
    """An invalid change is acknowledged, or a valid one is refused permanently."""
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
    """True if a 409 is correct: an item of the call has a version that was also sent with another content."""
    changes = deployment.records.changes
    items = [change for change in changes if change.command is refused.command]
    contents = {(change.key, change.version): change.row for change in items}
    return refused.status == 409 and any(
        contents.get((change.key, change.version), change.row) != change.row and change.status not in (400, 409)
        for change in changes
    )


@check('config-one')
def config_one(deployment: open_deployment.Deployment) -> list[str]:
    """Two contents are acknowledged for one version of an item, or an acknowledged content is also refused."""
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
    for rows in registry.group_by(deployment.records.changes, lambda change: id(change.command)).values():
        items = str([(change.key, change.version, change.row) for change in rows])
        statuses[items].add(rows[0].status)
    return findings + [
        f'{items}: both acknowledged and refused'
        for items, item_statuses in statuses.items()
        if {200, 409} <= item_statuses
    ]


@check('config-kept')
def config_kept(deployment: open_deployment.Deployment) -> list[str]:
    """A read returns an item that is not, unaltered, its newest acknowledged version or a newer one that was sent."""
    findings = []
    records = deployment.records
    changes = registry.group_by(records.changes, item_key)
    if records.reads and records.reads[-1].items is None:
        findings.append('the last read of the items got no response')
    for read in records.reads:
        if read.items is None:
            continue
        rows = {f'{part}/{row["name"]}': row for part in ('rules', 'pools') for row in read.items[part]}
        for key, key_changes in changes.items():
            findings += _not_kept(key, key_changes, rows.pop(key, None), read)
        findings += [f'read at {seconds(read.sent_at)}: {key} was never sent' for key in rows]
    return findings


def _not_kept(key: str, changes: list[open_records.Change], row: dict | None, read: open_records.Read) -> list[str]:
    """Return a finding if one item of a read is older than acknowledged, missing, or was never sent so."""
    acknowledged = [
        change.version for change in changes if change.status == 200 and change.responded_at <= read.sent_at
    ]
    floor = max(acknowledged, default=-1)
    candidates = [
        change
        for change in changes
        if change.sent_at <= read.responded_at and change.version >= floor and change.status not in REFUSED
    ]
    if (floor < 0 and row is None) or any(change.row == row for change in candidates):
        return []
    return [
        f'read at {seconds(read.sent_at)}: {key} is {row and row["version"]}, {floor} was acknowledged,'
        f' {[change.version for change in candidates]} are allowed'
    ]


@check('denied')
def denied(deployment: open_deployment.Deployment) -> list[str]:
    """More than a few valid requests are refused with a client error."""
    versions = RuleVersions(deployment)
    attempts = deployment.records.attempts
    wrong = [
        attempt
        for attempt in attempts
        if attempt.has_response()
        and 300 <= attempt.status < 500
        and attempt.status not in (408, 421, 429)
        and 'zt-stamp' not in attempt.headers
        and deployment.contact.is_strictly_bound(attempt.proxy, attempt.responded_at)
        and versions.must_match(rule_key(attempt), attempt.sent_at, TERMS.config)
    ]
    if len(wrong) > 5 + len(attempts) / 500:
        statuses = sorted({attempt.status for attempt in wrong})
        return [f'{len(wrong)} of {len(attempts)} valid requests got {statuses}']
    return []


@check('acks')
def acks(deployment: open_deployment.Deployment) -> list[str]:
    """A valid command, or many drains, got no acknowledgement in time although the control nodes were undisturbed."""
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
        is_settled = open_contact.is_undisturbed(contact.control, command.sent_at - TERMS.contact, until)
        # Commands sent while acknowledgements are being lost don't count.
        is_late = end > until and is_settled and open_contact.is_undisturbed(records.ack_losses, command.sent_at, until)
        if command.what == 'drain':
            drains = drains + 1
            late_drains = late_drains + is_late
        elif is_late:
            findings.append(
                f'{command.what} sent at {seconds(command.sent_at)} had no acknowledgement by {seconds(until)}:'
                f' {command.status}'
            )
    if late_drains >= 3 and late_drains > drains / 5:
        findings.append(f'{late_drains} of {drains} endpoints that reported their drain got no acknowledgement')
    return findings


@check('budget')
def budget(deployment: open_deployment.Deployment) -> list[str]:
    """Repeated arrivals of the same requests exceed their share; only the first finding of each service is reported."""
    findings: dict[str, str] = {}
    seen = set()
    retry_times = collections.defaultdict(list)
    for arrival in deployment.records.arrivals:
        if arrival.id in seen:
            retry_times[arrival.service].append(arrival.at)
        seen.add(arrival.id)
    request_times = _request_times_by_pool(deployment)
    for service, times in retry_times.items():
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - TERMS.repeat_window:
                first += 1
            count = last - first + 1
            requests = _max_requests_near(request_times[service], at) if count > TERMS.repeat_slack else 0
            if count > TERMS.repeat_share * requests + TERMS.repeat_slack:
                text = f'{service}: {count} retries for {requests} requests in the window before {seconds(at)}'
                findings.setdefault(service, text)
    return list(findings.values())


def _request_times_by_pool(deployment: open_deployment.Deployment) -> dict[str, list[datetime.timedelta]]:
    """Return when the requests that may be routed to each pool were sent, by the pool."""
    request_times = collections.defaultdict(list)
    versions = RuleVersions(deployment)
    for attempt in deployment.records.attempts:
        for pool in pools_of_all(versions.candidates(rule_key(attempt), attempt.sent_at, None)):
            request_times[pool].append(attempt.sent_at)
    return request_times


def _max_requests_near(times: list[datetime.timedelta], at: datetime.timedelta) -> int:
    """Return the most requests in a window that ends at a time, or a half or a whole window before it."""
    window = TERMS.repeat_window
    return max(sum(1 for time in times if end - window < time <= end) for end in (at, at - window, at - window / 2))
