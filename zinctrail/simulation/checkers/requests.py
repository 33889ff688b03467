"""Checkers of requests: how often they run, where they are routed, and which outcomes their callers get."""

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

# How long a drained or removed endpoint may still be reached.
MAX_REACHABLE_AFTER_END = ms(3000)
MAX_WARM_UP_RATIO = 1.5
RETRY_WINDOW = ms(10000)
MAX_RETRY_SHARE = 0.2


@check('run-twice')
def run_twice(deployment: client_deployment.Deployment) -> list[str]:
    """A request that may run at most once runs twice."""
    once = deployment.shape['once']
    runs = collections.Counter(run.id for run in deployment.records.runs if run.service in once)
    return [f'{request_id} ran {count} times' for request_id, count in runs.items() if count > 1]


@check('false-not-run')
def false_not_run(deployment: client_deployment.Deployment) -> list[str]:
    """A caller gets the outcome not-run for a request that has run."""
    findings = []
    ran = collections.defaultdict(set)
    for run in deployment.records.runs:
        ran[run.id].add(run.attempt)
    for attempt in deployment.records.attempts:
        # Only attempts up to this one count: a later attempt is a new request, whose run breaks no promise.
        has_run = any(number <= attempt.number for number in ran[attempt.id])
        if attempt.outcome == 'not-run' and attempt.is_complete and has_run:
            findings.append(
                f'{attempt.id} attempt {attempt.number} got not-run at {seconds(attempt.responded_at)},'
                f' ran as {sorted(ran[attempt.id])}'
            )
    for reply in deployment.records.responses:
        if reply.outcome == 'not-run' and any(number <= reply.attempts for number in ran[reply.id]):
            findings.append(f'{reply.id} ended as not-run, ran as {sorted(ran[reply.id])}')
    return findings


@check('wrong-outcome')
def wrong_outcome(deployment: client_deployment.Deployment) -> list[str]:
    """A response with the outcome ran is incomplete or belongs to another request.

    This holds for every status, and for callers without a seal too.
    """
    findings = []
    records = deployment.records
    runs = {(run.id, run.incarnation) for run in records.runs}
    for row in records.attempts + records.responses:
        # Statuses given by the system itself are skipped: with 409 an endpoint says that the id ran there before.
        if row.outcome != 'ran' or row.status == 409:
            continue
        try:
            body = json.loads(row.body)
        except ValueError:
            findings.append(f'{row.id}: altered or truncated response with status {row.status} passed as complete')
            continue
        is_of_request = body.get('id') == row.id and body.get('service') == row.service
        if not is_of_request or (row.id, body.get('by')) not in runs:
            findings.append(f'{row.id}: got the response of another request or of no known run: {body}')
    return findings


def drained_at(deployment: client_deployment.Deployment) -> dict[str, datetime.timedelta]:
    """Return when the drain or shutdown of each incarnation was first acknowledged."""
    times: dict[str, datetime.timedelta] = {}
    for change in deployment.records.states:
        times.setdefault(change.incarnation, change.acknowledged_at)
    return times


@check('drained-reached')
def drained_reached(deployment: client_deployment.Deployment) -> list[str]:
    """A drained endpoint is reached later than MAX_REACHABLE_AFTER_END after the acknowledgement."""
    return reached_since(deployment, drained_at(deployment), 'it drained')


@check('gone-reached')
def removed_reached(deployment: client_deployment.Deployment) -> list[str]:
    """A removed endpoint is reached later than MAX_REACHABLE_AFTER_END after the removal.

    An incarnation is removed once the status page or a 410 says so; its process may still run.
    """
    return reached_since(deployment, deployment.records.removed, 'it was removed')


def reached_since(
    deployment: client_deployment.Deployment, times: dict[str, datetime.timedelta], event: str
) -> list[str]:
    """Return a finding for each arrival at an incarnation more than the bound after its time in `times`."""
    return [
        f'{arrival.id} reached {arrival.target_incarnation} {seconds(arrival.at - times[arrival.target_incarnation])} after {event}'
        for arrival in deployment.records.arrivals
        if arrival.target_incarnation in times
        and arrival.at > times[arrival.target_incarnation] + MAX_REACHABLE_AFTER_END
    ]


@check('newcomer-reached')
def new_process_reached(deployment: client_deployment.Deployment) -> list[str]:
    """A request reaches a new process that has the address of the endpoint that it was sent to."""
    return [
        f'{arrival.id} meant for {arrival.target_incarnation} reached the new process {arrival.incarnation} at {arrival.address}'
        for arrival in deployment.records.arrivals
        if arrival.is_unknown_target
    ]


@check('cold-overrun')
def warm_up_overrun(deployment: client_deployment.Deployment) -> list[str]:
    """An endpoint that is warming up gets more than MAX_WARM_UP_RATIO times its capacity.

    A single request never counts: at small sizes it can't be told from rounding.
    """
    return [
        f'{arrival.incarnation} ran {arrival.running} at once, capacity {arrival.capacity:.2f}'
        for arrival in deployment.records.arrivals
        if arrival.running > max(1, MAX_WARM_UP_RATIO * arrival.capacity)
    ]


