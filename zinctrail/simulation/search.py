"""A search over seeds: random faults, alone and several at once, on several cores of the machine."""

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

# How often a search prints what it has so far, in seeds.
PROGRESS_EVERY = 100


class Job(typing.NamedTuple):
    """One day to play; random faults by the seed where none are named."""

    module: str
    seed: int
    shape: str
    seconds: float
    rate: float | None
    names: list[str]


class Result(typing.NamedTuple):
    """What a day showed."""

    seed: int
    names: list[str]
    verdicts: list[str]
    tally: dict[str, int]
    replay: str
    figures: dict[str, float]
    # Faults that found something to break.
    effective_faults: list[str]

    def checkers(self) -> set[str]:
        """The names of the checkers that found something."""
        return {verdict.split(':', 1)[0] for verdict in self.verdicts}


def plan(seed: int, module: types.ModuleType) -> list[str]:
    """The faults of a seed's day, out of those of a module of days."""
    rng = random.Random(f'plan/{seed}')
    groups = []
    lost_disks = 0
    for _ in range(rng.randrange(1, 4)):
        names = rng.sample(sorted(set(module.FAULTS) - set(module.CLOSING_FAULTS)), rng.choice((1, 1, 2, 2, 3)))
        # One of these a day: two disks of three lost at once are beyond what is promised (operate/recover.md).
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
    """A group of faults: most begin together, some follow on the one before."""
    group = names[0]
    for name in names[1:]:
        group += rng.choice('++:') + name
    return group


def play(job: Job) -> Result:
    """Play one day; an exception becomes a finding, since one broken seed must not hide the others."""
    module = importlib.import_module(job.module)
    names = job.names or plan(job.seed, module)
    try:
        scenario = module.Scenario(job.seed, names, job.shape, durations.ms(1000 * job.seconds), rate=job.rate).run()
        verdicts = scenario.verdicts()
        effective_faults = [
            name for group in names for name in registry.names_of(group) if name not in scenario.ineffective
        ]
        return Result(
            job.seed,
            names,
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
            f' --faults={",".join(names)} --seconds={job.seconds:g}'
        )
        return Result(job.seed, names, [verdict], {}, replay, {}, [])


# -- the least set of faults ------------------------------------------------------


def split_group(group: str) -> list[tuple[str, str]]:
    """A group as (how it is joined to the one before, fault)."""
    parts = re.split('([+:])', f'+{group}')
    return list(zip(parts[1::2], parts[2::2], strict=True))


def join_group(joined_names: list[tuple[str, str]]) -> str:
    """The group that links() took apart."""
    return ''.join(how + name for how, name in joined_names)[1:]


def remove_fault(groups: list[list[tuple[str, str]]], position: int) -> list[list[tuple[str, str]]]:
    """The groups without the fault at a position, counted over all groups."""
    kept = []
    number = 0
    for group in groups:
        rest: list[tuple[str, str]] = []
        for link in group:
            if number != position:
                rest.append(link)
            number += 1
        if rest:
            kept.append(rest)
    return kept


def shrink(job: Job) -> int:
    """Leave out faults one by one for as long as the same kind of finding stays; prints what is left."""

    def found(groups: list[list[tuple[str, str]]]) -> set[str]:
        """The names of the checkers that find something with these faults."""
        return play(job._replace(names=[join_group(group) for group in groups])).checkers()

    groups = [split_group(group) for group in job.names]
    wanted = found(groups)
    if not wanted:
        print('nothing is found with all of them')
        return 0
    position = 0
    while position < sum(map(len, groups)):
        fewer = remove_fault(groups, position)
        if fewer and wanted & found(fewer):
            groups = fewer
        else:
            position += 1
    print(f'{sorted(wanted)} stays with --faults={",".join(map(join_group, groups))}')
    return 1


# -- the search ----------------------------------------------------------------------


class Totals:
    """What all days of a search showed together."""

    def __init__(self):
        self.checkers: collections.Counter[str] = collections.Counter()
        self.tally: collections.Counter[str] = collections.Counter()
        self.effective_faults: collections.Counter[str] = collections.Counter()
        self.failing_seeds = 0
        # The worst value of each figure, and its seed.
        self.worst: dict[str, tuple[float, int]] = {}

    def add(self, result: Result) -> None:
        """Count in what one day showed."""
        self.tally.update(result.tally)
        self.effective_faults.update(result.effective_faults)
        for name, value in result.figures.items():
            if name not in self.worst or value > self.worst[name][0]:
                self.worst[name] = (value, result.seed)
        if result.verdicts:
            self.failing_seeds += 1
            self.checkers.update(result.checkers())


def search(jobs: list[Job], workers: int) -> int:
    """Play many days, `workers` of them at a time; returns the exit status."""
    totals = Totals()
    with multiprocessing.Pool(workers) as pool:
        for number, result in enumerate(pool.imap_unordered(play, jobs), 1):
            if number % PROGRESS_EVERY == 0:
                # Now and then, so that a search that is stopped was not for nothing.
                print(f'... {number} seeds, {totals.failing_seeds} with faults; worst {totals.worst}', flush=True)
            totals.add(result)
            if result.verdicts:
                print(
                    f'seed {result.seed} {result.names}: {len(result.verdicts)} faults\n  '
                    + '\n  '.join(result.verdicts[:4])
                    + f'\n  replay: {result.replay}',
                    flush=True,
                )
    print(
        f'{len(jobs)} seeds, {totals.failing_seeds} with faults: {dict(totals.checkers)}; outcomes {dict(totals.tally)}'
    )
    print(f'worst (value, seed): {totals.worst}')
    print(f'days that each fault hit: {dict(sorted(totals.effective_faults.items()))}')
    if jobs and not jobs[0].names:
        faults = importlib.import_module(jobs[0].module).FAULTS
        print(f'never hit: {sorted(set(faults) - set(totals.effective_faults))}')
    return 1 if totals.failing_seeds else 0
