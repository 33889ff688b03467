"""The voter's transitions to and from leadership, and the dispatch of inputs to its leadership in between."""

import typing

import zinctrail.consensus.leadership as leadership
import zinctrail.consensus.member_updates as member_updates
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replica as replica
import zinctrail.consensus.results as results
import zinctrail.consensus.transactions as transactions
import zinctrail.runtime.durations as durations

# The timers that only a leader sets.
LEADER_TIMERS = ('heartbeat', 'publication', 'publish', 'successor', 'fence', 'lease_round')
# The number of control node addresses above which those of neither voters nor members are dropped.
MAX_ADDRESSES = 256


class Leading:
    """Begins and ends the leadership of a voter, and passes messages and timers on to its components.

    Mixed into the voter, whose `leadership` is set while `is_leader` is true, and None otherwise.
    """

    member_updates_type = member_updates.MemberUpdates

    @property
    def is_leader(self) -> bool:
        """True if this node considers itself the leader."""
        return self.mode == 'leader'

    @property
    def peers(self) -> dict[str, peers.Peer]:
        """Return what this node knows as leader of each other member; empty if it does not lead."""
        return self.leadership.peers if self.leadership else {}

    # -- start and end of the leadership ----------------------------------

    def become_leader(self, votes: dict[str, dict]):
        """Become leader of the current term; `votes` are the rows of the members that voted for this node."""
        self.log(f'Leads term {self.term}.', 'lead', term=self.term, votes=sorted(votes))
        self.mode = 'leader'
        self.leader = {'id': self.node, 'addr': self.location.addr, 'http': self.location.http}
        self.timers.pop('leader', None)
        self.election.won()
        self.leadership = leadership.Leadership(self, self.member_updates_type)
        self.leadership.membership.add_elected_peers(votes)
        votes[self.node] = self.member_row()

        def first(transaction):
            for node, row in votes.items():
                transactions.add_member(transaction, node, row)
            # The first version of a term must differ from the version that it builds on, so each term writes a row.
            transaction.put('meta', 'term', self.term)
            return {'status': 200}

        self.submit(first, lambda result: result['status'] == 200 and self.leadership_confirmed())
        self.set_timer('heartbeat', durations.ZERO)

    def leadership_confirmed(self):
        """Execute the operations that waited for a leader, as the first version of our term is committed."""
        # At once, since many members have no lease yet, and only their responses from here on can be granted one.
        self.set_timer('heartbeat', durations.ZERO)
        self.operation_service.serve_waiting()

    def step_down(self, why: str):
        """Give up the leadership: notify the members, and respond to every call that waits for this leadership."""
        self.leader_loss_reason = why
        self.log(f'Steps down from term {self.term}: {why}.', 'down', term=self.term, why=why)
        for peer in self.peers.values():
            # Otherwise each member would notice only when heartbeats stay away.
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
            self.graceful_shutdown.shut_down_as_follower()

    def deposed(self):
        """Step down, as another node has reached a newer term."""
        if self.is_leader:
            self.step_down('newer term')

    # -- hooks of the role ------------------------------------------------

    def leadership_lost(self):
        """Hook of the role: discard the state that it held as leader."""

    def tick_leader(self):
        """Hook of the role: run a leader's periodic work in each heartbeat interval."""

    def rehearse(self, rows: replica.Rows):
        """Hook of the role: raise an exception if a version with these rows could not be taken up."""

    def member_removed(self, transaction: transactions.Transaction, node: str):
        """Hook of the role: clean up after a removed member."""

    # -- operations of a leader -------------------------------------------

    def submit(self, work: typing.Callable, callback: typing.Callable, for_caller: bool = False):
        """Have work(transaction) run as part of the next version; callback(result) once that is in force.

        Work submitted `for_caller` is refused while no majority is reachable; the leader's own work stays queued.
        """
        if self.is_leader:
            self.leadership.replication.submit(work, callback, for_caller)
        else:
            callback(results.NO_LEADER)

    def read(self, work: typing.Callable, callback: typing.Callable):
        """Call callback(work(view)) on the committed state, once this node is confirmed to have led after the call."""
        if self.is_leader:
            self.leadership.replication.read(work, callback)
        else:
            callback(results.NO_LEADER)

    def fence(self, callback: typing.Callable[[bool], None]):
        """Call back with True once this node is confirmed to have led after the call, with False if it does not lead."""
        if self.is_leader:
            self.leadership.fenced_reads.fence(callback)
        else:
            callback(False)

    def reconfigure(self):
        """Take one step towards the voting set that tolerates the most losses."""
        if self.is_leader:
            self.leadership.voting_configuration.reconfigure()

    def losses_tolerated(self) -> int | None:
        """Return how many more voters may be lost now; None unless this node leads."""
        return self.leadership.voting_configuration.losses_tolerated() if self.is_leader and self.voting_set() else None

    def voting_set_waits(self) -> list[str]:
        """Return descriptions of the conditions that a better voting set waits for."""
        return self.leadership.voting_configuration.pending_conditions() if self.is_leader and self.voting_set() else []

    # -- messages ---------------------------------------------------------

    def on_heartbeat_response(self, message: messages.HeartbeatResponse):
        """Handle a member's response to a heartbeat, or its refusal from a newer term."""
        if message.is_refused:
            if message.term > self.term:
                self.deposed()
        elif self.is_leader and message.term == self.term:
            self.leadership.heartbeats.on_response(message)

    def on_publish_response(self, message: messages.PublishResponse):
        """Handle a member's response to a published version."""
        if message.term > self.term:
            self.deposed()
        elif self.is_leader and message.term == self.term:
            self.leadership.replication.on_response(message)

    def on_commit_response(self, message: messages.CommitResponse):
        """Handle a member's acknowledgement that it has committed a version."""
        if self.is_leader and message.term == self.term:
            self.leadership.replication.on_commit_response(message)

    def on_chunk_response(self, message: messages.ChunkResponse):
        """Handle a member's acknowledgement of a chunk of a transfer."""
        if self.is_leader and message.term == self.term:
            self.leadership.state_transfers.on_response(message)

    def on_join(self, message: messages.Join | messages.Vote):
        """Handle a request to become a member, or a vote that arrives after this node became leader."""
        if not self.is_leader:
            return
        if message.term > self.term:
            # The node follows no term below its own, so only a leader of a newer term can admit it.
            self.deposed()
            return
        self.leadership.membership.on_join(message)

    def on_leave(self, message: messages.Leave):
        """Handle a member's notice that it shuts down."""
        if self.is_leader:
            self.leadership.membership.on_leave(message)

    def record_chunk_support(self, message: messages.Join | messages.Vote):
        """Record whether the sender supports chunked transfers."""
        if message.reads_chunks:
            self.chunk_readers.add(message.sender.node)
        else:
            self.chunk_readers.discard(message.sender.node)

    def on_lost(self, addr):
        """Handle the closed connection to the node at `addr`."""
        super().on_lost(addr)
        if self.is_leader:
            self.leadership.membership.on_connection_lost(addr)

    # -- timers -----------------------------------------------------------

    def timer_heartbeat(self):
        """Start the next heartbeat round."""
        self.leadership.heartbeats.tick()

    def timer_lease_round(self):
        """Start a heartbeat round among the voters only, so that leases can be granted soon."""
        if self.is_leader:
            self.leadership.heartbeats.start_round(everyone=False, grants_leases=True)

    def timer_publish(self):
        """Publish the changes that were gathered into a batch."""
        if self.is_leader:
            self.leadership.replication.try_publish()

    def timer_publication(self):
        """Step down, as no quorum accepted the oldest publication in time."""
        if self.is_leader and self.leadership.replication.in_flight:
            self.step_down('no quorum for a generation')

    def timer_fence(self):
        """Start the heartbeat round that fenced reads wait for, if they still need one."""
        if self.is_leader:
            self.leadership.fenced_reads.begin_round_if_needed()

    # -- records of every voter, as it may be the next leader -------------

    def record_node(self, addr, node='', role='', seen=False):
        """Record a node, and the last known address of each control node."""
        super().record_node(addr, node, role, seen)
        if node and role == 'core':
            # Stored in addition to `known_nodes`, which holds only the newest identity at each address.
            self.control_node_addresses[node] = addr
            if len(self.control_node_addresses) > MAX_ADDRESSES:
                self.forget_addresses()

    def forget_addresses(self):
        """Drop the addresses of control nodes that are neither voters nor members."""
        voting_set = self.voting_set() or {'accepted': (), 'committed': ()}
        needed = {*voting_set['accepted'], *voting_set['committed'], *self.replica.get('members')}
        for node in [n for n in self.control_node_addresses if n not in needed]:
            del self.control_node_addresses[node]

    def rows_committed(self, rows):
        """Apply committed rows, and record when the voting set changed."""
        super().rows_committed(rows)
        if any(row[:2] == ['meta', 'vc'] for row in rows or ()):
            self.voting_set_changed_at = self.now
