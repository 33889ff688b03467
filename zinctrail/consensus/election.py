"""Pre-votes and votes: how a voter becomes leader."""

import datetime
import random
import typing
import zlib

import zinctrail.consensus.codec as codec
import zinctrail.consensus.formation as formation
import zinctrail.consensus.messages as messages
import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

# The least delay of an election is the setting `elect` divided by this.
LEAST_DELAY_DIVISOR = 6
# By how much later each voter stands than the one whose turn is before, as a part of the setting `elect`.
TURN_DELAY = 0.5
# What is random of the delay: all of it after a first attempt, and this much of it at the first.
FIRST_RANDOM_SHARE = 0.2

# {node that voted: its row as a member; None for our own vote}
Votes = dict[str, messages.MemberRow | None]
VotingSet = replica.VotingSet


class CandidateVoter(typing.Protocol):
    """What Election needs of the voter that it belongs to."""

    node: str
    now: datetime.timedelta
    rng: random.Random
    settings: settings.Settings
    timers: dict[str, datetime.timedelta]
    counts: dict[str, int]
    term: int
    mode: str
    leader: messages.LeaderRow | None
    # Why the last leader was lost.
    leader_loss_reason: str
    replica: replica.Replica
    formation: formation.Formation
    stopping: bool
    # What each member that votes for it said it has: {node: version}.
    reported_versions: dict[str, messages.Version]

    @property
    def is_leader(self) -> bool:
        """Whether this node leads, as far as it knows."""

    @property
    def disk_failed(self) -> bool:
        """Whether the disk can not be written."""

    def voting_set(self) -> VotingSet:
        """The voting configuration, {committed, accepted}."""

    def answering_control_nodes(self) -> dict[str, str]:
        """The control nodes that were heard lately: {node: address}."""

    def member(self) -> messages.MemberRow:
        """This process as the row that it has in the table of members."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, or move it if it is set already."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, and what one would search for."""

    def raise_term(self, term: int, vote: str | None = None) -> None:
        """Enter a newer term, and vote in it; durable before anything that follows leaves this process."""

    def step_down(self, why: str) -> None:
        """Lead no more."""

    def lose_leader(self, reason: str) -> None:
        """Stop following the leader, and look for the next one."""

    def become_leader(self, votes: Votes) -> None:
        """Lead the present term."""

    def note_reads_chunks(self, message: messages.Vote) -> None:
        """Note whether the sender reads transfers in chunks."""

    def on_join(self, message: messages.Vote) -> None:
        """A node asks to be a member."""


