"""What the programs share: flags, logs, signals, and the event loop."""

import dataclasses
import datetime
import random
import signal
import sys
import typing

import absl.flags
import absl.logging
import twisted.internet.reactor
import twisted.python.log as twisted_log

import zinctrail
import zinctrail.consensus.node_location as node_location
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.logs as logs
import zinctrail.runtime.parsing as parsing
import zinctrail.runtime.request_sampling as request_sampling
import zinctrail.runtime.settings as settings
import zinctrail.transport.host as host
import zinctrail.transport.twisted_types as twisted_types

FLAGS = absl.flags.FLAGS
# The exit code of wrong usage.
USAGE = 2
# The signals that a program handles.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# How often a changed command line is asked for, without a SIGHUP.
RELOAD_INTERVAL_S = 2.0

# Makes the state machine of a program, and its disk (None for one that keeps nothing).
MakeMachine = typing.Callable[
    [node_location.NodeLocation, settings.Settings, random.Random], tuple[host.HostedMachine, host.EffectDisk | None]
]
# Gives the command line as it is now, or None if it has not changed.
ChangedCommandLine = typing.Callable[[], list[str] | None]


def define_flags(flags: absl.flags.FlagValues = FLAGS) -> None:
    """Define the flags of a node: where it is, how it logs, and every field of Settings."""
    absl.flags.DEFINE_string('addr', '', 'IP:PORT for our own processes.', flag_values=flags)
    absl.flags.DEFINE_string('http', '', 'IP:PORT for HTTP.', flag_values=flags)
    absl.flags.DEFINE_string('cell', '', 'The cell this process stands in.', flag_values=flags)
    absl.flags.DEFINE_list(
        'seeds', [], 'Up to a few IP:PORT of other processes, of any role; they may be stale.', flag_values=flags
    )
    absl.flags.DEFINE_bool(
        'first_start',
        True,
        'Whether the whole system starts for the first time; if not, a control node with an empty disk only joins.',
        flag_values=flags,
    )
    absl.flags.DEFINE_string(
        'front', '', 'IP:PORT where a proxy takes open traffic, matched by host and path.', flag_values=flags
    )
    absl.flags.DEFINE_list(
        'doors', [], 'More IP:PORT for calls; what is spoken there may be a dialect.', flag_values=flags
    )
    absl.flags.DEFINE_integer(
        'figures_s', 0, 'Seconds between two lines of figures in the log; 0 for none.', flag_values=flags
    )
    absl.flags.DEFINE_enum(
        'log_format', 'text', logs.FORMATS, 'Lines with fields behind the sentence, or of JSON.', flag_values=flags
    )
    absl.flags.DEFINE_float(
        'trace_share',
        0.0,
        'The share of requests, picked by id, whose end is logged.',
        lower_bound=0,
        upper_bound=1,
        flag_values=flags,
    )
    for field in dataclasses.fields(settings.Settings):
        define_setting(field, flags)


def define_setting(field: dataclasses.Field, flags: absl.flags.FlagValues) -> None:
    """Define the flag of a field of Settings; a duration is given in milliseconds."""
    name: str = field.name
    default: typing.Any = field.default
    if isinstance(default, datetime.timedelta):
        absl.flags.DEFINE_integer(
            f'{name}_ms', durations.to_ms(default), f'Bound {name}, in milliseconds.', flag_values=flags
        )
    elif isinstance(default, float):
        absl.flags.DEFINE_float(name, default, f'Bound {name}.', flag_values=flags)
    else:
        absl.flags.DEFINE_integer(name, default, f'Bound {name}.', flag_values=flags)


def read_settings(flags: absl.flags.FlagValues = FLAGS) -> settings.Settings:
    """The Settings that the flags give."""
    values: dict[str, typing.Any] = {}
    for field in dataclasses.fields(settings.Settings):
        if isinstance(field.default, datetime.timedelta):
            values[field.name] = durations.ms(getattr(flags, f'{field.name}_ms'))
        else:
            values[field.name] = getattr(flags, field.name)
    return settings.Settings(**values)


def read_location(flags: absl.flags.FlagValues = FLAGS) -> node_location.NodeLocation:
    """Where the flags place this node.

    :raises zinctrail.errors.SettingsError: with a line for each unusable flag, those of Settings included.
    """
    faults = [
        f'--{name}: must be IP:PORT, not {getattr(flags, name)!r}'
        for name in ('addr', 'http')
        if not parsing.is_address(getattr(flags, name))
    ]
    faults += [f'--seeds: must be IP:PORT, not {seed!r}' for seed in flags.seeds if not parsing.is_address(seed)]
    faults += [
        f'--{name}: must be IP:PORT, not {addr!r}'
        for name, addrs in (('doors', flags.doors), ('front', [flags.front]))
        for addr in addrs
        if addr and not parsing.is_address(addr)
    ]
    if not flags.cell:
        faults.append('--cell: is missing')
    faults += [f'--{name}: {text}' for name, text in read_settings(flags).faults()]
    if faults:
        raise errors.SettingsError('\n'.join(faults))
    return node_location.NodeLocation(
        flags.addr, flags.http, flags.cell, list(flags.seeds), flags.front, first_start=flags.first_start
    )


class Configuration(typing.NamedTuple):
    """What a running process takes from a new command line."""

    location: node_location.NodeLocation
    settings: settings.Settings
    sampler: request_sampling.RequestSampler


