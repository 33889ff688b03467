"""Checkers of requests: how often they run, where they go, and what their callers are told."""

import collections
import datetime
import json
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.checkers.registry as registry

ms = durations.ms
check = registry.CLIENT.check
seconds = registry.seconds

# How long a drained or gone endpoint may still be reached.
REACHED_MOST = ms(3000)
COLD_RATIO_MOST = 1.5
REPEAT_WINDOW = ms(10000)
REPEAT_SHARE_MOST = 0.2


@check('run-twice')
def run_twice(deployment: client_deployment.Deployment) -> list[str]:
    """A request that may run once runs twice."""
    once = deployment.shape['once']
    runs = collections.Counter(run.id for run in deployment.records.runs if run.service in once)
    return [f'{request_id} ran {count} times' for request_id, count in runs.items() if count > 1]


@check('false-not-run')
def false_not_run(deployment: client_deployment.Deployment) -> list[str]:
    """A caller is told that its request has not run, and it has."""
    findings = []
    ran = collections.defaultdict(set)
    for run in deployment.records.runs:
        ran[run.id].add(run.attempt)
    for attempt in deployment.records.attempts:
        # Attempts up to this one: a later attempt is a new request, whose run breaks no promise.
        has_run = any(number <= attempt.number for number in ran[attempt.id])
        if attempt.outcome == 'not-run' and attempt.is_complete and has_run:
            findings.append(
                f'{attempt.id} attempt {attempt.number} told not-run at {seconds(attempt.responded_at)},'
                f' ran as {sorted(ran[attempt.id])}'
            )
    for reply in deployment.records.responses:
        if reply.outcome == 'not-run' and any(number <= reply.attempts for number in ran[reply.id]):
            findings.append(f'{reply.id} ended as not-run, ran as {sorted(ran[reply.id])}')
    return findings


@check('wrong-outcome')
def wrong_outcome(deployment: client_deployment.Deployment) -> list[str]:
    """Whatever is said to have run is whole and of this request, of any status, for callers without a seal too."""
    findings = []
    records = deployment.records
    runs = {(run.id, run.incarnation) for run in records.runs}
    for row in records.attempts + records.responses:
        # Without the statuses that the system gives itself: 409 is an endpoint's word that the id ran there before.
        if row.outcome != 'ran' or row.status == 409:
            continue
        try:
            body = json.loads(row.body)
        except ValueError:
            findings.append(f'{row.id}: altered or cut reply of status {row.status} passed as whole')
            continue
        is_mine = body.get('id') == row.id and body.get('service') == row.service
        if not is_mine or (row.id, body.get('by')) not in runs:
            findings.append(f'{row.id}: got the reply of {body}')
    return findings


def drained_at(deployment: client_deployment.Deployment) -> dict[str, datetime.timedelta]:
    """When each incarnation's drain or leave was first acknowledged."""
    times: dict[str, datetime.timedelta] = {}
    for change in deployment.records.states:
        times.setdefault(change.incarnation, change.acknowledged_at)
    return times


@check('drained-reached')
def drained_reached(deployment: client_deployment.Deployment) -> list[str]:
    """A drained endpoint is reached after its bound."""
    return reached_since(deployment, drained_at(deployment), 'it drained')


@check('gone-reached')
def gone_reached(deployment: client_deployment.Deployment) -> list[str]:
    """From when the status page or a 410 says that an incarnation is gone; it may well live on."""
    return reached_since(deployment, deployment.records.removed, 'it was declared gone')


def reached_since(
    deployment: client_deployment.Deployment, times: dict[str, datetime.timedelta], event: str
) -> list[str]:
    """Arrivals for an incarnation longer than the bound after its time."""
    return [
        f'{arrival.id} reached {arrival.target_incarnation} {seconds(arrival.at - times[arrival.target_incarnation])} after {event}'
        for arrival in deployment.records.arrivals
        if arrival.target_incarnation in times and arrival.at > times[arrival.target_incarnation] + REACHED_MOST
    ]


@check('newcomer-reached')
def newcomer_reached(deployment: client_deployment.Deployment) -> list[str]:
    """A request reaches a newcomer at the address of the endpoint that it was sent to."""
    return [
        f'{arrival.id} meant for {arrival.target_incarnation} reached the newcomer {arrival.incarnation} at {arrival.address}'
        for arrival in deployment.records.arrivals
        if arrival.is_unknown_target
    ]


@check('cold-overrun')
def cold_overrun(deployment: client_deployment.Deployment) -> list[str]:
    """A cold endpoint gets more than its bound; one request more can't be told from rounding at small sizes."""
    return [
        f'{arrival.incarnation} ran {arrival.running} at once, bears {arrival.capacity:.2f}'
        for arrival in deployment.records.arrivals
        if arrival.running > max(1, COLD_RATIO_MOST * arrival.capacity)
    ]


