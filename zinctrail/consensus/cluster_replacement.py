"""Replacement of one cluster by another: recovery, retirement, and clusters that never formed.

Operators recover a cluster that lost its majority as a new one, and the old one
is retired (docs/operate/recover.md).
"""

import datetime
import typing

import zinctrail.consensus.bootstrap as bootstrap
import zinctrail.consensus.codec as codec
import zinctrail.consensus.election as election
import zinctrail.consensus.formation as formation
import zinctrail.consensus.messages as messages
import zinctrail.consensus.persistence as persistence
import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage


class ReplacedVoter(typing.Protocol):
    """The interface of the voter that ClusterReplacement uses."""

    cluster: str
    term: int
    mode: str
    leader: messages.LeaderRow | None
    timers: dict[str, datetime.timedelta]
    replica: replica.Replica
    bootstrap: bootstrap.Bootstrap
    formation: formation.Formation
    election: election.Election
    persistence: persistence.Persistence

    @property
    def is_leader(self) -> bool:
        """True if this node considers itself the leader."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, with an event name and fields to search by."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def discovery_targets(self) -> list[str]:
        """Return the addresses to probe in this round."""

    def respond_to_probe(self, address: str) -> None:
        """Send a node our identity, the control nodes that we have seen, and the leader."""

    def on_probe(self, message: messages.Probe) -> None:
        """Record the probing node and the seeds that it names, and respond."""

    def on_probe_response(self, message: messages.ProbeResponse) -> None:
        """Record a probe response."""

    def record_node(self, address: str, node: str = '', role: str = '', seen: bool = False) -> None:
        """Record a node that another node mentioned, or that was itself `seen`."""

    def restart_discovery(self) -> None:
        """Start a probe round at once."""

    def forget_cluster(self) -> None:
        """Discard our cluster and its state, and restart discovery."""

    def raise_term(self, term: int, vote: str | None = None) -> None:
        """Enter a newer term and record the vote in it; durable before any later message leaves this process."""

    def step_down(self, why: str) -> None:
        """Give up the leadership of the current term."""

    def accept(
        self, version: messages.Version, base: messages.Version, rows: list | None, tables: dict[str, dict] | None
    ) -> None:
        """Accept a version: changed rows on top of `base`, or complete tables."""


class ClusterReplacement:
    """Starts a recovered cluster, leaves a retired one, and abandons one that never formed.

    :param replaced_by: the cluster that replaced this voter's cluster, from the data folder; '' for none.
    """

    def __init__(self, voter: ReplacedVoter, replaced_by: str = ''):
        self.voter = voter
        # The cluster that replaced ours, if an operator retired ours; this node is idle then.
        self.replaced_by = replaced_by

    # -- recovery by operators --------------------------------------------

    def begin(self, cluster: str, term: int, generation: int, tables: dict[str, dict], addresses: list[str]):
        """Start as the only voter of a cluster with this state, and look for nodes at `addresses`."""
        voter = self.voter
        voter.bootstrap.forget_named_seeds()
        voter.cluster = cluster
        voter.raise_term(term)
        voter.accept((0, generation), storage.NO_VERSION, None, tables)
        for address in addresses:
            voter.record_node(address)
        voter.restart_discovery()

    def announce_retired(self):
        """Notify nodes that may still belong to a retired cluster, whose frames would be refused without a response."""
        retired = self.voter.replica.get('meta', 'retired')
        for address in self.voter.discovery_targets() if retired else ():
            self.voter.send_message(address, messages.Retired(clusters=retired))

    def on_cluster_retired(self, message: messages.Retired):
        """If our cluster was retired, stay idle from now on, until an operator clears the data folder."""
        voter = self.voter
        if voter.cluster not in message.clusters or self.replaced_by:
            return
        if voter.is_leader:
            voter.step_down('given up')
        successor = codec.sender_of(message).cluster
        voter.log(f'Cluster {voter.cluster} was replaced by {successor}: node is idle now; clear its data folder.')
        self.replaced_by = successor
        voter.leader, voter.mode, voter.timers = None, 'candidate', {}
        voter.persistence.write_retired(successor)

    # -- clusters that never formed ---------------------------------------

    def handle_other_cluster(self, message: codec.Message) -> bool:
        """Handle a message of another cluster; return False if its sender is to be refused.

        A node of a formed cluster responds to probes of other clusters, so that a
        node whose own cluster never formed can join it.
        """
        voter = self.voter
        if isinstance(message, messages.Probe) and voter.leader and voter.replica.committed[0] > 0:
            voter.respond_to_probe(codec.sender_of(message).address)
        elif isinstance(message, messages.ProbeResponse) and self.is_unformed() and message.leader and message.term > 0:
            self.abandon_unformed(codec.sender_of(message))
            return True
        return self.is_unformed() and self.handle_while_unformed(message)

    def handle_while_unformed(self, message: codec.Message) -> bool:
        """Handle discovery and formation messages of another cluster, as neither may have formed; False for others."""
        voter = self.voter
        if isinstance(message, messages.Probe):
            voter.on_probe(message)
        elif isinstance(message, messages.ProbeResponse):
            voter.on_probe_response(message)
        elif isinstance(message, messages.FormationProposal):
            voter.formation.on_proposal(message)
        elif isinstance(message, messages.FormationPromise):
            voter.formation.on_promise(message)
        else:
            return False
        return True

    def is_unformed(self) -> bool:
        """True if this node accepted a first version, but never voted or followed a leader since."""
        voter = self.voter
        return voter.replica.accepted == formation.FIRST_VERSION and voter.term == 0 and not self.replaced_by

    def abandon_unformed(self, successor: codec.Sender):
        """Abandon our cluster, which never formed, because another cluster has formed.

        Discarding its state is safe: no vote was cast and no leader's version
        accepted. The other cluster has a leader, so a majority of its set accepted
        its first version; the promises made before (formation.py) prevent any other
        cluster from forming.
        """
        voter = self.voter
        voter.log(
            f'Cluster {voter.cluster} never formed: joins {successor.cluster} instead.',
            'abandon',
            cluster=successor.cluster,
        )
        # The other cluster has formed: without state, this node may only join it.
        voter.formation.forbid_formation()
        voter.bootstrap.restart()
        voter.record_node(successor.address, successor.node, 'core', seen=True)
        self.forget_unformed()

    def forget_unformed(self):
        """Discard the first version of a cluster that did not form, and rewrite the identity file."""
        voter = self.voter
        voter.formation.restart()
        voter.election.abandon()
        voter.forget_cluster()
        # Only the state is discarded. The term file stays: it records that this node has not voted, which remains true.
        voter.persistence.discard_state()
