"""The forming of a cluster by a set of control nodes: promises, and the first version.

Without a list of the first nodes, several sets may come to form a cluster one
after the other: nodes are late, frozen or without power, and some come back
without their disks. Two rules keep it to one cluster that ever elects a leader:

- Only a node that was there when the whole system first started, and that kept
  its disk since, takes part. Any other one without state may have belonged to a
  cluster that it has forgotten.
- Every node of a set promises, durably, to form this cluster before any of them
  takes its first version. With a promise it gives up the cluster that it has
  promised before, the first version of which it forgets and never votes in. It
  makes one only with at least half of each earlier set, and only before it has
  voted. So once all nodes of a set have promised, no majority of an earlier set is
  left that could elect a leader.
"""

import dataclasses
import random
import typing
import uuid

import zinctrail.consensus.codec as codec
import zinctrail.consensus.messages as messages
import zinctrail.consensus.persistence as persistence
import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage

# The version that a new cluster is formed with.
FIRST_VERSION = (0, 1)


@dataclasses.dataclass(slots=True)
class Proposal:
    """A cluster that this node asks others to form with it, and the nodes that have promised it."""

    cluster: str
    number: int
    nodes: list[str]
    promised: set[str]


class FormingVoter(typing.Protocol):
    """What Formation needs of the voter that it belongs to."""

    node: str
    rng: random.Random
    cluster: str
    term: int
    replica: replica.Replica
    persistence: persistence.Persistence
    stopping: bool

    @property
    def disk_failed(self) -> bool:
        """Whether the disk can not be written."""

    def is_empty(self) -> bool:
        """Whether this node holds no state and belongs to no cluster."""

    def is_forming(self) -> bool:
        """Whether this node belongs to no cluster that has formed, as far as it knows."""

    def forget_unformed(self) -> None:
        """Forget the first version of a cluster, and write the identity anew."""

    def answering_control_nodes(self) -> dict[str, str]:
        """The control nodes that were heard lately: {node: address}."""

    def founders_heard(self) -> list[str]:
        """The control nodes heard lately that may form a cluster, sorted."""

    def newest_promise_heard(self) -> int:
        """The highest number of a promise that a control node has told lately."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, and what one would search for."""

    def joins_new_cluster(self) -> None:
        """This node takes the first version of a cluster."""

    def accept(
        self, version: messages.Version, base: messages.Version, rows: list | None, tables: dict[str, dict] | None
    ) -> None:
        """Accept a version: its rows on `base`, or whole tables."""


def is_given_up(identity: storage.NodeFile, cluster: str, accepted: messages.Version, term: int) -> bool:
    """Whether the first version that a folder holds is that of a cluster which its node has given up.

    Files that are forgotten stay in their folder until they are written over.
    """
    if accepted != FIRST_VERSION or term > 0 or 'promised' not in identity:
        return False
    promised = identity['promised']
    return promised is None or promised['cluster'] != cluster