class Election:
    """Stands for election, and votes for others."""

    def __init__(self, voter: CandidateVoter):
        self.voter = voter
        # How many pre-votes this node tried since it last followed or led.
        self.attempts = 0
        # Who agreed in the pre-vote that is under way, with their terms.
        self.pre_votes: dict[str, int] | None = None
        # Who voted for us in the election that is under way.
        self.votes: Votes | None = None
        # When this node last voted for another.
        self.voted_at: datetime.timedelta | None = None

    # -- when to stand ----------------------------------------------------

    def plan(self):
        """Stand for election after a delay, if a quorum answers.

        At the first attempt voters take turns: all lose a leader at the same
        moment, and one should stand alone. Later delays are random and grow with
        the attempts, so that two candidates do not go on splitting the votes.
        """
        voter = self.voter
        if 'election' in voter.timers:
            return
        if replica.joint_quorum({voter.node, *voter.answering_control_nodes()}, voter.voting_set()):
            is_first = self.attempts == 0
            interval = voter.settings.elect
            longest = min(interval * (1 + self.attempts), voter.settings.elect_most)
            turn = interval * (TURN_DELAY * self.turn()) if is_first else durations.ZERO
            random_delay = longest * voter.rng.random() * (FIRST_RANDOM_SHARE if is_first else 1)
            voter.set_timer('election', interval / LEAST_DELAY_DIVISOR + turn + random_delay)

    def turn(self) -> int:
        """How many of the voters that answer have their turn before us; the order differs from term to term."""
        configuration = self.voter.voting_set()
        eligible = {*configuration['accepted'], *configuration['committed']}
        voters = eligible & self.voter.answering_control_nodes().keys()
        if self.voter.node not in configuration['accepted']:
            return len(voters)
        ours = self.turn_order(self.voter.node)
        return sum(1 for node in voters if self.turn_order(node) < ours)

    def turn_order(self, node: str) -> int:
        """By which voters are sorted to take turns in this term."""
        return zlib.crc32(f'{self.voter.term}/{node}'.encode())

    def may_stand(self) -> bool:
        """Whether this node may become leader: it holds state, and can write it."""
        voter = self.voter
        accepted = voter.replica.accepted
        if voter.mode != 'candidate' or voter.disk_failed or voter.stopping or accepted == storage.NO_VERSION:
            return False
        return accepted != formation.FIRST_VERSION or voter.formation.is_first_version_settled()

    # -- pre-votes --------------------------------------------------------

    def on_timer(self):
        """Ask all voters that answer whether they would take part in an election."""
        if not self.may_stand():
            return
        if self.has_just_voted():
            self.plan()
            return
        voter = self.voter
        self.attempts += 1
        self.pre_votes = {voter.node: voter.term}
        voter.counts['prevotes'] += 1
        for _, address in sorted(voter.answering_control_nodes().items()):
            voter.send_message(address, messages.PreVote(term=voter.term, accepted=voter.replica.accepted))
        self.count_pre_votes()
        self.plan()

    def has_just_voted(self) -> bool:
        """Whether this node voted so lately that the winner may not have reached it yet."""
        return self.voted_at is not None and self.voter.now - self.voted_at < self.voter.settings.elect

    def on_pre_vote(self, message: messages.PreVote):
        """Agree to take part in an election, unless another node leads or may lead.

        While somebody leads, a node that returns must not unseat them; and just
        after a vote the node that we voted for may lead already.
        """
        voter = self.voter
        accepted = voter.replica.accepted
        follows_another = (
            voter.mode == 'follower' and voter.leader and voter.leader['id'] != codec.sender_of(message).node
        )
        if voter.is_leader or follows_another or self.has_just_voted() or accepted == storage.NO_VERSION:
            return
        voter.send_message(
            codec.sender_of(message).address, messages.PreVoteResponse(term=voter.term, accepted=accepted)
        )

    def on_pre_vote_response(self, message: messages.PreVoteResponse):
        """Count a pre-vote, unless the sender holds something newer."""
        if self.pre_votes is None or self.voter.mode != 'candidate':
            return
        if message.accepted > self.voter.replica.accepted:
            return
        self.pre_votes[codec.sender_of(message).node] = message.term
        self.count_pre_votes()

    def count_pre_votes(self):
        """Stand for election once a quorum would take part."""
        if self.pre_votes and replica.joint_quorum(self.pre_votes, self.voter.voting_set()):
            newest_term = max(self.pre_votes.values())
            self.pre_votes = None
            self.start(newest_term)

    # -- votes ------------------------------------------------------------

    def start(self, newest_term: int):
        """Stand for a term above ours and the newest one that was heard of."""
        voter = self.voter
        term = max(voter.term, newest_term) + 1
        voter.counts['elections'] += 1
        reason = voter.leader_loss_reason or 'no leader known'
        voter.log(f'Stands for term {term}.', 'stand', term=term, why=reason, tries=self.attempts)
        voter.raise_term(term, voter.node)
        self.votes = {voter.node: None}
        for _, address in sorted(voter.answering_control_nodes().items()):
            voter.send_message(address, messages.StartJoin(term=term))
        self.count_votes()

    def on_start_join(self, message: messages.StartJoin):
        """Vote for a candidate of a newer term.

        The term and the vote are written before the vote is sent: a voter that
        forgot its vote could vote twice.
        """
        voter = self.voter
        if message.term <= voter.term or voter.replica.accepted == storage.NO_VERSION:
            return
        if voter.is_leader:
            voter.step_down('newer term')
        elif voter.mode == 'follower':
            voter.lose_leader('newer term')
        candidate = codec.sender_of(message).node
        voter.raise_term(message.term, candidate)
        self.pre_votes = None
        self.voted_at = voter.now
        voter.timers.pop('election', None)
        voter.log(f'Votes for {candidate} in term {voter.term}.', 'vote', term=voter.term, node=candidate)
        voter.send_message(
            codec.sender_of(message).address,
            messages.Vote(term=voter.term, accepted=voter.replica.accepted, member=voter.member(), reads_chunks=True),
        )

    def on_vote(self, message: messages.Vote):
        """Count a vote; one that comes when we lead already is a request to be a member."""
        voter = self.voter
        if self.votes is None or message.term != voter.term or voter.mode != 'candidate':
            if voter.is_leader and message.term == voter.term:
                voter.on_join(message)
            return
        # A voter that holds something newer may hold something committed, so its vote does not count.
        if message.accepted > voter.replica.accepted:
            return
        self.votes[codec.sender_of(message).node] = message.member
        voter.reported_versions[codec.sender_of(message).node] = message.accepted
        voter.note_reads_chunks(message)
        self.count_votes()

    def count_votes(self):
        """Lead once a quorum has voted for us."""
        if self.votes is not None and replica.joint_quorum(self.votes, self.voter.voting_set()):
            votes, self.votes = self.votes, None
            self.voter.become_leader(votes)

    # -- what ends a candidacy --------------------------------------------

    def leader_followed(self):
        """Another leader is followed: no election of ours is under way any more."""
        self.attempts = 0
        self.abandon()
        self.voter.timers.pop('election', None)

    def won(self):
        """This node leads."""
        self.attempts = 0
        self.voter.timers.pop('election', None)

    def term_raised(self):
        """Votes count only for the term that they were given in."""
        self.votes = None

    def abandon(self):
        """Count no more votes or pre-votes of the rounds that are under way."""
        self.votes = self.pre_votes = None
