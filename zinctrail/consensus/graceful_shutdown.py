"""Graceful shutdown of a voter: it hands over the leadership, and exits once it is replaced in the voting set."""

import datetime
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.election as election
import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.consensus.leadership as leadership

# How long a node that shuts down keeps serving clients that still use it, even if it has nothing else to do.
LINGER_TIME = durations.ms(300)
# The same for a node that follows no leader and has no vote.
LINGER_TIME_ALONE = durations.ms(100)
# How long a leader that shuts down tries to hand over.
MAX_HANDOVER_TIME = durations.ms(1500)
# The interval after which a message without a response is sent again.
RESEND_INTERVAL = durations.ms(150)


class LeavingVoter(typing.Protocol):
    """The interface of the voter that GracefulShutdown uses."""

    node: str
    now: datetime.timedelta
    settings: settings.Settings
    timers: dict[str, datetime.timedelta]
    term: int
    mode: str
    leader: messages.LeaderRow | None
    leadership: 'leadership.Leadership | None'
    replica: replica.Replica
    election: election.Election
    # True once the process was asked to stop.
    stopping: bool

    @property
    def is_leader(self) -> bool:
        """True if this node considers itself the leader."""

    @property
    def disk_failed(self) -> bool:
        """True if the disk cannot be written."""

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """Return what this node knows as leader of each other member."""

    def voting_set(self) -> dict[str, list[str]]:
        """Return the voting configuration, {committed, accepted}."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, replacing its earlier deadline."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, with an event name and fields to search by."""

    def record_node(self, address: str, node: str = '', role: str = '', seen: bool = False) -> None:
        """Record a node that another node mentioned, or that was itself `seen`."""

    def lose_leader(self, reason: str) -> None:
        """Stop following the leader, and look for the next one."""


class GracefulShutdown:
    """Hands over the leadership and the place in the voting set before the process exits."""

    def __init__(self, voter: LeavingVoter):
        self.voter = voter
        # The earliest and the latest exit of the process, set once it is asked to stop.
        self.earliest_exit = self.latest_exit = durations.ZERO
        # Whether the leader has released this node, which need not wait any longer then.
        self.released = False

    def begin(self):
        """Begin the shutdown: hand over the leadership, or ask the leader for release."""
        self.earliest_exit = self.voter.now + LINGER_TIME
        # Half of the grace period, because the rest of the process's shutdown must fit in it as well.
        self.latest_exit = self.voter.now + max(MAX_HANDOVER_TIME, self.voter.settings.grace / 2)
        self.voter.log('Shuts down and leaves the cluster.', 'leave', node=self.voter.node)
        if self.voter.is_leader:
            self.name_successor()
            self.voter.set_timer('exit', MAX_HANDOVER_TIME)
        else:
            self.shut_down_as_follower()

    # -- as a follower ----------------------------------------------------

    def shut_down_as_follower(self):
        """Wait for the leader's release; without a leader, a voter waits up to MAX_HANDOVER_TIME for the next one."""
        if self.voter.disk_failed:
            # A node whose disk failed handles no messages of a leader, so it cannot be released.
            self.voter.set_timer('exit', LINGER_TIME)
        elif self.voter.leader and self.voter.mode == 'follower':
            self.await_release()
        elif self.has_vote():
            self.voter.set_timer('exit', MAX_HANDOVER_TIME)
        else:
            self.voter.set_timer('exit', LINGER_TIME_ALONE)

    def await_release(self):
        """Ask the leader for release, and wait for it."""
        if not self.released:
            self.voter.set_timer('exit', max(LINGER_TIME, self.latest_exit - self.voter.now))
            self.request_release()

    def has_vote(self) -> bool:
        """True if this node is in the voting set, or during a change in either of the two sets."""
        voting_set = self.voter.voting_set()
        return bool(voting_set) and self.voter.node in (*voting_set['accepted'], *voting_set['committed'])

    def request_release(self):
        """Notify the leader of the shutdown until it responds: a message may be lost, and the leader may change."""
        voter = self.voter
        if voter.leader and voter.mode == 'follower':
            voter.send_message(voter.leader['addr'], messages.Leave(awaits_release=True))
            voter.set_timer('request_release', RESEND_INTERVAL)

    def on_leave_response(self, message: messages.LeaveResponse):
        """Schedule the exit: a voting set without this node is committed, or no other node can take its place."""
        if not self.voter.stopping or self.voter.is_leader:
            return
        self.released = True
        self.voter.timers.pop('request_release', None)
        self.voter.set_timer('exit', max(durations.ZERO, self.earliest_exit - self.voter.now))

    # -- as the leader ----------------------------------------------------

    def name_successor(self):
        """Ask the most up-to-date voter to start an election at once; repeated until another node leads.

        Does nothing if this node no longer leads.
        """
        voter = self.voter
        if not voter.leadership:
            return
        eligible = voter.voting_set()['accepted']
        leaving = voter.leadership.membership.leaving
        able = [peer for node, peer in sorted(voter.peers.items()) if node in eligible and node not in leaving]
        prepared = [peer for peer in able if peer.accepted]
        if prepared:
            # The newest accepted version first, as that voter wins at once; then the most recent message, as its
            # sender is most likely to be alive.
            peer = max(prepared, key=lambda peer: (peer.accepted, peer.last_seen_at))
            voter.log(f'Names {peer.node} as its successor.', 'successor', term=voter.term, node=peer.node)
            voter.send_message(peer.address, messages.TransferLeadership(term=voter.term))
        voter.set_timer('successor', RESEND_INTERVAL)

    def on_transfer_leadership(self, message: messages.TransferLeadership):
        """Start an election without a pre-vote, as the leader shuts down and names this node its successor."""
        voter = self.voter
        if message.term != voter.term or voter.mode != 'follower' or voter.disk_failed or voter.stopping:
            return
        for node, row in voter.replica.get('members').items():
            if row['role'] == member_roles.CONTROL_NODE:
                voter.record_node(row['addr'], node, member_roles.CONTROL_NODE, seen=True)
        voter.record_node(
            codec.sender_of(message).address, codec.sender_of(message).node, member_roles.CONTROL_NODE, seen=True
        )
        voter.lose_leader('hands over')
        voter.election.start(voter.term)
