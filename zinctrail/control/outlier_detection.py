"""Outlier detection: which endpoints are ejected, by what all proxies saw them do.

An endpoint's health check may be wrong either way, and one proxy among many
meets an endpoint too seldom to judge it alone. Proxies report failures, the
leader adds them up, and an ejected endpoint has a row in table `doubts` of the
routes. An ejection ends by itself, and never more than a fraction of a service's
endpoints are ejected, so that wrong reports can't empty a service
(docs/notes/outlier-detection.md).
"""

import collections
import datetime
import typing

import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.consensus.transactions as transactions
import zinctrail.control.controller_part as controller_part
import zinctrail.control.replies as replies
import zinctrail.control.rows as rows
import zinctrail.runtime.durations as durations

# The rows of ejected endpoints, by incarnation.
TABLE = 'doubts'
# How long a report counts.
WINDOW = durations.ms(2500)
# What an ejection takes: so many failures, from so many proxies, and such a ratio of failures to all results.
MIN_FAILURES = 3
MIN_REPORTERS = 2
MIN_FAILURE_RATIO = 0.3
# Of a service's endpoints, one in so many may be ejected at once.
ENDPOINTS_PER_EJECTION = 4
# How long an ejection lasts. It is doubled each time the endpoint is ejected again, up to the most; how long after
# an ejection's end another one counts as again.
BASE_EJECTION_DURATION, MAX_EJECTION_DURATION = durations.ms(3000), durations.ms(12000)
REPEATED_EJECTION_WINDOW = durations.ms(10000)
# How many reports are kept of an endpoint.
MAX_REPORTS = 256


class Report(typing.NamedTuple):
    """What one proxy counted at an endpoint since its report before."""

    at: datetime.timedelta
    proxy: str
    served: int
    failed: int


class Ejection(typing.NamedTuple):
    """An ejection, which may be over."""

    until: datetime.timedelta
    duration: datetime.timedelta


class OutlierDetector:
    """The leader's judgement; it forgets everything when another node leads."""

    def __init__(self):
        self.reports: dict[str, collections.deque[Report]] = {}
        # The last ejection of each endpoint; kept for REPEATED_EJECTION_WINDOW after its end.
        self.ejections: dict[str, Ejection] = {}

    def record(self, now: datetime.timedelta, proxy: str, counts: dict[str, list[int]]) -> None:
        """Take a proxy's report: {incarnation: [served, failed]} since its last one."""
        for incarnation, (served, failed) in counts.items():
            reports = self.reports.setdefault(incarnation, collections.deque(maxlen=MAX_REPORTS))
            reports.append(Report(now, proxy, served, failed))

    def evaluate(self, now: datetime.timedelta, endpoints: dict[str, rows.EndpointRow], proxies: int) -> set[str]:
        """The incarnations that are ejected from now on; `proxies` is how many there are."""
        self._forget(now, endpoints)
        ejected = {i for i, ejection in self.ejections.items() if ejection.until > now}
        outliers = self._outliers(ejected, proxies)
        sizes = collections.Counter(endpoint['service'] for endpoint in endpoints.values())
        ejected_of_service = collections.Counter(endpoints[i]['service'] for i in ejected)
        for _, incarnation in sorted(outliers):
            service = endpoints[incarnation]['service']
            if ejected_of_service[service] >= sizes[service] // ENDPOINTS_PER_EJECTION:
                continue
            ejected_of_service[service] += 1
            self._eject(now, incarnation)
            ejected.add(incarnation)
        return ejected

    def _forget(self, now: datetime.timedelta, endpoints: dict[str, rows.EndpointRow]) -> None:
        """Drop what no longer counts, and all of endpoints that are gone."""
        for incarnation in [i for i in self.reports if i not in endpoints]:
            del self.reports[incarnation]
        for incarnation, ejection in list(self.ejections.items()):
            if incarnation not in endpoints or ejection.until + REPEATED_EJECTION_WINDOW <= now:
                del self.ejections[incarnation]
        for incarnation, reports in list(self.reports.items()):
            while reports and reports[0].at <= now - WINDOW:
                reports.popleft()
            if not reports:
                del self.reports[incarnation]

    def _outliers(self, ejected: set[str], proxies: int) -> list[tuple[float, str]]:
        """[(minus the failure ratio, incarnation)] of those that their reports speak against."""
        outliers = []
        for incarnation, reports in self.reports.items():
            failed = sum(report.failed for report in reports)
            results = failed + sum(report.served for report in reports)
            if (
                incarnation not in ejected
                and failed >= MIN_FAILURES
                and failed >= MIN_FAILURE_RATIO * results
                and len({report.proxy for report in reports}) >= min(MIN_REPORTERS, proxies)
            ):
                outliers.append((-failed / results, incarnation))
        return outliers

    def _eject(self, now: datetime.timedelta, incarnation: str) -> None:
        duration = BASE_EJECTION_DURATION
        if incarnation in self.ejections:
            duration = min(MAX_EJECTION_DURATION, self.ejections[incarnation].duration * 2)
        self.ejections[incarnation] = Ejection(now + duration, duration)
        # It is judged anew by what it does from now on.
        del self.reports[incarnation]


class OutlierEjection(controller_part.ControllerPart):
    """Keeps the rows of ejected endpoints while this node leads."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        self.detector = OutlierDetector()

    def start(self) -> None:
        """This node leads now, and has no reports of its own yet."""
        self.detector = OutlierDetector()

    def on_endpoint_failures(self, message: traffic_messages.EndpointFailures) -> None:
        """A proxy reports endpoints whose requests failed there."""
        if not self.controller.is_leader:
            return
        proxy = controller_part.sender_of(message).node
        if proxy in self.controller.peers:
            self.detector.record(self.controller.now, proxy, message.endpoints)
        self.update()

    def update(self) -> None:
        """Bring the rows of ejected endpoints up to date."""
        controller = self.controller
        ejected = self.detector.evaluate(
            controller.now, controller.replica.get('endpoints'), len(controller.routes.members(member_roles.PROXY))
        )
        is_unchanged = ejected == set(controller.replica.get(TABLE))
        if is_unchanged or controller.replica.committed[0] != controller.term:
            return

        def update(txn: transactions.Transaction) -> replies.Result:
            endpoints = txn.items('endpoints')
            for incarnation in set(txn.items(TABLE)) - ejected:
                txn.drop(TABLE, incarnation)
            for incarnation in sorted(ejected & set(endpoints)):
                txn.put(TABLE, incarnation, 1)
            return replies.ok()

        controller.submit(update, controller_part.ignore_result)
