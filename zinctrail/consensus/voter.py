"""The control nodes' state machine, put together from an object for each concern.

Follows PAPER-elasticsearch-distributed-arch-c3d8.md as fixed by
DESIGN-zinctrail.md; docs/design.md lists what differs and why.
"""

import collections
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


class Voter(leading.Leading, member.Member):
    """A control node: a member that stores the whole state, and may vote and lead.

    Each of its parts, made below, owns its own fields. The voter hands them the
    inputs and timers that they need, and keeps what several of them use.

    :param files: the data folder as it was found, {name: text}.
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
        if identity and formation.is_given_up(identity, cluster, loaded.accepted, term):
            cluster, loaded = '', replica.Replica()
        # Where each control node was last heard of: {node: address}.
        self.control_node_addresses: dict[str, str] = {}
        super().__init__(location, node_settings, rng, node or '')
        self.counts: collections.Counter[str] = collections.Counter()
        self.cluster = cluster
        self.term = term
        # Whom this node voted for in its term.
        self.vote = vote
        self.replica = loaded
        # Nothing is known to be in force until a leader says so.
        loaded.next_commit_is_whole = True
        # The files of the folder, the snapshots among them, and what decides when which is written.
        self.data_folder = data_folder.DataFolder(self, files)
        self.snapshots = snapshot_writer.SnapshotWriter(self, self.data_folder, files)
        self.persistence = persistence.Persistence(self, self.data_folder, self.snapshots, files)
        # The changes that led to the newest version, also those that another leader made.
        self.history = history.History.of_folder(loaded)
        # Begins a recovered cluster, gives up a retired one.
        replaced_by = storage.decode('retired', files['retired'])['for'] if 'retired' in files else ''
        self.cluster_replacement = cluster_replacement.ClusterReplacement(self, replaced_by)
        # Stands for election, and votes for others.
        self.election = election.Election(self)
        # Hears of the other control nodes without state, and forms a cluster together with them.
        self.formation = formation.Formation(self, identity, location.first_start)
        self.bootstrap = bootstrap.Bootstrap(self)
        # All that only a leader has; None unless this node leads.
        self.leadership: leadership.Leadership | None = None
        # What members that vote for this node or join it said they have, until it is used: {node: version}.
        self.reported_versions: dict[str, tuple[int, int]] = {}
        # Members that said that they read transfers in chunks.
        self.chunk_readers: set[str] = set()
        # The number of the newest heartbeat round. It goes on over all terms of this process, so that no answer to
        # a round of an earlier term is taken for one of the present term.
        self.heartbeat_round = 0
        # When a change of the voting set last came into force here.
        self.voting_set_changed_at: datetime.timedelta | None = None
        # Answers callers while no majority is reached.
        self.majority_contact = majority_contact.MajorityContact(self)
        # Hands over before the process exits.
        self.graceful_shutdown = graceful_shutdown.GracefulShutdown(self)
        # Carries out the operations that other members request of the leader.
        self.operation_service = operations.OperationService(self)

    # -- inputs -----------------------------------------------------------

    def on_start(self):
        """Start from the folder, unless its cluster was given up."""
        replaced_by = self.cluster_replacement.replaced_by
        if replaced_by:
            self.log(f'Its cluster was given up for {replaced_by}: does nothing; clear the data folder.')
            return
        self.persistence.start()
        for node, row in self.replica.whole().get('members', {}).items():
            self.note_node(row['addr'], node, row['role'])
        super().on_start()

    def on_recv(self, frame: codec.Frame):
        """Take one frame; a voter that can't write takes only what needs no writing."""
        if self.cluster_replacement.replaced_by:
            return
        if self.disk_failed and frame.get('t') not in persistence.KINDS_WITHOUT_WRITES:
            return
        super().on_recv(frame)

    def on_disk_fault(self, text: str):
        """A write failed: vote and lead no more until the disk can be written again."""
        self.persistence.note_fault(text)
        if self.is_leader:
            # A named successor needs no pre-vote, and nobody has to find out that we are gone.
            self.graceful_shutdown.name_successor()
            self.step_down('disk')
        self.election.abandon()
        self.set_timer('disk', persistence.DISK_RETRY)

    def timer_disk(self):
        """Try whether the disk can be written again."""
        self.persistence.write_everything()

    def on_done(self, name: str):
        """All writes before were durable."""
        self.persistence.note_recovered()

    def timer_snapshot(self):
        """Write the next chunk of our own snapshot."""
        if not self.disk_failed:
            self.snapshots.write_next_chunk()

    # -- what is durable --------------------------------------------------

    @property
    def disk_failed(self) -> bool:
        """Whether the disk can not be written."""
        return self.persistence.disk_failed

    def identity(self) -> storage.NodeFile:
        """The file `node`: who this voter is and, as long as its cluster may come not to form, its part in forming one."""
        document: storage.NodeFile = {'id': self.node, 'format': storage.FORMAT}
        if self.replica.accepted <= formation.FIRST_VERSION:
            document['may_form'] = self.formation.may_form
            document['promised'] = self.formation.promised
            document['earlier_sets'] = self.formation.earlier_sets
        return document

    def raise_term(self, term: int, vote: str | None = None):
        """Enter a newer term, and vote in it; durable before anything that follows leaves this process."""
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
        """Accept a version, and keep the changes that led to it."""
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
        """Make an accepted version durable."""
        if tables is not None:
            self.persistence.write_snapshot()
        else:
            self.persistence.write_version(version, base, rows)

    def chunk_received(self, incoming: chunked_transfer.Incoming, rows: replica.Rows):
        """Write a chunk of a whole state as it comes."""
        self.snapshots.chunk_received(incoming, rows)

    # -- finding others, and forming a cluster with them --------------------

    def is_empty(self) -> bool:
        """Whether this node holds no state and belongs to no cluster."""
        return self.replica.accepted == storage.NO_VERSION and not self.cluster

    def can_join(self) -> bool:
        """Whether this node may become a member now."""
        return not self.stopping and not self.disk_failed

    def discovery_targets(self) -> list[str]:
        """The addresses that are probed in this round.

        A leader goes on probing: a node all of whose seeds are stale is found at
        its old address. A node of no cluster that has formed probes all seeds that
        anybody names, because whether they answer decides whether one may be formed.
        """
        if self.is_leader:
            members = {peer.address for peer in self.peers.values()}
            return sorted(address for address in self.known_nodes if address not in members)
        targets = super().discovery_targets()
        if self.mode == 'candidate' and self.is_forming():
            targets = sorted({*targets, *self.bootstrap.all_named_seeds()} - {self.location.addr})
        return targets

    def discovery_details(self) -> dict[str, typing.Any]:
        """A node of no cluster that has formed tells whom it heard of, and what of it matters for forming one."""
        if not self.is_forming():
            return {}
        return {
            'view': self.bootstrap.control_nodes_heard(),
            'has_enough_seeds': self.bootstrap.has_enough_seeds(),
            'may_form': self.formation.is_founder(),
            'promise_number': self.formation.promise_number(),
        }

    def on_probe(self, message: messages.Probe):
        """Remember who probes and which seeds it names, and answer."""
        self.bootstrap.note_named_seeds(message)
        super().on_probe(message)

    def on_probe_response(self, message: messages.ProbeResponse):
        """Remember what a node said, and stand for election soon if it completes a quorum.

        The sooner a quorum is in sight, the shorter the time without a leader.
        """
        self.bootstrap.note_named_seeds(message)
        super().on_probe_response(message)
        self.bootstrap.note_probe_response(message)
        if self.mode == 'candidate' and self.replica.accepted > storage.NO_VERSION and not self.stopping:
            self.election.plan()

    def timer_discovery(self):
        """Probe, and form a cluster or plan an election where that is possible."""
        super().timer_discovery()
        if self.is_leader:
            self.cluster_replacement.announce_retired()
        self.bootstrap.forget_old_views()
        if self.mode != 'candidate' or self.stopping or self.disk_failed:
            return
        self.bootstrap.run_round()
        if self.replica.accepted > storage.NO_VERSION:
            self.election.plan()

    def founders_heard(self) -> list[str]:
        """The control nodes heard lately that may form a cluster, sorted."""
        return self.bootstrap.founders_heard()

    def newest_promise_heard(self) -> int:
        """The highest number of a promise that a control node has told lately."""
        return self.bootstrap.newest_promise_heard()

    def joins_new_cluster(self):
        """This node takes the first version of a cluster."""
        self.bootstrap.stable_rounds = 0

    def is_unformed(self) -> bool:
        """Whether this node has only the first version of a cluster, and has not voted in it."""
        return self.cluster_replacement.is_unformed()

    def is_forming(self) -> bool:
        """Whether this node belongs to no cluster that has formed, as far as it knows."""
        return self.is_empty() or self.is_unformed()

    def forget_unformed(self):
        """Forget the first version of a cluster, and write the identity anew."""
        self.cluster_replacement.forget_unformed()

    def on_formation_proposal(self, message: messages.FormationProposal):
        """Another node asks whether we form a cluster with it."""
        self.formation.on_proposal(message)

    def on_formation_promise(self, message: messages.FormationPromise):
        """Another node forms a cluster with us."""
        self.formation.on_promise(message)

    def on_bootstrap(self, message: messages.Bootstrap):
        """Another node forms a cluster."""
        self.formation.on_bootstrap(message)

    def on_bootstrap_response(self, message: messages.BootstrapResponse):
        """Another node says whether it has the first version of our cluster."""
        self.formation.on_bootstrap_response(message)

    # -- elections ----------------------------------------------------------

    def voting_set(self) -> replica.VotingSet:
        """The voting configuration, {committed, accepted}, with what is accepted but not committed yet."""
        return self.replica.latest('meta', 'vc')

    def timer_election(self):
        """It is this node's turn to stand for election."""
        self.election.on_timer()

    def on_pre_vote(self, message: messages.PreVote):
        """Another node asks whether it may stand for election."""
        self.election.on_pre_vote(message)

    def on_pre_vote_response(self, message: messages.PreVoteResponse):
        """Another node agrees that we stand for election."""
        self.election.on_pre_vote_response(message)

    def on_start_join(self, message: messages.StartJoin):
        """Another node stands for election."""
        self.election.on_start_join(message)

    def on_vote(self, message: messages.Vote):
        """Another node votes for us."""
        self.election.on_vote(message)

    def follow(self, message, interval: datetime.timedelta | None = None) -> bool:
        """Follow the sender of a leader's message; False if its term is older than ours.

        A leader that its successor's own frame deposes ends its term first: what
        waits is answered, and it sends no heartbeats in the successor's term.
        """
        if self.is_leader and message.term > self.term:
            self.step_down('newer term')
        return super().follow(message, interval)

    # -- other clusters -----------------------------------------------------

    def cluster_retired(self, message: messages.Retired):
        """A node of another cluster says which ones were given up for its own."""
        self.cluster_replacement.on_cluster_retired(message)

    def heard_other_cluster(self, message: codec.Message) -> bool:
        """Whether a message of another cluster than ours was of use."""
        return self.cluster_replacement.heard_other_cluster(message)

    # -- majority contact: what it is told of, and what it decides ----------

    def timer_contact(self):
        """Contact would be found lost now, if nothing was heard."""
        self.majority_contact.on_timer()

    def leader_received(self, sent_at: datetime.timedelta):
        """A message of the leader shows that what we sent at `sent_at` reached it."""
        self.majority_contact.note_received(sent_at)

    def followed(self):
        """Another leader than before is followed from now on."""
        self.majority_contact.leader_followed()
        super().followed()
        self.election.leader_followed()
        if self.stopping:
            self.graceful_shutdown.leave_under_leader()

    def lose_leader(self, reason: str):
        """Stop following the leader, and look for the next one."""
        super().lose_leader(reason)
        self.majority_contact.leader_lost()

    def send_operation(self, key: str):
        """Send an operation to the leader, if there is one and contact with it is not lost."""
        if self.mode == 'follower' and self.majority_contact.is_lost():
            # Kept back, so that it can still be said that it was not done.
            self.majority_contact.watch()
            return
        super().send_operation(key)
        if key in self.pending_operations:
            self.majority_contact.watch()

    # -- shutting down ----------------------------------------------------

    def on_stop(self):
        """The process was told to stop."""
        if self.stopping:
            return
        self.stopping = True
        self.graceful_shutdown.begin()

    def timer_request_release(self):
        """The leader has not released this node yet."""
        self.graceful_shutdown.request_release()

    def on_leave_response(self, message: messages.LeaveResponse):
        """The leader releases this node."""
        self.graceful_shutdown.on_leave_response(message)

    def timer_successor(self):
        """The successor that this leader named does not lead yet."""
        self.graceful_shutdown.name_successor()

    def on_succeed(self, message: messages.Succeed):
        """The leader stops, and names this node its successor."""
        self.graceful_shutdown.on_succeed(message)

    # -- operations -------------------------------------------------------

    def request_operation(
        self,
        operation: str,
        arguments: operations.Arguments,
        callback: operations.Callback,
        wait: datetime.timedelta | None = None,
    ):
        """Have an operation carried out, here if this node leads."""
        if self.is_leader:
            self.majority_contact.serve_call(operation, arguments, callback)
        else:
            super().request_operation(operation, arguments, callback, wait)

    def on_operation_request(self, message: messages.OperationRequest):
        """Another member requests an operation of the leader."""
        self.operation_service.on_operation_request(message)

    # -- for the role -----------------------------------------------------

    def serve(self, operation: str, arguments: operations.Arguments, callback: operations.Callback):
        """Carry out an operation as leader; callback(result) comes once."""
        callback({'status': 404, 'fault': f'no operation {operation}'})

    def has_effects(self, operation: str) -> bool:
        """Whether carrying an operation out twice differs from carrying it out once."""
        return True

    def is_retryable(self, operation: str, arguments: operations.Arguments) -> bool:
        """Whether carrying it out again, after others acted, is the same as having carried it out once."""
        return False

    def is_watch(self, operation: str) -> bool:
        """Whether an operation waits for events, however long that takes."""
        return False

    def only_reads(self, operation: str) -> bool:
        """Whether an operation surely changes nothing."""
        return False

    # -- what it shows of itself ------------------------------------------

    def measures(self) -> typing.Iterator[tuple]:
        """Rows for zinctrail.runtime.metrics."""
        yield from super().measures()
        yield from voter_status.measures(self)

    def status(self) -> dict[str, typing.Any]:
        """The status document; its keys are part of the HTTP interface."""
        return super().status() | voter_status.status(self)
