"""Rows of the replicated state, in their format on disk and on the wire.

The names of tables and fields are part of the stored format and of the frames,
so they keep their short forms: a `cell` is a zone, a `fence` a fencing token, a
`holder` the owner of a singleton role or of a lock; `cold` and `chill` mean that
an endpoint is warming up. Rows are never changed in place: a change puts a new
row (zinctrail/consensus/transactions.py). The rows of coordination are declared
beside their operations: locks.py, keys.py, registers.py, coordination.py.
"""

import typing

import zinctrail.control.configuration as configuration


class EndpointRow(typing.TypedDict):
    """A row of table `endpoints`, keyed by incarnation: the state that an endpoint's last heartbeat reported."""

    # The IP:PORT at which the endpoint serves.
    addr: str
    service: str
    # The zone that it runs in.
    cell: str
    labels: dict[str, str]
    # The number of concurrent requests that it can serve once it is warm.
    slots: int
    # 'ready' or 'draining'; an endpoint that reports 'leaving' has no row.
    state: str
    # The share of its capacity that is not available yet during warm-up, in eighths, rounded up.
    cold: int
    # The heartbeat's sequence number; only of endpoints that number their heartbeats.
    seq: typing.NotRequired[int]
    # Whether it does not use the zinctrail library: it numbers its heartbeats, and keeps its incarnation on return.
    plain: typing.NotRequired[bool]
    # Whether a plain endpoint is warming up: 0 no, 1 yes, 2 yes until two of its heartbeats have reported otherwise.
    chill: typing.NotRequired[int]


class MemberRow(typing.TypedDict):
    """A row of table `members`, keyed by node: a process that follows the leader, or is a voter."""

    # One of zinctrail/consensus/member_roles.py.
    role: str
    # IP:PORT for frames.
    addr: str
    # IP:PORT for HTTP.
    http: str
    # The zone that it runs in.
    cell: str
    # The newest protocol level of frames that it can read.
    level: int
    # IP:PORT for open traffic; only of proxies that accept it.
    front: typing.NotRequired[str]
    # Whether it is shutting down and gets no new work.
    leaving: typing.NotRequired[bool]
    # The members to which it hands over its singleton roles: {pool: node}.
    successors: typing.NotRequired[dict[str, str]]


class ZoneRow(configuration.ZoneRow, total=False):
    """A row of table `cells`, keyed by the zone's name: its configuration, and whether it is evacuated by command."""

    # Whether an evacuation command keeps requests from its endpoints (zinctrail/control/evacuations.py).
    emptied: bool


class SingletonRoleRow(typing.TypedDict):
    """A row of table `duties`, keyed by `keeper/POOL`: the directory that owns the pool's credit ledger."""

    # The owner's node.
    holder: str
    # The owner's IP:PORT for frames.
    addr: str
    # The fencing token: the generation in which the owner was assigned.
    fence: int
    # The previous owner's node; empty if there was none.
    was: str


class ClaimRow(typing.TypedDict):
    """A row of table `claims`, keyed by request id: the proxy that may execute the request."""

    # The proxy's node.
    p: str
    # The number of the attempt that the claim is for, from 1.
    a: int
    # A unique nonce by which the claim's owner is recognized.
    n: str
    # The proxy's IP:PORT for frames.
    at: str
    # 'open', or 'closed' once the proxy reported that it has not executed the request and never will under this claim.
    s: str
    # The epoch that the request id begins with.
    epoch: int


class EvacuationCommandRow(typing.TypedDict):
    """A row of table `cell_orders`, keyed by zone: the sequence of evacuation commands; stored by voters only."""

    # The command number, which increases with each acknowledged command.
    number: int
    # The ids of the commands accepted in this epoch, oldest first (`ids`), and in the previous epoch (`past`).
    ids: list[str]
    past: typing.NotRequired[list[str]]


# A row of table `goners`, the tombstones: {incarnation: the epoch in which it was removed}. A second row, keyed by
# `INCARNATION/left`, means that it deregistered permanently, so that no later heartbeat revives it.
TombstoneEpoch = int
