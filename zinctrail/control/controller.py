"""The control node: a voter that, while it is the leader, makes all decisions of the control plane.

Each concern is a part in its own module, with its own fields; controller_part.py
types the interface of the node that parts use. This class starts and stops the
work that belongs to one leadership, and delegates frames and timers, whose
handlers are looked up by name, to the parts.
"""

import uuid

import zinctrail.consensus.messages as messages
import zinctrail.consensus.replica as replica
import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.consensus.transactions as transactions
import zinctrail.consensus.voter as voter
import zinctrail.control.claims as claims
import zinctrail.control.cluster_status as cluster_status
import zinctrail.control.configuration_changes as configuration_changes
import zinctrail.control.endpoint_health_checks as endpoint_health_checks
import zinctrail.control.endpoint_registry as endpoint_registry
import zinctrail.control.epochs as epochs
import zinctrail.control.evacuations as evacuations
import zinctrail.control.http_api as http_api
import zinctrail.control.leader_operations as leader_operations
import zinctrail.control.lock_expiry as lock_expiry
import zinctrail.control.outlier_detection as outlier_detection
import zinctrail.control.proxy_lookup as proxy_lookup
import zinctrail.control.recovery as recovery
import zinctrail.control.replies as replies
import zinctrail.control.routing_table as routing_table
import zinctrail.control.singleton_roles as singleton_roles
import zinctrail.control.watches as watches
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects


