"""The base class of a leadership's components, and the interface of the voter that they use."""

import datetime
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.history as history
import zinctrail.consensus.internal_errors as internal_errors
import zinctrail.consensus.majority_contact as majority_contact
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

VotingSet = replica.VotingSet


class LeadingVoter(typing.Protocol):
    """The interface of the leading voter that a leadership uses."""

    node: str
    term: int
    now: datetime.timedelta
    location: node_location.NodeLocation
    settings: settings.Settings
    timers: dict[str, datetime.timedelta]
    counts: dict[str, int]
    replica: replica.Replica
    history: history.History
    leadership: 'leadership.Leadership | None'
    # Detects that no majority is reachable.
    majority_contact: majority_contact.MajorityContact
    # True once the process was asked to stop.
    stopping: bool
    # Records the unforeseen exceptions of operations.
    guard: internal_errors.Guard
    # The number of its newest heartbeat round; not reset between its terms.
    heartbeat_round: int
    # Members that support chunked transfers.
    chunk_readers: set[str]
    # The version reported by each member that votes for it or joins it: {node: version}.
    reported_versions: dict[str, tuple[int, int]]
    # The last known address of each control node: {node: address}.
    control_node_addresses: dict[str, str]
    # When a change of the voting set was last committed here.
    voting_set_changed_at: datetime.timedelta | None

    def frame(self, message: codec.Message) -> codec.Frame:
        """Encode a message, with this node as its sender, into a frame."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def send(self, address: str, frame: codec.Frame, may_compress: bool = False) -> None:
        """Send a frame; `may_compress` is true if the receiver reads compressed frames."""

    def record_chunk_support(self, message: codec.Message) -> None:
        """Record whether the sender supports chunked transfers."""

    def forget_addresses(self) -> None:
        """Drop the addresses of control nodes that are neither voters nor members."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, replacing its earlier deadline."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, with an event name and fields to search by."""

    def voting_set(self) -> VotingSet:
        """Return the voting configuration, {committed, accepted}."""

    def persist(self, at, base, rows, full) -> None:
        """Write an accepted version to disk."""

    def rows_committed(self, rows) -> None:
        """Apply the committed rows of a version, or a complete committed state (None)."""

    def submit(self, work, callback, for_caller: bool = False) -> None:
        """Run work(transaction) as part of the next version; call callback(result) once that version is committed."""

    def read(self, work, callback) -> None:
        """Call callback(work(view)) on the committed state, once this node is confirmed to have led after the call."""

    def step_down(self, why: str) -> None:
        """Give up the leadership of the current term."""

    def tick_leader(self) -> None:
        """Run the role's periodic work in each heartbeat interval."""

    def rehearse(self, rows) -> None:
        """Raise an exception if a version with these rows could not be taken up."""

    def member_removed(self, transaction, node: str) -> None:
        """Clean up after a removed member."""


class LeaderPart:
    """A component of a leadership: owns its fields, and reaches the other components through `leadership`."""

    def __init__(self, voter: LeadingVoter, leadership: 'leadership.Leadership'):
        self.voter = voter
        self.leadership = leadership

    @property
    def is_current(self) -> bool:
        """True if the leadership is still in force: a callback may have made the voter step down."""
        return self.voter.leadership is self.leadership
