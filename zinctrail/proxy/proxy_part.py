"""The base class of the parts of a proxy, and the interface of the node through which they reach each other."""

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
    """The interface of the proxy's node (node.py) for its parts."""

    node: str
    # The time of the input that is being handled, and the effects that it has produced so far.
    now: datetime.timedelta
    out: list
    timers: dict[str, datetime.timedelta]
    rng: random.Random
    location: node_location.NodeLocation
    settings: settings.Settings
    # This proxy's replica of the state, and the routing table derived from it.
    replica: replica.Replica
    routes: routing_table.RoutingTable
    leader: messages.LeaderRow | None
    # Whether the process was asked to stop.
    stopping: bool
    # Counters for the metrics and the status page, by the name of the event.
    counts: collections.Counter[str]
    request_sampler: request_sampling.RequestSampler
    # The parts (described in node.py).
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

    def has_lease(self) -> bool:
        """True if this proxy has a lease on its replica, and so may act on it."""

    def next_number(self) -> int:
        """Return a number that is unique within this process."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or reset it if it is already set."""

    def set_timer_by(self, name: str, at: datetime.timedelta) -> None:
        """Set a timer to fire at `at` at the latest."""

    def begin_stop(self) -> None:
        """Record that the process was asked to stop."""

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
        """Log a sentence; `event` names the kind of event, and `fields` are structured details to search for."""

    def other_proxies(self, allowed_regions: tuple[str, ...]) -> list[str]:
        """Return HTTP addresses of other proxies that a refused caller may try."""


class ProxyPart:
    """The base class of a part of a proxy; a part owns its fields and reaches the node and other parts by `proxy`."""

    def __init__(self, proxy: ProxyNode) -> None:
        self.proxy = proxy


def endpoint_row(proxy: ProxyNode, incarnation: str) -> rows.EndpointRow:
    """Return the row of an endpoint; the endpoint must exist in the current state."""
    row = proxy.routes.endpoint(incarnation)
    assert row is not None
    return row


# A pipeline stage: returns GO or WAIT (request.py), or raises a Refusal.
Stage = typing.Callable[[ProxyNode, 'request_record.Request'], bool]
