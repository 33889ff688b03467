"""The same first start of a cluster under several seeds of the simulator, in virtual time."""

import collections.abc
import datetime

import zinctrail.runtime.durations as durations
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.world as world

ms = durations.ms

SEEDS = range(1, 7)
# Processes start at random times within this span.
START_SPREAD_MS = 200
FORMING_TIME = ms(15000)

# Returns the time after which a process starts.
Delay = collections.abc.Callable[[simulated_node.Node], datetime.timedelta]


def no_delay(node: simulated_node.Node) -> datetime.timedelta:
    """Start at once."""
    return durations.ZERO


def clusters(simulated: world.World) -> set[str]:
    """Return the clusters that can commit: those with a leader that has committed something in its term."""
    return {
        node.machine.cluster for node in simulated.leaders() if node.machine.replica.committed[0] == node.machine.term
    }


class FirstStart:
    """Control nodes and directories that know only the addresses of `seeds`, in one world per simulator seed."""

    def __init__(self, control_nodes: int, directories: int, seeds: list[str]):
        self.worlds: list[world.World] = []
        # The clusters that could commit at any time, by world.
        self.seen: dict[world.World, set[str]] = {}
        for seed in SEEDS:
            simulated = world.World(seed)
            for index in range(control_nodes):
                simulated.add(f'core{index}', 'core', f'r{index % 3}/c{index // 3}')
            for index in range(directories):
                simulated.add(f'dir{index}', 'dir', f'r{index}/c0')
            addresses = [simulated.nodes[name].location.addr for name in seeds]
            for node in simulated.nodes.values():
                node.location.seeds = list(addresses)
            self.worlds.append(simulated)
            self.seen[simulated] = set()

    def run(self, simulated: world.World, duration: datetime.timedelta) -> None:
        """Advance one world, and record the clusters that can commit."""

        def record_clusters() -> None:
            self.seen[simulated] |= clusters(simulated)

        simulated.run(duration, record_clusters)

    def start_partitioned(self, simulated: world.World) -> None:
        """Start all processes under the partition that the caller made, then heal it."""
        start_all(simulated)
        self.run(simulated, FORMING_TIME)
        simulated.heal()
        self.run(simulated, FORMING_TIME)


def start_all(simulated: world.World, delay: Delay = no_delay, skipped: collections.abc.Container[str] = ()) -> None:
    """Start all processes but the skipped ones, each after its delay."""
    for node in simulated.nodes.values():
        if node.name not in skipped:
            spread = ms(simulated.rng.uniform(0, START_SPREAD_MS))
            simulated.after(delay(node) + spread, node.start)


def assert_all_joined(simulated: world.World, formed: set[str]) -> None:
    """Fail unless all processes that are up are in the cluster that formed, and know its leader."""
    nodes = [node for node in simulated.nodes.values() if node.up]
    assert {node.machine.cluster for node in nodes} == formed, (
        simulated.seed,
        [(node.name, node.machine.cluster, node.machine.mode) for node in nodes],
    )
    assert simulated.leader() and all(node.machine.leader for node in nodes), simulated.seed
