"""What simulated days of all kinds of traffic share: a seed, a world, faults, and verdicts."""

import datetime
import random
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.world as simulated_world

ms = durations.ms

# How long after the faults before a colon those after it begin: while the first are under repair, or just after it.
FOLLOW_UP_DELAY_MS = (100, 3000)
# How much faster or slower clocks run at most, as a share: most days have clocks that agree.
CLOCK_DRIFTS = (0.0, 0.0, 0.02)


class Scenario:
    """One seeded run: start, load, faults, a quiet end, verdicts.

    Names of faults that are joined by + begin together; a name after a colon
    begins a moment after those before it.
    """

    # Set by each kind of day: its registry of faults, and the module that the command runs.
    faults: typing.ClassVar[registry.Registry]
    module: typing.ClassVar[str]

    # Set by each kind of day: the processes and users of its kind of traffic.
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
        :param names: groups of faults, in their order.
        :param shape: the name of the deployment's shape.
        :param length: how long all faults take together.
        """
        self.seed = seed
        self.fault_groups = list(fault_groups)
        self.shape_name = shape
        self.length = length
        self.world = world
        self.rng = random.Random(f'day/{seed}')
        # Draws what kind of day it is, so that a search over seeds goes through all kinds.
        self.variant_rng = random.Random(f'mix/{seed}')
        # How far clocks are off at most, as a share.
        self.drift = 0.0
        # Faults that found nothing to break, so that they prove nothing.
        self.ineffective: list[str] = []

    def draw_drift(self) -> float:
        """How far clocks are off at most on the day of this seed, as a share."""
        return self.variant_rng.choice(CLOCK_DRIFTS)

    # -- what faults use ------------------------------------------------------

    def log(self, text: str) -> None:
        """Write a line into the world's log."""
        self.world.log(f'day: {text}')

    def record_ineffective(self, name: str) -> None:
        """Note that a fault found nothing to break."""
        self.ineffective.append(name)

    def pick(self, role: str) -> simulated_node.Node:
        """A random process of a role that is up; any if none is, so that the fault finds nothing to break."""
        nodes = self.world.of(role)
        return self.rng.choice([node for node in nodes if node.up] or nodes)

    def later(self, delay: datetime.timedelta, function: typing.Callable, *args: typing.Any) -> None:
        """Call a function `delay` from now."""
        self.world.after(delay, function, *args)

    def repeat(self, times: int, pause: datetime.timedelta, function: typing.Callable, *args: typing.Any) -> None:
        """Call a function now and then again after each pause, `times` times in all."""
        for number in range(times):
            self.later(pause * number, function, *args)

    def restart(self, node: simulated_node.Node, delay: datetime.timedelta) -> None:
        """Start a process `delay` from now, unless it is up by then."""
        self.later(delay, self.start_unless_up, node)

    def start_unless_up(self, node: simulated_node.Node) -> None:
        """Start a process, unless something else has started it."""
        if not node.up:
            node.start()

    def kill_for(self, node: simulated_node.Node, length: datetime.timedelta, power: bool = False) -> None:
        """Kill a process, by a power loss if `power`, and start it `length` from now, unless it is up by then."""
        node.kill(power)
        self.restart(node, length)

    # -- the run ----------------------------------------------------------------

    def set_clocks(self) -> None:
        """Let each machine's clock run at a rate of its own, within the day's drift."""
        for node in self.world.nodes.values():
            node.clock_rate = 1.0 + self.rng.uniform(-self.drift, self.drift)

    def inject(self, group: str) -> None:
        """Begin all faults of a group, and run until whatever may come back is back."""
        world = self.world
        back_at: list[datetime.timedelta] = []
        for position, together in enumerate(group.split(':')):
            if position > 0:
                world.run(ms(self.rng.uniform(*FOLLOW_UP_DELAY_MS)))
            back_at += [world.now + self.faults[name](self) for name in together.split('+')]
        # The longest counts, since nothing may be called lost until all of it may be back.
        world.run(max(ms(0), max(back_at) - world.now))

    def run(self) -> typing.Self:
        """Play the day; returns itself."""
        raise NotImplementedError

    def verdicts(self, only: str | None = None) -> list[str]:
        """What happened that must never happen, of all checkers or of one."""
        raise NotImplementedError

    def figures(self) -> dict[str, float]:
        """The worst that was seen against each bound."""
        raise NotImplementedError

    def replay_command(self) -> str:
        """The command that plays this day again."""
        return (
            f'python -m {self.module} --seed={self.seed} --shape={self.shape_name}'
            f' --faults={",".join(self.fault_groups)} --seconds={self.length.total_seconds():g}'
        )
