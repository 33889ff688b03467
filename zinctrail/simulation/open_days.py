"""Simulated scenarios with open traffic, under the faults of a platform.

  python -m zinctrail.simulation.open_days --seed=7 --faults=roll_term+config_change,zone_loss
  python -m zinctrail.simulation.open_days --search=200 --seed=1

Faults have the platform's names, with a suffix for each variant. Machines,
disks and networks fail as in simulation.days, whose faults are used where they
are the same.
"""

import datetime
import sys
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.command as command
import zinctrail.simulation.faults.open_control
import zinctrail.simulation.faults.open_endpoints
import zinctrail.simulation.faults.open_operators as open_operators
import zinctrail.simulation.faults.open_processes
import zinctrail.simulation.faults.open_unhealthy_endpoints  # noqa: F401 (these modules register their faults)
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.endpoint as open_endpoint
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms
import zinctrail.simulation.open_actors.world as open_world
import zinctrail.simulation.open_checks as open_checks
import zinctrail.simulation.scenario as simulated_scenario

ms = durations.ms

SHAPES = terms.SHAPES
FAULTS = registry.OPEN
# The fault that a search plans for a group that is empty because its faults would have lost a second disk.
FALLBACK_FAULT = 'node_kill_master'
# Faults that lose the disk of a control node, or the node: no two of them may be in one scenario.
DISK_LOSS_FAULTS = ('replace_core', 'replace_core_planned', 'after_ack_wipe', 'wipe_after_ack', 'roll_term_remove_core')
# Faults that occur once, at the end of a scenario.
CLOSING_FAULTS = ('power_off_all', 'wipe_after_ack', 'kill_all')


class Scenario(simulated_scenario.Scenario):
    """A seeded run: start, load, faults, a period without faults, closing faults if named, read-back, verdicts."""

    faults = FAULTS
    module = 'zinctrail.simulation.open_days'
    world: open_world.World
    deployment: open_deployment.Deployment

    def __init__(
        self,
        seed: int,
        fault_groups: typing.Iterable[str] = (),
        shape: str = 'small',
        length: datetime.timedelta = ms(30000),
        trace: bool = False,
        rate: float | None = None,
        with_applications: bool = True,
        drift: float | None = None,
    ):
        """
        :param rate: requests per second of all clients together; the shape's by default.
        :param with_applications: whether applications use locks, numbers, cells and watches.
        :param drift: the greatest error of clock rates, as a fraction; drawn from the seed if None.
        """
        self.shape = terms.SHAPES[shape]
        super().__init__(seed, fault_groups, shape, length, open_world.World(seed, terms.bound(self.shape), trace))
        self.rate = rate
        self.with_applications = with_applications
        self.drift = self.draw_drift() if drift is None else drift
        self.deployment = open_deployment.Deployment(self.world, self.shape)

    def run(self) -> typing.Self:
        """Run the scenario; returns itself."""
        world = self.world
        self.start_load()
        world.run(ms(4000))
        fault_groups = [name for name in self.fault_groups if name not in CLOSING_FAULTS]
        time_each = self.length / max(1, len(fault_groups))
        for name in fault_groups:
            began = world.now
            self.log(f'fault {name}')
            self.inject(name)
            world.run(max(ms(0), began + time_each - world.now))
        if not fault_groups:
            world.run(self.length)
        world.run(ms(9000))
        for name in self.fault_groups:
            if name in CLOSING_FAULTS:
                self.run_closing_fault(name)
        self.deployment.stop_load()
        self.read_back()
        return self

    def start_load(self) -> None:
        """Start the deployment and all its users."""
        self.set_clocks()
        self.deployment.start()
        self.deployment.start_clients(self.rate)
        if self.with_applications:
            self.deployment.start_applications()

    def read_back(self) -> None:
        """Read all configured items and all cells after the load has stopped."""
        self.deployment.operator.read()
        for application in self.deployment.applications:
            for group in range(terms.GROUPS):
                for cell in range(terms.CELLS_PER_GROUP):
                    application.get(f'g{group}.{cell}')
        self.world.run(ms(9000))

    def run_closing_fault(self, name: str) -> None:
        """Inject a fault right after one more change was acknowledged; traffic continues during the recovery."""
        world = self.world
        struck_at: list[datetime.timedelta] = []

        def inject(node: str) -> None:
            """Begin the fault at the first acknowledgement, and at no later one."""
            if not struck_at:
                struck_at.append(world.now)
                FAULTS[name](self, node)

        self.deployment.on_acknowledged = inject
        open_operators.change_timeout(self)
        world.run(ms(12000), lambda: bool(struck_at))
        self.deployment.on_acknowledged = None
        if not struck_at:
            self.record_ineffective(name)
            return
        world.run(ms(4000))
        self.deployment.records.closing_faults.append(open_records.ClosingFault(struck_at[0], world.now, name))
        world.run(ms(22000))

    def verdicts(self, only: str | None = None) -> list[str]:
        """Return the violations that all checkers found, or only those of the checker `only`."""
        return open_checks.run(self.deployment, only)

    def figures(self) -> dict[str, float]:
        """Return the worst value that was measured for each bounded quantity."""
        return open_checks.figures(self.deployment)

    # -- helpers for faults ---------------------------------------------------

    def sample(self, endpoints: list[open_endpoint.Endpoint], share: float) -> list[open_endpoint.Endpoint]:
        """Return a random sample of a share of the endpoints that are ready: at least one, unless none is ready."""
        ready = [endpoint for endpoint in endpoints if endpoint.up and endpoint.state == 'ready']
        return self.rng.sample(ready, max(1, round(share * len(ready)))) if ready else []

    def sample_of_a_service(self, share: float = 0.3) -> list[open_endpoint.Endpoint]:
        """Return a random sample of a share of the endpoints of a random service."""
        service = self.rng.choice(sorted(terms.SERVICES))
        return self.sample(self.deployment.running_endpoints(service), share)

    def random_rule(self) -> dict:
        """Return a random rule that clients send requests for."""
        rules = [
            rule
            for rule in self.deployment.rules.values()
            if rule['name'].startswith('r-') and rule.get('lively', True)
        ]
        return self.rng.choice(sorted(rules, key=lambda rule: rule['name']))


def main(argv: list[str]) -> int:
    """Run the command; returns its exit status."""
    return command.main(argv, sys.modules[__name__], __doc__)


if __name__ == '__main__':
    # Runs the copy that is imported by name; the module would otherwise be loaded twice, as __main__ and by its name.
    import zinctrail.simulation.open_days as open_days

    sys.exit(open_days.main(sys.argv[1:]))
