"""The command that runs simulated scenarios: one scenario, a search over seeds, or shrinking a set of faults."""

import dataclasses
import datetime
import sys
import types

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.search as search


@dataclasses.dataclass
class Options:
    """The options of the command, each given as --name=value."""

    seed: int = 1
    shape: str = 'small'
    seconds: float = 30.0
    rate: float | None = None
    faults: list[str] = dataclasses.field(default_factory=list)
    trace: bool = False
    help: bool = False
    shrink: bool = False
    # The number of seeds to search, and how many of them run at a time.
    seeds_to_search: int | None = None
    workers: int = 8

    @classmethod
    def parse(cls, argv: list[str]) -> 'Options':
        """Parse the arguments; unknown ones are ignored."""
        given = dict(argument.lstrip('-').partition('=')[::2] for argument in argv)
        return cls(
            seed=int(given.get('seed', 1)),
            shape=given.get('shape', 'small'),
            seconds=float(given.get('seconds', 30)),
            rate=float(given['rate']) if 'rate' in given else None,
            faults=[name for name in given.get('faults', '').split(',') if name],
            trace='trace' in given,
            help='help' in given,
            shrink='shrink' in given,
            seeds_to_search=int(given['search']) if 'search' in given else None,
            workers=int(given.get('at-once', 8)),
        )

    def length(self) -> datetime.timedelta:
        """Return the time that all groups of faults of the scenario share."""
        return durations.ms(1000 * self.seconds)

    def job(self, module: str, seed: int) -> search.Job:
        """Return the job of a search that runs the scenario of a seed."""
        return search.Job(module, seed, self.shape, self.seconds, self.rate, self.faults)


def print_help(module: types.ModuleType, text: str) -> None:
    """Print the usage of the command."""
    print(text.strip())
    print(
        '\n  --search=N   N seeds of random faults from --seed on, --at-once=8 of them at a time'
        '\n  --shrink     find a smaller set of --faults with which one of the same checkers still finds a violation'
        f'\n  --shape={"|".join(module.SHAPES)}  --seconds=N  --rate=N  --trace'
        f'\n\nFaults: {", ".join(module.FAULTS)}'
    )


def main(argv: list[str], module: types.ModuleType, text: str) -> int:
    """Run the command for one scenario module.

    :param module: the module with the Scenario, FAULTS and SHAPES to use.
    :param text: the help text of the module.
    :returns: the exit status: 0 without violations, 1 with violations, 2 if a named fault does not exist.
    """
    options = Options.parse(argv)
    if options.help:
        print_help(module, text)
        return 0
    if options.seeds_to_search is not None:
        jobs = [
            options.job(module.__name__, seed) for seed in range(options.seed, options.seed + options.seeds_to_search)
        ]
        return search.search(jobs, options.workers)
    unknown = [name for group in options.faults for name in registry.names_of(group) if name not in module.FAULTS]
    if unknown:
        print(f'no such faults: {", ".join(unknown)}', file=sys.stderr)
        return 2
    if options.shrink:
        return search.shrink(options.job(module.__name__, options.seed))
    return run_scenario(module, options)


def run_scenario(module: types.ModuleType, options: Options) -> int:
    """Run one scenario and print its figures and violations."""
    scenario = module.Scenario(
        options.seed, options.faults, options.shape, options.length(), options.trace, rate=options.rate
    ).run()
    verdicts = scenario.verdicts()
    ineffective = f' faults without a target: {scenario.ineffective}' if scenario.ineffective else ''
    print(f'{scenario.deployment.tally()} worst {scenario.figures()}{ineffective}')
    for verdict in verdicts:
        print(verdict)
    if verdicts:
        print(f'replay: {scenario.replay_command()}')
    return 1 if verdicts else 0
