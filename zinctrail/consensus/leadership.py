"""The state that only a leader has: created when a voter is elected, discarded when it steps down."""

import zinctrail.consensus.fenced_reads as fenced_reads
import zinctrail.consensus.heartbeats as heartbeats
import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.leases as leases
import zinctrail.consensus.member_updates as member_updates
import zinctrail.consensus.membership as membership
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replication as replication
import zinctrail.consensus.state_transfer as state_transfer
import zinctrail.consensus.voting_configuration as voting_configuration


class Leadership:
    """The components of one node's leadership, from its election until it steps down.

    :param member_updates_type: the class that sends members the versions they lack; simulations use their own.
    """

    def __init__(
        self,
        voter: leader_part.LeadingVoter,
        member_updates_type: type[member_updates.MemberUpdates] = member_updates.MemberUpdates,
    ):
        # The other members, including those that join by a version not committed yet: {node: peer}.
        self.peers: dict[str, peers.Peer] = {}
        # The replication queue: changes not computed yet, and versions published but not committed.
        self.replication = replication.Replication(voter, self)
        # Sends each member the versions that it lacks.
        self.member_updates = member_updates_type(voter, self)
        # The heartbeat rounds whose responses confirm that the members still follow.
        self.heartbeats = heartbeats.Heartbeats(voter, self)
        # Grants leases to members after such a round.
        self.leases = leases.Leases(voter, self)
        # Reads that wait until the leadership of this node is confirmed.
        self.fenced_reads = fenced_reads.FencedReads(voter, self)
        # Admits and removes members.
        self.membership = membership.Membership(voter, self)
        # Decides which control nodes vote.
        self.voting_configuration = voting_configuration.VotingConfiguration(voter, self)
        # Chunked transfers to members that lack too much for one frame.
        self.state_transfers = state_transfer.StateTransfers(voter, self)
