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

# The minimum delay of an election is the setting `elect` divided by this.
MIN_DELAY_DIVISOR = 6
# The additional delay of each voter after the one ranked before it, as a fraction of the setting `elect`.
RANK_DELAY = 0.5
# The random fraction of the delay at the first attempt; in later attempts all of the delay is random.
FIRST_RANDOM_FRACTION = 0.2

# {node that voted: its row as a member; None for our own vote}
Votes = dict[str, messages.MemberRow | None]
VotingSet = replica.VotingSet


class CandidateVoter(typing.Protocol):
    """The interface of the voter that Election uses."""

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
    # The version that each member reported with its vote: {node: version}.
    reported_versions: dict[str, messages.Version]

    @property
    def is_leader(self) -> bool:
        """True if this node considers itself the leader."""

    @property
    def disk_failed(self) -> bool:
        """True if the disk cannot be written."""

    def voting_set(self) -> VotingSet:
        """Return the voting configuration, {committed, accepted}."""

    def reachable_control_nodes(self) -> dict[str, str]:
        """Return the control nodes seen recently: {node: address}."""

    def member_row(self) -> messages.MemberRow:
        """Return the row that describes this process in the `members` table."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def set_timer(self, name: str, delay: datetime.timedelta) -> None:
        """Set a timer, replacing its earlier deadline."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, with an event name and fields to search by."""

    def raise_term(self, term: int, vote: str | None = None) -> None:
        """Enter a newer term and record the vote in it; durable before any later message leaves this process."""

    def step_down(self, why: str) -> None:
        """Give up the leadership of the current term."""

    def lose_leader(self, reason: str) -> None:
        """Stop following the leader, and look for the next one."""

    def become_leader(self, votes: Votes) -> None:
        """Become leader of the current term."""

    def record_chunk_support(self, message: messages.Vote) -> None:
        """Record whether the sender supports chunked transfers."""

    def on_join(self, message: messages.Vote) -> None:
        """Handle a node's request to become a member."""


