"""The state machine of a control node, composed of one object per concern.

Follows PAPER-elasticsearch-distributed-arch-c3d8.md as fixed by
DESIGN-zinctrail.md; docs/design.md lists what differs and why.
"""

import datetime
import typing

import zinctrail.consensus.bootstrap as bootstrap
import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.cluster_replacement as cluster_replacement
import zinctrail.consensus.codec as codec
import zinctrail.consensus.data_folder as data_folder
import zinctrail.consensus.election as election
import zinctrail.consensus.formation as formation
import zinctrail.consensus.graceful_shutdown as graceful_shutdown
import zinctrail.consensus.history as history
import zinctrail.consensus.leadership as leadership
import zinctrail.consensus.leading as leading
import zinctrail.consensus.majority_contact as majority_contact
import zinctrail.consensus.member as member
import zinctrail.consensus.messages as messages
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.operations as operations
import zinctrail.consensus.persistence as persistence
import zinctrail.consensus.replica as replica
import zinctrail.consensus.snapshot_writer as snapshot_writer
import zinctrail.consensus.storage as storage
import zinctrail.consensus.voter_status as voter_status
import zinctrail.runtime.settings as settings

# The inputs that endpoints, clients and operators cause, besides calls and frames. Those of the disk, the start and the
# end of the process are not among them: who drops one of these goes on in a wrong state.
INPUTS_OF_OTHERS = ('fetched', 'hung_up', 'lost', 'settings')


