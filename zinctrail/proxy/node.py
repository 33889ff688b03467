"""The proxy's state machine: the parts that serve requests, based on a member's replica of the state."""

import datetime
import random
import typing

import zinctrail.consensus.member as member
import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.control.http_api as http_api
import zinctrail.control.routing_table as routing_table
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
import zinctrail.proxy.request_metrics as request_metrics
import zinctrail.proxy.request_runner as request_runner
import zinctrail.proxy.retry_budget as retry_budget
import zinctrail.proxy.shutdown as shutdown
import zinctrail.proxy.slow_start as slow_start
import zinctrail.proxy.status_pages as status_pages
import zinctrail.proxy.upstream as upstream
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

# The most other proxies that a refusal names.
MAX_OTHER_PROXIES = 5


class Proxy(member.Member):
    """A member that is a proxy: dispatches inputs, frames and timers to the parts that serve requests."""

    role = member_roles.PROXY
    prefix = 'prox'
    # Its operations are `claim` and `close`, one of each for a request. A nonce identifies the copies of an operation
    # at any time, so that no heartbeat round is needed for it.
    sends_last_round = False

    def __init__(self, location: node_location.NodeLocation, bounds: settings.Settings, rng: random.Random):
        super().__init__(location, bounds, rng)
        self.routes = routing_table.RoutingTable(self.replica)
        # The last number that `next_number` returned.
        self.last_number = 0
        # Pending requests, and the pipeline stages that they go through.
        self.runner = request_runner.RequestRunner(self)
        # The retry budget of each service.
        self.retry_budgets = retry_budget.RetryBudgets(self)
        # Claims of at-most-once requests, and their stored results.
        self.at_most_once = at_most_once.AtMostOnce(self)
        # Leased credit at the endpoints of each pool, and the requests that wait for it.
        self.credit = credit.CreditLeases(self)
        # Clients' requests at endpoints, and the responses to clients.
        self.upstream = upstream.Upstream(self)
        self.client_responses = client_responses.ClientResponses(self)
        # Open traffic: requests that wait for a lease or for room, and endpoint selection with slow start.
        self.open_queue = open_queue.OpenQueue(self)
        self.endpoint_selection = endpoint_selection.EndpointSelection(self)
        self.slow_start = slow_start.SlowStart(self)
        # Open traffic: requests at endpoints, hedges of slow ones, and the responses to callers.
        self.open_upstream = open_upstream.OpenUpstream(self)
        self.hedging = hedging.Hedging(self)
        self.open_responses = open_responses.OpenResponses(self)
        # Callers that disconnect before their response.
        self.client_disconnects = client_disconnects.ClientDisconnects(self)
        # Open traffic: failures that are reported to the leader, and limits that are passed to the server.
        self.outlier_reports = outlier_reports.OutlierReports(self)
        self.client_limits = client_limits.ClientLimits(self)
        # Counters and latencies of requests, for the metrics page and the log.
        self.request_metrics = request_metrics.RequestMetrics(self)
        # Readiness and graceful shutdown.
        self.shutdown = shutdown.Shutdown(self)

    def on_start(self) -> None:
        """Input: the process starts."""
        super().on_start()
        self.retry_budgets.start()
        self.set_timer('demand', self.settings.demand)

    def on_stop(self) -> None:
        """Input: the process was asked to stop."""
        self.shutdown.begin()

    # -- shared by its parts --------------------------------------------------

    def next_number(self) -> int:
        """Return a number that is unique within this process, for fetches, claims, queries and credit requests."""
        self.last_number += 1
        return self.last_number

    def set_timer_by(self, name: str, at: datetime.timedelta) -> None:
        """Set a timer to fire at `at` at the latest; a timer that is set to fire earlier is left as it is."""
        self.timers[name] = min(at, self.timers.get(name, at))

    # -- calls of the HTTP interface and of open traffic ----------------------

    def on_http(self, call_id: typing.Any, call: effects.HttpRequest) -> None:
        """Input: a call of the HTTP interface, a status page or a client's request."""
        page = status_pages.PAGES.get(call.path)
        if page is not None:
            self.out.append(http_api.to_response(call_id, page(self)))
            return
        self.runner.begin_client_request(call_id, call)

    def on_front(self, call_id: typing.Any, call: effects.HttpRequest) -> None:
        """Input: a request of open traffic."""
        self.runner.begin_open_request(call_id, call)

    def on_hung_up(self, call_id: typing.Any) -> None:
        """Input: the caller disconnected before its response."""
        self.client_disconnects.handle_disconnect(call_id)

    # -- frames and fetches, as they come in --------------------------------

    def on_result_request(self, message: traffic_messages.ResultRequest) -> None:
        """Frame: another proxy queries the result of a request id."""
        self.at_most_once.handle_result_request(message)

    def on_result_response(self, message: traffic_messages.ResultResponse) -> None:
        """Frame: the response to a result query, from the proxy that owns the claim."""
        self.at_most_once.handle_result_response(message)

    def on_credit_grant(self, message: traffic_messages.CreditGrant) -> None:
        """Frame: a grant of a pool's credit ledger."""
        self.credit.handle_grant(message)

    def on_credit_collection(self, message: traffic_messages.CreditCollection) -> None:
        """Frame: a new credit ledger queries the credit that this proxy holds."""
        self.credit.handle_collection(message)

    def on_fetched(self, fetch_id: int, result: effects.HttpResult) -> None:
        """Input: a fetch ended."""
        if fetch_id in self.open_upstream.fetches:
            self.open_upstream.handle_fetch_result(fetch_id, result)
        elif fetch_id in self.upstream.fetches:
            self.upstream.handle_fetch_result(fetch_id, result)
        # Any other fetch was cancelled while its result was on its way.

    # -- timers -------------------------------------------------------------

    def timer_deadlines(self) -> None:
        """Timer: a request may have reached its deadline."""
        self.runner.expire_requests()

    def timer_demand(self) -> None:
        """Timer: the demand for credit is reported."""
        self.credit.report_demand()

    def timer_credit_requests(self) -> None:
        """Timer: credit may be requested again for the queued requests."""
        self.credit.request_credit_for_queues()

    def timer_reserved_slots(self) -> None:
        """Timer: the reservation of a slot whose response was lost may have expired."""
        self.upstream.release_reserved_slots()

    def timer_queued(self) -> None:
        """Timer: queued requests of open traffic are tried again."""
        self.open_queue.run_queued()

    def timer_hedge(self) -> None:
        """Timer: a request of open traffic may be due for a hedge."""
        self.hedging.send_due_hedges()

    def timer_failure_report(self) -> None:
        """Timer: the collected failures of endpoints are reported."""
        self.outlier_reports.send_report()

    def timer_drain(self) -> None:
        """Timer: the shutdown checks whether any requests are pending."""
        self.shutdown.drain()

    def ready(self) -> tuple[bool, str]:
        """Return (whether traffic may be sent to this proxy, the reason if not)."""
        return self.shutdown.ready()

    def measures(self) -> typing.Iterator[tuple]:
        """Yield the metrics of the process (runtime/metrics.py)."""
        yield from super().measures()
        yield from self.request_metrics.rows()
        yield from self.client_disconnects.rows()

    def applied(self, rows: list | None) -> None:
        """Update all parts after a new version of the state; `rows` are the changed rows, None: all of them."""
        self.routes.invalidate()
        self.endpoint_selection.discard_candidates()
        self.slow_start.update()
        self.client_limits.update()
        self.endpoint_selection.discard_removed_views()
        self.retry_budgets.observe_proxies()
        self.upstream.discard_removed_endpoints()
        self.at_most_once.discard_old_results()
        for key in self.replica.get('duties'):
            pool = key.removeprefix('keeper/')
            self.credit.request_credit(pool, credit.REQUEST_INTERVAL)
            self.credit.retry_queued(pool)

    def other_proxies(self, allowed_regions: tuple) -> list[str]:
        """Return HTTP addresses of other proxies that a refused caller may try."""
        addresses = [
            row['http']
            for node, row in self.routes.members(member_roles.PROXY).items()
            if node != self.node
            and not row.get('leaving')
            and not self.routes.is_evacuated(row['cell'])
            and (not allowed_regions or self.routes.region_of(row['cell']) in allowed_regions)
        ]
        return sorted(addresses)[:MAX_OTHER_PROXIES]

    def status(self) -> dict:
        """Return the JSON of /v1/self; its field names are part of the HTTP interface."""
        status = super().status()
        status.update(
            table=len(self.runner.requests),
            kept=len(self.at_most_once.stored_results),
            counts=dict(self.counts),
            held=len(self.upstream.reserved_slots),
            # The retry budget of each service: the retries earned by first attempts and not spent, and the retries
            # that were sent out of the fixed allowance within the window.
            repeats={
                name: {'paid': round(budget.earned, 1), 'lent': len(budget.borrowed)}
                for name, budget in self.retry_budgets.budgets.items()
            },
            pools={
                name: {
                    'fence': pool.fencing_token,
                    'granted': sum(pool.grants.values()) if pool.lease_until > self.now else 0,
                    'use': sum(pool.in_use.values()),
                    'queue': len(pool.queue),
                }
                for name, pool in self.credit.pools.items()
            },
        )
        return status
