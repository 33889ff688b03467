"""When the control nodes that are there may form a cluster: nobody lists the first ones."""

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

# How many seeds of another process are taken up: its list is short, and what it may make us probe is bounded.
SEEDS_MOST = 16
# What other processes said of their seeds counts for so many probe intervals.
NAMED_SEEDS_FOR_PROBES = 10
# In so many discovery rounds in a row all must agree on the set before a cluster is formed.
STABLE_ROUNDS = 4
# The same where there is something to wait for: more nodes, or the leader of a cluster that forms.
LATE_STABLE_ROUNDS = 25
# In one of so many rounds it is logged why no cluster is formed.
ROUNDS_PER_LOG = 25
SILENT_SEEDS_LOGGED = 10


@dataclasses.dataclass(slots=True)
class ProbeView:
    """What a node said in its last ProbeResponse."""

    heard_at: datetime.timedelta
    # The control nodes that answer it.
    answering: list[str]
    # All control nodes that it heard of, if it is without state.
    view: list[str] | None
    has_enough_seeds: bool
    cluster: str
    may_form: bool
    promise_number: int

    def knows_cluster(self) -> bool:
        """Whether the node belongs to a cluster that has formed, or may have."""
        return bool(self.cluster) and self.view is None


@dataclasses.dataclass(frozen=True, slots=True)
class NamedSeeds:
    """The seeds that a process named."""

    heard_at: datetime.timedelta
    addresses: list[str]


class SeedCounts(typing.NamedTuple):
    """How many of all namings of seeds answer, how many namings there are, and the silent seeds."""

    answering: int
    named: int
    silent: list[str]


class DiscoveringVoter(typing.Protocol):
    """What Bootstrap needs of the voter that it belongs to."""

    node: str
    now: datetime.timedelta
    location: node_location.NodeLocation
    settings: settings.Settings
    cluster: str
    replica: replica.Replica
    formation: formation.Formation
    discovery_rounds: int

    def is_forming(self) -> bool:
        """Whether this node belongs to no cluster that has formed, as far as it knows."""

    def answering_control_nodes(self) -> dict[str, str]:
        """The control nodes that were heard lately: {node: address}."""

    def is_answering(self, address: str) -> bool:
        """Whether the node at an address was heard lately."""

    def log(self, text: str, event: str = '', **fields) -> None:
        """Log a sentence, and what one would search for."""