class Voter(leading.Leading, member.Member):
    """A control node: a member that stores the complete state and may vote and lead.

    Each component created below owns its fields. The voter passes inputs and
    timers on to the components, and holds the fields that several of them use.

    :param files: the contents of the data folder at the start, {name: text}.
    """

    role = 'core'
    prefix = 'core'
    election_wait = majority_contact.ELECTION_OVERDUE

    def __init__(
        self, location: node_location.NodeLocation, node_settings: settings.Settings, rng, files: dict | None = None
    ):
        files = files or {}
        node, cluster, term, vote, loaded = storage.load(files)
        identity = storage.load_node(files) if 'node' in files else None
        if identity and formation.is_superseded(identity, cluster, loaded.accepted, term):
            cluster, loaded = '', replica.Replica()
        # The last known address of each control node: {node: address}.
        self.control_node_addresses: dict[str, str] = {}
        super().__init__(location, node_settings, rng, node or '')
        self.cluster = cluster
        self.term = term
        # The candidate that this node voted for in its term.
        self.vote = vote
        self.replica = loaded
        # No version is known to be committed until a leader says so.
        loaded.next_commit_is_full = True
        # The files of the data folder, the snapshots among them, and the object that decides when each is written.
        self.data_folder = data_folder.DataFolder(self, files)
        self.snapshots = snapshot_writer.SnapshotWriter(self, self.data_folder, files)
        self.persistence = persistence.Persistence(self, self.data_folder, self.snapshots, files)
        # The changes that led to the newest version, including those of earlier leaders.
        self.history = history.History.from_folder(loaded)
        # Starts a recovered cluster and abandons a retired one.
        replaced_by = storage.decode('retired', files['retired'])['for'] if 'retired' in files else ''
        self.cluster_replacement = cluster_replacement.ClusterReplacement(self, replaced_by)
        # Runs elections of this node, and votes for other candidates.
        self.election = election.Election(self)
        # Finds the other control nodes without state, and forms a cluster together with them.
        self.formation = formation.Formation(self, identity, location.first_start)
        self.bootstrap = bootstrap.Bootstrap(self)
        # The state that only a leader has; None unless this node leads.
        self.leadership: leadership.Leadership | None = None
        # The versions reported by members that vote for this node or join it, until they are used: {node: version}.
        self.reported_versions: dict[str, tuple[int, int]] = {}
        # Members that support chunked transfers.
        self.chunk_readers: set[str] = set()
        # The number of the newest heartbeat round. It is not reset between the terms of this process, so that a
        # response to a round of an earlier term cannot be mistaken for one of the current term.
        self.heartbeat_round = 0
        # When a change of the voting set was last committed here.
        self.voting_set_changed_at: datetime.timedelta | None = None
        # Responds to callers while no majority is reachable.
        self.majority_contact = majority_contact.MajorityContact(self)
        # Hands over the leadership and the vote before the process exits.
        self.graceful_shutdown = graceful_shutdown.GracefulShutdown(self)
        # Executes the operations that other members request of the leader.
        self.operation_service = operations.OperationService(self)

    # -- inputs -----------------------------------------------------------

    def on_start(self):
        """Start from the data folder, unless its cluster was retired."""
        replaced_by = self.cluster_replacement.replaced_by
        if replaced_by:
            self.log(f'The cluster of this node was replaced by {replaced_by}: node is idle; clear its data folder.')
            return
        self.persistence.start()
        for node, row in self.replica.full_state().get('members', {}).items():
            self.record_node(row['addr'], node, row['role'])
        super().on_start()

    def handle(self, kind: str, args: tuple):
        """Call the handler of an input; an input that others cause, and that fails before it changes anything, is dropped."""
        if kind in INPUTS_OF_OTHERS:
            self.guard.run(f'input {kind}', super().handle, kind, args)
        else:
            super().handle(kind, args)

    def progress(self) -> tuple:
        """Return a value that differs once this voter has changed its state or has sent anything."""
        replication = self.leadership.replication if self.leadership else None
        queued = (len(replication.queue), len(replication.in_flight)) if replication else ()
        return *super().progress(), self.term, self.vote, self.mode, queued

    def on_recv(self, frame: codec.Frame):
        """Receive one frame; a voter whose disk failed handles only frames that need no write."""
        if self.cluster_replacement.replaced_by:
            return
        if self.disk_failed and frame.get('t') not in persistence.KINDS_WITHOUT_WRITES:
            return
        super().on_recv(frame)

    def on_disk_fault(self, text: str):
        """Stop voting and leading after a failed write, until the disk can be written again."""
        self.persistence.record_disk_error(text)
        if self.is_leader:
            # A named successor needs no pre-vote, and members need no timeout to detect that this leader stepped down.
            self.graceful_shutdown.name_successor()
            self.step_down('disk')
        self.election.abandon()
        self.set_timer('disk', persistence.DISK_RETRY)

    def timer_disk(self):
        """Retry writing everything, to find out whether the disk works again."""
        self.persistence.rewrite_all()

    def on_done(self, name: str):
        """Handle the confirmation that all earlier writes are durable."""
        self.persistence.record_disk_recovery()

    def timer_snapshot(self):
        """Write the next chunk of our own snapshot."""
        if not self.disk_failed:
            self.snapshots.write_next_chunk()

    # -- durable state ----------------------------------------------------

    @property
    def disk_failed(self) -> bool:
        """True if the disk cannot be written."""
        return self.persistence.disk_failed

    def identity(self) -> storage.NodeFile:
        """Return the file `node`: this voter's identity and, until its cluster has formed, its formation state."""
        document: storage.NodeFile = {'id': self.node, 'format': storage.FORMAT}
        if self.replica.accepted <= formation.FIRST_VERSION:
            document['may_form'] = self.formation.may_form
            document['promised'] = self.formation.promised
            document['earlier_sets'] = self.formation.earlier_sets
        return document

    def raise_term(self, term: int, vote: str | None = None):
        """Enter a newer term and record the vote in it; durable before any later message leaves this process."""
        self.term = term
        self.vote = vote
        self.election.term_raised()
        self.persistence.write_term()

    def accept(
        self,
        version: storage.Version,
        base: storage.Version | None,
        rows: replica.Rows | None,
        tables: replica.Tables | None,
    ):
        """Accept a version, and add its changes to the history."""
        if tables is None:
            self.history.add(base, version, rows, self.replica.size())
        super().accept(version, base, rows, tables)
        if tables is not None:
            self.history.restart(version, member.as_version(self.replica.latest('meta', 'routes')))

    def persist(
        self,
        version: storage.Version,
        base: storage.Version | None,
        rows: replica.Rows | None,
        tables: replica.Tables | None,
    ):
        """Write an accepted version to disk."""
        if tables is not None:
            self.persistence.write_snapshot()
        else:
            self.persistence.write_version(version, base, rows)

    def chunk_received(self, incoming: chunked_transfer.Incoming, rows: replica.Rows):
        """Write a chunk of a complete state to disk as it arrives."""
        self.snapshots.chunk_received(incoming, rows)

    # -- discovery and cluster formation ------------------------------------

    def is_empty(self) -> bool:
        """True if this node holds no state and belongs to no cluster."""
        return self.replica.accepted == storage.NO_VERSION and not self.cluster

    def can_join(self) -> bool:
        """True if this node may become a member now."""
        return not self.stopping and not self.disk_failed

    def discovery_targets(self) -> list[str]:
        """Return the addresses to probe in this round.

        A leader keeps probing, so that a node whose seeds are all stale is found at
        its old address. A node without a formed cluster probes every seed that any
        process names, because the share of reachable seeds decides whether a
        cluster may be formed.
        """
        if self.is_leader:
            members = {peer.address for peer in self.peers.values()}
            return sorted(address for address in self.known_nodes if address not in members)
        targets = super().discovery_targets()
        if self.mode == 'candidate' and self.is_forming():
            targets = sorted({*targets, *self.bootstrap.all_named_seeds()} - {self.location.addr})
        return targets

    def discovery_details(self) -> dict[str, typing.Any]:
        """Return the probe fields that cluster formation needs; none once a cluster has formed."""
        if not self.is_forming():
            return {}
        return {
            'view': self.bootstrap.control_nodes_seen(),
            'has_enough_seeds': self.bootstrap.has_enough_seeds(),
            'may_form': self.formation.is_founder(),
            'promise_number': self.formation.promise_number(),
        }

    def on_probe(self, message: messages.Probe):
        """Record the probing node and the seeds that it names, and respond."""
        self.bootstrap.record_named_seeds(message)
        super().on_probe(message)

    def on_probe_response(self, message: messages.ProbeResponse):
        """Record a probe response, and plan an election if the sender completes a quorum.

        Planning at once, not in the next probe round, shortens the time without a leader.
        """
        self.bootstrap.record_named_seeds(message)
        super().on_probe_response(message)
        self.bootstrap.record_probe_response(message)
        if self.mode == 'candidate' and self.replica.accepted > storage.NO_VERSION and not self.stopping:
            self.election.plan()

    def timer_discovery(self):
        """Run a probe round, and form a cluster or plan an election if that is possible."""
        super().timer_discovery()
        if self.is_leader:
            self.cluster_replacement.announce_retired()
        self.bootstrap.forget_old_views()
        if self.mode != 'candidate' or self.stopping or self.disk_failed:
            return
        self.bootstrap.run_round()
        if self.replica.accepted > storage.NO_VERSION:
            self.election.plan()

    def founders_seen(self) -> list[str]:
        """Return the sorted control nodes seen recently that may form a cluster."""
        return self.bootstrap.founders_seen()

    def newest_promise_seen(self) -> int:
        """Return the highest promise number that a control node reported recently."""
        return self.bootstrap.newest_promise_seen()

    def joining_new_cluster(self):
        """Reset the count of stable rounds, as this node accepts the first version of a cluster."""
        self.bootstrap.stable_rounds = 0

    def is_unformed(self) -> bool:
        """True if this node has only the first version of a cluster, and has not voted in it."""
        return self.cluster_replacement.is_unformed()

    def is_forming(self) -> bool:
        """True if this node belongs to no cluster that is known to have formed."""
        return self.is_empty() or self.is_unformed()

    def forget_unformed(self):
        """Discard the first version of a cluster that did not form, and rewrite the identity file."""
        self.cluster_replacement.forget_unformed()

    def on_formation_proposal(self, message: messages.FormationProposal):
        """Handle another node's proposal to form a cluster."""
        self.formation.on_proposal(message)

    def on_formation_promise(self, message: messages.FormationPromise):
        """Handle another node's promise to form the cluster that this node proposed."""
        self.formation.on_promise(message)

    def on_bootstrap(self, message: messages.Bootstrap):
        """Handle the first version of a cluster that another node formed."""
        self.formation.on_bootstrap(message)

    def on_bootstrap_response(self, message: messages.BootstrapResponse):
        """Handle another node's report on whether it has the first version of our cluster."""
        self.formation.on_bootstrap_response(message)

    # -- elections ----------------------------------------------------------

    def voting_set(self) -> replica.VotingSet:
        """Return the newest accepted voting configuration, {committed, accepted}; it may not be committed yet."""
        return self.replica.latest('meta', 'vc')

    def timer_election(self):
        """Start a pre-vote, as the election delay of this node is over."""
        self.election.on_timer()

    def on_pre_vote(self, message: messages.PreVote):
        """Handle another node's request for a pre-vote."""
        self.election.on_pre_vote(message)

    def on_pre_vote_response(self, message: messages.PreVoteResponse):
        """Handle a pre-vote for this node."""
        self.election.on_pre_vote_response(message)

    def on_start_join(self, message: messages.StartJoin):
        """Handle a candidate's request for a vote in a newer term."""
        self.election.on_start_join(message)

    def on_vote(self, message: messages.Vote):
        """Handle a vote for this node."""
        self.election.on_vote(message)

    def follow(self, message, interval: datetime.timedelta | None = None) -> bool:
        """Follow the sender of a leader's message; return False if its term is older than ours.

        A leader that learns of its successor from such a message steps down first:
        waiting calls get their responses, and it sends no heartbeats in the
        successor's term.
        """
        if self.is_leader and message.term > self.term:
            self.step_down('newer term')
        return super().follow(message, interval)

    # -- other clusters -----------------------------------------------------

    def cluster_retired(self, message: messages.Retired):
        """Handle the list of retired clusters that a node of another cluster sent."""
        self.cluster_replacement.on_cluster_retired(message)

    def handle_other_cluster(self, message: codec.Message) -> bool:
        """Handle a message of another cluster; return False if its sender is to be refused."""
        return self.cluster_replacement.handle_other_cluster(message)

    # -- majority contact ---------------------------------------------------

    def timer_contact(self):
        """Check whether contact with the majority is lost."""
        self.majority_contact.on_timer()

    def record_leader_received(self, sent_at: datetime.timedelta):
        """Handle proof, in a message of the leader, that it received what we sent at `sent_at`."""
        self.majority_contact.record_received(sent_at)

    def leader_changed(self):
        """Handle a change of the leader that this node follows."""
        self.majority_contact.leader_changed()
        super().leader_changed()
        self.election.leader_changed()
        if self.stopping:
            self.graceful_shutdown.await_release()

    def lose_leader(self, reason: str):
        """Stop following the leader, and look for the next one."""
        super().lose_leader(reason)
        self.majority_contact.leader_lost()

    def send_operation(self, key: str):
        """Send an operation to the leader, if there is one and contact with the majority is not lost."""
        if self.mode == 'follower' and self.majority_contact.is_lost():
            # Not sent, so that the caller can still be informed that the operation was not executed.
            self.majority_contact.arm_timer()
            return
        super().send_operation(key)
        if key in self.pending_operations:
            self.majority_contact.arm_timer()

    # -- shutting down ----------------------------------------------------

    def on_stop(self):
        """Begin the graceful shutdown; later requests to stop are ignored."""
        if self.stopping:
            return
        self.begin_stop()
        self.graceful_shutdown.begin()

    def timer_request_release(self):
        """Ask the leader again to release this node."""
        self.graceful_shutdown.request_release()

    def on_leave_response(self, message: messages.LeaveResponse):
        """Handle the leader's release of this node."""
        self.graceful_shutdown.on_leave_response(message)

    def timer_successor(self):
        """Name a successor again, as none leads yet."""
        self.graceful_shutdown.name_successor()

    def on_transfer_leadership(self, message: messages.TransferLeadership):
        """Start an election, as the leader shuts down and names this node its successor."""
        self.graceful_shutdown.on_transfer_leadership(message)

    # -- operations -------------------------------------------------------

    def request_operation(
        self,
        operation: str,
        arguments: operations.Arguments,
        callback: operations.Callback,
        wait: datetime.timedelta | None = None,
    ):
        """Execute an operation if this node leads, else send it to the leader."""
        if self.is_leader:
            self.majority_contact.serve_call(operation, arguments, callback)
        else:
            super().request_operation(operation, arguments, callback, wait)

    def on_operation_request(self, message: messages.OperationRequest):
        """Handle an operation that another member requests of the leader."""
        self.operation_service.on_operation_request(message)

    # -- for the role -----------------------------------------------------

    def serve(self, operation: str, arguments: operations.Arguments, callback: operations.Callback):
        """Execute an operation as leader; callback(result) is called exactly once."""
        callback({'status': 404, 'fault': f'no operation {operation}'})

    def has_effects(self, operation: str) -> bool:
        """True if executing an operation twice differs from executing it once."""
        return True

    def is_retryable(self, operation: str, arguments: operations.Arguments) -> bool:
        """True if the operation may be executed again, even after other changes, with the effect of one execution."""
        return False

    def is_watch(self, operation: str) -> bool:
        """True if the operation waits for events without a time limit."""
        return False

    def is_read_only(self, operation: str) -> bool:
        """True if the operation is known to be read-only."""
        return False

    # -- metrics and status -----------------------------------------------

    def measures(self) -> typing.Iterator[tuple]:
        """Yield the rows for zinctrail.runtime.metrics."""
        yield from super().measures()
        yield from voter_status.measures(self)

    def status(self) -> dict[str, typing.Any]:
        """Return the status document; its keys are part of the HTTP interface."""
        return super().status() | voter_status.status(self)
