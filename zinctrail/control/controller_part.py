"""The base class of the parts of a controller, and the interface of the control node that they use."""

import collections
import datetime
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.internal_errors as internal_errors
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

# Returns the sender of a received message.
sender_of = codec.sender_of


class ControlNode(typing.Protocol):
    """The interface of the control node that parts and operations on the replicated state use."""

    node: str
    term: int
    # 'candidate', 'follower' or 'leader'.
    mode: str
    now: datetime.timedelta
    settings: settings.Settings
    replica: replica.Replica
    # The routing table derived from that state.
    routes: routing_table.RoutingTable
    # Counters by name, for metrics.
    counts: collections.Counter[str]
    # Records the unforeseen exceptions of operations.
    guard: internal_errors.Guard
    # The effects of the input that is being handled.
    out: list
    # Decides which requests are logged.
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
        """True if this node believes that it is the leader."""

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """Return the other members as the leader tracks them; empty unless this node is the leader."""

    def has_lease(self) -> bool:
        """True if this node may act on its state."""

    def status(self) -> dict[str, typing.Any]:
        """Return the status of this node and, while it is the leader, of the cluster."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence; `event` is the kind of event, `fields` are its searchable values."""

    def fence(self, callback: typing.Callable[[bool], None]) -> None:
        """Call callback(True) once this node was confirmed as leader after now, callback(False) if it was not."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message to another process."""

    def request_operation(self, operation: str, arguments: dict, callback: replies.Callback) -> None:
        """Have the leader carry out an operation; callback(result) is called exactly once."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set or reset a timer; the node's method `timer_NAME` handles it."""

    def read(self, work: transactions.Work, callback: replies.Callback) -> None:
        """Call callback(work(view)) on the state in force, once this node was confirmed as leader after now."""

    def submit(self, work: transactions.Work, callback: replies.Callback, for_caller: bool = False) -> None:
        """Run work(transaction) in the next version; callback(result) is called once that version is in force."""


def ignore_result(result: replies.Result) -> None:
    """Ignore the result of work that the leader submits itself, not for a caller."""


class ControllerPart:
    """A part of a controller, with its own fields; `controller` is the node, through which it reaches other parts."""

    def __init__(self, controller: ControlNode):
        self.controller = controller
