"""What the parts of a leadership have in common: the voter that leads, and the leadership they belong to."""

import datetime
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.history as history
import zinctrail.consensus.majority_contact as majority_contact
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

VotingSet = replica.VotingSet


class LeadingVoter(typing.Protocol):
    """What a leadership needs of the voter that leads."""

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
    # Notices that no majority is reached.
    majority_contact: majority_contact.MajorityContact
    # Whether it was told to stop.
    stopping: bool
    # The number of its newest heartbeat round; goes on over all its terms.
    heartbeat_round: int
    # Members that said that they read transfers in chunks.
    chunk_readers: set[str]
    # What each member that votes for it or joins it said it has: {node: version}.
    reported_versions: dict[str, tuple[int, int]]
    # Where each control node was last heard of: {node: address}.
    control_node_addresses: dict[str, str]
    # When a change of the voting set last came into force here.
    voting_set_changed_at: datetime.timedelta | None

    def frame(self, message: codec.Message) -> codec.Frame:
        """The frame of a message of ours."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def send(self, address: str, frame: codec.Frame, may_compress: bool = False) -> None:
        """Send a frame; `may_compress` says whether the receiver reads packed frames."""

    def note_reads_chunks(self, message: codec.Message) -> None:
        """Note whether the sender reads transfers in chunks."""

    def forget_addresses(self) -> None:
        """Keep only the addresses of control nodes that decide something."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or move it if it is set already."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, and what one would search for."""

    def voting_set(self) -> VotingSet:
        """The voting configuration, {committed, accepted}."""

    def persist(self, at, base, rows, full) -> None:
        """Make an accepted version durable."""

    def rows_committed(self, rows) -> None:
        """The rows of a version, or a whole state (None), came into force."""

    def submit(self, work, callback, for_caller: bool = False) -> None:
        """Have work(transaction) run as part of the next version; callback(result) once that is in force."""

    def read(self, work, callback) -> None:
        """callback(work(view)) of what is in force, once it is certain that this node led after now."""

    def step_down(self, why: str) -> None:
        """Lead no more."""

    def tick_leader(self) -> None:
        """What a leader does in each heartbeat interval."""

    def member_gone(self, transaction, node: str) -> None:
        """What else follows from a member's loss."""


class LeaderPart:
    """A part of a leadership: owns its own fields, and reaches the others by `leadership`."""

    def __init__(self, voter: LeadingVoter, leadership: 'leadership.Leadership'):
        self.voter = voter
        self.leadership = leadership

    @property
    def is_current(self) -> bool:
        """Whether the voter still leads: a callback may have made it step down."""
        return self.voter.leadership is self.leadership
