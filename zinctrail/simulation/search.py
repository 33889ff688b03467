"""A search over seeds: scenarios with random faults, alone and combined, in several processes."""

import collections
import importlib
import multiprocessing
import random
import re
import traceback
import types
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry

# A search prints its interim results after so many seeds.
PROGRESS_EVERY = 100


class Job(typing.NamedTuple):
    """A scenario to run; its faults are drawn from the seed if none are named."""

    module: str
    seed: int
    shape: str
    seconds: float
    rate: float | None
    fault_groups: list[str]


class Result(typing.NamedTuple):
    """The result of one scenario."""

    seed: int
    fault_groups: list[str]
    verdicts: list[str]
    tally: dict[str, int]
    replay: str
    figures: dict[str, float]
    # Faults that took effect, because they had a target.
    effective_faults: list[str]

    def checkers(self) -> set[str]:
        """Return the names of the checkers that found a violation."""
        return {verdict.split(':', 1)[0] for verdict in self.verdicts}


def plan(seed: int, module: types.ModuleType) -> list[str]:
    """Draw the fault groups of a seed's scenario from the faults of a scenario module."""
    rng = random.Random(f'plan/{seed}')
    groups = []
    lost_disks = 0
    for _ in range(rng.randrange(1, 4)):
        names = rng.sample(sorted(set(module.FAULTS) - set(module.CLOSING_FAULTS)), rng.choice((1, 1, 2, 2, 3)))
        # One of these per scenario: the loss of two disks of three at once is not covered by the guarantees
        # (operate/recover.md).
        for name in [name for name in names if name in module.DISK_LOSS_FAULTS]:
            lost_disks += 1
            if lost_disks > 1:
                names.remove(name)
        groups.append(join_randomly(rng, names) if names else module.FALLBACK_FAULT)
    if module.CLOSING_FAULTS and rng.random() < 0.3:
        possible = [name for name in module.CLOSING_FAULTS if not (lost_disks and name in module.DISK_LOSS_FAULTS)]
        groups.append(rng.choice(possible))
    return groups


def join_randomly(rng: random.Random, names: list[str]) -> str:
    """Join faults into a group: most begin together, some follow the one before."""
    group = names[0]
    for name in names[1:]:
        group += rng.choice('++:') + name
    return group


def run_job(job: Job) -> Result:
    """Run one scenario; an exception becomes a verdict, because one failing seed must not end the search."""
    module = importlib.import_module(job.module)
    fault_groups = job.fault_groups or plan(job.seed, module)
    try:
        scenario = module.Scenario(
            job.seed, fault_groups, job.shape, durations.ms(1000 * job.seconds), rate=job.rate
        ).run()
        verdicts = scenario.verdicts()
        effective_faults = [
            name for group in fault_groups for name in registry.names_of(group) if name not in scenario.ineffective
        ]
        return Result(
            job.seed,
            fault_groups,
            verdicts,
            scenario.deployment.tally(),
            scenario.replay_command(),
            scenario.figures(),
            effective_faults,
        )
    except Exception as error:
        where = traceback.format_exc().strip().splitlines()[-3].strip()
        verdict = f'broke: {type(error).__name__}: {error} at {where}'
        replay = (
            f'python -m {job.module} --seed={job.seed} --shape={job.shape}'
            f' --faults={",".join(fault_groups)} --seconds={job.seconds:g}'
        )
        return Result(job.seed, fault_groups, [verdict], {}, replay, {}, [])


# -- shrinking a set of faults ----------------------------------------------------


def split_group(group: str) -> list[tuple[str, str]]:
    """Split a group into pairs (the sign that joins the fault to the one before, fault)."""
    parts = re.split('([+:])', f'+{group}')
    return list(zip(parts[1::2], parts[2::2], strict=True))


def join_group(joined_names: list[tuple[str, str]]) -> str:
    """Join the pairs of split_group() into a group again."""
    return ''.join(sign + name for sign, name in joined_names)[1:]


def remove_fault(groups: list[list[tuple[str, str]]], position: int) -> list[list[tuple[str, str]]]:
    """Return the groups without the fault at a position, which counts over all groups."""
    remaining = []
    number = 0
    for group in groups:
        rest: list[tuple[str, str]] = []
        for link in group:
            if number != position:
                rest.append(link)
            number += 1
        if rest:
            remaining.append(rest)
    return remaining


def shrink(job: Job) -> int:
    """Remove faults one by one while at least one of the same checkers still finds a violation; prints the rest."""

    def found(groups: list[list[tuple[str, str]]]) -> set[str]:
        """Return the names of the checkers that find a violation with these faults."""
        return run_job(job._replace(fault_groups=[join_group(group) for group in groups])).checkers()

    groups = [split_group(group) for group in job.fault_groups]
    wanted = found(groups)
    if not wanted:
        print('no checker finds a violation with all of these faults')
        return 0
    position = 0
    while position < sum(map(len, groups)):
        fewer = remove_fault(groups, position)
        if fewer and wanted & found(fewer):
            groups = fewer
        else:
            position += 1
    print(f'checkers {sorted(wanted)} still find violations with --faults={",".join(map(join_group, groups))}')
    return 1


# -- the search ----------------------------------------------------------------------


class Totals:
    """The sums and extremes of all scenarios of a search."""

    def __init__(self):
        self.checkers: collections.Counter[str] = collections.Counter()
        self.tally: collections.Counter[str] = collections.Counter()
        self.effective_faults: collections.Counter[str] = collections.Counter()
        self.failing_seeds = 0
        # The worst value of each figure, and its seed.
        self.worst: dict[str, tuple[float, int]] = {}

    def add(self, result: Result) -> None:
        """Add the result of one scenario."""
        self.tally.update(result.tally)
        self.effective_faults.update(result.effective_faults)
        for name, value in result.figures.items():
            if name not in self.worst or value > self.worst[name][0]:
                self.worst[name] = (value, result.seed)
        if result.verdicts:
            self.failing_seeds += 1
            self.checkers.update(result.checkers())


def search(jobs: list[Job], workers: int) -> int:
    """Run many scenarios, `workers` of them at a time; returns the exit status."""
    totals = Totals()
    with multiprocessing.Pool(workers) as pool:
        for number, result in enumerate(pool.imap_unordered(run_job, jobs), 1):
            if number % PROGRESS_EVERY == 0:
                # Printed regularly, so that a search that is interrupted still leaves results.
                print(f'... {number} seeds, {totals.failing_seeds} with violations; worst {totals.worst}', flush=True)
            totals.add(result)
            if result.verdicts:
                print(
                    f'seed {result.seed} {result.fault_groups}: {len(result.verdicts)} violations\n  '
                    + '\n  '.join(result.verdicts[:4])
                    + f'\n  replay: {result.replay}',
                    flush=True,
                )
    print(
        f'{len(jobs)} seeds, {totals.failing_seeds} with violations: {dict(totals.checkers)};'
        f' outcomes {dict(totals.tally)}'
    )
    print(f'worst (value, seed): {totals.worst}')
    print(f'scenarios in which each fault took effect: {dict(sorted(totals.effective_faults.items()))}')
    if jobs and not jobs[0].fault_groups:
        faults = importlib.import_module(jobs[0].module).FAULTS
        print(f'faults that never took effect: {sorted(set(faults) - set(totals.effective_faults))}')
    return 1 if totals.failing_seeds else 0
