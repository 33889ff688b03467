"""What the parts of a controller have in common: a typed view of the control node that they belong to."""

import collections
import datetime
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replica as replica
import zinctrail.consensus.transactions as transactions
import zinctrail.control.replies as replies
import zinctrail.control.routing_table as routing_table
import zinctrail.runtime.request_sampling as request_sampling
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.control.claims as claims
    import zinctrail.control.cluster_status as cluster_status
    import zinctrail.control.configuration_changes as configuration_changes
    import zinctrail.control.endpoint_registry as endpoint_registry
    import zinctrail.control.evacuations as evacuations
    import zinctrail.control.lock_expiry as lock_expiry
    import zinctrail.control.singleton_roles as singleton_roles
    import zinctrail.control.watches as watches

# The sender of a message that was received, for the parts.
sender_of = codec.sender_of


class ControlNode(typing.Protocol):
    """What the parts of a controller, and the operations on the replicated state, need of the control node."""

    node: str
    term: int
    # 'candidate', 'follower' or 'leader'.
    mode: str
    now: datetime.timedelta
    settings: settings.Settings
    replica: replica.Replica
    # The routing table of that state.
    routes: routing_table.RoutingTable
    # Counters by name, for metrics.
    counts: collections.Counter[str]
    # The effects of the present input.
    out: list
    # Which requests are logged.
    request_sampler: request_sampling.RequestSampler

    # -- its parts
    claim_service: 'claims.ClaimService'
    cluster_status: 'cluster_status.ClusterStatus'
    configuration_changes: 'configuration_changes.ConfigurationChanges'
    endpoint_registry: 'endpoint_registry.EndpointRegistry'
    evacuation_service: 'evacuations.EvacuationService'
    watches: 'watches.Watches'
    lock_expiry: 'lock_expiry.LockExpiry'
    singleton_roles: 'singleton_roles.SingletonRoles'

    @property
    def is_leader(self) -> bool:
        """Whether this node leads, as far as it knows."""

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """The other members, as their leader knows them; empty where this node does not lead."""

    def has_lease(self) -> bool:
        """Whether this node may act on its state."""

    def status(self) -> dict[str, typing.Any]:
        """What this node knows of itself and, while it leads, of the cluster."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence; `event` names the kind of event, `fields` are what one would search for."""

    def fence(self, callback: typing.Callable[[bool], None]) -> None:
        """callback(whether this node certainly led after now)."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message to another process."""

    def request_operation(self, operation: str, arguments: dict, callback: replies.Callback) -> None:
        """Have the leader carry out an operation; callback(result) comes once, whatever happens."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or move it if it is set already; the node has a method `timer_NAME`."""

    def read(self, work: transactions.Work, callback: replies.Callback) -> None:
        """callback(work(view)) of what is in force, once it is certain that this node led after now."""

    def submit(self, work: transactions.Work, callback: replies.Callback, for_caller: bool = False) -> None:
        """Have work(transaction) run in the next version; callback(result) once that is in force."""


def ignore_result(result: replies.Result) -> None:
    """The callback of work that the leader submits on its own account."""


class ControllerPart:
    """A part of a controller: owns its own fields, and reaches the node and its other parts by `controller`."""

    def __init__(self, controller: ControlNode):
        self.controller = controller