class RetryWindow(typing.NamedTuple):
    """The number of arrivals of a service, and of retries, in the window that ends with one of them."""

    service: str
    at: datetime.timedelta
    retries: int
    total: int

    def excess(self) -> float:
        """Return the number of retries above the allowed share of all arrivals."""
        return self.retries - MAX_RETRY_SHARE * self.total


def retry_windows(deployment: client_deployment.Deployment) -> typing.Iterator[RetryWindow]:
    """Yield a RetryWindow for each arrival."""
    seen = set()
    by_service = collections.defaultdict(list)
    for arrival in deployment.records.arrivals:
        by_service[arrival.service].append((arrival.at, arrival.attempt > 1 or arrival.id in seen))
        seen.add(arrival.id)
    for service, rows in by_service.items():
        first = retries = 0
        for last, (at, is_retry) in enumerate(rows):
            retries += is_retry
            while rows[first][0] <= at - RETRY_WINDOW:
                retries -= rows[first][1]
                first += 1
            yield RetryWindow(service, at, retries, last - first + 1)


@check('repeats')
def retries(deployment: client_deployment.Deployment) -> list[str]:
    """Retries exceed their share and allowance in some window; only the first window of each service is reported."""
    findings: dict[str, str] = {}
    allowance = deployment.world.settings.repeat_allowance
    for window in retry_windows(deployment):
        if window.retries > MAX_RETRY_SHARE * window.total + allowance:
            text = (
                f'{window.service}: {window.retries} retries of {window.total} in the 10 s before {seconds(window.at)}'
            )
            findings.setdefault(window.service, text)
    return list(findings.values())


def region_of(zone: str) -> str:
    """Return the region of a zone."""
    return zone.split('/')[0]


def zones_of_proxies(deployment: client_deployment.Deployment) -> dict[str, str]:
    """Return the zone of each proxy, by its HTTP address."""
    return {node.location.http: node.location.cell for node in deployment.world.of('prox')}


@check('home-regions')
def allowed_regions(deployment: client_deployment.Deployment) -> list[str]:
    """A request with home regions runs outside them, passes a proxy outside them, or gets a response from outside."""
    findings = []
    zones = zones_of_proxies(deployment)
    ran_in = {(run.id, run.incarnation): run.zone for run in deployment.records.runs}
    for arrival in deployment.records.arrivals:
        if arrival.home and region_of(arrival.zone) not in arrival.home:
            findings.append(f'{arrival.id} of {arrival.home} ran in {arrival.zone}')
    for attempt in deployment.records.attempts:
        if not attempt.home or attempt.outcome != 'ran':
            continue
        if region_of(zones[attempt.proxy]) not in attempt.home:
            findings.append(f'{attempt.id} of {attempt.home} passed a proxy in {zones[attempt.proxy]}')
        try:
            ran = ran_in.get((attempt.id, json.loads(attempt.body).get('by')))
        except ValueError:
            continue
        if ran and region_of(ran) not in attempt.home:
            findings.append(f'{attempt.id} of {attempt.home} got a response of a run in {ran}')
    return findings


MAX_RECOVERY_TIME = ms(15000)


def undisturbed_losses(deployment: client_deployment.Deployment) -> list[actor_records.Loss]:
    """Return the losses after which no new fault began until service must be back (MAX_RECOVERY_TIME)."""
    records = deployment.records
    return [
        loss
        for loss in records.losses
        if not any(loss.at <= begin < loss.at + MAX_RECOVERY_TIME for begin in records.begins)
    ]


@check('service-back')
def service_back(deployment: client_deployment.Deployment) -> list[str]:
    """A service, or most requests, do not run within 15 s after all that a fault took away, and that may return, is back.

    Requests whose home regions have no endpoint of their service left are not counted: they may be served nowhere else.
    """
    findings = []
    records = deployment.records
    last_sent_at = max((reply.sent_at for reply in records.responses), default=ms(0))
    for loss in undisturbed_losses(deployment):
        # If no requests were sent for part of this time, missing runs prove nothing.
        if last_sent_at < loss.at + ms(14000):
            continue
        for service in sorted(deployment.shape['services']):
            if not any(
                run.service == service and loss.at < run.at <= loss.at + MAX_RECOVERY_TIME for run in records.runs
            ):
                findings.append(f'no request to {service} ran within 15 s of {loss.fault} at {seconds(loss.at)}')
        late_runs = [
            reply.outcome == 'ran'
            for reply in records.responses
            if loss.at + ms(10000) < reply.sent_at <= loss.at + ms(14000) and loss.can_serve(reply)
        ]
        if len(late_runs) >= 20 and sum(late_runs) < 0.8 * len(late_runs):
            findings.append(
                f'{sum(late_runs)} of {len(late_runs)} requests ran 10 to 14 s after {loss.fault} at {seconds(loss.at)}'
            )
    return findings
