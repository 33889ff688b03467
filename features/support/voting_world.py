"""A small simulated deployment whose voters leave, are wiped or lose power for good, in virtual time."""

import typing

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.disk as simulated_disk
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.world as world

ms = durations.ms

SEEDS = (1, 2, 3)
# How long a cluster may need until a leader commits something after a loss.
RECOVERY_LIMIT_MS = 5000
# How long a run waits for that commit at most.
RECOVERY_WAIT = ms(20000)
# A wiped process is started again after this time.
WIPE_DOWNTIME = ms(800)
# The time between two losses that the cluster must both tolerate.
BETWEEN_LOSSES = ms(3000)
# The number of voters is odd, and not above this.
MAX_VOTERS = 5
# The tables that only an operator changes.
CONFIGURATION_TABLES = ('cells', 'conf')


class VotingSet(typing.TypedDict):
    """The identities of the voters: of the configuration that is committed, and of the one that is accepted."""

    committed: list[str]
    accepted: list[str]


def settled_size(control_nodes: int) -> int:
    """Return how many control nodes vote once the voting set is settled: all, or one fewer if their number is even."""
    return control_nodes - 1 + control_nodes % 2


def form(seed: int, voters: int, spares: int = 0, losses: int = 0) -> world.World:
    """Form the cluster of a small deployment from its first `voters` control nodes; spares start once it runs.

    :param losses: how many disks the cluster must be able to lose.
    """
    simulated = world.World(seed, settings.Settings(least_voters=2 * losses + 1))
    deployment = client_deployment.Deployment(simulated, {**deployments.PRESETS['small'], 'cores': voters})
    deployment.start()
    for index in range(spares):
        zone = deployment.zones[index % len(deployment.zones)]
        simulated.add(f'spare{index}', 'core', zone, deployment.seeds).start()
    simulated.run(ms(12000), lambda: False)
    size = settled_size(min(max(MAX_VOTERS, 2 * losses + 1), voters + spares))
    has_settled = simulated.run(ms(20000), lambda: is_settled(simulated, size))
    assert has_settled, (seed, voting_set(simulated))
    return simulated


def voting_set(simulated: world.World) -> VotingSet | None:
    """Return the leader's accepted voting set; None without a leader."""
    leader = simulated.leader()
    return leader.machine.voting_set() if leader else None


def leaders_voting_set(simulated: world.World) -> VotingSet:
    """Return the leader's accepted voting set; raises AssertionError without a leader."""
    current = voting_set(simulated)
    assert current is not None, 'nobody leads'
    return current


def committed_voting_set(node: simulated_node.Node) -> VotingSet:
    """Return the voting set of the newest version that a node knows to be committed."""
    return node.machine.replica.get('meta', 'vc')


def is_joint(configuration: VotingSet) -> bool:
    """True if a change of the voting set is in progress."""
    return configuration['committed'] != configuration['accepted']


def is_settled(simulated: world.World, size: int) -> bool:
    """True if the voting set has this size, and no change of it is in progress."""
    current = voting_set(simulated)
    return current is not None and not is_joint(current) and len(current['accepted']) == size


def voters_of(simulated: world.World) -> list[simulated_node.Node]:
    """Return the voters that are up, the leader first."""
    identities = leaders_voting_set(simulated)['accepted']
    nodes = [node for node in simulated.of('core') if node.up and node.machine.node in identities]
    return sorted(nodes, key=lambda node: (node is not simulated.leader(), node.name))


def newest_commit(simulated: world.World) -> tuple[int, int]:
    """Return the newest version that any control node knows to be committed."""
    return max(node.machine.replica.committed for node in simulated.of('core') if node.machine)


class Committed(typing.NamedTuple):
    """What a cluster has committed at a time."""

    cluster: str
    version: tuple[int, int]
    tables: dict[str, typing.Any]

    @classmethod
    def of(cls, simulated: world.World) -> 'Committed':
        """Return what the leader has committed; raises AssertionError without a leader."""
        leader = simulated.leader()
        assert leader is not None, 'nobody leads'
        replica = leader.machine.replica
        tables = {name: dict(replica.get(name)) for name in CONFIGURATION_TABLES}
        return cls(leader.machine.cluster, tuple(replica.committed), tables)

    def is_held_by(self, node: simulated_node.Node | None) -> bool:
        """True if a node is of the same cluster, and has this configuration and this or a later version."""
        if node is None:
            return False
        replica = node.machine.replica
        has_tables = all(dict(replica.get(name)) == rows for name, rows in self.tables.items())
        return node.machine.cluster == self.cluster and tuple(replica.committed) >= self.version and has_tables


def is_whole(simulated: world.World, size: int) -> bool:
    """True if the voting set has this size, is not changing, and consists of live members."""
    leader = simulated.leader()
    if leader is None or not is_settled(simulated, size):
        return False
    live = {leader.machine.node} | {n for n, peer in leader.machine.peers.items() if peer.is_control_node}
    return set(leaders_voting_set(simulated)['accepted']) <= live


def lose_power_for_good(node: simulated_node.Node) -> None:
    """Cut a machine's power; its connections are not reset, and it never comes back."""
    node.world.isolate(node.name)
    node.destroyed = True
    node.kill(power=True)


def recovery_time_ms(simulated: world.World, victims: list[simulated_node.Node]) -> int | None:
    """Cut the victims' power for good; return the ms until a leader commits something, or None if none does."""
    before = newest_commit(simulated)
    for victim in victims:
        lose_power_for_good(victim)
    start = simulated.now

    def has_committed():
        leader = simulated.leader()
        return leader is not None and leader.machine.replica.committed > before

    has_recovered = simulated.run(RECOVERY_WAIT, has_committed)
    return durations.to_ms(simulated.now - start) if has_recovered else None


def assert_recovers(simulated: world.World, victim: simulated_node.Node) -> None:
    """Cut a victim's power for good; fail unless a leader commits something within RECOVERY_LIMIT_MS."""
    took_ms = recovery_time_ms(simulated, [victim])
    assert took_ms is not None and took_ms <= RECOVERY_LIMIT_MS, (simulated.seed, took_ms, voting_set(simulated))


def stop_for_good(node: simulated_node.Node) -> None:
    """Tell a process to stop; it never comes back."""
    node.destroyed = True
    node.feed('stop')


def wipe(simulated: world.World, node: simulated_node.Node) -> None:
    """Cut a process's power and wipe its disk; it restarts with the same address after WIPE_DOWNTIME."""
    node.kill(power=True)
    node.disk = simulated_disk.Disk()
    simulated.after(WIPE_DOWNTIME, node.start)


def tolerates_a_loss(simulated: world.World, without: str) -> bool:
    """True if the voting set is settled, excludes `without`, and has one more reachable voter than a majority."""
    leader = simulated.leader()
    if leader is None:
        return False
    current = committed_voting_set(leader)
    if is_joint(current) or without in current['accepted']:
        return False
    reachable = {leader.machine.node}
    reachable |= {identity for identity, peer in leader.machine.peers.items() if peer.role == 'core'}
    return len(reachable & set(current['accepted'])) > len(current['accepted']) // 2 + 1
