"""How a voter acts where one cluster takes the place of another: recovery, retirement, and one that never formed.

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
    """What ClusterReplacement needs of the voter that it belongs to."""

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
        """Whether this node leads, as far as it knows."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, and what one would search for."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def discovery_targets(self) -> list[str]:
        """The addresses that are probed in this round."""

    def answer_probe(self, address: str) -> None:
        """Tell a node who we are, which control nodes we heard, and who leads."""

    def on_probe(self, message: messages.Probe) -> None:
        """Remember who probes and which seeds it names, and answer."""

    def on_probe_response(self, message: messages.ProbeResponse) -> None:
        """Remember what a node said."""

    def note_node(self, address: str, node: str = '', role: str = '', seen: bool = False) -> None:
        """Remember a node that was mentioned, or that was itself `seen`."""

    def restart_discovery(self) -> None:
        """Begin a round of probes at once."""

    def forget_cluster(self) -> None:
        """Forget our cluster and its state, and look for others."""

    def raise_term(self, term: int, vote: str | None = None) -> None:
        """Enter a newer term, and vote in it; durable before anything that follows leaves this process."""

    def step_down(self, why: str) -> None:
        """Lead no more."""

    def accept(
        self, version: messages.Version, base: messages.Version, rows: list | None, tables: dict[str, dict] | None
    ) -> None:
        """Accept a version: its rows on `base`, or whole tables."""


class ClusterReplacement:
    """Begins a recovered cluster, gives up a retired one, and abandons one that never formed.

    :param replaced_by: the cluster that took the place of this voter's, as its data folder says; '' for none.
    """

    def __init__(self, voter: ReplacedVoter, replaced_by: str = ''):
        self.voter = voter
        # The cluster that took the place of ours, where an operator gave ours up; this node does nothing then.
        self.replaced_by = replaced_by

    # -- recovery by operators --------------------------------------------

    def begin(self, cluster: str, term: int, generation: int, tables: dict[str, dict], addresses: list[str]):
        """Begin as the only voter of a cluster of this state; who is at `addresses` is looked for."""
        voter = self.voter
        voter.bootstrap.forget_named_seeds()
        voter.cluster = cluster
        voter.raise_term(term)
        voter.accept((0, generation), storage.NO_VERSION, None, tables)
        for address in addresses:
            voter.note_node(address)
        voter.restart_discovery()

    def announce_retired(self):
        """Tell nodes that may hold on to the retired cluster, whose frames would be refused without a word."""
        retired = self.voter.replica.get('meta', 'retired')
        for address in self.voter.discovery_targets() if retired else ():
            self.voter.send_message(address, messages.Retired(clusters=retired))

    def on_cluster_retired(self, message: messages.Retired):
        """Our cluster may be given up: do nothing more then, until an operator clears the folder."""
        voter = self.voter
        if voter.cluster not in message.clusters or self.replaced_by:
            return
        if voter.is_leader:
            voter.step_down('given up')
        successor = codec.sender_of(message).cluster
        voter.log(f'Cluster {voter.cluster} was given up for {successor}: does nothing more; clear the data folder.')
        self.replaced_by = successor
        voter.leader, voter.mode, voter.timers = None, 'candidate', {}
        voter.persistence.write_retired(successor)

    # -- a cluster of ours that never formed ------------------------------

    def heard_other_cluster(self, message: codec.Message) -> bool:
        """Whether a message of another cluster was of use.

        A node of a cluster that formed answers strangers, so that one whose own
        never formed can join it.
        """
        voter = self.voter
        if isinstance(message, messages.Probe) and voter.leader and voter.replica.committed[0] > 0:
            voter.answer_probe(codec.sender_of(message).address)
        elif isinstance(message, messages.ProbeResponse) and self.is_unformed() and message.leader and message.term > 0:
            self.abandon_unformed(codec.sender_of(message))
            return True
        return self.is_unformed() and self.take_while_unformed(message)

    def take_while_unformed(self, message: codec.Message) -> bool:
        """Whether a message of another cluster serves to form one together, as neither may have formed yet."""
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
        """Whether we took a first version, but never voted, nor heard of a leader under it."""
        voter = self.voter
        return voter.replica.accepted == formation.FIRST_VERSION and voter.term == 0 and not self.replaced_by

    def abandon_unformed(self, successor: codec.Sender):
        """Forget a cluster that never formed here, as another did.

        Nothing rests on what is forgotten: no vote was cast and no leader's
        version accepted. The other cluster leads, so a majority of its set took
        its first version; the promises before it (formation.py) let no other one form.
        """
        voter = self.voter
        voter.log(
            f'Cluster {voter.cluster} never formed: joins {successor.cluster} instead.',
            'abandon',
            cluster=successor.cluster,
        )
        # The other cluster stands: without state, this node may only join it.
        voter.formation.forbid()
        voter.bootstrap.restart()
        voter.note_node(successor.address, successor.node, 'core', seen=True)
        self.forget_unformed()

    def forget_unformed(self):
        """Forget the first version of a cluster that did not form, and write the identity anew."""
        voter = self.voter
        voter.formation.restart()
        voter.election.abandon()
        voter.forget_cluster()
        # Only the state is forgotten: that nothing was voted for, which the term file says, stays true.
        voter.persistence.discard_state()
