"""Decides when the control nodes found by discovery may form a cluster; no list of initial nodes is configured."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.discovery as discovery
import zinctrail.consensus.formation as formation
import zinctrail.consensus.messages as messages
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.runtime.parsing as parsing
import zinctrail.runtime.settings as settings

# The number of seeds accepted from another process, which bounds what it can make this node probe; real lists are
# shorter.
MAX_SEEDS = 16
# The number of probe intervals for which the seeds that another process named are counted.
NAMED_SEEDS_FOR_PROBES = 10
# The number of consecutive discovery rounds in which all control nodes must agree on the set before they form a
# cluster.
STABLE_ROUNDS = 4
# The same if there is something to wait for: more nodes, or the leader of a cluster that is being formed.
LATE_STABLE_ROUNDS = 25
# The reason why no cluster is formed is logged once in this many rounds.
ROUNDS_PER_LOG = 25
MAX_UNREACHABLE_SEEDS_LOGGED = 10


@dataclasses.dataclass(slots=True)
class ProbeView:
    """The last ProbeResponse of a node."""

    last_seen_at: datetime.timedelta
    # The control nodes that are reachable from it.
    reachable: list[str]
    # All control nodes that it has seen or that others reported to it, if it is without state.
    view: list[str] | None
    has_enough_seeds: bool
    cluster: str
    may_form: bool
    promise_number: int

    def knows_cluster(self) -> bool:
        """True if the node belongs to a cluster that has formed, or may have."""
        return bool(self.cluster) and self.view is None


@dataclasses.dataclass(frozen=True, slots=True)
class NamedSeeds:
    """The seeds that a process reported as its own."""

    last_seen_at: datetime.timedelta
    addresses: list[str]


class SeedCounts(typing.NamedTuple):
    """Counts of the seeds that all processes name, and the unreachable ones; a seed counts once per process naming it."""

    reachable: int
    named: int
    unreachable: list[str]


class DiscoveringVoter(typing.Protocol):
    """The interface of the voter that Bootstrap uses."""

    node: str
    now: datetime.timedelta
    location: node_location.NodeLocation
    settings: settings.Settings
    cluster: str
    replica: replica.Replica
    formation: formation.Formation
    discovery_rounds: int

    def is_forming(self) -> bool:
        """True if this node belongs to no cluster that is known to have formed."""

    def reachable_control_nodes(self) -> dict[str, str]:
        """Return the control nodes seen recently: {node: address}."""

    def is_reachable(self, address: str) -> bool:
        """True if the node at an address was seen recently."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, with an event name and fields to search by."""


