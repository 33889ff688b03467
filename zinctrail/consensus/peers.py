"""The leader's record of each other member."""

import dataclasses
import datetime

import zinctrail.runtime.durations as durations


@dataclasses.dataclass(slots=True)
class Peer:
    """A member of the cluster as its leader sees it. Versions are (term, generation) pairs."""

    node: str
    address: str
    # 'core' for control nodes, which store the complete state and may vote; other roles only receive the routes.
    role: str
    # The wire level that the member uses.
    level: int
    # When the last message from the member came.
    last_seen_at: datetime.timedelta
    # The newest version that the member reported as accepted; None before its first report.
    accepted: tuple[int, int] | None = None
    # The newest version sent to the member, which is assumed to arrive; None if its version must be determined first.
    sent_version: tuple[int, int] | None = None
    sent_at: datetime.timedelta = durations.ZERO
    # The newest version whose commit the member was notified of, and the newest that it reported as committed.
    notified_commit: tuple[int, int] = (0, 0)
    committed: tuple[int, int] = (0, 0)
    # The newest heartbeat round that the member responded to, and when that response came.
    responded_round: int = 0
    responded_at: datetime.timedelta = durations.ZERO
    heartbeat_sent_at: datetime.timedelta = durations.ZERO
    # The round of the member's newest response that a lease may be based on, and when that response came.
    lease_round: int = 0
    lease_responded_at: datetime.timedelta = durations.ZERO
    # When the member was last granted a lease; None if never.
    lease_granted_at: datetime.timedelta | None = None

    @classmethod
    def from_row(cls, node: str, row: dict, now: datetime.timedelta) -> 'Peer':
        """Create the peer for a row of the table `members`, as if its last message had come just now."""
        return cls(
            node,
            row['addr'],
            row['role'],
            row.get('level', 1),
            last_seen_at=now,
            responded_at=now,
            lease_responded_at=now,
        )

    @property
    def is_control_node(self) -> bool:
        """True if the member stores the complete state, and so may vote."""
        return self.role == 'core'
