"""Messages of the consensus protocol, one class per kind of frame.

The attribute names are spelled out; the first argument of each field is its
name on the wire. Fields are declared in the order of the frame's keys.
zinctrail.consensus.codec encodes and decodes them. Messages about load
balancing are in zinctrail.consensus.traffic_messages.
"""

import dataclasses
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.field_checks as field_checks

Version = codec.Version
# A row of the replicated state: [table, key, value or None].
Row = list


class LeaderRow(typing.TypedDict):
    """The identity and addresses of the leader, in frames and on status pages."""

    id: str
    addr: str
    http: str


class MemberRow(typing.TypedDict):
    """A process as it describes itself to other nodes, and its row in the table `members`."""

    role: str
    addr: str
    http: str
    cell: str
    level: int
    front: typing.NotRequired[str]


# -- discovery and membership ----------------------------------------------


@codec.register('probe')
@dataclasses.dataclass(slots=True, kw_only=True)
class Probe(codec.Message):
    """Asks a node for its identity and the nodes it knows; sent while no leader is known."""

    member: MemberRow = codec.required('member', field_checks.is_member)
    seeds: list[str] | None = codec.optional('seeds', field_checks.list_of(field_checks.is_string))
    # Set by a node whose cluster has not formed: the control nodes it has seen recently, whether enough of its seeds
    # are reachable, whether it may form a cluster, and the number of its newest promise to form one.
    view: list[str] | None = codec.optional('view', field_checks.list_of(field_checks.is_string))
    has_enough_seeds: bool | None = codec.optional('seeds_ok', field_checks.is_boolean)
    may_form: bool | None = codec.optional('may_form', field_checks.is_boolean)
    promise_number: int | None = codec.optional('promise', field_checks.is_count)