class Bootstrap:
    """Collects what other control nodes report, and decides when they form a cluster together."""

    def __init__(self, voter: DiscoveringVoter):
        self.voter = voter
        self.restart()

    def restart(self):
        """Reset to the state of a node that knows no others yet."""
        # The last probe response of each node: {node: view}.
        self.probe_views: dict[str, ProbeView] = {}
        # The seeds that each process reported while this node is without state: {address of the process: seeds}.
        self.named_seeds: dict[str, NamedSeeds] = {}
        # The control nodes known in the last round, and the number of rounds in which all agreed on this set.
        self.last_view: list[str] | None = None
        self.stable_rounds = 0

    # -- reports of other nodes -------------------------------------------

    def record_named_seeds(self, message: messages.Probe | messages.ProbeResponse):
        """Record the seeds that another process names, unless this node belongs to a formed cluster."""
        if self.voter.is_forming():
            seeds = [seed for seed in message.seeds or () if parsing.is_address(seed)][:MAX_SEEDS]
            self.named_seeds[codec.sender_of(message).address] = NamedSeeds(self.voter.now, seeds)

    def forget_named_seeds(self):
        """Discard the seeds that others named, as this node has state now."""
        self.named_seeds = {}

    def record_probe_response(self, message: messages.ProbeResponse):
        """Record the control nodes and the formation state that a node reported in its probe response."""
        self.probe_views[codec.sender_of(message).node] = ProbeView(
            self.voter.now,
            [node for _, node, is_reachable in message.control_nodes if node and is_reachable],
            message.view,
            message.has_enough_seeds or False,
            codec.sender_of(message).cluster,
            message.may_form or False,
            message.promise_number or 0,
        )

    def forget_old_views(self):
        """Discard the reports of nodes not seen for the setting `remember`."""
        oldest = self.voter.now - self.voter.settings.remember
        for node in [node for node, view in self.probe_views.items() if view.last_seen_at < oldest]:
            del self.probe_views[node]

    def all_named_seeds(self) -> list[str]:
        """Return the seeds named by all processes of any role seen recently, including this one, with repetitions."""
        oldest = self.voter.now - self.voter.settings.probe * NAMED_SEEDS_FOR_PROBES
        named = [
            seed for seeds in self.named_seeds.values() if seeds.last_seen_at >= oldest for seed in seeds.addresses
        ]
        return named + list(self.voter.location.seeds)

    def fresh_views(self) -> dict[str, ProbeView]:
        """Return the probe responses that came recently, by node."""
        oldest = self.voter.now - self.voter.settings.probe * discovery.REACHABLE_FOR_PROBES
        return {node: view for node, view in self.probe_views.items() if view.last_seen_at >= oldest}

    def control_nodes_seen(self) -> list[str]:
        """Return the sorted control nodes that this node or any reachable control node has seen recently."""
        nodes = {self.voter.node} | set(self.voter.reachable_control_nodes())
        for view in self.fresh_views().values():
            nodes |= set(view.reachable)
        return sorted(nodes)

    def seed_counts(self) -> SeedCounts:
        """Count the reachable and the unreachable seeds among those that any process names."""
        named = self.all_named_seeds()
        own = self.voter.location.addr
        unreachable = [seed for seed in named if seed != own and not self.voter.is_reachable(seed)]
        return SeedCounts(len(named) - len(unreachable), len(named), sorted(set(unreachable)))

    def has_enough_seeds(self) -> bool:
        """True if at least two thirds of the seeds, each counted once per process that names it, are reachable.

        Two groups that cannot reach each other cannot both have two thirds of the
        seeds that their own members name, unless their members were given different seeds
        (docs/notes/membership.md).
        """
        counts = self.seed_counts()
        return counts.named > 0 and 3 * counts.reachable >= 2 * counts.named

    # -- forming a cluster ------------------------------------------------

    def run_round(self):
        """Try to form a cluster, or distribute the first version of a new one; runs in each round of a candidate."""
        if self.voter.replica.accepted == formation.FIRST_VERSION:
            self.voter.formation.distribute_first_version()
        if self.voter.is_forming():
            self.try_to_form()

    def try_to_form(self):
        """Propose a cluster once all control nodes have agreed on the set for enough rounds.

        The seeds replace a configured list of initial nodes. Therefore enough seeds
        must be reachable, no node may know of a cluster, and all nodes must have
        seen the same set. The first of the nodes that may form a cluster proposes
        it to the others of these (formation.py); the rest of the set joins it later.
        """
        view = self.control_nodes_seen()
        agrees = self.all_agree_on(view)
        self.stable_rounds = self.stable_rounds + 1 if agrees and view == self.last_view else 0
        self.last_view = view
        self.log_why_waiting(agrees)
        founders = self.founders_seen()
        if not self.may_propose(view, founders):
            self.voter.formation.withdraw()
        elif founders[0] == self.voter.node:
            self.voter.formation.propose(founders)

    def may_propose(self, view: list[str], founders: list[str]) -> bool:
        """True if the control nodes have agreed for enough rounds, and enough of them may form a cluster.

        More than half must be allowed to: two seeds that lost their disks and a third one would be enough seeds, and
        still see little of the system. A set of fewer than `least_voters` nodes, too small to tolerate the required
        losses, waits longer for more nodes. If some nodes already have the first version of a cluster, the others wait
        longer too, to give it time to elect a leader.
        """
        is_small = len(view) < self.voter.settings.least_voters
        is_forming = bool(self.voter.cluster) or any(other.cluster for other in self.fresh_views().values())
        rounds = LATE_STABLE_ROUNDS if is_small or is_forming else STABLE_ROUNDS
        return self.stable_rounds >= rounds and 2 * len(founders) > len(view)

    def founders_seen(self) -> list[str]:
        """Return the sorted control nodes seen recently that may form a cluster."""
        founders = {node for node, view in self.fresh_views().items() if view.may_form}
        if self.voter.formation.is_founder():
            founders.add(self.voter.node)
        return sorted(founders & set(self.control_nodes_seen()))

    def newest_promise_seen(self) -> int:
        """Return the highest promise number that a control node reported recently."""
        return max((view.promise_number for view in self.fresh_views().values()), default=0)

    def all_agree_on(self, view: list[str]) -> bool:
        """True if all nodes of this set reported the same set, enough seeds, and no formed cluster."""
        views = self.fresh_views()
        return (
            self.has_enough_seeds()
            and not any(other.knows_cluster() for other in views.values())
            and all(
                node in views and views[node].view == view and views[node].has_enough_seeds
                for node in view
                if node != self.voter.node
            )
        )

    def log_why_waiting(self, agrees: bool):
        """Log every ROUNDS_PER_LOG rounds why no cluster forms yet, for the operator who starts the machines."""
        is_waiting = not agrees or not self.voter.formation.may_form
        if not is_waiting or self.voter.discovery_rounds % ROUNDS_PER_LOG:
            return
        counts = self.seed_counts()
        if not self.voter.formation.may_form:
            self.voter.log(
                'Waits to join a cluster: the data folder is empty, but this is not the first start of the system,'
                ' so this node forms no cluster.'
            )
        elif not self.has_enough_seeds():
            self.voter.log(
                f'Waits to form a cluster: {counts.reachable} of {counts.named} named seeds are reachable,'
                f' two thirds are needed; unreachable: {", ".join(counts.unreachable[:MAX_UNREACHABLE_SEEDS_LOGGED])}.'
            )
        else:
            nodes = len(self.control_nodes_seen())
            self.voter.log(
                f'Waits to form a cluster: the {nodes} control nodes known here do not all agree on the set.'
            )