class Bootstrap:
    """What a voter hears of the other control nodes, and when they form a cluster together."""

    def __init__(self, voter: DiscoveringVoter):
        self.voter = voter
        self.restart()

    def restart(self):
        """Begin anew, as in a node that knows of no others yet."""
        # What each node said last: {node: view}.
        self.probe_views: dict[str, ProbeView] = {}
        # Which seeds each process heard of was given, while this node is without state: {its address: seeds}.
        self.named_seeds: dict[str, NamedSeeds] = {}
        # The control nodes heard of in the last round, and in how many rounds all agreed on just these.
        self.last_view: list[str] | None = None
        self.stable_rounds = 0

    # -- what others say --------------------------------------------------

    def note_named_seeds(self, message: messages.Probe | messages.ProbeResponse):
        """Remember the seeds that another process names, while this node belongs to no cluster that has formed."""
        if self.voter.is_forming():
            seeds = [seed for seed in message.seeds or () if parsing.is_address(seed)][:SEEDS_MOST]
            self.named_seeds[codec.sender_of(message).address] = NamedSeeds(self.voter.now, seeds)

    def forget_named_seeds(self):
        """Forget the seeds that others named: this node has state now."""
        self.named_seeds = {}

    def note_probe_response(self, message: messages.ProbeResponse):
        """Remember what a node said of the control nodes and the seeds that it knows."""
        self.probe_views[codec.sender_of(message).node] = ProbeView(
            self.voter.now,
            [node for _, node, answers in message.control_nodes if node and answers],
            message.view,
            message.has_enough_seeds or False,
            codec.sender_of(message).cluster,
            message.may_form or False,
            message.promise_number or 0,
        )

    def forget_old_views(self):
        """Forget what nodes said that were not heard for long."""
        oldest = self.voter.now - self.voter.settings.remember
        for node in [node for node, view in self.probe_views.items() if view.heard_at < oldest]:
            del self.probe_views[node]

    def all_named_seeds(self) -> list[str]:
        """Every naming of a seed by a process heard lately, of any role, ourselves included."""
        oldest = self.voter.now - self.voter.settings.probe * NAMED_SEEDS_FOR_PROBES
        named = [seed for seeds in self.named_seeds.values() if seeds.heard_at >= oldest for seed in seeds.addresses]
        return named + list(self.voter.location.seeds)

    def fresh_views(self) -> dict[str, ProbeView]:
        """What the nodes said that answered lately."""
        oldest = self.voter.now - self.voter.settings.probe * discovery.ANSWERS_FOR_PROBES
        return {node: view for node, view in self.probe_views.items() if view.heard_at >= oldest}

    def control_nodes_heard(self) -> list[str]:
        """Every control node that we or anyone who answers us has heard of lately."""
        nodes = {self.voter.node} | set(self.voter.answering_control_nodes())
        for view in self.fresh_views().values():
            nodes |= set(view.answering)
        return sorted(nodes)

    def seed_counts(self) -> SeedCounts:
        """How many of the seeds that anybody names answer."""
        named = self.all_named_seeds()
        own = self.voter.location.addr
        silent = [seed for seed in named if seed != own and not self.voter.is_answering(seed)]
        return SeedCounts(len(named) - len(silent), len(named), sorted(set(silent)))

    def has_enough_seeds(self) -> bool:
        """Whether two thirds of all namings of seeds answer.

        Two groups that can't see each other can't both have as many of what their
        own members name, unless their members were given different seeds
        (docs/notes/membership.md).
        """
        counts = self.seed_counts()
        return counts.named > 0 and 3 * counts.answering >= 2 * counts.named

    # -- forming a cluster ------------------------------------------------

    def run_round(self):
        """In each discovery round of a candidate: form a cluster, or spread the first version of a new one."""
        if self.voter.replica.accepted == formation.FIRST_VERSION:
            self.voter.formation.spread_first_version()
        if self.voter.is_forming():
            self.try_to_form()

    def try_to_form(self):
        """Form a cluster once all control nodes have agreed on the set for some rounds.

        Seeds stand in for a list of initial nodes, which nobody gives us, so
        enough of them must answer, no node may know a cluster, and all must have
        heard of the same set. The first of those that may form a cluster proposes it
        to the others (formation.py); the rest of the set joins it later.
        """
        view = self.control_nodes_heard()
        agrees = self.all_agree_on(view)
        self.stable_rounds = self.stable_rounds + 1 if agrees and view == self.last_view else 0
        self.last_view = view
        self.log_why_waiting(agrees)
        founders = self.founders_heard()
        if not self.may_propose(view, founders):
            self.voter.formation.withdraw()
        elif founders[0] == self.voter.node:
            self.voter.formation.propose(founders)

    def may_propose(self, view: list[str], founders: list[str]) -> bool:
        """Whether the control nodes have agreed for long enough, and enough of them may form a cluster.

        Those that may are more than half: two seeds without their disks and a third one would be enough seeds, and
        still see little of the system. A set too small to bear the losses that it has to waits for more nodes, and
        a cluster whose first version some of them have is given time to elect a leader.
        """
        is_small = len(view) < self.voter.settings.least_voters
        is_forming = bool(self.voter.cluster) or any(other.cluster for other in self.fresh_views().values())
        rounds = LATE_STABLE_ROUNDS if is_small or is_forming else STABLE_ROUNDS
        return self.stable_rounds >= rounds and 2 * len(founders) > len(view)

    def founders_heard(self) -> list[str]:
        """The control nodes heard lately that may form a cluster, sorted."""
        founders = {node for node, view in self.fresh_views().items() if view.may_form}
        if self.voter.formation.is_founder():
            founders.add(self.voter.node)
        return sorted(founders & set(self.control_nodes_heard()))

    def newest_promise_heard(self) -> int:
        """The highest number of a promise that a control node has told lately."""
        return max((view.promise_number for view in self.fresh_views().values()), default=0)

    def all_agree_on(self, view: list[str]) -> bool:
        """Whether a cluster of this set may be formed, as all of its nodes say."""
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
        """Log now and then why nothing forms yet: whoever starts the machines has to know."""
        is_waiting = not agrees or not self.voter.formation.may_form
        if not is_waiting or self.voter.discovery_rounds % ROUNDS_PER_LOG:
            return
        counts = self.seed_counts()
        if not self.voter.formation.may_form:
            self.voter.log('Waits to join: its disk is empty, but this is no first start, so it forms no cluster.')
        elif not self.has_enough_seeds():
            self.voter.log(
                f'Waits to form: {counts.answering} of {counts.named} seeds named by all we hear answer,'
                f' two thirds must; silent: {", ".join(counts.silent[:SILENT_SEEDS_LOGGED])}.'
            )
        else:
            nodes = len(self.control_nodes_heard())
            self.voter.log(f'Waits to form: not all of the {nodes} control nodes heard of agree on the set.')
