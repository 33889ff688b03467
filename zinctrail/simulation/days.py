"""Days of callers that use the client library, and the faults on them.

  python -m zinctrail.simulation.days --seed=7 --faults=kill_master,split_core

Each fault begins, schedules its own end, and returns how long until all that
may come back has come back. Names joined by + begin together; a name after a
colon begins a moment after those before it.
"""

import datetime
import sys
import typing

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.actors.caller as caller_actor
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.actors.endpoint as endpoint_actor
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.checks as checks
import zinctrail.simulation.command as command
import zinctrail.simulation.faults.disks
import zinctrail.simulation.faults.endpoints
import zinctrail.simulation.faults.load
import zinctrail.simulation.faults.losses
import zinctrail.simulation.faults.network
import zinctrail.simulation.faults.operators
import zinctrail.simulation.faults.processes
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.faults.stale_views  # noqa: F401 (these modules register their faults)
import zinctrail.simulation.scenario as simulated_scenario
import zinctrail.simulation.world as simulated_world

ms = durations.ms

SHAPES = deployments.PRESETS
FAULTS = registry.CLIENT
# What a search puts in the place of one lost disk too many.
ALONE = 'kill_master'
# Faults after which a control node's disk is gone: no two of them belong into one day.
LOSE_DISK = ('replace_core', 'lose_disk', 'damage_disk', 'region_for_good', 'cell_for_good', 'machine_for_good')
# Faults that strike once, at the end of a day; none of this kind.
CLOSING = ()

READS_EVERY = ms(1500)
READS_UNTIL = ms(10**7)


class Scenario(simulated_scenario.Scenario):
    """One seeded run with callers that use the client library."""

    faults = FAULTS
    module = 'zinctrail.simulation.days'
    deployment: client_deployment.Deployment

    def __init__(
        self,
        seed: int,
        names: typing.Iterable[str] = (),
        shape: str = 'small',
        length: datetime.timedelta = ms(30000),
        trace: bool = False,
        coord: bool = True,
        bound: settings.Settings | None = None,
        rate: float | None = None,
        wild: float = 0.1,
        plain: bool | None = None,
        drift: float | None = None,
    ):
        """
        :param coord: whether applications use locks, numbers, keys and watches.
        :param rate: requests a second of all callers; the shape's by default.
        :param wild: how often a caller ignores its answer and goes to any proxy.
        :param plain: whether endpoints link no library; by the seed if None.
        :param drift: how far clocks are off at most, as a share; by the seed if None.
        """
        self.shape = deployments.PRESETS[shape]
        if bound is None and 'herd' in self.shape:
            bound = settings.Settings(herd=self.shape['herd'])
        super().__init__(seed, names, shape, length, simulated_world.World(seed, bound, trace))
        self.coord = coord
        self.rate = rate
        self.wild = wild
        self.plain = self.kind_rng.random() < 0.5 if plain is None else plain
        self.drift = self.draw_drift() if drift is None else drift
        self.deployment = client_deployment.Deployment(self.world, self.shape, plain=self.plain)

    def first_service(self) -> list[endpoint_actor.Endpoint]:
        """The endpoints of the service whose name sorts first."""
        service = sorted(self.shape['services'])[0]
        return [endpoint for endpoint in self.deployment.endpoints if endpoint.service == service]

    def run(self) -> typing.Self:
        """Play the day; returns itself."""
        world = self.world
        records = self.deployment.records
        self.start_load()
        world.run(ms(4000))
        time_each = self.length / max(1, len(self.names))
        for name in self.names:
            began = world.now
            records.begins.append(world.now)
            self.note(f'fault {name}')
            self.strike(name)
            # From here on everything that may come back is back.
            records.losses.append(actor_records.Loss(world.now, name))
            world.run(max(ms(0), began + time_each - world.now))
        if not self.names:
            world.run(self.length)
        world.run(ms(15000))
        self.deployment.stop_load()
        return self

    def start_load(self) -> None:
        """Start the deployment and everybody who uses it."""
        deployment = self.deployment
        self.set_clocks()
        deployment.start()
        deployment.operator.poll_status()
        deployment.start_callers(self.rate, wild=self.wild)
        # Some with home regions, since the rule about them needs such traffic.
        for number, cell in enumerate(deployment.zones[:2]):
            services = sorted(self.shape['services'])
            caller = caller_actor.Caller(deployment, f'home{number}', cell, services, 2, [cell.split('/')[0]])
            deployment.callers.append(caller)
            caller.start()
        if self.coord:
            deployment.start_applications()
        self.read_again()

    def read_again(self) -> None:
        """Let the operator read the configuration back, again and again."""
        if self.world.now < READS_UNTIL:
            self.deployment.operator.read()
            self.world.after(READS_EVERY, self.read_again)

    def verdicts(self, only: str | None = None) -> list[str]:
        """What happened that must never happen, of all checkers or of one."""
        return checks.run(self.deployment, only)

    def figures(self) -> dict[str, float]:
        """The worst that was seen against each bound."""
        return checks.figures(self.deployment)


def main(argv: list[str]) -> int:
    """The command; returns its exit status."""
    return command.main(argv, sys.modules[__name__], __doc__)


if __name__ == '__main__':
    # By its name: run as a script, this module would be there twice.
    import zinctrail.simulation.days as days

    sys.exit(days.main(sys.argv[1:]))
