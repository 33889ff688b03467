"""Simulated scenarios with callers that use the client library.

  python -m zinctrail.simulation.days --seed=7 --faults=kill_master,split_core

Each fault begins, schedules its own end, and returns the time until everything
that can recover has recovered. Faults joined by + begin together; a fault after
a colon begins a moment after those before it.
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
# The fault that a search plans for a group that is empty because its faults would have lost a second disk.
FALLBACK_FAULT = 'kill_master'
# Faults that lose the disk of a control node: no two of them may be in one scenario.
DISK_LOSS_FAULTS = ('replace_core', 'lose_disk', 'damage_disk', 'region_for_good', 'cell_for_good', 'machine_for_good')
# Faults that occur once, at the end of a scenario; these scenarios have none.
CLOSING_FAULTS = ()

READ_INTERVAL = ms(1500)
LAST_READ_AT = ms(10**7)


class Scenario(simulated_scenario.Scenario):
    """A seeded run with callers that use the client library."""

    faults = FAULTS
    module = 'zinctrail.simulation.days'
    deployment: client_deployment.Deployment

    def __init__(
        self,
        seed: int,
        fault_groups: typing.Iterable[str] = (),
        shape: str = 'small',
        length: datetime.timedelta = ms(30000),
        trace: bool = False,
        with_applications: bool = True,
        custom_settings: settings.Settings | None = None,
        rate: float | None = None,
        any_proxy_share: float = 0.1,
        plain: bool | None = None,
        drift: float | None = None,
    ):
        """
        :param with_applications: whether applications use locks, numbers, keys and watches.
        :param rate: requests per second of all callers together; the shape's by default.
        :param any_proxy_share: the fraction of requests for which a caller ignores its lookup response and uses any
            proxy.
        :param plain: whether endpoints do not use the zinctrail library; drawn from the seed if None.
        :param drift: the greatest error of clock rates, as a fraction; drawn from the seed if None.
        """
        self.shape = deployments.PRESETS[shape]
        if custom_settings is None and 'herd' in self.shape:
            custom_settings = settings.Settings(herd=self.shape['herd'])
        super().__init__(seed, fault_groups, shape, length, simulated_world.World(seed, custom_settings, trace))
        self.with_applications = with_applications
        self.rate = rate
        self.any_proxy_share = any_proxy_share
        self.plain = self.variant_rng.random() < 0.5 if plain is None else plain
        self.drift = self.draw_drift() if drift is None else drift
        self.deployment = client_deployment.Deployment(self.world, self.shape, plain=self.plain)

    def first_service_endpoints(self) -> list[endpoint_actor.Endpoint]:
        """Return the endpoints of the service whose name sorts first."""
        service = sorted(self.shape['services'])[0]
        return [endpoint for endpoint in self.deployment.endpoints if endpoint.service == service]

    def run(self) -> typing.Self:
        """Run the scenario; returns itself."""
        world = self.world
        records = self.deployment.records
        self.start_load()
        world.run(ms(4000))
        time_each = self.length / max(1, len(self.fault_groups))
        for name in self.fault_groups:
            began = world.now
            records.begins.append(world.now)
            self.log(f'fault {name}')
            self.inject(name)
            # From here on, everything that can recover has recovered.
            records.losses.append(actor_records.Loss(world.now, name, self.deployment.running_services()))
            world.run(max(ms(0), began + time_each - world.now))
        if not self.fault_groups:
            world.run(self.length)
        world.run(ms(15000))
        self.deployment.stop_load()
        return self

    def start_load(self) -> None:
        """Start the deployment and all its users."""
        deployment = self.deployment
        self.set_clocks()
        deployment.start()
        deployment.operator.poll_status()
        deployment.start_callers(self.rate, any_proxy_share=self.any_proxy_share)
        # Some callers send requests with home regions, because the checker of home regions needs such traffic.
        for number, cell in enumerate(deployment.zones[:2]):
            services = sorted(self.shape['services'])
            caller = caller_actor.Caller(deployment, f'home{number}', cell, services, 2, [cell.split('/')[0]])
            deployment.callers.append(caller)
            caller.start()
        if self.with_applications:
            deployment.start_applications()
        self.read_periodically()

    def read_periodically(self) -> None:
        """Have the operator read the configuration every READ_INTERVAL."""
        if self.world.now < LAST_READ_AT:
            self.deployment.operator.read()
            self.world.after(READ_INTERVAL, self.read_periodically)

    def verdicts(self, only: str | None = None) -> list[str]:
        """Return the violations that all checkers found, or only those of the checker `only`."""
        return checks.run(self.deployment, only)

    def figures(self) -> dict[str, float]:
        """Return the worst value that was measured for each bounded quantity."""
        return checks.figures(self.deployment)


def main(argv: list[str]) -> int:
    """Run the command; returns its exit status."""
    return command.main(argv, sys.modules[__name__], __doc__)


if __name__ == '__main__':
    # Runs the copy that is imported by name; the module would otherwise be loaded twice, as __main__ and by its name.
    import zinctrail.simulation.days as days

    sys.exit(days.main(sys.argv[1:]))
