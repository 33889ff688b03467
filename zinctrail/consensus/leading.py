"""Where a voter becomes leader and steps down, and what it hands to its leadership meanwhile."""

import typing

import zinctrail.consensus.leadership as leadership
import zinctrail.consensus.member_updates as member_updates
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.results as results
import zinctrail.consensus.transactions as transactions
import zinctrail.runtime.durations as durations

# The timers that only a leader has.
LEADER_TIMERS = ('heartbeat', 'publication', 'publish', 'successor', 'fence', 'lease_round')
# How many addresses of control nodes are kept before those that decide nothing are forgotten.
ADDRESSES_MOST = 256


class Leading:
    """The voter's side of its leadership: begins and ends it, and passes messages and timers on to its parts.

    Mixed into the voter, whose `leadership` is there as long as `is_leader` holds, and None otherwise.
    """

    member_updates_type = member_updates.MemberUpdates

    @property
    def is_leader(self) -> bool:
        """Whether this node leads, as far as it knows."""
        return self.mode == 'leader'

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """The other members, as their leader knows them; empty where this node does not lead."""
        return self.leadership.peers if self.leadership else {}

    # -- the beginning and the end ----------------------------------------

    def become_leader(self, votes: dict[str, dict]):
        """Lead the present term; `votes` are the rows of the members that voted for this node."""
        self.log(f'Leads term {self.term}.', 'lead', term=self.term, votes=sorted(votes))
        self.mode = 'leader'
        self.leader = {'id': self.node, 'addr': self.location.addr, 'http': self.location.http}
        self.timers.pop('leader', None)
        self.election.won()
        self.leadership = leadership.Leadership(self, self.member_updates_type)
        self.leadership.membership.add_elected_peers(votes)
        votes[self.node] = self.member()

        def first(transaction):
            for node, row in votes.items():
                transactions.add_member(transaction, node, row)
            # The first version of a term must differ from what it builds on, so each term writes a row.
            transaction.put('meta', 'term', self.term)
            return {'status': 200}

        self.submit(first, lambda result: result['status'] == 200 and self.leadership_confirmed())
        self.set_timer('heartbeat', durations.ZERO)

    def leadership_confirmed(self):
        """The first version of our term is in force: what waited for a leader is served."""
        # At once, since many have no lease yet, and their answers from here on make one.
        self.set_timer('heartbeat', durations.ZERO)
        self.operation_service.serve_waiting()

    def step_down(self, why: str):
        """Lead no more: tell the members, and answer everything that waited for this leadership."""
        self.leader_loss_reason = why
        self.log(f'Steps down from term {self.term}: {why}.', 'down', term=self.term, why=why)
        for peer in self.peers.values():
            # Else each would find out only by our silence.
            self.send_message(peer.address, messages.StepDown(term=self.term))
        ended, self.leadership = self.leadership, None
        self.mode = 'candidate'
        self.leader = None
        self.leaderless_since = self.now
        for timer in LEADER_TIMERS:
            self.timers.pop(timer, None)
        ended.replication.abandon()
        ended.fenced_reads.refuse_all()
        self.leadership_lost()
        self.majority_contact.leadership_ended()
        self.restart_discovery()
        if self.stopping:
            self.graceful_shutdown.leave_as_follower()

    def deposed(self):
        """Another node showed that it has reached a newer term."""
        if self.is_leader:
            self.step_down('newer term')

    # -- for the role -----------------------------------------------------

    def leadership_lost(self):
        """For the role: forget what it kept as leader."""

    def tick_leader(self):
        """For the role: what a leader does in each heartbeat interval."""

    def member_gone(self, transaction: transactions.Transaction, node: str):
        """For the role: what else follows from a member's loss."""

    # -- what leaders do for others ---------------------------------------

    def submit(self, work: typing.Callable, callback: typing.Callable, for_caller: bool = False):
        """Have work(transaction) run as part of the next version; callback(result) once that is in force.

        What is submitted `for_caller` is refused while no majority is reached; the leader's own work is kept.
        """
        if self.is_leader:
            self.leadership.replication.submit(work, callback, for_caller)
        else:
            callback(results.NO_LEADER)

    def read(self, work: typing.Callable, callback: typing.Callable):
        """callback(work(view)) of what is in force, once it is certain that this node led after now."""
        if self.is_leader:
            self.leadership.replication.read(work, callback)
        else:
            callback(results.NO_LEADER)

    def fence(self, callback: typing.Callable[[bool], None]):
        """Call back with True once it is certain that this node led after now, with False if it does not."""
        if self.is_leader:
            self.leadership.fenced_reads.fence(callback)
        else:
            callback(False)

    def reconfigure(self):
        """Take one step towards the voting set that survives the most losses."""
        if self.is_leader:
            self.leadership.voting_configuration.reconfigure()

    def losses_borne(self) -> int | None:
        """How many more voters may be lost now; None where that is not known here."""
        return self.leadership.voting_configuration.losses_borne() if self.is_leader and self.voting_set() else None

    def voting_set_waits(self) -> list[str]:
        """What a better voting set waits for, in words."""
        return self.leadership.voting_configuration.awaits() if self.is_leader and self.voting_set() else []

    # -- messages ---------------------------------------------------------

    def on_heartbeat_response(self, message: messages.HeartbeatResponse):
        """A member answers a heartbeat, or refuses it because it has reached a newer term."""
        if message.is_refused:
            if message.term > self.term:
                self.deposed()
        elif self.is_leader and message.term == self.term:
            self.leadership.heartbeats.on_response(message)

    def on_publish_response(self, message: messages.PublishResponse):
        """A member says whether it accepted a version."""
        if message.term > self.term:
            self.deposed()
        elif self.is_leader and message.term == self.term:
            self.leadership.replication.on_response(message)

    def on_commit_response(self, message: messages.CommitResponse):
        """A member says that a version is in force there."""
        if self.is_leader and message.term == self.term:
            self.leadership.replication.on_commit_response(message)

    def on_chunk_response(self, message: messages.ChunkResponse):
        """A member says that it has a chunk of a transfer."""
        if self.is_leader and message.term == self.term:
            self.leadership.state_transfers.on_response(message)

    def on_join(self, message: messages.Join | messages.Vote):
        """A node asks to be a member, or votes for us once we lead already."""
        if not self.is_leader:
            return
        if message.term > self.term:
            # It can follow no term below its own, so that a newer one is needed to have it.
            self.deposed()
            return
        self.leadership.membership.on_join(message)

    def on_leave(self, message: messages.Leave):
        """A member stops."""
        if self.is_leader:
            self.leadership.membership.on_leave(message)

    def note_reads_chunks(self, message: messages.Join | messages.Vote):
        """Note whether the sender reads transfers in chunks."""
        if message.reads_chunks:
            self.chunk_readers.add(message.sender.node)
        else:
            self.chunk_readers.discard(message.sender.node)

    def on_lost(self, addr):
        """A connection closed."""
        super().on_lost(addr)
        if self.is_leader:
            self.leadership.membership.on_connection_lost(addr)

    # -- timers -----------------------------------------------------------

    def timer_heartbeat(self):
        """The next heartbeat round is due."""
        self.leadership.heartbeats.tick()

    def timer_lease_round(self):
        """A round is due that only grants leases."""
        if self.is_leader:
            self.leadership.heartbeats.start_round(everyone=False, grants_leases=True)

    def timer_publish(self):
        """Changes that were gathered are due to be published."""
        if self.is_leader:
            self.leadership.replication.try_publish()

    def timer_publication(self):
        """The oldest publication found no quorum in time."""
        if self.is_leader and self.leadership.replication.in_flight:
            self.step_down('no quorum for a generation')

    def timer_fence(self):
        """Reads wait for a heartbeat round."""
        if self.is_leader:
            self.leadership.fenced_reads.begin_round_if_needed()

    # -- what every voter notes, as it may be the next leader -------------

    def note_node(self, addr, node='', role='', seen=False):
        """Remember a node, and where each control node was last heard of."""
        super().note_node(addr, node, role, seen)
        if node and role == 'core':
            # Kept beside `known`, which only has the newest identity of an address.
            self.control_node_addresses[node] = addr
            if len(self.control_node_addresses) > ADDRESSES_MOST:
                self.forget_addresses()

    def forget_addresses(self):
        """Keep only the addresses that decide something: those of voters and members."""
        voting_set = self.voting_set() or {'accepted': (), 'committed': ()}
        needed = {*voting_set['accepted'], *voting_set['committed'], *self.replica.get('members')}
        for node in [n for n in self.control_node_addresses if n not in needed]:
            del self.control_node_addresses[node]

    def rows_committed(self, rows):
        """Rows came into force; note when the voting set changed."""
        super().rows_committed(rows)
        if any(row[:2] == ['meta', 'vc'] for row in rows or ()):
            self.voting_set_changed_at = self.now
