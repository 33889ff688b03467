"""Outlier detection: ejects endpoints by the failures that all proxies report.

An endpoint's health check may have false positives and false negatives, and one
of many proxies sends an endpoint too few requests to judge it alone. Proxies
report failures, the leader aggregates them, and an ejected endpoint has a row in
table `doubts` of the routes. An ejection expires by itself, and only a fraction of
a service's endpoints is ejected at a time, so that wrong reports cannot take a
service out (docs/notes/outlier-detection.md).
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

# The table of ejected endpoints, keyed by incarnation.
TABLE = 'doubts'
# The sliding window in which reports count.
WINDOW = durations.ms(2500)
# The thresholds of an ejection: the failures, the proxies that report them, and the ratio of failures to all results.
MIN_FAILURES = 3
MIN_REPORTERS = 2
MIN_FAILURE_RATIO = 0.3
# At most one in this many of a service's endpoints is ejected at a time.
ENDPOINTS_PER_EJECTION = 4
# The duration of an endpoint's first ejection; it doubles with each repeated ejection, up to the maximum. An ejection
# counts as repeated if it comes within the window after the end of the last one.
BASE_EJECTION_DURATION, MAX_EJECTION_DURATION = durations.ms(3000), durations.ms(12000)
REPEATED_EJECTION_WINDOW = durations.ms(10000)
# The maximum number of reports stored per endpoint.
MAX_REPORTS = 256


class Report(typing.NamedTuple):
    """One proxy's counts of requests to an endpoint since its previous report."""

    at: datetime.timedelta
    proxy: str
    served: int
    failed: int


class Ejection(typing.NamedTuple):
    """An ejection, current or past."""

    ends_at: datetime.timedelta
    duration: datetime.timedelta


class OutlierDetector:
    """Decides on ejections from aggregated reports; each leader starts with an empty one."""

    def __init__(self):
        self.reports: dict[str, collections.deque[Report]] = {}
        # The last ejection of each endpoint; stored for REPEATED_EJECTION_WINDOW after its end.
        self.ejections: dict[str, Ejection] = {}

    def record(self, now: datetime.timedelta, proxy: str, counts: dict[str, list[int]]) -> None:
        """Record a proxy's report: {incarnation: [served, failed]} since its previous one."""
        for incarnation, (served, failed) in counts.items():
            reports = self.reports.setdefault(incarnation, collections.deque(maxlen=MAX_REPORTS))
            reports.append(Report(now, proxy, served, failed))

    def evaluate(self, now: datetime.timedelta, endpoints: dict[str, rows.EndpointRow], proxies: int) -> set[str]:
        """Return the incarnations that are ejected as of now; `proxies` is the number of proxies."""
        self._drop_expired(now, endpoints)
        ejected = {i for i, ejection in self.ejections.items() if ejection.ends_at > now}
        outliers = self._outliers(ejected, proxies)
        service_sizes = collections.Counter(endpoint['service'] for endpoint in endpoints.values())
        ejected_of_service = collections.Counter(endpoints[i]['service'] for i in ejected)
        for _, incarnation in sorted(outliers):
            service = endpoints[incarnation]['service']
            if ejected_of_service[service] >= service_sizes[service] // ENDPOINTS_PER_EJECTION:
                continue
            ejected_of_service[service] += 1
            self._eject(now, incarnation)
            ejected.add(incarnation)
        return ejected

    def _drop_expired(self, now: datetime.timedelta, endpoints: dict[str, rows.EndpointRow]) -> None:
        """Drop expired reports and ejections, and those of removed endpoints."""
        for incarnation in [i for i in self.reports if i not in endpoints]:
            del self.reports[incarnation]
        for incarnation, ejection in list(self.ejections.items()):
            if incarnation not in endpoints or ejection.ends_at + REPEATED_EJECTION_WINDOW <= now:
                del self.ejections[incarnation]
        for incarnation, reports in list(self.reports.items()):
            while reports and reports[0].at <= now - WINDOW:
                reports.popleft()
            if not reports:
                del self.reports[incarnation]

    def _outliers(self, ejected: set[str], proxies: int) -> list[tuple[float, str]]:
        """Return [(negated failure ratio, incarnation)] of the endpoints whose reports exceed the thresholds."""
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
        # After the ejection the endpoint is judged by new reports only.
        del self.reports[incarnation]


class OutlierEjection(controller_part.ControllerPart):
    """Updates the rows of ejected endpoints while this node is the leader."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        self.detector = OutlierDetector()

    def start(self) -> None:
        """Start as leader, without reports."""
        self.detector = OutlierDetector()

    def on_endpoint_failures(self, message: traffic_messages.EndpointFailures) -> None:
        """Record a proxy's report of endpoints at which requests failed."""
        if not self.controller.is_leader:
            return
        proxy = controller_part.sender_of(message).node
        if proxy in self.controller.peers:
            self.detector.record(self.controller.now, proxy, message.endpoints)
        self.update()

    def update(self) -> None:
        """Update the rows of ejected endpoints if they changed."""
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
