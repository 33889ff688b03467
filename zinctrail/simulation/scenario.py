"""The base class of simulated scenarios of both kinds of traffic: a seed, a world, faults and verdicts."""

import datetime
import random
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.world as simulated_world

ms = durations.ms

# The delay between the faults before a colon and those after it: the system is still recovering from the former, or has
# just recovered.
FOLLOW_UP_DELAY_MS = (100, 3000)
# The greatest error of clock rates, as a fraction. One of these is drawn for each scenario: most have exact clocks.
CLOCK_DRIFTS = (0.0, 0.0, 0.02)


class Scenario:
    """One seeded run: start, load, faults, a period without faults, verdicts.

    Faults whose names are joined by + begin together; a fault after a colon
    begins FOLLOW_UP_DELAY_MS after those before it.
    """

    # Set by each subclass: its registry of faults, and the module that runs it as a command.
    faults: typing.ClassVar[registry.Registry]
    module: typing.ClassVar[str]

    # Set by each subclass: the processes and users of its kind of traffic.
    deployment: typing.Any

    def __init__(
        self,
        seed: int,
        fault_groups: typing.Iterable[str],
        shape: str,
        length: datetime.timedelta,
        world: simulated_world.World,
    ):
        """
        :param fault_groups: groups of faults, in the order in which they begin.
        :param shape: the name of the deployment's shape.
        :param length: the time that all groups of faults share.
        """
        self.seed = seed
        self.fault_groups = list(fault_groups)
        self.shape_name = shape
        self.length = length
        self.world = world
        self.rng = random.Random(f'day/{seed}')
        # Draws the variant (drift, plain endpoints), so that a search over seeds covers all variants.
        self.variant_rng = random.Random(f'mix/{seed}')
        # The greatest error of clock rates, as a fraction.
        self.drift = 0.0
        # Faults that had no target, so that the run proves nothing about them.
        self.ineffective: list[str] = []

    def draw_drift(self) -> float:
        """Draw the greatest error of clock rates for this seed, as a fraction."""
        return self.variant_rng.choice(CLOCK_DRIFTS)

    # -- helpers for faults ---------------------------------------------------

    def log(self, text: str) -> None:
        """Write a line into the world's log."""
        self.world.log(f'scenario: {text}')

    def record_ineffective(self, name: str) -> None:
        """Record that a fault had no target."""
        self.ineffective.append(name)

    def pick(self, role: str) -> simulated_node.Node:
        """Return a random process of a role that is up, or any if none is up; a fault then has no effect."""
        nodes = self.world.of(role)
        return self.rng.choice([node for node in nodes if node.up] or nodes)

    def later(self, delay: datetime.timedelta, function: typing.Callable, *args: typing.Any) -> None:
        """Call a function `delay` from now."""
        self.world.after(delay, function, *args)

    def repeat(self, times: int, pause: datetime.timedelta, function: typing.Callable, *args: typing.Any) -> None:
        """Call a function `times` times: now, and again after each `pause`."""
        for number in range(times):
            self.later(pause * number, function, *args)

    def restart(self, node: simulated_node.Node, delay: datetime.timedelta) -> None:
        """Start a process `delay` from now, unless it is up by then."""
        self.later(delay, self.start_unless_up, node)

    def start_unless_up(self, node: simulated_node.Node) -> None:
        """Start a process, unless it is up already."""
        if not node.up:
            node.start()

    def kill_for(self, node: simulated_node.Node, length: datetime.timedelta, power: bool = False) -> None:
        """Kill a process, by a power loss if `power`, and start it `length` from now, unless it is up by then."""
        node.kill(power)
        self.restart(node, length)

    # -- the run ----------------------------------------------------------------

    def set_clocks(self) -> None:
        """Give each machine's clock a random rate within the scenario's drift."""
        for node in self.world.nodes.values():
            node.clock_rate = 1.0 + self.rng.uniform(-self.drift, self.drift)

    def inject(self, group: str) -> None:
        """Begin all faults of a group, and run until everything that can recover has recovered."""
        world = self.world
        back_at: list[datetime.timedelta] = []
        for position, together in enumerate(group.split(':')):
            if position > 0:
                world.run(ms(self.rng.uniform(*FOLLOW_UP_DELAY_MS)))
            back_at += [world.now + self.faults[name](self) for name in together.split('+')]
        # Waits for the slowest recovery, since nothing counts as lost until everything that can recover has recovered.
        world.run(max(ms(0), max(back_at) - world.now))

    def run(self) -> typing.Self:
        """Run the scenario; returns itself."""
        raise NotImplementedError

    def verdicts(self, only: str | None = None) -> list[str]:
        """Return the violations that all checkers found, or only those of the checker `only`."""
        raise NotImplementedError

    def figures(self) -> dict[str, float]:
        """Return the worst value that was measured for each bounded quantity."""
        raise NotImplementedError

    def replay_command(self) -> str:
        """Return the command that replays this scenario."""
        return (
            f'python -m {self.module} --seed={self.seed} --shape={self.shape_name}'
            f' --faults={",".join(self.fault_groups)} --seconds={self.length.total_seconds():g}'
        )
