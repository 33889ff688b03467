"""First starts of the whole system under many random seeds.

Each process has its own list of seed nodes, of any role, never itself, some of them stale. In the mode `cut_short`, all
processes lose power once or twice while the cluster forms, and some control nodes lose their disks.

  python -m zinctrail.simulation.first_starts --search=200 [--seed=1] [--shape=accra] [--stale=0.2] [--how=split]
      [--at-once=8]

Counts first starts that formed more than one cluster, which must never happen, and those that did not complete.
"""

import collections
import multiprocessing
import random
import sys
import typing

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.world as simulated_world

ms = durations.ms

# How the processes start: all at once, over half a minute, with lost frames, partitioned into two groups (split*), or
# interrupted by power losses.
MODES = ('together', 'late', 'lossy', 'split', 'split_uneven', 'split_roles', 'cut_short')
# The most disks that are lost in an interrupted first start, and the earliest and latest time of the power loss after a
# start or restart.
MAX_DISKS_LOST = 2
INTERRUPT_FROM_MS, INTERRUPT_BY_MS = 600, 4000
# The most that a process may restart later than the others, and the fraction of processes that do.
LATE_RESTART_MS, LATE_RESTART_SHARE = 20000, 0.3
SEEDS_PER_PROCESS = 3


class FirstStart:
    """One first start of a deployment.

    :param stale: the fraction of seeds at whose address there is no process.
    :param mode: one of MODES.
    """

    def __init__(self, seed: int, shape: deployments.Shape, stale: float, mode: str):
        self.seed, self.mode = seed, mode
        self.rng = random.Random(f'boot/{seed}')
        self.world = simulated_world.World(seed)
        cells = deployments.zones_of(shape)
        for role, count in (('core', shape['cores']), ('dir', shape['dirs']), ('prox', shape['proxies'])):
            for number in range(count):
                self.world.add(f'{role}{number}', role, cells[number % len(cells)])
        for node in self.world.nodes.values():
            node.location.seeds = self.seeds_of(node.name, stale)
        # The clusters that have had a leader that committed in its term.
        self.clusters: set[str] = set()

    def seeds_of(self, name: str, stale: float) -> list[str]:
        """Draw the seeds of a process, some of them stale."""
        others = sorted(set(self.world.nodes) - {name})
        return [
            f'10.99.0.{self.rng.randrange(1, 200)}:1000'
            if self.rng.random() < stale
            else self.world.nodes[other].location.addr
            for other in self.rng.sample(others, SEEDS_PER_PROCESS)
        ]

    def run(self) -> typing.Self:
        """Run the first start; returns itself."""
        world = self.world
        latest_ms = 30000 if self.mode == 'late' else 500
        for node in world.nodes.values():
            world.after(ms(self.rng.uniform(0, latest_ms)), node.start)
        world.loss = 0.1 if self.mode == 'lossy' else 0.0
        if self.mode == 'cut_short':
            self.interrupt()
        if self.mode.startswith('split'):
            self.split()
            world.run(ms(30000), self.record_clusters)
            world.heal()
        world.run(ms(60000), self.record_clusters)
        world.loss = 0.0
        world.run(ms(40000), self.is_settled)
        return self

    def split(self) -> None:
        """Partition the processes into halves, a smaller group and the rest, or by chance per role (`split_roles`)."""
        names = sorted(self.world.nodes)
        if self.mode == 'split_roles':
            side = {name for name in names if name.startswith('core') and self.rng.random() < 0.5}
            side |= {name for name in names if not name.startswith('core') and self.rng.random() < 0.5}
        else:
            count = len(names) // 2 if self.mode == 'split' else self.rng.randrange(3, len(names) // 2)
            side = set(self.rng.sample(names, count))
        self.world.partition(side)

    def interrupt(self) -> None:
        """Interrupt the start once or twice while the cluster forms; a majority of the disks is never lost."""
        control_nodes = self.world.of('core')
        lost = self.rng.sample(control_nodes, min(MAX_DISKS_LOST, (len(control_nodes) - 1) // 2))
        for is_last in (False, True) if self.rng.random() < 0.5 else (True,):
            self.world.run(ms(self.rng.uniform(INTERRUPT_FROM_MS, INTERRUPT_BY_MS)), self.record_clusters)
            for node in self.world.nodes.values():
                node.kill(power=True)
            for node in lost if is_last else lost[:1]:
                node.disk.wipe()
            if not is_last:
                lost = lost[1:]
            for node in self.world.nodes.values():
                late_ms = LATE_RESTART_MS if self.rng.random() < LATE_RESTART_SHARE else 0
                self.world.after(ms(self.rng.uniform(0, 500 + late_ms)), node.start)

    def record_clusters(self) -> bool:
        """Record the clusters that can commit; always returns False, so that a run does not stop."""
        self.clusters |= {
            node.machine.cluster
            for node in self.world.leaders()
            if node.machine.replica.committed[0] == node.machine.term
        }
        return False

    def is_settled(self) -> bool:
        """Return whether a majority follows a leader and every process knows a leader."""
        self.record_clusters()
        return self.world.leader() is not None and all(node.machine.leader for node in self.world.nodes.values())

    def verdict(self) -> str:
        """Return the violation that was found, or an empty string."""
        if len(self.clusters) > 1:
            return f'{len(self.clusters)} clusters'
        if not self.clusters:
            return 'no cluster'
        return '' if self.is_settled() else 'some never joined'


class Job(typing.NamedTuple):
    """A first start to run."""

    seed: int
    shape: str
    stale: float
    mode: str


def run_job(job: Job) -> tuple[Job, str]:
    """Run a first start; returns the job and its verdict."""
    return job, FirstStart(job.seed, deployments.PRESETS[job.shape], job.stale, job.mode).run().verdict()


def main(argv: list[str]) -> int:
    """Run the command; returns the exit status: 1 if any start formed two clusters, 2 for a usage error."""
    options = dict(argument.lstrip('-').partition('=')[::2] for argument in argv)
    if 'search' not in options:
        print(__doc__.strip())
        return 0 if 'help' in options else 2
    first, count = int(options.get('seed', 1)), int(options['search'])
    modes = [options['how']] if 'how' in options else MODES
    jobs = [
        Job(seed, options.get('shape', 'accra'), float(options.get('stale', 0.2)), mode)
        for mode in modes
        for seed in range(first, first + count)
    ]
    # The counts of verdicts by mode.
    counts: dict[str, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    with multiprocessing.Pool(int(options.get('at-once', 8))) as pool:
        for job, verdict in pool.imap_unordered(run_job, jobs):
            counts[job.mode][verdict or 'one cluster'] += 1
            if 'clusters' in verdict:
                print(f'{job.mode} seed {job.seed}: {verdict}', flush=True)
    for mode in modes:
        print(f'{mode}: {dict(counts[mode])}')
    return 1 if any('clusters' in verdict for counter in counts.values() for verdict in counter) else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