class RepeatWindow(typing.NamedTuple):
    """The arrivals of a service in the window that ends with one of them."""

    service: str
    at: datetime.timedelta
    repeats: int
    total: int

    def excess(self) -> float:
        """Repeats above the share that is allowed of all."""
        return self.repeats - REPEAT_SHARE_MOST * self.total


def repeat_windows(deployment: client_deployment.Deployment) -> typing.Iterator[RepeatWindow]:
    """A RepeatWindow for each arrival."""
    seen = set()
    by_service = collections.defaultdict(list)
    for arrival in deployment.records.arrivals:
        by_service[arrival.service].append((arrival.at, arrival.attempt > 1 or arrival.id in seen))
        seen.add(arrival.id)
    for service, rows in by_service.items():
        first = repeats = 0
        for last, (at, is_repeat) in enumerate(rows):
            repeats += is_repeat
            while rows[first][0] <= at - REPEAT_WINDOW:
                repeats -= rows[first][1]
                first += 1
            yield RepeatWindow(service, at, repeats, last - first + 1)


@check('repeats')
def repeats(deployment: client_deployment.Deployment) -> list[str]:
    """Repeats exceed their share and allowance in some window; the first of each service is told."""
    findings: dict[str, str] = {}
    allowance = deployment.world.settings.repeat_allowance
    for window in repeat_windows(deployment):
        if window.repeats > REPEAT_SHARE_MOST * window.total + allowance:
            text = (
                f'{window.service}: {window.repeats} repeats of {window.total} in the 10 s before {seconds(window.at)}'
            )
            findings.setdefault(window.service, text)
    return list(findings.values())


def region_of(cell: str) -> str:
    """The region of a zone."""
    return cell.split('/')[0]


def cells_of_proxies(deployment: client_deployment.Deployment) -> dict[str, str]:
    """The cell of each proxy, by its HTTP address."""
    return {node.location.http: node.location.cell for node in deployment.world.of('prox')}


@check('home-regions')
def allowed_regions(deployment: client_deployment.Deployment) -> list[str]:
    """A request with home regions runs, passes or is answered outside them."""
    findings = []
    cells = cells_of_proxies(deployment)
    ran_in = {(run.id, run.incarnation): run.zone for run in deployment.records.runs}
    for arrival in deployment.records.arrivals:
        if arrival.home and region_of(arrival.zone) not in arrival.home:
            findings.append(f'{arrival.id} of {arrival.home} ran in {arrival.zone}')
    for attempt in deployment.records.attempts:
        if not attempt.home or attempt.outcome != 'ran':
            continue
        if region_of(cells[attempt.proxy]) not in attempt.home:
            findings.append(f'{attempt.id} of {attempt.home} went through {cells[attempt.proxy]}')
        try:
            ran = ran_in.get((attempt.id, json.loads(attempt.body).get('by')))
        except ValueError:
            continue
        if ran and region_of(ran) not in attempt.home:
            findings.append(f'{attempt.id} of {attempt.home} was given what ran in {ran}')
    return findings


SERVICE_BACK_MOST = ms(15000)


def undisturbed_losses(deployment: client_deployment.Deployment) -> list[actor_records.Loss]:
    """Losses after which no new fault began until service must be back."""
    records = deployment.records
    return [
        loss
        for loss in records.losses
        if not any(loss.at <= begin < loss.at + SERVICE_BACK_MOST for begin in records.begins)
    ]


@check('service-back')
def service_back(deployment: client_deployment.Deployment) -> list[str]:
    """Every service, and most requests, run within 15 s of when all that may come back has come back."""
    findings = []
    records = deployment.records
    last = max((reply.sent_at for reply in records.responses), default=ms(0))
    for loss in undisturbed_losses(deployment):
        # Where nobody asked for the whole time, silence proves nothing.
        if last < loss.at + ms(14000):
            continue
        for service in sorted(deployment.shape['services']):
            if not any(
                run.service == service and loss.at < run.at <= loss.at + SERVICE_BACK_MOST for run in records.runs
            ):
                findings.append(f'no request to {service} ran within 15 s of {loss.fault} at {seconds(loss.at)}')
        late = [
            reply.outcome == 'ran'
            for reply in records.responses
            if loss.at + ms(10000) < reply.sent_at <= loss.at + ms(14000)
        ]
        if len(late) >= 20 and sum(late) < 0.8 * len(late):
            findings.append(
                f'{sum(late)} of {len(late)} requests ran 10 to 14 s after {loss.fault} at {seconds(loss.at)}'
            )
    return findings
