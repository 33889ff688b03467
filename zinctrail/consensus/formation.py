"""Cluster formation by a set of control nodes: durable promises, then the first version.

Without a configured list of initial nodes, several sets of nodes may try to form
a cluster one after the other: nodes are late, frozen or without power, and some
come back without their disks. Two rules ensure that only one cluster ever elects
a leader:

- Only a node that was present when the whole system first started, and that has
  kept its disk since, participates. Any other node without state may have
  belonged to a cluster and lost that state.
- Every node of a set promises, durably, to form this cluster before any of them
  accepts its first version. The promise supersedes the cluster that the node
  promised before: it discards that cluster's first version and never votes in it.
  A node promises only if the new set contains at least half of each earlier set,
  and only before it has voted. So once all nodes of a set have promised, no
  majority of an earlier set remains that could elect a leader.
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

# The first version of a new cluster.
FIRST_VERSION = (0, 1)


@dataclasses.dataclass(slots=True)
class Proposal:
    """A cluster that this node proposed, and the nodes that have promised to form it."""

    cluster: str
    number: int
    nodes: list[str]
    promised: set[str]


class FormingVoter(typing.Protocol):
    """The interface of the voter that Formation uses."""

    node: str
    rng: random.Random
    cluster: str
    term: int
    replica: replica.Replica
    persistence: persistence.Persistence
    stopping: bool

    @property
    def disk_failed(self) -> bool:
        """True if the disk cannot be written."""

    def is_empty(self) -> bool:
        """True if this node holds no state and belongs to no cluster."""

    def is_forming(self) -> bool:
        """True if this node belongs to no cluster that is known to have formed."""

    def forget_unformed(self) -> None:
        """Discard the first version of a cluster that did not form, and rewrite the identity file."""

    def reachable_control_nodes(self) -> dict[str, str]:
        """Return the control nodes seen recently: {node: address}."""

    def founders_seen(self) -> list[str]:
        """Return the sorted control nodes seen recently that may form a cluster."""

    def newest_promise_seen(self) -> int:
        """Return the highest promise number that a control node reported recently."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, with an event name and fields to search by."""

    def joining_new_cluster(self) -> None:
        """Prepare for the first version of a cluster, which this node is about to accept."""

    def accept(
        self, version: messages.Version, base: messages.Version, rows: list | None, tables: dict[str, dict] | None
    ) -> None:
        """Accept a version: changed rows on top of `base`, or complete tables."""


def is_superseded(identity: storage.NodeFile, cluster: str, accepted: messages.Version, term: int) -> bool:
    """True if a data folder holds the first version of a cluster that its node has superseded by a later promise.

    Files of discarded state stay in the data folder until they are overwritten.
    """
    if accepted != FIRST_VERSION or term > 0 or 'promised' not in identity:
        return False
    promised = identity['promised']
    return promised is None or promised['cluster'] != cluster