@codec.register('probe_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class ProbeResponse(codec.Message):
    """Responds to a Probe; the optional fields are those of Probe, for the responding node."""

    member: MemberRow = codec.required('member', field_checks.is_member)
    term: int = codec.required('term', field_checks.is_count)
    leader: LeaderRow | None = codec.required('master', field_checks.null_or(field_checks.is_leader))
    # The control nodes that the sender knows: [address, id, whether it has responded recently].
    control_nodes: list = codec.required('partners', field_checks.list_of(field_checks.is_known_member))
    seeds: list[str] = codec.required('seeds', field_checks.list_of(field_checks.is_string))
    view: list[str] | None = codec.optional('view', field_checks.list_of(field_checks.is_string))
    has_enough_seeds: bool | None = codec.optional('seeds_ok', field_checks.is_boolean)
    may_form: bool | None = codec.optional('may_form', field_checks.is_boolean)
    promise_number: int | None = codec.optional('promise', field_checks.is_count)


@codec.register('join')
@dataclasses.dataclass(slots=True, kw_only=True)
class Join(codec.Message):
    """Asks a leader to admit the sender as a member."""

    member: MemberRow = codec.required('member', field_checks.is_member)
    accepted: Version = codec.required_version('accepted')
    term: int = codec.required('term', field_checks.is_count)
    reads_chunks: bool | None = codec.optional('pieces', field_checks.is_boolean)


@codec.register('leave')
@dataclasses.dataclass(slots=True, kw_only=True)
class Leave(codec.Message):
    """Tells the leader that the sender shuts down; a voter may wait for the LeaveResponse before it does."""

    awaits_release: bool | None = codec.optional('waits', field_checks.is_boolean)


@codec.register('leave_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaveResponse(codec.Message):
    """Tells a voter that waits for its release that it may shut down."""


@codec.register('leaving')
@dataclasses.dataclass(slots=True, kw_only=True)
class Draining(codec.Message):
    """Tells the leader that the sender will shut down soon, and which nodes should take over its singleton roles."""

    successors: dict[str, str] = codec.required('successors', field_checks.is_string_map)


@codec.register('retired')
@dataclasses.dataclass(slots=True, kw_only=True)
class Retired(codec.Message):
    """Tells a node that operators abandoned its cluster, and that the sender's cluster has replaced it."""

    clusters: list[str] = codec.required('of', field_checks.list_of(field_checks.is_string))


@codec.register('form')
@dataclasses.dataclass(slots=True, kw_only=True)
class FormationProposal(codec.Message):
    """Asks a node without state to promise to form a cluster with exactly these nodes, and no other cluster."""

    cluster: str = codec.required('for', field_checks.is_string)
    # Greater than the number of every earlier promise.
    number: int = codec.required('number', field_checks.is_count)
    nodes: list[str] = codec.required('view', field_checks.list_of(field_checks.is_string))


@codec.register('form_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class FormationPromise(codec.Message):
    """Responds to a FormationProposal once the promise is durable."""

    cluster: str = codec.required('for', field_checks.is_string)


@codec.register('boot')
@dataclasses.dataclass(slots=True, kw_only=True)
class Bootstrap(codec.Message):
    """Asks a node that promised to form a cluster to accept the first state version of that cluster."""

    view: list[str] = codec.required('view', field_checks.list_of(field_checks.is_string))
    # Read only by releases from before formation promises.
    resumed: bool = codec.required('resumed', field_checks.is_boolean)


@codec.register('boot_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class BootstrapResponse(codec.Message):
    """Responds to a Bootstrap."""

    is_accepted: bool = codec.required('ok', field_checks.is_boolean)


# -- heartbeats and leases -------------------------------------------------


@codec.register('chk')
@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat(codec.Message):
    """The leader's heartbeat to one member; it may carry a lease grant."""

    term: int = codec.required('term', field_checks.is_count)
    recipient: str = codec.required('to', field_checks.is_string)
    round: int = codec.required('round', field_checks.is_count)
    http: str = codec.optional('http', field_checks.is_anything, default='')
    interval_ms: int | None = codec.optional('pace_ms', field_checks.is_count)
    # The heartbeat round that the granted lease is counted from; None without a grant.
    granted_round: int | None = codec.optional('ack', field_checks.is_count)


@codec.register('chk_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class HeartbeatResponse(codec.Message):
    """Responds to a Heartbeat; `is_refused` is set if the sender is in a newer term."""

    term: int = codec.required('term', field_checks.is_count)
    round: int = codec.required('round', field_checks.is_count)
    is_refused: bool | None = codec.optional('no', field_checks.is_boolean)
    accepted: Version | None = codec.optional_version('accepted')
    committed: Version | None = codec.optional_version('committed')
    reads_chunks: bool | None = codec.optional('pieces', field_checks.is_boolean)
    # The incarnations of the endpoints whose heartbeats the sender received.
    endpoint_heartbeats: list[str] | None = codec.optional('beats', field_checks.list_of(field_checks.is_string))


@codec.register('grant')
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaseGrant(codec.Message):
    """Grants a lease that starts at the time when the recipient received the Heartbeat of `granted_round`."""

    term: int = codec.required('term', field_checks.is_count)
    granted_round: int = codec.required('ack', field_checks.is_count)


# -- elections -------------------------------------------------------------


@codec.register('prevote')
@dataclasses.dataclass(slots=True, kw_only=True)
class PreVote(codec.Message):
    """Asks a voter whether it would participate in an election."""

    term: int = codec.required('term', field_checks.is_count)
    accepted: Version = codec.required_version('accepted')


@codec.register('prevote_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class PreVoteResponse(codec.Message):
    """Responds to a PreVote: the sender would participate."""

    term: int = codec.required('term', field_checks.is_count)
    accepted: Version = codec.required_version('accepted')


@codec.register('sjoin')
@dataclasses.dataclass(slots=True, kw_only=True)
class StartJoin(codec.Message):
    """Asks for a vote in `term`."""

    term: int = codec.required('term', field_checks.is_count)


@codec.register('vote')
@dataclasses.dataclass(slots=True, kw_only=True)
class Vote(codec.Message):
    """Votes for the recipient, and asks it to admit the sender as a member once it leads."""

    term: int = codec.required('term', field_checks.is_count)
    accepted: Version = codec.required_version('accepted')
    member: MemberRow = codec.required('member', field_checks.is_member)
    reads_chunks: bool | None = codec.optional('pieces', field_checks.is_boolean)


@codec.register('down')
@dataclasses.dataclass(slots=True, kw_only=True)
class StepDown(codec.Message):
    """Tells the members that the sender is no longer the leader."""

    term: int = codec.required('term', field_checks.is_count)


@codec.register('succeed')
@dataclasses.dataclass(slots=True, kw_only=True)
class TransferLeadership(codec.Message):
    """Asks a voter to start an election at once, because the leader shuts down."""

    term: int = codec.required('term', field_checks.is_count)


# -- replication -----------------------------------------------------------


@codec.register('pub')
@dataclasses.dataclass(slots=True, kw_only=True)
class Publish(codec.Message):
    """Publishes a version of the replicated state: the rows changed since `base`, or all tables."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    base: Version | None = codec.optional('base', field_checks.null_or(field_checks.is_version), codec.version_or_none)
    tables: dict[str, dict] | None = codec.optional('full', field_checks.is_tables)
    rows: list[Row] | None = codec.optional('rows', field_checks.list_of(field_checks.is_row))
    http: str = codec.optional('http', field_checks.is_anything, default='')
    committed: Version | None = codec.optional(
        'com', field_checks.null_or(field_checks.is_version), codec.version_or_none
    )
    # The versions between the base and this one; the rows can be applied to each of them as well.
    between: list[Version] | None = codec.optional('via', field_checks.list_of(field_checks.is_version), codec.versions)

    def contradiction(self) -> str:
        """Return the error of a frame with neither rows nor tables."""
        return 'neither rows nor full' if self.tables is None and self.rows is None else ''


@codec.register('pub_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class PublishResponse(codec.Message):
    """Responds to a Publish, or to the last Chunk of a version."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    is_accepted: bool = codec.required('ok', field_checks.is_boolean)
    accepted: Version | None = codec.optional_version('accepted')


@codec.register('piece')
@dataclasses.dataclass(slots=True, kw_only=True)
class Chunk(codec.Message):
    """Carries a chunk of a version that is too large for one frame; the last chunk has the digest of all rows."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    # The version that the rows build on; None if the chunks hold the full state.
    base: Version | None = codec.required('base', field_checks.null_or(field_checks.is_version), codec.version_or_none)
    number: int = codec.required('number', field_checks.is_count)
    rows: list[Row] = codec.required('rows', field_checks.list_of(field_checks.is_row))
    http: str = codec.optional('http', field_checks.is_anything, default='')
    digest: str | None = codec.optional('digest', field_checks.is_string)


@codec.register('piece_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class ChunkResponse(codec.Message):
    """Tells the leader how many chunks of a version the sender has received."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    base: Version | None = codec.required('base', field_checks.null_or(field_checks.is_version), codec.version_or_none)
    received: int = codec.required('have', field_checks.is_count)


@codec.register('com')
@dataclasses.dataclass(slots=True, kw_only=True)
class Commit(codec.Message):
    """Tells a member that the versions it accepted are committed, up to and including `version`."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    http: str = codec.optional('http', field_checks.is_anything, default='')


@codec.register('com_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class CommitResponse(codec.Message):
    """Tells the leader which version is committed at the sender."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')


# -- operations ------------------------------------------------------------


@codec.register('ask')
@dataclasses.dataclass(slots=True, kw_only=True)
class OperationRequest(codec.Message):
    """Asks the leader to carry out an operation."""

    key: str = codec.required('key', field_checks.is_string)
    operation: str = codec.required('op', field_checks.is_string)
    arguments: dict[str, typing.Any] = codec.required('args', field_checks.is_object)
    # The [term, heartbeat round] of the last heartbeat that the sender received.
    last_round: list[int] | None = codec.optional('seen', field_checks.is_version)
    # The term in which the operation was first requested; None if that is the current term.
    first_term: int | None = codec.optional('since', field_checks.is_count)


@codec.register('ask_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class OperationResponse(codec.Message):
    """Returns the result of an operation to the node that requested it."""

    key: str = codec.required('key', field_checks.is_string)
    result: dict[str, typing.Any] = codec.required('result', field_checks.is_result)