class Election:
    """Runs the elections of this node, and votes for other candidates."""

    def __init__(self, voter: CandidateVoter):
        self.voter = voter
        # The number of pre-votes that this node started since it last followed or led.
        self.attempts = 0
        # The nodes that agreed in the current pre-vote, with their terms; None without a pre-vote.
        self.pre_votes: dict[str, int] | None = None
        # The votes for this node in the current election; None without one.
        self.votes: Votes | None = None
        # When this node last voted for another.
        self.voted_at: datetime.timedelta | None = None

    # -- scheduling elections ---------------------------------------------

    def plan(self):
        """Schedule a pre-vote after a delay, if a quorum is reachable.

        The first attempts are staggered by rank: all voters lose a leader at the
        same moment, and only one should become a candidate. Later delays are random
        and grow with the attempts, so that two candidates do not keep splitting the
        votes.
        """
        voter = self.voter
        if 'election' in voter.timers:
            return
        if replica.joint_quorum({voter.node, *voter.reachable_control_nodes()}, voter.voting_set()):
            is_first = self.attempts == 0
            interval = voter.settings.elect
            longest = min(interval * (1 + self.attempts), voter.settings.elect_most)
            rank_delay = interval * (RANK_DELAY * self.election_rank()) if is_first else durations.ZERO
            random_delay = longest * voter.rng.random() * (FIRST_RANDOM_FRACTION if is_first else 1)
            voter.set_timer('election', interval / MIN_DELAY_DIVISOR + rank_delay + random_delay)

    def election_rank(self) -> int:
        """Return the number of reachable voters that are ranked before this node; the order differs between terms."""
        configuration = self.voter.voting_set()
        eligible = {*configuration['accepted'], *configuration['committed']}
        voters = eligible & self.voter.reachable_control_nodes().keys()
        if self.voter.node not in configuration['accepted']:
            return len(voters)
        ours = self.rank_key(self.voter.node)
        return sum(1 for node in voters if self.rank_key(node) < ours)

    def rank_key(self, node: str) -> int:
        """Return the sort key that ranks a voter in this term."""
        return zlib.crc32(f'{self.voter.term}/{node}'.encode())

    def may_start_election(self) -> bool:
        """True if this node may become leader: it holds state and can write it."""
        voter = self.voter
        accepted = voter.replica.accepted
        if voter.mode != 'candidate' or voter.disk_failed or voter.stopping or accepted == storage.NO_VERSION:
            return False
        return accepted != formation.FIRST_VERSION or voter.formation.has_first_version_quorum()

    # -- pre-votes --------------------------------------------------------

    def on_timer(self):
        """Start a pre-vote: ask all reachable control nodes whether they would vote for this node."""
        if not self.may_start_election():
            return
        if self.has_just_voted():
            self.plan()
            return
        voter = self.voter
        self.attempts += 1
        self.pre_votes = {voter.node: voter.term}
        voter.counts['prevotes'] += 1
        for _, address in sorted(voter.reachable_control_nodes().items()):
            voter.send_message(address, messages.PreVote(term=voter.term, accepted=voter.replica.accepted))
        self.count_pre_votes()
        self.plan()

    def has_just_voted(self) -> bool:
        """True if this node voted so recently that the winner's first message may still be under way."""
        return self.voted_at is not None and self.voter.now - self.voted_at < self.voter.settings.elect

    def on_pre_vote(self, message: messages.PreVote):
        """Grant a pre-vote, unless another node leads or may lead.

        A node that returns must not depose a working leader; and just after a vote
        the candidate that this node voted for may lead already.
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
        """Count a pre-vote, unless the sender has accepted a newer version."""
        if self.pre_votes is None or self.voter.mode != 'candidate':
            return
        if message.accepted > self.voter.replica.accepted:
            return
        self.pre_votes[codec.sender_of(message).node] = message.term
        self.count_pre_votes()

    def count_pre_votes(self):
        """Start an election once a quorum has granted its pre-vote."""
        if self.pre_votes and replica.joint_quorum(self.pre_votes, self.voter.voting_set()):
            newest_term = max(self.pre_votes.values())
            self.pre_votes = None
            self.start(newest_term)

    # -- votes ------------------------------------------------------------

    def start(self, newest_term: int):
        """Become a candidate for a term above our own and `newest_term`."""
        voter = self.voter
        term = max(voter.term, newest_term) + 1
        voter.counts['elections'] += 1
        reason = voter.leader_loss_reason or 'no leader known'
        voter.log(f'Starts an election for term {term}.', 'stand', term=term, why=reason, tries=self.attempts)
        voter.raise_term(term, voter.node)
        self.votes = {voter.node: None}
        for _, address in sorted(voter.reachable_control_nodes().items()):
            voter.send_message(address, messages.StartJoin(term=term))
        self.count_votes()

    def on_start_join(self, message: messages.StartJoin):
        """Vote for a candidate of a newer term.

        The term and the vote are written to disk before the vote is sent: a voter
        that lost its vote in a restart could vote twice.
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
            messages.Vote(
                term=voter.term, accepted=voter.replica.accepted, member=voter.member_row(), reads_chunks=True
            ),
        )

    def on_vote(self, message: messages.Vote):
        """Count a vote; one that arrives after this node became leader is a request to become a member."""
        voter = self.voter
        if self.votes is None or message.term != voter.term or voter.mode != 'candidate':
            if voter.is_leader and message.term == voter.term:
                voter.on_join(message)
            return
        # The newer version that such a voter has accepted may be committed, so its vote does not count.
        if message.accepted > voter.replica.accepted:
            return
        self.votes[codec.sender_of(message).node] = message.member
        voter.reported_versions[codec.sender_of(message).node] = message.accepted
        voter.record_chunk_support(message)
        self.count_votes()

    def count_votes(self):
        """Become leader once a quorum has voted for this node."""
        if self.votes is not None and replica.joint_quorum(self.votes, self.voter.voting_set()):
            votes, self.votes = self.votes, None
            self.voter.become_leader(votes)

    # -- ending an election -----------------------------------------------

    def leader_changed(self):
        """End the election of this node, as it follows a leader now."""
        self.attempts = 0
        self.abandon()
        self.voter.timers.pop('election', None)

    def won(self):
        """Reset the attempts and the election timer, as this node leads now."""
        self.attempts = 0
        self.voter.timers.pop('election', None)

    def term_raised(self):
        """Discard the votes of the previous term: a vote counts only in the term that it was given in."""
        self.votes = None

    def abandon(self):
        """Abandon the current pre-vote and election."""
        self.votes = self.pre_votes = None
