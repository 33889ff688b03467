"""Measures the points of sweeps, each in a separate process, and saves each point as soon as it is measured."""

import concurrent.futures
import dataclasses
import datetime
import multiprocessing
import time
import typing

import zinctrail.simulation.scale.memory as memory
import zinctrail.simulation.scale.point as scale_point
import zinctrail.simulation.scale.records as records
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.sweeps as sweeps


@dataclasses.dataclass
class Options:
    """The options of the command."""

    # The number of seeds per size, and per large size.
    seeds: int = 3
    large: int = 1
    # Points measured at the same time.
    jobs: int = 3
    # 1: recorded points are retained and not measured again.
    keep: int = 0


class Task(typing.NamedTuple):
    """One point to measure."""

    sweep: str
    size: sizes.Size
    seed: int


class Measured(typing.NamedTuple):
    """A measured point and the real time that the measurement took."""

    sweep: str
    point: dict
    seconds: float


def measure(task: Task) -> Measured:
    """Measure one point."""
    began = time.monotonic()
    measure_size = memory.measure_memory if task.sweep in sweeps.MEMORY_SWEEPS else scale_point.measure_point
    point = measure_size(task.size, task.seed)
    return Measured(task.sweep, point, time.monotonic() - began)


def plan(names: list[str], options: Options) -> list[Task]:
    """Return all points of some sweeps, the large ones first, because the last one to end decides the total time."""
    tasks = [
        Task(name, size, seed)
        for name in names
        for size in sweeps.ALL[name]
        for seed in sweeps.seeds(name, size, options.seeds, options.large)
    ]
    return sorted(tasks, key=lambda task: -sweeps.weight(task.size))


def run(names: list[str], options: Options) -> None:
    """Measure sweeps (all, if none is named) into docs/capacity/points.json."""
    names = names or list(sweeps.ALL)
    document = records.load()
    for name in names:
        document[name] = document.get(name, []) if options.keep else []
    on_record = [(name, point['size'], point['seed']) for name in names for point in document[name]]
    tasks = [
        task for task in plan(names, options) if (task.sweep, dataclasses.asdict(task.size), task.seed) not in on_record
    ]
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(options.jobs, context, max_tasks_per_child=1) as pool:
        for future in concurrent.futures.as_completed([pool.submit(measure, task) for task in tasks]):
            measured = future.result()
            record(document, measured)
            report(measured)


def record(document: dict, measured: Measured) -> None:
    """Add a point to its sweep, sorted by size and seed, and save the document."""
    points = document[measured.sweep]
    points.append(measured.point)
    points.sort(key=lambda point: (list(point['size'].values()), point['seed']))
    records.save(document)


def report(measured: Measured) -> None:
    """Print a point's size, seed, duration and memory on one line."""
    point = measured.point
    print(
        f'{datetime.datetime.now():%H:%M:%S} {measured.sweep} {point["size"]["nodes"]} nodes seed {point["seed"]}:'
        f' {measured.seconds:.0f} s, {point.get("rss_mb", 0):.0f} MB',
        flush=True,
    )