def read_command_line(argv: list[str]) -> Configuration:
    """The configuration of another command line; the flags of this process stay as they are.

    :raises zinctrail.errors.SettingsError: it is unusable.
    """
    # Not a copy of FLAGS: some flags act when they are set, such as the level of the logs.
    flags = absl.flags.FlagValues()
    define_flags(flags)
    try:
        flags(argv, known_only=True)
    except absl.flags.Error as error:
        raise errors.SettingsError(str(error)) from error
    return Configuration(read_location(flags), read_settings(flags), request_sampling.RequestSampler(flags.trace_share))


class SettingsReload:
    """Reads settings again while the process runs: all of them or, where one is unusable, none.

    `changed_command_line()` gives the command line as it is now, or None if it has not changed.
    """

    def __init__(self, host_: host.Host, changed_command_line: ChangedCommandLine) -> None:
        self.host = host_
        self.changed_command_line = changed_command_line

    def check(self) -> None:
        """Apply the settings if they have changed."""
        try:
            argv = self.changed_command_line()
            if argv is not None:
                configuration = read_command_line(argv)
                self.host.machine.request_sampler = configuration.sampler
                self.host.feed('settings', configuration.location, configuration.settings)
        except Exception as error:  # Whatever is wrong with the new settings, the process goes on with the old ones.
            absl.logging.error(
                '%s: new settings are unusable, goes on with those it has: %s',
                self.host.machine.prefix,
                '; '.join(str(error).splitlines()),
            )


def parse(doc: str, argv: list[str] | None = None) -> list[str]:
    """Set the flags from the command line and its flagfiles, and return the other arguments.

    Exits with 0 on --help and --version, with 2 on an unusable flag.
    """
    argv = list(sys.argv if argv is None else argv)
    if any(word in ('--help', '-help', '-h') for word in argv[1:]):
        print(doc.strip())
        print('\nFlags (also by --flagfile=FILE):')
        print('\n'.join(line for line in FLAGS.main_module_help().splitlines() if line.strip()) or FLAGS.get_help())
        sys.exit(0)
    if '--version' in argv[1:]:
        print(zinctrail.__version__)
        sys.exit(0)
    try:
        return FLAGS(argv)[1:]
    except absl.flags.Error as error:
        print(f'{argv[0]}: {error}', file=sys.stderr)
        sys.exit(USAGE)


def start_logging() -> None:
    """Send our own and twisted's log to standard error, each line with this process's address.

    Lines of many processes are read together, so each one tells which process wrote it.
    """
    absl.logging.use_absl_handler()
    if FLAGS['verbosity'].using_default_value:
        absl.logging.set_verbosity(absl.logging.INFO)
    handler = absl.logging.get_absl_handler()
    handler.setFormatter(logs.LineFormatter(FLAGS.log_format, absl.logging.PythonFormatter(), {'by': FLAGS.addr}))
    logs.quiet_libraries()
    twisted_log.PythonLoggingObserver(loggerName='twisted').start()


def start_host(
    make: MakeMachine, dialect: typing.Any, changed_command_line: ChangedCommandLine
) -> tuple[host.Host, SettingsReload]:
    """Make the state machine and start its host, with the signals handled."""
    machine, disk = make(read_location(), read_settings(), random.SystemRandom())
    machine.request_sampler = request_sampling.RequestSampler(FLAGS.trace_share)
    node = host.Host(machine, twisted.internet.reactor, disk, dialect, FLAGS.doors, FLAGS.figures_s)
    settings_reload = SettingsReload(node, changed_command_line)
    # Set before the start: by default these signals end a process, and they may come at any moment.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: twisted.internet.reactor.callFromThread(node.feed, 'stop'))
    signal.signal(signal.SIGHUP, lambda *_: twisted.internet.reactor.callFromThread(settings_reload.check))
    node.start()
    return node, settings_reload


def serve(
    doc: str,
    make: MakeMachine,
    dialect: typing.Any = None,
    argv: list[str] | None = None,
    changed_command_line: ChangedCommandLine | None = None,
) -> None:
    """Run a program: one state machine on the event loop, until it ends; then exit with its code.

    :param doc: the program's help.
    :param make: `make(location, settings, rng)` gives the state machine and its disk (or None).
    :param dialect: an `IDialect`; our own by default.
    :param changed_command_line: gives a new command line if the settings have changed, else None; it is called now
        and then, and on SIGHUP. Without one, SIGHUP makes the process read its flagfiles again.
    """
    define_flags()
    argv = list(sys.argv if argv is None else argv)
    unknown = parse(doc, argv)
    start_logging()
    try:
        if unknown:
            raise errors.SettingsError(f'unknown words: {" ".join(unknown)}')
        node, settings_reload = start_host(make, dialect, changed_command_line or (lambda: argv))
    except errors.ZinctrailError as error:
        for line in str(error).splitlines():
            print(f'{sys.argv[0]}: {line}', file=sys.stderr)
        sys.exit(USAGE)
    if changed_command_line:
        host.repeat(settings_reload.check, RELOAD_INTERVAL_S)
    reactor: twisted_types.Reactor = twisted.internet.reactor
    reactor.run(installSignalHandlers=False)
    # All is done. The interpreter takes our handlers away as it ends, and a signal that comes again would end it otherwise.
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    sys.exit(node.exit_code)
