"""Days of open traffic: what faults a platform brings, and days made of them.

  python -m zinctrail.simulation.open_days --seed=7 --faults=roll_term+config_change,zone_loss
  python -m zinctrail.simulation.open_days --search=200 --seed=1

The names of faults are those of the platform's, with a word for each way they
come. Machines, disks and networks fail as in simulation.days, whose faults are
used where they are the same.
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
# What a search puts in the place of one lost disk too many.
ALONE = 'node_kill_master'
# Faults after which a control node's disk, or the node, is gone: no two of them belong into one day.
LOSE_DISK = ('replace_core', 'replace_core_planned', 'after_ack_wipe', 'wipe_after_ack', 'roll_term_remove_core')
# Faults that strike once, at the end of a day.
CLOSING = ('power_off_all', 'wipe_after_ack', 'kill_all')


class Scenario(simulated_scenario.Scenario):
    """One seeded run: start, load, faults, a closing fault where one is named, a quiet end, read-back, verdicts."""

    faults = FAULTS
    module = 'zinctrail.simulation.open_days'
    world: open_world.World
    deployment: open_deployment.Deployment

    def __init__(
        self,
        seed: int,
        names: typing.Iterable[str] = (),
        shape: str = 'small',
        length: datetime.timedelta = ms(30000),
        trace: bool = False,
        rate: float | None = None,
        coord: bool = True,
        drift: float | None = None,
    ):
        """
        :param rate: requests a second of all clients; the shape's by default.
        :param coord: whether applications use locks, numbers, cells and watches.
        :param drift: how far clocks are off at most, as a share; by the seed if None.
        """
        self.shape = terms.SHAPES[shape]
        super().__init__(seed, names, shape, length, open_world.World(seed, terms.bound(self.shape), trace))
        self.rate = rate
        self.coord = coord
        self.drift = self.draw_drift() if drift is None else drift
        self.deployment = open_deployment.Deployment(self.world, self.shape)

    def run(self) -> typing.Self:
        """Play the day; returns itself."""
        world = self.world
        self.start_load()
        world.run(ms(4000))
        names = [name for name in self.names if name not in CLOSING]
        time_each = self.length / max(1, len(names))
        for name in names:
            began = world.now
            self.note(f'fault {name}')
            self.strike(name)
            world.run(max(ms(0), began + time_each - world.now))
        if not names:
            world.run(self.length)
        world.run(ms(9000))
        for name in self.names:
            if name in CLOSING:
                self.close(name)
        self.deployment.stop_load()
        self.read_back()
        return self

    def start_load(self) -> None:
        """Start the deployment and everybody who uses it."""
        self.set_clocks()
        self.deployment.start()
        self.deployment.start_clients(self.rate)
        if self.coord:
            self.deployment.start_applications()

    def read_back(self) -> None:
        """Read all items and cells once the load is gone."""
        self.deployment.operator.read()
        for application in self.deployment.applications:
            for group in range(terms.GROUPS):
                for cell in range(terms.CELLS_PER_GROUP):
                    application.get(f'g{group}.{cell}')
        self.world.run(ms(9000))

    def close(self, name: str) -> None:
        """A closing fault: right after one more change was acknowledged; traffic goes on through the recovery."""
        world = self.world
        struck_at: list[datetime.timedelta] = []

        def strike(node: str) -> None:
            """Begin the fault at the first acknowledgement."""
            if not struck_at:
                struck_at.append(world.now)
                FAULTS[name](self, node)

        self.deployment.on_acknowledged = strike
        open_operators.change_timeout(self)
        world.run(ms(12000), lambda: bool(struck_at))
        self.deployment.on_acknowledged = None
        if not struck_at:
            self.miss(name)
            return
        world.run(ms(4000))
        self.deployment.records.closing_faults.append(open_records.ClosingFault(struck_at[0], world.now, name))
        world.run(ms(22000))

    def verdicts(self, only: str | None = None) -> list[str]:
        """What happened that must never happen, of all checkers or of one."""
        return open_checks.run(self.deployment, only)

    def figures(self) -> dict[str, float]:
        """The worst that was seen against each bound."""
        return open_checks.figures(self.deployment)

    # -- what faults use ------------------------------------------------------

    def sample(self, endpoints: list[open_endpoint.Endpoint], share: float) -> list[open_endpoint.Endpoint]:
        """A random share, one at least, of those endpoints that are ready."""
        ready = [endpoint for endpoint in endpoints if endpoint.up and endpoint.state == 'ready']
        return self.rng.sample(ready, max(1, round(share * len(ready)))) if ready else []

    def sample_of_a_service(self, share: float = 0.3) -> list[open_endpoint.Endpoint]:
        """A random share of a random service's endpoints."""
        service = self.rng.choice(sorted(terms.SERVICES))
        return self.sample(self.deployment.running_endpoints(service), share)

    def random_rule(self) -> dict:
        """A random rule that clients send requests for."""
        rules = [
            rule
            for rule in self.deployment.rules.values()
            if rule['name'].startswith('r-') and rule.get('lively', True)
        ]
        return self.rng.choice(sorted(rules, key=lambda rule: rule['name']))


def main(argv: list[str]) -> int:
    """The command; returns its exit status."""
    return command.main(argv, sys.modules[__name__], __doc__)


if __name__ == '__main__':
    # By its name: run as a script, this module would be there twice.
    import zinctrail.simulation.open_days as open_days

    sys.exit(open_days.main(sys.argv[1:]))
