"""zinctrail-replay: checks, generates and replays recorded days.

  zinctrail-replay check FILE                 check a day; a malformed line is reported with its number
  zinctrail-replay make SHAPE                 generate a day of small, accra or ukks, to standard output
  zinctrail-replay sim FILE                   replay a day in the simulator
  zinctrail-replay fleet FILE                 replay a day against a new fleet on loopback
  zinctrail-replay at FILE --dirs=IP:PORT,..  replay requests, calls and operators' commands against a running fleet

FILE may be - for standard input. --record=FILE writes the events that were
sent, with the offsets at which they were sent, as a new day. The report has the
outcomes, the violations that checkers found, and percentiles of latencies.
Exit: 0 no violation, 1 violations found, 2 usage error or malformed line (nothing was sent).
"""

import json
import sys

import absl.flags

import zinctrail.cli.command_line as command_line
import zinctrail.errors as errors
import zinctrail.fleet.deployments as deployments
import zinctrail.fleet.recorded_day as recorded_day
import zinctrail.fleet.replay_events as replay_events
import zinctrail.fleet.replay_processes as replay_processes
import zinctrail.fleet.replay_simulated as replay_simulated
import zinctrail.transport.program as program

FLAGS = absl.flags.FLAGS
COMMANDS = ('check', 'make', 'sim', 'fleet', 'at')


def define_flags() -> None:
    """Define the flags of all commands."""
    absl.flags.DEFINE_bool('skip', False, 'Skip malformed lines, and count them.')
    absl.flags.DEFINE_float('speed', 1.0, 'How many times as fast as recorded.', lower_bound=0.001)
    absl.flags.DEFINE_integer('seed', 1, 'Seed of a generated day, of the simulator, of the test endpoints.')
    absl.flags.DEFINE_float('seconds', 60, 'make: the length of the day in seconds.', lower_bound=1)
    absl.flags.DEFINE_float('rate', None, "make: requests per second (default: the deployment's own).")
    absl.flags.DEFINE_string('closing', 'kill_all', 'make: the closing fault.')
    absl.flags.DEFINE_string('record', '', 'fleet, at: write the events that were sent to this file, as a day.')
    absl.flags.DEFINE_string('folder', '', 'fleet: the folder for data and logs.')
    absl.flags.DEFINE_integer('parts', 0, 'fleet: replay requests and calls from this many processes.', lower_bound=0)
    absl.flags.DEFINE_bool('echo', False, 'at: endpoints return the request id; check it.')
    absl.flags.DEFINE_bool('raw', False, 'at: report the complete histogram, so that reports can be added up.')
    absl.flags.DEFINE_list('dirs', [], 'at: HTTP addresses of directories.')


def load(name: str) -> recorded_day.RecordedDay:
    """Read a day from a file, or from standard input if the name is -."""
    try:
        with command_line.open_input(name) as file:
            return recorded_day.read(file, FLAGS.skip)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f'{name}: {error}') from error


def make_day(shape: str) -> None:
    """Print a generated day."""
    if shape not in deployments.PRESETS:
        raise errors.SettingsError(f'{shape}: must be one of {", ".join(deployments.PRESETS)}')
    header, events = recorded_day.generate(shape, FLAGS.seed, FLAGS.seconds, FLAGS.closing, FLAGS.rate)
    for line in recorded_day.write(header, events):
        print(line)


def print_check(day: recorded_day.RecordedDay) -> None:
    """Print a day's length, and how many of its events were read and skipped."""
    length_s = day.events[-1]['at_ms'] / 1000 if day.events else 0
    print(f'{len(day.events)} events over {length_s:g} s, {len(day.skipped)} skipped')


def replay(command: str, day: recorded_day.RecordedDay) -> replay_events.Report:
    """Replay a day in the way that the command names."""
    if command == 'sim':
        return replay_simulated.replay(day.header, day.events, FLAGS.seed, FLAGS.speed)
    options = replay_processes.Options(
        speed=FLAGS.speed,
        seed=FLAGS.seed,
        echo=FLAGS.echo,
        raw=FLAGS.raw,
        parts=FLAGS.parts,
        record=FLAGS.record,
        folder=FLAGS.folder,
    )
    if command == 'fleet':
        return replay_processes.replay_in_own_fleet(day.header, day.events, options)
    return replay_processes.replay_at(day.header, day.events, FLAGS.dirs, options)


def run_command(args: list[str]) -> int:
    """Run a command and return the exit code."""
    if len(args) != 2 or args[0] not in COMMANDS:
        raise errors.SettingsError('expected a command and a name; see --help')
    command, name = args
    if command == 'make':
        make_day(name)
        return 0
    day = load(name)
    for number, reason in day.skipped:
        print(f'zinctrail-replay: line {number}: {reason} (skipped)', file=sys.stderr)
    if command == 'check':
        print_check(day)
        return 0
    report = replay(command, day)
    print(json.dumps({**report.figures, 'skipped': len(day.skipped), 'verdicts': report.violations}, indent=1))
    return 1 if report.violations else 0


def run() -> None:
    """Run the program."""
    define_flags()
    args = program.parse(__doc__)
    try:
        code = run_command(args)
    except errors.ZinctrailError as error:
        command_line.fail('zinctrail-replay', error, program.USAGE)
    sys.exit(code)


if __name__ == '__main__':
    run()