class Formation:
    """What a voter has promised, and its part in forming a cluster.

    :param identity: the file `node` of its data folder, None for an empty folder.
    :param first_start: whether the whole system starts for the first time, as the settings say.
    """

    def __init__(self, voter: FormingVoter, identity: storage.NodeFile | None, first_start: bool):
        self.voter = voter
        # Whether this node may form a cluster, as its folder says; folders of earlier releases do not say it.
        self.may_form = (identity or {}).get('may_form', first_start)
        # What it has promised, and the sets that it has promised before.
        self.promised = (identity or {}).get('promised')
        self.earlier_sets = (identity or {}).get('earlier_sets', [])
        self.restart()

    def restart(self) -> None:
        """Begin anew, as in a node that has asked nobody yet."""
        self.proposal: Proposal | None = None
        # Which nodes have the first version; None where this node has not taken it in this run.
        self.first_version_nodes: set[str] | None = None

    def is_founder(self) -> bool:
        """Whether this node may form a cluster now."""
        return self.may_form and self.voter.is_forming() and not self.voter.stopping and not self.voter.disk_failed

    def forbid(self) -> None:
        """Form no cluster any more: another one stands, whose state this node may come to hold."""
        self.may_form, self.promised, self.earlier_sets = False, None, []

    # -- promises -----------------------------------------------------------

    def promise_number(self) -> int:
        """The number of the newest promise; 0 where there is none."""
        return self.promised['number'] if self.promised else 0

    def sets_promised(self) -> list[list[str]]:
        """All sets that this node has promised to form a cluster with."""
        return [*self.earlier_sets, self.promised['nodes']] if self.promised else self.earlier_sets

    def may_promise(self, number: int, nodes: list[str]) -> bool:
        """Whether this node may promise to form a cluster with these nodes."""
        if not self.is_founder() or self.voter.node not in nodes or number <= self.promise_number():
            return False
        return not any(replica.quorum(set(earlier) - set(nodes), earlier) for earlier in self.sets_promised())

    def promise(self, cluster: str, number: int, nodes: list[str]) -> None:
        """Promise, durably, to form a cluster, and give up the one that was promised before."""
        self.earlier_sets = [earlier for earlier in self.sets_promised() if earlier != nodes]
        self.promised = {'cluster': cluster, 'number': number, 'nodes': nodes}
        if self.voter.is_empty():
            self.voter.persistence.write_identity()
        else:
            self.voter.log(f'Gives up cluster {self.voter.cluster}, which did not form.', 'abandon', cluster=cluster)
            self.voter.forget_unformed()

    def propose(self, nodes: list[str]) -> None:
        """Ask the nodes of a set to form a cluster; called in each round in which all of them agree on it."""
        if self.proposal is None or self.proposal.nodes != nodes:
            number = max(self.promise_number(), self.voter.newest_promise_heard()) + 1
            if not self.may_promise(number, nodes):
                return
            cluster = uuid.UUID(int=self.voter.rng.getrandbits(128), version=4).hex
            self.promise(cluster, number, nodes)
            self.proposal = Proposal(cluster, number, nodes, {self.voter.node})
        addresses = self.voter.answering_control_nodes()
        for node in nodes:
            if node in addresses and node not in self.proposal.promised:
                message = messages.FormationProposal(
                    cluster=self.proposal.cluster, number=self.proposal.number, nodes=nodes
                )
                self.voter.send_message(addresses[node], message)
        self.form_if_promised()

    def withdraw(self) -> None:
        """Form nothing out of the proposal that is under way: its nodes do not agree any more."""
        self.proposal = None

    def on_proposal(self, message: messages.FormationProposal) -> None:
        """Promise what another node proposes, if we heard of the same set and no earlier promise forbids it."""
        if not self.promised or self.promised['cluster'] != message.cluster:
            if self.voter.founders_heard() != message.nodes or not self.may_promise(message.number, message.nodes):
                return
            self.withdraw()
            self.promise(message.cluster, message.number, message.nodes)
        self.voter.send_message(codec.sender_of(message).address, messages.FormationPromise(cluster=message.cluster))

    def on_promise(self, message: messages.FormationPromise) -> None:
        """Count a promise."""
        if self.proposal is not None and message.cluster == self.proposal.cluster:
            self.proposal.promised.add(codec.sender_of(message).node)
            self.form_if_promised()

    def form_if_promised(self) -> None:
        """Form the cluster once all of its nodes have promised."""
        proposal = self.proposal
        if proposal is None or not proposal.promised.issuperset(proposal.nodes) or not self.is_founder():
            return
        self.proposal = None
        self.voter.log(
            f'Forms cluster {proposal.cluster} of {len(proposal.nodes)}.',
            'form',
            cluster=proposal.cluster,
            nodes=proposal.nodes,
        )
        self.take_first_version(proposal.cluster, proposal.nodes)
        self.spread_first_version()

    # -- the first version ----------------------------------------------------

    def take_first_version(self, cluster: str, nodes: list[str]) -> None:
        """Accept the first version of a new cluster, whose voters are `nodes`."""
        self.voter.cluster = cluster
        self.voter.joins_new_cluster()
        configuration = {'committed': nodes, 'accepted': nodes}
        tables = {'meta': {'cluster': cluster, 'vc': configuration, 'boot': nodes, 'routes': list(FIRST_VERSION)}}
        self.voter.persistence.write_term()
        self.voter.accept(FIRST_VERSION, storage.NO_VERSION, None, tables)
        self.first_version_nodes = {self.voter.node}

    def spread_first_version(self) -> None:
        """Ask the other nodes of the set to take the first version, until a majority has."""
        nodes = self.voter.replica.latest('meta', 'boot')
        addresses = self.voter.answering_control_nodes()
        for node in nodes:
            if node in addresses and node not in (self.first_version_nodes or ()):
                self.voter.send_message(addresses[node], messages.Bootstrap(view=nodes, resumed=True))

    def on_bootstrap(self, message: messages.Bootstrap) -> None:
        """Take the first version of the cluster that this node has promised, and answer whether we have it."""
        cluster = codec.sender_of(message).cluster
        is_promised = self.promised is not None and self.promised['cluster'] == cluster
        if is_promised and self.voter.is_empty() and not self.voter.stopping:
            self.take_first_version(cluster, message.view)
        is_accepted = self.voter.cluster == cluster and self.voter.replica.accepted >= FIRST_VERSION
        self.voter.send_message(codec.sender_of(message).address, messages.BootstrapResponse(is_accepted=is_accepted))

    def on_bootstrap_response(self, message: messages.BootstrapResponse) -> None:
        """Count a node that has the first version."""
        if message.is_accepted and self.voter.replica.accepted == FIRST_VERSION:
            self.first_version_nodes = (self.first_version_nodes or {self.voter.node}) | {codec.sender_of(message).node}

    def is_first_version_settled(self) -> bool:
        """Whether a majority of its set has taken the first version, which counts only then."""
        return replica.quorum(self.first_version_nodes or (), self.voter.replica.latest('meta', 'boot'))
