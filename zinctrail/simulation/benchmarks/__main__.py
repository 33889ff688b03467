"""Figures for docs/measure.md.

python -m zinctrail.simulation.benchmarks gap [SEEDS]      leader lost: virtual time until its successor commits a version
python -m zinctrail.simulation.benchmarks bytes [SHAPE]    bytes published for one change (simulated network)
python -m zinctrail.simulation.benchmarks claims [N]       claims per second by concurrency, at a real control node of three
python -m zinctrail.simulation.benchmarks fleet [N]        a real fleet: requests, the gap after each of N leader kills,
                                           recovery after each of N kills of all processes
python -m zinctrail.simulation.benchmarks rolling          rolling restart of every process with all seeds replaced, under load
python -m zinctrail.simulation.benchmarks long [MINUTES]   a small fleet under load, changes and restarts: resource growth, a line per minute
"""

import collections.abc
import json
import sys
import threading
import typing

import twisted.internet.reactor as reactor

import zinctrail.simulation.benchmarks.claims as claims
import zinctrail.simulation.benchmarks.growth as growth
import zinctrail.simulation.benchmarks.loaded_fleet as loaded_fleet
import zinctrail.simulation.benchmarks.rolling as rolling
import zinctrail.simulation.benchmarks.virtual as virtual


class Benchmark(typing.NamedTuple):
    """A benchmark command; its function returns the figures."""

    function: collections.abc.Callable[..., dict]
    # Converts the optional argument.
    argument: type
    # True if the benchmark starts real processes.
    is_real: bool


BENCHMARKS = {
    'gap': Benchmark(virtual.gap, int, is_real=False),
    'bytes': Benchmark(virtual.bytes_per_change, str, is_real=False),
    'claims': Benchmark(claims.claims, int, is_real=True),
    'fleet': Benchmark(loaded_fleet.fleet_under_kills, int, is_real=True),
    'rolling': Benchmark(rolling.rolling, str, is_real=True),
    'long': Benchmark(growth.long, int, is_real=True),
}


def main(arguments: list[str]) -> int:
    """Run one of the commands and return the exit status."""
    if not arguments or arguments[0] not in BENCHMARKS:
        print(__doc__.strip())
        return 0 if arguments[:1] == ['--help'] else 2
    benchmark = BENCHMARKS[arguments[0]]
    if benchmark.is_real:
        threading.Thread(target=reactor.run, kwargs={'installSignalHandlers': False}, daemon=True).start()
    found = benchmark.function(*[benchmark.argument(argument) for argument in arguments[1:2]])
    print(json.dumps(found, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