class Formation:
    """Holds the promises of a voter, and forms a cluster with other voters.

    :param identity: the file `node` of its data folder, None for an empty folder.
    :param first_start: the setting that says whether the whole system starts for the first time.
    """

    def __init__(self, voter: FormingVoter, identity: storage.NodeFile | None, first_start: bool):
        self.voter = voter
        # Whether this node may form a cluster, from its data folder; folders of earlier releases lack the field.
        self.may_form = (identity or {}).get('may_form', first_start)
        # The newest promise of this node, and the sets of its earlier promises.
        self.promised = (identity or {}).get('promised')
        self.earlier_sets = (identity or {}).get('earlier_sets', [])
        self.restart()

    def restart(self) -> None:
        """Reset to the state of a node that has proposed nothing yet."""
        self.proposal: Proposal | None = None
        # The nodes that have the first version; None if this process has not accepted or counted it yet.
        self.first_version_nodes: set[str] | None = None

    def is_founder(self) -> bool:
        """True if this node may form a cluster now."""
        return self.may_form and self.voter.is_forming() and not self.voter.stopping and not self.voter.disk_failed

    def forbid_formation(self) -> None:
        """Never form a cluster from now on: another one has formed, whose state this node may come to hold."""
        self.may_form, self.promised, self.earlier_sets = False, None, []

    # -- promises -----------------------------------------------------------

    def promise_number(self) -> int:
        """Return the number of the newest promise; 0 without one."""
        return self.promised['number'] if self.promised else 0

    def sets_promised(self) -> list[list[str]]:
        """Return all sets of nodes that this node has promised to form a cluster with."""
        return [*self.earlier_sets, self.promised['nodes']] if self.promised else self.earlier_sets

    def may_promise(self, number: int, nodes: list[str]) -> bool:
        """True if this node may promise to form a cluster with these nodes."""
        if not self.is_founder() or self.voter.node not in nodes or number <= self.promise_number():
            return False
        return not any(replica.quorum(set(earlier) - set(nodes), earlier) for earlier in self.sets_promised())

    def promise(self, cluster: str, number: int, nodes: list[str]) -> None:
        """Promise, durably, to form a cluster; this supersedes the cluster promised before."""
        self.earlier_sets = [earlier for earlier in self.sets_promised() if earlier != nodes]
        self.promised = {'cluster': cluster, 'number': number, 'nodes': nodes}
        if self.voter.is_empty():
            self.voter.persistence.write_identity()
        else:
            self.voter.log(f'Abandons cluster {self.voter.cluster}, which did not form.', 'abandon', cluster=cluster)
            self.voter.forget_unformed()

    def propose(self, nodes: list[str]) -> None:
        """Ask the nodes of a set to form a cluster; called in each round in which all nodes agree on the set."""
        if self.proposal is None or self.proposal.nodes != nodes:
            number = max(self.promise_number(), self.voter.newest_promise_seen()) + 1
            if not self.may_promise(number, nodes):
                return
            cluster = uuid.UUID(int=self.voter.rng.getrandbits(128), version=4).hex
            self.promise(cluster, number, nodes)
            self.proposal = Proposal(cluster, number, nodes, {self.voter.node})
        addresses = self.voter.reachable_control_nodes()
        for node in nodes:
            if node in addresses and node not in self.proposal.promised:
                message = messages.FormationProposal(
                    cluster=self.proposal.cluster, number=self.proposal.number, nodes=nodes
                )
                self.voter.send_message(addresses[node], message)
        self.form_if_promised()

    def withdraw(self) -> None:
        """Withdraw the current proposal, as its nodes no longer agree on the set."""
        self.proposal = None

    def on_proposal(self, message: messages.FormationProposal) -> None:
        """Promise to form the proposed cluster, if we see the same set and no earlier promise forbids it."""
        if not self.promised or self.promised['cluster'] != message.cluster:
            if self.voter.founders_seen() != message.nodes or not self.may_promise(message.number, message.nodes):
                return
            self.withdraw()
            self.promise(message.cluster, message.number, message.nodes)
        self.voter.send_message(codec.sender_of(message).address, messages.FormationPromise(cluster=message.cluster))

    def on_promise(self, message: messages.FormationPromise) -> None:
        """Count a promise for the current proposal."""
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
            f'Forms cluster {proposal.cluster} of {len(proposal.nodes)} control nodes.',
            'form',
            cluster=proposal.cluster,
            nodes=proposal.nodes,
        )
        self.accept_first_version(proposal.cluster, proposal.nodes)
        self.distribute_first_version()

    # -- the first version ----------------------------------------------------

    def accept_first_version(self, cluster: str, nodes: list[str]) -> None:
        """Accept the first version of a new cluster, whose voters are `nodes`."""
        self.voter.cluster = cluster
        self.voter.joining_new_cluster()
        configuration = {'committed': nodes, 'accepted': nodes}
        tables = {'meta': {'cluster': cluster, 'vc': configuration, 'boot': nodes, 'routes': list(FIRST_VERSION)}}
        self.voter.persistence.write_term()
        self.voter.accept(FIRST_VERSION, storage.NO_VERSION, None, tables)
        self.first_version_nodes = {self.voter.node}

    def distribute_first_version(self) -> None:
        """Ask the other reachable nodes of the set, unless known to have it, to accept the first version.

        Called in each round until a leader is elected, which needs a majority that has accepted it.
        """
        nodes = self.voter.replica.latest('meta', 'boot')
        addresses = self.voter.reachable_control_nodes()
        for node in nodes:
            if node in addresses and node not in (self.first_version_nodes or ()):
                self.voter.send_message(addresses[node], messages.Bootstrap(view=nodes, resumed=True))

    def on_bootstrap(self, message: messages.Bootstrap) -> None:
        """Accept the first version of the cluster that this node has promised, and respond whether we have it."""
        cluster = codec.sender_of(message).cluster
        is_promised = self.promised is not None and self.promised['cluster'] == cluster
        if is_promised and self.voter.is_empty() and not self.voter.stopping:
            self.accept_first_version(cluster, message.view)
        is_accepted = self.voter.cluster == cluster and self.voter.replica.accepted >= FIRST_VERSION
        self.voter.send_message(codec.sender_of(message).address, messages.BootstrapResponse(is_accepted=is_accepted))

    def on_bootstrap_response(self, message: messages.BootstrapResponse) -> None:
        """Count a node that has the first version."""
        if message.is_accepted and self.voter.replica.accepted == FIRST_VERSION:
            self.first_version_nodes = (self.first_version_nodes or {self.voter.node}) | {codec.sender_of(message).node}

    def has_first_version_quorum(self) -> bool:
        """True if a majority of the set has accepted the first version, which is valid only then."""
        return replica.quorum(self.first_version_nodes or (), self.voter.replica.latest('meta', 'boot'))
