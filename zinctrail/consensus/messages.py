"""The messages by which members agree on the replicated state, a type for each kind of frame.

Attributes have whole names; the first argument of each field is the name it has
on the wire. The order of the fields is that of the frame's keys. How they are
read and written: zinctrail.consensus.codec. Messages about load balancing:
zinctrail.consensus.traffic_messages.
"""

import dataclasses
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.field_checks as field_checks

Version = codec.Version
# A row of the replicated state: [table, key, value].
Row = list


class LeaderRow(typing.TypedDict):
    """The leader, as nodes name it to each other and on status pages."""

    id: str
    addr: str
    http: str


class MemberRow(typing.TypedDict):
    """A process as it describes itself; the table of members holds the same."""

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
    """Asks a node who it is and whom it knows; sent while no leader is known."""

    member: MemberRow = codec.required('member', field_checks.is_member)
    seeds: list[str] | None = codec.optional('seeds', field_checks.list_of(field_checks.is_text))
    # Of a node whose cluster has not formed: the control nodes it heard of lately, whether enough of its seeds answer,
    # whether it may form a cluster, and the number of its newest promise to do so.
    view: list[str] | None = codec.optional('view', field_checks.list_of(field_checks.is_text))
    has_enough_seeds: bool | None = codec.optional('seeds_ok', field_checks.is_flag)
    may_form: bool | None = codec.optional('may_form', field_checks.is_flag)
    promise_number: int | None = codec.optional('promise', field_checks.is_count)


