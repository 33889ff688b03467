"""A voter that was told to stop hands over, and exits once its place in the voting set is taken."""

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

# How long a node that stops stays for those that still turn to it, also where nothing else is to be done.
STAY = durations.ms(300)
# How long one stays that follows no leader and votes nowhere.
STAY_ALONE = durations.ms(100)
# How long a leader that stops tries to hand over.
HAND_OVER_MOST = durations.ms(1500)
# After how long an unanswered message is sent again.
RESEND = durations.ms(150)


class LeavingVoter(typing.Protocol):
    """What GracefulShutdown needs of the voter that it belongs to."""

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
    # Whether it was told to stop.
    stopping: bool

    @property
    def is_leader(self) -> bool:
        """Whether this node leads, as far as it knows."""

    @property
    def disk_failed(self) -> bool:
        """Whether the disk can not be written."""

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """The other members, as their leader knows them."""

    def voting_set(self) -> dict[str, list[str]]:
        """The voting configuration, {committed, accepted}."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or move it if it is set already."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, and what one would search for."""

    def note_node(self, address: str, node: str = '', role: str = '', seen: bool = False) -> None:
        """Remember a node that was mentioned, or that was itself `seen`."""

    def lose_leader(self, reason: str) -> None:
        """Stop following the leader, and look for the next one."""


class GracefulShutdown:
    """Hands over the leadership and the place in the voting set before the process exits."""

    def __init__(self, voter: LeavingVoter):
        self.voter = voter
        # When told to stop, the earliest and the latest that the process exits.
        self.earliest_exit = self.latest_exit = durations.ZERO
        # Whether the leader said that nothing more is awaited of us.
        self.released = False

    def begin(self):
        """Hand over and leave: the process was told to stop."""
        self.earliest_exit = self.voter.now + STAY
        # Half of the grace period: what the process does after this must fit in it as well.
        self.latest_exit = self.voter.now + max(HAND_OVER_MOST, self.voter.settings.grace / 2)
        self.voter.log('Leaves.', 'leave', node=self.voter.node)
        if self.voter.is_leader:
            self.name_successor()
            self.voter.set_timer('exit', HAND_OVER_MOST)
        else:
            self.leave_as_follower()

    # -- as a follower ----------------------------------------------------

    def leave_as_follower(self):
        """Stay until the leader releases us; without a leader, a voter stays a while for the next one."""
        if self.voter.disk_failed:
            # It reads nothing that a leader sends.
            self.voter.set_timer('exit', STAY)
        elif self.voter.leader and self.voter.mode == 'follower':
            self.leave_under_leader()
        elif self.has_vote():
            self.voter.set_timer('exit', HAND_OVER_MOST)
        else:
            self.voter.set_timer('exit', STAY_ALONE)

    def leave_under_leader(self):
        """Ask the leader to be released, and stay until then."""
        if not self.released:
            self.voter.set_timer('exit', max(STAY, self.latest_exit - self.voter.now))
            self.request_release()

    def has_vote(self) -> bool:
        """Whether this node is in the voting set, or in one of both during a change."""
        voting_set = self.voter.voting_set()
        return bool(voting_set) and self.voter.node in (*voting_set['accepted'], *voting_set['committed'])

    def request_release(self):
        """Tell the leader that we stop, again until it answers: a message may be lost, and leaders change."""
        voter = self.voter
        if voter.leader and voter.mode == 'follower':
            voter.send_message(voter.leader['addr'], messages.Leave(awaits_release=True))
            voter.set_timer('request_release', RESEND)

    def on_leave_response(self, message: messages.LeaveResponse):
        """The leader releases us: a voting set without us is committed, or nobody can take our place."""
        if not self.voter.stopping or self.voter.is_leader:
            return
        self.released = True
        self.voter.timers.pop('request_release', None)
        self.voter.set_timer('exit', max(durations.ZERO, self.earliest_exit - self.voter.now))

    # -- as the leader ----------------------------------------------------

    def name_successor(self):
        """Ask the voter that is best prepared to stand for election at once; again until one leads.

        Does nothing where this node does not lead any more.
        """
        voter = self.voter
        if not voter.leadership:
            return
        eligible = voter.voting_set()['accepted']
        leaving = voter.leadership.membership.leaving
        able = [peer for node, peer in sorted(voter.peers.items()) if node in eligible and node not in leaving]
        prepared = [peer for peer in able if peer.accepted]
        if prepared:
            # Who has most, then who answered last: it wins at once and is the surest to be there.
            peer = max(prepared, key=lambda peer: (peer.accepted, peer.heard_at))
            voter.log(f'Names {peer.node} successor.', 'successor', term=voter.term, node=peer.node)
            voter.send_message(peer.address, messages.TransferLeadership(term=voter.term))
        voter.set_timer('successor', RESEND)

    def on_transfer_leadership(self, message: messages.TransferLeadership):
        """The leader stops and names us its successor, so that no pre-vote is needed."""
        voter = self.voter
        if message.term != voter.term or voter.mode != 'follower' or voter.disk_failed or voter.stopping:
            return
        for node, row in voter.replica.get('members').items():
            if row['role'] == member_roles.CONTROL_NODE:
                voter.note_node(row['addr'], node, member_roles.CONTROL_NODE, seen=True)
        voter.note_node(
            codec.sender_of(message).address, codec.sender_of(message).node, member_roles.CONTROL_NODE, seen=True
        )
        voter.lose_leader('hands over')
        voter.election.start(voter.term)
