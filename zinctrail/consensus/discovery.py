"""Node discovery: probes the seeds, and the nodes that other nodes report, until a leader is found."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.messages as messages
import zinctrail.runtime.durations as durations

# The number of probe intervals for which a node counts as reachable after it was seen: one lost response must not
# change the set of reachable nodes.
REACHABLE_FOR_PROBES = 3
# Nodes other than control nodes are probed once in this many rounds.
ROUNDS_PER_FULL_PROBE = 5


@dataclasses.dataclass(slots=True)
class KnownNode:
    """The record of the node at an address."""

    node: str
    role: str
    # When its last message came; None if none came yet.
    last_seen_at: datetime.timedelta | None
    # When its last message came, or when another node first mentioned it.
    mentioned_at: datetime.timedelta


class Discovery:
    """Finds other nodes while no leader is known. Mixed into Member."""

    def __init__(self, rng):
        super().__init__(rng)
        # {address: KnownNode}
        self.known_nodes: dict[str, KnownNode] = {}
        self.discovery_rounds = 0

    def record_node(self, address: str, node: str = '', role: str = '', seen: bool = False):
        """Record a node that another node mentioned, or that was itself `seen`."""
        if address == self.location.addr:
            return
        known = self.known_nodes.setdefault(address, KnownNode(node, role, None, self.now))
        if node and known.node != node:
            known.node, known.last_seen_at = node, None
        if role:
            known.role = role
        if seen:
            known.last_seen_at = known.mentioned_at = self.now

    def was_seen_recently(self, known: KnownNode) -> bool:
        """True if a known node was seen recently."""
        return (
            known.last_seen_at is not None
            and known.last_seen_at >= self.now - self.settings.probe * REACHABLE_FOR_PROBES
        )

    def is_reachable(self, address: str) -> bool:
        """True if the node at an address was seen recently."""
        return address in self.known_nodes and self.was_seen_recently(self.known_nodes[address])

    def reachable_control_nodes(self) -> dict[str, str]:
        """Return the control nodes seen recently: {node: address}."""
        return {
            known.node: address
            for address, known in self.known_nodes.items()
            if known.role == 'core' and known.node and self.was_seen_recently(known)
        }

    def timer_discovery(self):
        """Probe the nodes of this round, and drop non-members neither seen nor first mentioned within `remember`."""
        self.set_timer('discovery', self.settings.probe)
        self.discovery_rounds += 1
        for address in self.discovery_targets():
            self.send_message(
                address,
                messages.Probe(member=self.member_row(), seeds=self.location.seeds, **self.discovery_details()),
            )
        oldest = self.now - self.settings.remember
        members = {row['addr'] for row in self.replica.get('members').values()}
        for address in [a for a, known in self.known_nodes.items() if known.mentioned_at < oldest and a not in members]:
            del self.known_nodes[address]

    def discovery_targets(self) -> list[str]:
        """Return the addresses to probe in this round."""
        if self.mode != 'candidate':
            return []
        # A control node can report the leader; other nodes can only report control nodes, so they are probed less often.
        probes_all = self.discovery_rounds % ROUNDS_PER_FULL_PROBE == 0
        addresses = {address for address, known in self.known_nodes.items() if known.role == 'core' or probes_all}
        return sorted((addresses | set(self.location.seeds)) - {self.location.addr})

    def discovery_details(self) -> dict[str, typing.Any]:
        """Hook of the role: return further fields of the Probe and ProbeResponse messages."""
        return {}

    def on_probe(self, message: messages.Probe):
        """Record the probing node, and respond."""
        self.record_node(message.sender.address, message.sender.node, message.member['role'], seen=True)
        self.respond_to_probe(message.sender.address)

    def respond_to_probe(self, address: str):
        """Send a node our identity, the control nodes that we have seen, and the leader."""
        control_nodes = [
            [known_address, known.node, self.was_seen_recently(known)]
            for known_address, known in self.known_nodes.items()
            if known.role == 'core' and known.last_seen_at is not None
        ]
        self.send_message(
            address,
            messages.ProbeResponse(
                member=self.member_row(),
                term=self.term,
                leader=self.leader,
                control_nodes=sorted(control_nodes),
                seeds=self.location.seeds,
                **self.discovery_details(),
            ),
        )

    def on_probe_response(self, message: messages.ProbeResponse):
        """Record the nodes in the response, and ask to join the leader that it names."""
        self.record_node(message.sender.address, message.sender.node, message.member['role'], seen=True)
        for address, node, _ in message.control_nodes:
            self.record_node(address, node, 'core')
        for address in message.seeds:
            self.record_node(address)
        leader = message.leader
        if self.mode == 'candidate' and leader and leader['id'] != self.node and self.can_join():
            self.join(leader['addr'])

    def join(self, address: str):
        """Ask the leader at `address` to admit this node as a member."""
        self.send_message(
            address,
            messages.Join(member=self.member_row(), accepted=self.replica.accepted, term=self.term, reads_chunks=True),
        )

    def can_join(self) -> bool:
        """True if this node may become a member now."""
        return not self.stopping

    def restart_discovery(self):
        """Start a probe round at once."""
        self.set_timer('discovery', durations.ZERO)