@codec.register('probe_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class ProbeResponse(codec.Message):
    """Answers a Probe."""

    member: MemberRow = codec.required('member', field_checks.is_member)
    term: int = codec.required('term', field_checks.is_count)
    leader: LeaderRow | None = codec.required('master', field_checks.null_or(field_checks.is_leader))
    # The control nodes that the sender has heard: [address, id, whether it answered lately].
    control_nodes: list = codec.required('partners', field_checks.list_of(field_checks.is_known_member))
    seeds: list[str] = codec.required('seeds', field_checks.list_of(field_checks.is_text))
    view: list[str] | None = codec.optional('view', field_checks.list_of(field_checks.is_text))
    has_enough_seeds: bool | None = codec.optional('seeds_ok', field_checks.is_flag)
    may_form: bool | None = codec.optional('may_form', field_checks.is_flag)
    promise_number: int | None = codec.optional('promise', field_checks.is_count)


@codec.register('join')
@dataclasses.dataclass(slots=True, kw_only=True)
class Join(codec.Message):
    """Asks a leader to be a member."""

    member: MemberRow = codec.required('member', field_checks.is_member)
    accepted: Version = codec.required_version('accepted')
    term: int = codec.required('term', field_checks.is_count)
    reads_chunks: bool | None = codec.optional('pieces', field_checks.is_flag)


@codec.register('leave')
@dataclasses.dataclass(slots=True, kw_only=True)
class Leave(codec.Message):
    """Tells the leader that the sender stops; a voter may wait until it is released."""

    awaits_release: bool | None = codec.optional('waits', field_checks.is_flag)


@codec.register('leave_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaveResponse(codec.Message):
    """Releases a voter that stops."""


@codec.register('leaving')
@dataclasses.dataclass(slots=True, kw_only=True)
class Draining(codec.Message):
    """Tells the leader that the sender will stop soon, and who is to take its singleton roles."""

    successors: dict[str, str] = codec.required('successors', field_checks.is_texts_by_name)


@codec.register('retired')
@dataclasses.dataclass(slots=True, kw_only=True)
class Retired(codec.Message):
    """Tells a node of a cluster that operators gave up that the sender's cluster stands in its place."""

    clusters: list[str] = codec.required('of', field_checks.list_of(field_checks.is_text))


@codec.register('form')
@dataclasses.dataclass(slots=True, kw_only=True)
class FormationProposal(codec.Message):
    """Asks a node without state to promise that it forms a cluster with these nodes, and no other one."""

    cluster: str = codec.required('for', field_checks.is_text)
    # Above that of any promise that was made before.
    number: int = codec.required('number', field_checks.is_count)
    nodes: list[str] = codec.required('view', field_checks.list_of(field_checks.is_text))


@codec.register('form_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class FormationPromise(codec.Message):
    """Answers a FormationProposal: the promise is durable."""

    cluster: str = codec.required('for', field_checks.is_text)


@codec.register('boot')
@dataclasses.dataclass(slots=True, kw_only=True)
class Bootstrap(codec.Message):
    """Asks a node that promised it to take the first version of a new cluster."""

    view: list[str] = codec.required('view', field_checks.list_of(field_checks.is_text))
    # Read by releases that knew no promises.
    resumed: bool = codec.required('resumed', field_checks.is_flag)


@codec.register('boot_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class BootstrapResponse(codec.Message):
    """Answers a Bootstrap."""

    is_accepted: bool = codec.required('ok', field_checks.is_flag)


# -- heartbeats and leases -------------------------------------------------


@codec.register('chk')
@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat(codec.Message):
    """The leader's heartbeat to one member; it may carry a lease grant."""

    term: int = codec.required('term', field_checks.is_count)
    recipient: str = codec.required('to', field_checks.is_text)
    round: int = codec.required('round', field_checks.is_count)
    http: str = codec.optional('http', field_checks.is_anything, default='')
    interval_ms: int | None = codec.optional('pace_ms', field_checks.is_count)
    # The round that the granted lease rests on.
    granted_round: int | None = codec.optional('ack', field_checks.is_count)


@codec.register('chk_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class HeartbeatResponse(codec.Message):
    """Answers a Heartbeat; a sender that is in a newer term refuses it."""

    term: int = codec.required('term', field_checks.is_count)
    round: int = codec.required('round', field_checks.is_count)
    is_refused: bool | None = codec.optional('no', field_checks.is_flag)
    accepted: Version | None = codec.optional_version('accepted')
    committed: Version | None = codec.optional_version('committed')
    reads_chunks: bool | None = codec.optional('pieces', field_checks.is_flag)
    # The incarnations of endpoints whose heartbeats the sender received.
    endpoint_heartbeats: list[str] | None = codec.optional('beats', field_checks.list_of(field_checks.is_text))


@codec.register('grant')
@dataclasses.dataclass(slots=True, kw_only=True)
class LeaseGrant(codec.Message):
    """Grants a lease that is counted from when the recipient received the Heartbeat of `granted_round`."""

    term: int = codec.required('term', field_checks.is_count)
    granted_round: int = codec.required('ack', field_checks.is_count)


# -- elections -------------------------------------------------------------


@codec.register('prevote')
@dataclasses.dataclass(slots=True, kw_only=True)
class PreVote(codec.Message):
    """Asks whether a voter would take part in an election."""

    term: int = codec.required('term', field_checks.is_count)
    accepted: Version = codec.required_version('accepted')


@codec.register('prevote_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class PreVoteResponse(codec.Message):
    """Answers a PreVote: the sender would take part."""

    term: int = codec.required('term', field_checks.is_count)
    accepted: Version = codec.required_version('accepted')


@codec.register('sjoin')
@dataclasses.dataclass(slots=True, kw_only=True)
class StartJoin(codec.Message):
    """Asks for a vote in a term."""

    term: int = codec.required('term', field_checks.is_count)


@codec.register('vote')
@dataclasses.dataclass(slots=True, kw_only=True)
class Vote(codec.Message):
    """A vote for the recipient, and a request to be a member under it."""

    term: int = codec.required('term', field_checks.is_count)
    accepted: Version = codec.required_version('accepted')
    member: MemberRow = codec.required('member', field_checks.is_member)
    reads_chunks: bool | None = codec.optional('pieces', field_checks.is_flag)


@codec.register('down')
@dataclasses.dataclass(slots=True, kw_only=True)
class StepDown(codec.Message):
    """The leader tells its members that it leads no more."""

    term: int = codec.required('term', field_checks.is_count)


@codec.register('succeed')
@dataclasses.dataclass(slots=True, kw_only=True)
class TransferLeadership(codec.Message):
    """A leader that stops asks a voter to stand for election at once."""

    term: int = codec.required('term', field_checks.is_count)


# -- replication -----------------------------------------------------------


@codec.register('pub')
@dataclasses.dataclass(slots=True, kw_only=True)
class Publish(codec.Message):
    """A version of the replicated state: rows on a base, or all its tables."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    base: Version | None = codec.optional('base', field_checks.null_or(field_checks.is_version), codec.version_or_none)
    tables: dict[str, dict] | None = codec.optional('full', field_checks.is_tables)
    rows: list[Row] | None = codec.optional('rows', field_checks.list_of(field_checks.is_row))
    http: str = codec.optional('http', field_checks.is_anything, default='')
    committed: Version | None = codec.optional(
        'com', field_checks.null_or(field_checks.is_version), codec.version_or_none
    )
    # The versions between the base and this one, on each of which the rows fit as well.
    between: list[Version] | None = codec.optional('via', field_checks.list_of(field_checks.is_version), codec.versions)

    def contradiction(self) -> str:
        """It must bring the rows or all tables."""
        return 'neither rows nor full' if self.tables is None and self.rows is None else ''


@codec.register('pub_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class PublishResponse(codec.Message):
    """Answers a Publish, or the last Chunk of a version."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    is_accepted: bool = codec.required('ok', field_checks.is_flag)
    accepted: Version | None = codec.optional_version('accepted')


@codec.register('piece')
@dataclasses.dataclass(slots=True, kw_only=True)
class Chunk(codec.Message):
    """A part of a version that is too large for one frame; the last one carries the digest of all rows."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    # None: the chunks hold the whole state.
    base: Version | None = codec.required('base', field_checks.null_or(field_checks.is_version), codec.version_or_none)
    number: int = codec.required('number', field_checks.is_count)
    rows: list[Row] = codec.required('rows', field_checks.list_of(field_checks.is_row))
    http: str = codec.optional('http', field_checks.is_anything, default='')
    digest: str | None = codec.optional('digest', field_checks.is_text)


@codec.register('piece_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class ChunkResponse(codec.Message):
    """Tells how many chunks of a version the sender has."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    base: Version | None = codec.required('base', field_checks.null_or(field_checks.is_version), codec.version_or_none)
    received: int = codec.required('have', field_checks.is_count)


@codec.register('com')
@dataclasses.dataclass(slots=True, kw_only=True)
class Commit(codec.Message):
    """Tells a member up to which version what it accepted is committed."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')
    http: str = codec.optional('http', field_checks.is_anything, default='')


@codec.register('com_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class CommitResponse(codec.Message):
    """Tells the leader which version is in force at the sender."""

    term: int = codec.required('term', field_checks.is_count)
    version: Version = codec.required_version('at')


# -- operations ------------------------------------------------------------


@codec.register('ask')
@dataclasses.dataclass(slots=True, kw_only=True)
class OperationRequest(codec.Message):
    """Asks the leader to carry out an operation."""

    key: str = codec.required('key', field_checks.is_text)
    operation: str = codec.required('op', field_checks.is_text)
    arguments: dict[str, typing.Any] = codec.required('args', field_checks.is_object)
    # The [term, heartbeat round] that the sender saw last.
    last_round: list[int] | None = codec.optional('seen', field_checks.is_version)
    # The term in which the operation was first requested, where that is an older one.
    first_term: int | None = codec.optional('since', field_checks.is_count)


@codec.register('ask_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class OperationResponse(codec.Message):
    """The result of an operation."""

    key: str = codec.required('key', field_checks.is_text)
    result: dict[str, typing.Any] = codec.required('result', field_checks.is_result)
