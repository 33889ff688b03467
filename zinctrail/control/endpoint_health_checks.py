"""Health checks of endpoints that missed heartbeats or are suspected, before they are removed.

The leader assigns each health check to one control node, spread by a hash over
the reachable ones, and reassigns it to another if there is no result in time.
"""

import collections.abc
import dataclasses
import datetime
import hashlib
import typing

import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.consensus.transactions as transactions
import zinctrail.control.controller_part as controller_part
import zinctrail.control.replies as replies
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

# The health check path of an endpoint that does not use the zinctrail library, unless its pool sets another path.
DEFAULT_HEALTH_PATH = '/health'
LIBRARY_HEALTH_PATH = '/zt/live'
# A control node counts as reachable if its last response is no older than this many heartbeat intervals.
REACHABLE_INTERVALS = 2
# A health check without a result after this many times its timeout is reassigned to another node.
RESULT_TIMEOUTS = 2
# An endpoint is alive if its last heartbeat is no older than this many of its heartbeat intervals.
ALIVE_INTERVALS = 1.5


class HealthCheckResult(typing.NamedTuple):
    """The result of a health check."""

    is_healthy: bool
    # Whether the incarnation certainly does not run there: the connection is refused, or another incarnation responds.
    is_refused: bool


@dataclasses.dataclass
class HealthCheck:
    """A health check that the leader has assigned to a control node."""

    number: int
    started_at: datetime.timedelta
    checker: str
    # The control nodes that it was assigned to before and that returned no result in time.
    earlier_checkers: list[str]


@dataclasses.dataclass
class HealthCheckCall:
    """A health check that this node is making."""

    incarnation: str
    # Whether the endpoint does not use the zinctrail library.
    is_plain: bool
    callback: collections.abc.Callable[[HealthCheckResult], None]


