"""What the parts of a proxy have in common: the node as they see it, and how they reach each other."""

import collections
import datetime
import random
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.messages as messages
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.control.routing_table as routing_table
import zinctrail.control.rows as rows
import zinctrail.runtime.request_sampling as request_sampling
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.proxy.at_most_once as at_most_once
    import zinctrail.proxy.client_disconnects as client_disconnects
    import zinctrail.proxy.client_limits as client_limits
    import zinctrail.proxy.client_responses as client_responses
    import zinctrail.proxy.credit as credit
    import zinctrail.proxy.endpoint_selection as endpoint_selection
    import zinctrail.proxy.hedging as hedging
    import zinctrail.proxy.open_queue as open_queue
    import zinctrail.proxy.open_responses as open_responses
    import zinctrail.proxy.open_upstream as open_upstream
    import zinctrail.proxy.outlier_reports as outlier_reports
    import zinctrail.proxy.request as request_record
    import zinctrail.proxy.request_metrics as request_metrics
    import zinctrail.proxy.request_runner as request_runner
    import zinctrail.proxy.retry_budget as retry_budget
    import zinctrail.proxy.shutdown as shutdown
    import zinctrail.proxy.slow_start as slow_start
    import zinctrail.proxy.upstream as upstream


class ProxyNode(typing.Protocol):
    """What the parts of a proxy need of its node (node.py)."""

    node: str
    # The time of the input that is handled, and the effects that it has so far.
    now: datetime.timedelta
    out: list
    timers: dict[str, datetime.timedelta]
    rng: random.Random
    location: node_location.NodeLocation
    settings: settings.Settings
    # The replicated state as this proxy holds it, and the part that it routes by.
    replica: replica.Replica
    routes: routing_table.RoutingTable
    leader: messages.LeaderRow | None
    # Whether it was told to stop.
    stopping: bool
    # Counters for the metrics and the status page, by what happened.
    counts: collections.Counter[str]
    request_sampler: request_sampling.RequestSampler
    # The parts (node.py says what each is for).
    runner: 'request_runner.RequestRunner'
    retry_budgets: 'retry_budget.RetryBudgets'
    at_most_once: 'at_most_once.AtMostOnce'
    credit: 'credit.CreditLeases'
    upstream: 'upstream.Upstream'
    client_responses: 'client_responses.ClientResponses'
    open_queue: 'open_queue.OpenQueue'
    endpoint_selection: 'endpoint_selection.EndpointSelection'
    slow_start: 'slow_start.SlowStart'
    open_upstream: 'open_upstream.OpenUpstream'
    hedging: 'hedging.Hedging'
    open_responses: 'open_responses.OpenResponses'
    client_disconnects: 'client_disconnects.ClientDisconnects'
    outlier_reports: 'outlier_reports.OutlierReports'
    client_limits: 'client_limits.ClientLimits'
    request_metrics: 'request_metrics.RequestMetrics'
    shutdown: 'shutdown.Shutdown'

    def leased(self) -> bool:
        """Whether this proxy may act on the state that it holds."""

    def next_number(self) -> int:
        """A number that this process has not used before."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or move it if it is set already."""

    def set_timer_by(self, name: str, at: datetime.timedelta) -> None:
        """Have a timer fire at `at` at the latest."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message to another process."""

    def request_operation(
        self,
        operation: str,
        arguments: dict[str, typing.Any],
        callback: typing.Callable[[dict[str, typing.Any]], typing.Any],
        wait: datetime.timedelta | None = None,
    ) -> None:
        """Have the leader carry out an operation; `callback` gets its result."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence; `event` names the kind of event, `fields` are what one would search for."""

    def other_proxies(self, allowed_regions: tuple[str, ...]) -> list[str]:
        """HTTP addresses of proxies that a refused caller may try."""


class ProxyPart:
    """A part of a proxy: owns its own fields, and reaches the node and the other parts by `proxy`."""

    def __init__(self, proxy: ProxyNode) -> None:
        self.proxy = proxy


def endpoint_row(proxy: ProxyNode, incarnation: str) -> rows.EndpointRow:
    """The row of an endpoint that the state in force names."""
    row = proxy.routes.endpoint(incarnation)
    assert row is not None
    return row


# A pass of a request: returns GO or WAIT (request.py), or raises a Refusal.
Stage = typing.Callable[[ProxyNode, 'request_record.Request'], bool]
