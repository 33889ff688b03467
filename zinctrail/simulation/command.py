"""The command that plays simulated days: one day, a search over seeds, or the least set of faults."""

import dataclasses
import datetime
import sys
import types

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.search as search


@dataclasses.dataclass
class Options:
    """What the command was asked for, of the form --name=value."""

    seed: int = 1
    shape: str = 'small'
    seconds: float = 30.0
    rate: float | None = None
    faults: list[str] = dataclasses.field(default_factory=list)
    trace: bool = False
    help: bool = False
    shrink: bool = False
    # How many seeds to search, and how many of them at a time.
    seeds_to_search: int | None = None
    workers: int = 8

    @classmethod
    def parse(cls, argv: list[str]) -> 'Options':
        """Read the arguments; unknown ones are passed over."""
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
        """How long the faults of the day take together."""
        return durations.ms(1000 * self.seconds)

    def job(self, module: str, seed: int) -> search.Job:
        """The day of a seed, as a search plays it."""
        return search.Job(module, seed, self.shape, self.seconds, self.rate, self.faults)


def print_help(module: types.ModuleType, text: str) -> None:
    """Print what the command takes."""
    print(text.strip())
    print(
        '\n  --search=N   N seeds of random faults from --seed on, --at-once=8 of them at a time'
        '\n  --shrink     the fewest of --faults that still bring about what they do'
        f'\n  --shape={"|".join(module.SHAPES)}  --seconds=N  --rate=N  --trace'
        f'\n\nFaults: {", ".join(module.FAULTS)}'
    )


def main(argv: list[str], module: types.ModuleType, text: str) -> int:
    """Run the command for one kind of days.

    :param kind: the module whose Scenario, FAULTS and SHAPES are meant.
    :param text: its help.
    :returns: the exit status: 0 if nothing was found, 1 if something was, 2 for a fault that does not exist.
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
    return play(module, options)


def play(module: types.ModuleType, options: Options) -> int:
    """Play one day and print what it found."""
    scenario = module.Scenario(
        options.seed, options.faults, options.shape, options.length(), options.trace, rate=options.rate
    ).run()
    verdicts = scenario.verdicts()
    ineffective = f' found nothing to break: {scenario.ineffective}' if scenario.ineffective else ''
    print(f'{scenario.deployment.tally()} worst {scenario.figures()}{ineffective}')
    for verdict in verdicts:
        print(verdict)
    if verdicts:
        print(f'replay: {scenario.replay_command()}')
    return 1 if verdicts else 0
