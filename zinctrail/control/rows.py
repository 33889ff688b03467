"""Rows of the replicated state, as they stand on disk and go over the wire.

The names of tables and fields are part of the stored format and of the frames,
so they keep their short forms: a `cell` is a zone, a `fence` a fencing token, a
`holder` the owner of a singleton role or of a lock, `cold` and `chill` say that
an endpoint is warming up. Rows are never changed in place: a change puts a new
row (zinctrail/consensus/transactions.py). The rows of coordination are declared
beside their operations: locks.py, keys.py, registers.py, coordination.py.
"""

import typing

import zinctrail.control.configuration as configuration


class EndpointRow(typing.TypedDict):
    """Table `endpoints`, by incarnation: what the last heartbeat said that others need to know."""

    # IP:PORT that it serves at.
    addr: str
    service: str
    # The zone that it runs in.
    cell: str
    labels: dict[str, str]
    # How many requests it bears at once when it is warm.
    slots: int
    # 'ready' or 'draining'; one that leaves has no row.
    state: str
    # How much of its capacity is not there yet, in eighths, rounded up.
    cold: int
    # The number of the heartbeat; only of endpoints that number theirs.
    seq: typing.NotRequired[int]
    # Whether it links no library of ours: it numbers its heartbeats and keeps its name when it comes back.
    plain: typing.NotRequired[bool]
    # Whether a plain endpoint is cold: 0 no, 1 yes, 2 until two of its heartbeats have said otherwise.
    chill: typing.NotRequired[int]


class MemberRow(typing.TypedDict):
    """Table `members`, by node: a process that follows the leader, or votes."""

    # One of zinctrail/consensus/member_roles.py.
    role: str
    # IP:PORT for frames.
    addr: str
    # IP:PORT for HTTP.
    http: str
    # The zone that it runs in.
    cell: str
    # The newest level of the frames that it reads.
    level: int
    # IP:PORT for open traffic; only of proxies that take it.
    front: typing.NotRequired[str]
    # Whether it is shutting down: it gets nothing new.
    leaving: typing.NotRequired[bool]
    # The members that it hands its singleton roles to: {pool: node}.
    successors: typing.NotRequired[dict[str, str]]


class ZoneRow(configuration.ZoneRow, total=False):
    """Table `cells`, by the zone's name: what the operators' document says of it, and the mark of an evacuation."""

    # Whether an evacuation order keeps requests from its endpoints (zinctrail/control/evacuations.py).
    emptied: bool


class SingletonRoleRow(typing.TypedDict):
    """Table `duties`, by `keeper/POOL`: the directory that owns the pool's credit ledger."""

    # The owner's node.
    holder: str
    # The owner's IP:PORT for frames.
    addr: str
    # The fencing token: the generation in which the owner was named.
    fence: int
    # The node that owned it before; empty where nobody did.
    was: str


class ClaimRow(typing.TypedDict):
    """Table `claims`, by request id: which proxy may run the request."""

    # The proxy's node.
    p: str
    # The attempt that the claim is for, from 1.
    a: int
    # Unique for the claim, so that its owner is known again.
    n: str
    # The proxy's IP:PORT for frames.
    at: str
    # 'open', or 'closed' once the proxy said that it did not run and never will under this claim.
    s: str
    # The epoch that the request id begins with.
    epoch: int


class EvacuationCommandRow(typing.TypedDict):
    """Table `cell_orders`, by zone: what orders evacuations among each other; kept by voters alone."""

    # Rises with each order that is acknowledged.
    number: int
    # The ids of the orders that were taken in this epoch, the oldest first, and of those in the epoch before.
    ids: list[str]
    past: typing.NotRequired[list[str]]


# Table `goners`, tombstones: {incarnation: the epoch in which it was declared gone}. A second row, by
# `INCARNATION/left`, says that it left for good, so that no later heartbeat brings it back.
TombstoneEpoch = int