class Controller(
    leader_operations.LeaderOperations,
    voter.Voter,
):
    """A control node; `files` is the content of its data folder."""

    def __init__(self, location, bounds, rng, files=None):
        super().__init__(location, bounds, rng, files)
        self.routes = routing_table.RoutingTable(self.replica)
        self.http_api = http_api.HttpApi(self)
        self.endpoint_registry = endpoint_registry.EndpointRegistry(self)
        self.health_checks = endpoint_health_checks.EndpointHealthChecks(self)
        self.outlier_ejection = outlier_detection.OutlierEjection(self)
        self.singleton_roles = singleton_roles.SingletonRoles(self)
        self.epochs = epochs.Epochs(self)
        self.configuration_changes = configuration_changes.ConfigurationChanges(self)
        self.claim_service = claims.ClaimService(self)
        self.evacuation_service = evacuations.EvacuationService(self)
        self.cluster_status = cluster_status.ClusterStatus(self)
        self.proxy_lookup = proxy_lookup.ProxyLookup(self)
        self.watches = watches.Watches(self)
        # Expiry of locks by the leader's clock.
        self.lock_expiry = lock_expiry.LockExpiry(self)

    def pages(self):
        """Return the pages of proxy lookup if the deployment has this node serve it."""
        return proxy_lookup.PAGES if self.location.directory else {}

    def ready(self):
        """Return (is ready, reason); not ready once operators replaced the cluster of this node by a new one."""
        if self.cluster_replacement.replaced_by:
            return False, 'its cluster was given up'
        return self.http_api.readiness()

    def measures(self):
        """Yield this node's metrics, as rows of runtime/metrics.py."""
        yield from super().measures()
        yield from self.proxy_lookup.metrics.rows()

    # -- leases -----------------------------------------------------------

    def has_lease(self):
        """True if this node may act on its state; a leader's lease rests on a quorum's responses to its heartbeats."""
        if self.is_leader:
            # A leader's lease is as long as its followers', which act on what it sent them for that long.
            return (
                self.replica.committed[0] == self.term
                and self.now < self.leadership.heartbeats.quorum_at + self.settings.lease
            )
        return super().has_lease()

    def lease_remaining(self):
        """Return the remaining time of this node's lease."""
        if self.is_leader:
            return (
                self.leadership.heartbeats.quorum_at + self.settings.lease - self.now
                if self.has_lease()
                else durations.ZERO
            )
        return super().lease_remaining()

    # -- leadership -------------------------------------------------------

    def leadership_confirmed(self):
        """Start the work of a leader once a version of its own term is committed."""
        self.endpoint_registry.start()
        self.health_checks.start()
        self.outlier_ejection.start()
        self.lock_expiry.start()
        self.epochs.start()
        self.singleton_roles.submit_placement()
        super().leadership_confirmed()

    def leadership_lost(self):
        """Stop the work of a leader, and respond to the callers that wait for it."""
        self.lock_expiry.stop()
        self.configuration_changes.abandon()
        self.watches.abandon()

    def tick_leader(self):
        """Do the work that a leader does in each heartbeat round."""
        if self.replica.committed[0] != self.term:
            return
        for work in (
            self.epochs.advance,
            self.health_checks.check_silent,
            self.outlier_ejection.update,
            self.lock_expiry.drop_expired,
            self.configuration_changes.respond_to_applied,
            self.watches.respond_to_overdue,
            self.reconfigure,
        ):
            self.guard.run(work.__qualname__, work)

    def rehearse(self, rows: replica.Rows):
        """Derive the routes as they would be with these rows, if these are an operator's; whatever is wrong raises."""
        if any(table in routing_table.OPERATORS_TABLES for table, _, _ in rows):
            routing_table.rehearse(self.replica, rows)

    def applied(self, rows):
        """Handle a new version of the state in force; `rows` are its changes, None for a complete state."""
        self.routes.invalidate()
        if not self.is_leader:
            return
        if any(row[0] in ('members', 'conf') for row in rows or ()):
            self.singleton_roles.submit_placement()
        self.watches.schedule_responses(rows)

    def timer_changes_in_force(self):
        """Check again whether every member has applied the pending changes."""
        self.configuration_changes.respond_to_applied()

    def timer_events(self):
        """Respond to watches; the timer is set when events come into force."""
        self.watches.respond_with_events()

    # -- delegated to the parts -------------------------------------------

    def on_http(self, call_id: http_api.CallId, call: effects.HttpRequest):
        """Handle an incoming HTTP call."""
        self.http_api.serve(call_id, call)

    def on_hung_up(self, call_id: http_api.CallId):
        """Handle the disconnection of the caller of an HTTP call."""
        self.http_api.client_disconnected(call_id)

    def receive_heartbeat(self, body: dict, respond: replies.Callback):
        """Handle an endpoint's heartbeat that was sent to this node."""
        self.endpoint_registry.receive_heartbeat(body, respond)

    def heartbeat_details(self):
        """Return what this node adds to its heartbeat response: the endpoints whose heartbeats it received."""
        received = self.endpoint_registry.pop_unreported()
        return {'endpoint_heartbeats': received} if received else {}

    def on_heartbeat_response(self, message: messages.HeartbeatResponse):
        """Handle a member's heartbeat response, which lists the endpoints whose heartbeats it received."""
        self.endpoint_registry.on_heartbeat_response(message)
        super().on_heartbeat_response(message)

    def on_endpoint_suspected(self, message: traffic_messages.EndpointSuspected):
        """Handle a proxy's report that it could not connect to an endpoint."""
        self.health_checks.on_suspected(message)

    def on_endpoint_probe(self, message: traffic_messages.EndpointProbe):
        """Handle the leader's request to check an endpoint."""
        self.health_checks.on_probe(message)

    def on_endpoint_probe_response(self, message: traffic_messages.EndpointProbeResponse):
        """Handle the result of a health check that another control node made."""
        self.health_checks.on_probe_response(message)

    def on_fetched(self, fetch_id: int, response: effects.HttpResult):
        """Handle the response to the HTTP call of a health check."""
        self.health_checks.on_fetched(fetch_id, response)

    def on_endpoint_failures(self, message: traffic_messages.EndpointFailures):
        """Handle a proxy's report of endpoints at which requests failed."""
        self.outlier_ejection.on_endpoint_failures(message)

    def on_draining(self, message: messages.Draining):
        """Handle a member's notice that it is about to shut down."""
        self.singleton_roles.on_draining(message)

    def member_removed(self, transaction: transactions.Transaction, node: str):
        """Reassign the singleton roles of a removed member in the same transaction."""
        self.singleton_roles.place(transaction)

    # -- recovery ---------------------------------------------------------

    def start_recovery(self, body):
        """Start a new cluster from replicas of a lost one, at an operator's command (recovery.py)."""
        if not self.is_empty() or self.disk_failed or self.stopping:
            raise errors.ConflictError('is no empty control node')
        cluster = uuid.UUID(int=self.rng.getrandbits(128), version=4).hex
        initial = recovery.initial_state(body, cluster, self.node, self.member_row())
        self.log(f'Recovering cluster {body["cluster"]} as new cluster {cluster} from generation {body["generation"]}.')
        self.cluster_replacement.begin(
            cluster,
            body['term'] + recovery.TERMS_SKIPPED,
            initial.generation,
            initial.tables,
            initial.tables['meta']['known'],
        )
        return replies.ok(cluster=cluster, generation=initial.generation)