class EndpointHealthChecks(controller_part.ControllerPart):
    """Assigns and makes health checks, and applies their results."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        # While this node is the leader: {incarnation: its health check}.
        self.checks: dict[str, HealthCheck] = {}
        # The health checks that this node is making: {id of the HTTP call: call}.
        self.calls: dict[int, HealthCheckCall] = {}
        self.last_fetch_id = 0

    def start(self) -> None:
        """Start as leader: assignments of an earlier term of this node do not count."""
        self.checks = {}

    # -- the leader -------------------------------------------------------

    def check_silent(self) -> None:
        """Start checks of endpoints that missed their heartbeats, and reassign overdue checks."""
        now, settings = self.controller.now, self.controller.settings
        last_seen_at = self.controller.endpoint_registry.last_seen_at
        limit = now - settings.beat * settings.beats_missed
        for incarnation in self.controller.replica.get('endpoints'):
            if last_seen_at(incarnation) < limit:
                self.start_check(incarnation)
        timeout = settings.prober * RESULT_TIMEOUTS
        overdue = [i for i, check in self.checks.items() if now - check.started_at > timeout]
        for incarnation in overdue:
            # The endpoint may be fine: the checker itself may be partitioned.
            check = self.checks[incarnation]
            self._assign(incarnation, [*check.earlier_checkers, check.checker])

    def start_check(self, incarnation: str) -> None:
        """Start a check of an endpoint, unless one is in progress."""
        if incarnation not in self.checks or self.controller.replica.get('endpoints', incarnation) is None:
            self._assign(incarnation, [])

    def _assign(self, incarnation: str, earlier_checkers: list[str]) -> None:
        controller = self.controller
        row = controller.replica.get('endpoints', incarnation)
        if row is None:
            self.checks.pop(incarnation, None)
            return
        checker = self._choose_checker(incarnation, earlier_checkers)
        controller.counts['probes'] += 1
        check = HealthCheck(controller.counts['probes'], controller.now, checker, earlier_checkers)
        self.checks[incarnation] = check
        if checker == controller.node:
            self._call_endpoint(incarnation, row['addr'], lambda result: self._apply_result(incarnation, result))
        else:
            request = traffic_messages.EndpointProbe(incarnation=incarnation, address=row['addr'], number=check.number)
            controller.send_message(controller.peers[checker].address, request)

    def _choose_checker(self, incarnation: str, earlier_checkers: list[str]) -> str:
        controller = self.controller
        last_seen_limit = controller.now - controller.settings.check * REACHABLE_INTERVALS
        nodes = [controller.node]
        nodes += [
            node
            for node, peer in controller.peers.items()
            if peer.role == member_roles.CONTROL_NODE and peer.last_seen_at >= last_seen_limit
        ]
        nodes = [node for node in nodes if node not in earlier_checkers] or nodes
        return min(nodes, key=lambda node: hashlib.blake2b(f'{node}/{incarnation}'.encode()).digest())

    def on_suspected(self, message: traffic_messages.EndpointSuspected) -> None:
        """Check an endpoint at once when a proxy could not connect to it."""
        if self.controller.is_leader:
            self.start_check(message.incarnation)

    def on_probe_response(self, message: traffic_messages.EndpointProbeResponse) -> None:
        """Apply the result of a health check that another control node made."""
        check = self.checks.get(message.incarnation)
        if check is None or check.checker != controller_part.sender_of(message).node:
            return
        # The result of an earlier check is outdated; its checker may have been partitioned.
        if message.number is not None and message.number != check.number:
            return
        if self.controller.is_leader:
            self._apply_result(
                message.incarnation, HealthCheckResult(message.is_healthy, message.is_connection_refused)
            )

    def _apply_result(self, incarnation: str, result: HealthCheckResult) -> None:
        if self.checks.pop(incarnation, None) is None or not self.controller.is_leader:
            return
        if result.is_healthy:
            self.controller.endpoint_registry.last_heartbeats[incarnation] = self.controller.now
        elif result.is_refused or not self._sends_plain_heartbeats(incarnation):
            self._drop_endpoint(incarnation)

    def _sends_plain_heartbeats(self, incarnation: str) -> bool:
        """True if an endpoint without the zinctrail library still sends heartbeats.

        A health check needs a free slot at such an endpoint, so that a saturated
        endpoint responds as little as a dead one.
        """
        controller = self.controller
        row = controller.replica.get('endpoints', incarnation) or {}
        limit = controller.now - controller.settings.beat * ALIVE_INTERVALS
        last_heartbeat = controller.endpoint_registry.last_heartbeats.get(incarnation, durations.ZERO)
        return bool(row.get('plain')) and last_heartbeat > limit

    def _drop_endpoint(self, incarnation: str) -> None:
        self.controller.log(
            f'Endpoint {incarnation} is removed: its health check failed.', 'endpoint-gone', inc=incarnation
        )

        def drop(txn: transactions.Transaction) -> replies.Result:
            self.controller.endpoint_registry.remove_endpoint(txn, incarnation)
            return replies.ok()

        self.controller.submit(drop, controller_part.ignore_result)

    # -- the control node that makes the check ----------------------------

    def on_probe(self, message: traffic_messages.EndpointProbe) -> None:
        """Make a health check at the leader's request, and send it the result."""

        def respond(result: HealthCheckResult) -> None:
            response = traffic_messages.EndpointProbeResponse(
                incarnation=message.incarnation,
                is_healthy=result.is_healthy,
                is_connection_refused=result.is_refused,
                number=message.number,
            )
            self.controller.send_message(controller_part.sender_of(message).address, response)

        self._call_endpoint(message.incarnation, message.address, respond)

    def _call_endpoint(
        self, incarnation: str, address: str, callback: collections.abc.Callable[[HealthCheckResult], None]
    ) -> None:
        self.last_fetch_id += 1
        row = self.controller.replica.get('endpoints', incarnation) or {}
        is_plain = bool(row.get('plain'))
        if is_plain:
            path = (self.controller.routes.item(f'pools/{row["service"]}') or {}).get('health') or DEFAULT_HEALTH_PATH
            headers = {'host': address}
        else:
            path, headers = LIBRARY_HEALTH_PATH, {'zt-inc': incarnation}
        self.calls[self.last_fetch_id] = HealthCheckCall(incarnation, is_plain, callback)
        self.controller.out.append(
            effects.HttpFetch(
                self.last_fetch_id,
                address,
                incarnation,
                'GET',
                path,
                headers,
                b'',
                self.controller.settings.prober,
                plain=is_plain,
            )
        )

    def on_fetched(self, fetch_id: int, response: effects.HttpResult) -> None:
        """Handle the response to the HTTP call of a health check."""
        call = self.calls.pop(fetch_id)
        call.callback(_result_of(call, response))


def _result_of(call: HealthCheckCall, response: effects.HttpResult) -> HealthCheckResult:
    # A new incarnation on the same address responds too, but it is not the one being checked.
    responding_incarnation = response.headers.get('zt-inc')
    if call.is_plain and not response.fault:
        # Any response shows that the endpoint is alive. Its reported health may be wrong; outlier detection judges it.
        is_expected = responding_incarnation in (call.incarnation, None, '')
        return HealthCheckResult(is_expected, not is_expected)
    is_healthy = response.status == 200 and responding_incarnation == call.incarnation
    return HealthCheckResult(is_healthy, 'ConnectionRefused' in response.fault)
