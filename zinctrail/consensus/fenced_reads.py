"""Linearizable reads: served only once a quorum has confirmed that this node led after the read arrived."""

import dataclasses
import typing

import zinctrail.consensus.leader_part as leader_part


@dataclasses.dataclass(slots=True)
class FencedRead:
    """A read that waits for a quorum to confirm the leadership."""

    # The first heartbeat round started after the read arrived: a quorum's responses to it confirm the leadership.
    round: int
    # The newest version accepted when the read arrived: the commit of any later one confirms the leadership as well.
    version: tuple[int, int]
    # Called with True once the leadership is confirmed, with False if it is lost before.
    callback: typing.Callable[[bool], None]


class FencedReads(leader_part.LeaderPart):
    """The reads that wait for the leadership to be confirmed."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        self.waiting: list[FencedRead] = []

    def fence(self, callback: typing.Callable[[bool], None]):
        """Call back with True once a quorum has confirmed a round or accepted a version that started after this call.

        Calls back with False if the leadership is lost before.
        """
        voter = self.voter
        self.waiting.append(FencedRead(voter.heartbeat_round + 1, voter.replica.accepted, callback))
        if 'fence' not in voter.timers:
            # After a short pause, so that many reads share one round.
            voter.set_timer('fence', voter.settings.gather)

    def begin_round_if_needed(self):
        """Start the round that the reads wait for, unless the commit of a version in flight will confirm them."""
        in_flight = self.leadership.replication.in_flight
        newest = in_flight[-1].version if in_flight else (0, 0)
        if any(read.round > self.voter.heartbeat_round and read.version >= newest for read in self.waiting):
            self.leadership.heartbeats.start_round(everyone=False)

    def round_confirmed(self, number: int):
        """Release the reads confirmed by a quorum's responses to this round."""
        self._release(lambda read: read.round <= number)

    def version_committed(self, version: tuple[int, int]):
        """Release the reads confirmed by the commit of this version."""
        self._release(lambda read: read.version < version)

    def refuse_all(self):
        """Refuse all waiting reads, as the leadership is lost or no majority is reachable."""
        waiting, self.waiting = self.waiting, []
        for read in waiting:
            read.callback(False)

    def _release(self, is_confirmed):
        ready = [read for read in self.waiting if is_confirmed(read)]
        self.waiting = [read for read in self.waiting if not is_confirmed(read)]
        for read in ready:
            read.callback(True)
