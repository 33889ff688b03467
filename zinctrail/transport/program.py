"""The common main function of the programs: flags, logging, signals, and the event loop."""

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
import zinctrail.runtime.documents as documents
import zinctrail.runtime.durations as durations
import zinctrail.runtime.logs as logs
import zinctrail.runtime.parsing as parsing
import zinctrail.runtime.process_limits as process_limits
import zinctrail.runtime.request_sampling as request_sampling
import zinctrail.runtime.settings as settings
import zinctrail.transport.host as host
import zinctrail.transport.twisted_types as twisted_types

FLAGS = absl.flags.FLAGS
# The exit code for a usage error.
USAGE = 2
# The signals that a program handles.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# The interval at which the program checks for a changed command line without a SIGHUP.
RELOAD_INTERVAL_S = 2.0

# Creates the state machine of a program, and its disk (None for a program that stores nothing).
MakeMachine = typing.Callable[
    [node_location.NodeLocation, settings.Settings, random.Random], tuple[host.HostedMachine, host.EffectDisk | None]
]
# Returns the current command line, or None if it has not changed.
ChangedCommandLine = typing.Callable[[], list[str] | None]


def define_flags(flags: absl.flags.FlagValues = FLAGS) -> None:
    """Define the flags of a node: its location, its logging, and every field of Settings."""
    absl.flags.DEFINE_string('addr', '', 'IP:PORT for frames of our other processes.', flag_values=flags)
    absl.flags.DEFINE_string('http', '', 'IP:PORT for HTTP.', flag_values=flags)
    absl.flags.DEFINE_string('cell', '', 'The zone that this process runs in.', flag_values=flags)
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
        'front', '', 'IP:PORT where a proxy accepts open traffic, matched by host and path.', flag_values=flags
    )
    absl.flags.DEFINE_list(
        'doors', [], 'Further IP:PORT for API calls, in the dialect of the platform if there is one.', flag_values=flags
    )
    absl.flags.DEFINE_integer(
        'figures_s', 0, 'Seconds between two log lines with counters; 0 for none.', flag_values=flags
    )
    absl.flags.DEFINE_enum(
        'log_format', 'text', logs.FORMATS, 'Log lines as a sentence followed by fields, or as JSON.', flag_values=flags
    )
    absl.flags.DEFINE_float(
        'trace_share',
        0.0,
        'The share of requests, sampled by id, whose end is logged.',
        lower_bound=0,
        upper_bound=1,
        flag_values=flags,
    )
    for field in dataclasses.fields(settings.Settings):
        define_setting(field, flags)


def define_setting(field: dataclasses.Field, flags: absl.flags.FlagValues) -> None:
    """Define the flag of a field of Settings; the flag of a duration is in milliseconds."""
    name: str = field.name
    default: typing.Any = field.default
    if isinstance(default, datetime.timedelta):
        absl.flags.DEFINE_integer(
            f'{name}_ms', durations.to_ms(default), f'Setting {name}, in milliseconds.', flag_values=flags
        )
    elif isinstance(default, float):
        absl.flags.DEFINE_float(name, default, f'Setting {name}.', flag_values=flags)
    else:
        absl.flags.DEFINE_integer(name, default, f'Setting {name}.', flag_values=flags)


def read_settings(flags: absl.flags.FlagValues = FLAGS) -> settings.Settings:
    """Return the Settings that the flags specify."""
    values: dict[str, typing.Any] = {}
    for field in dataclasses.fields(settings.Settings):
        if isinstance(field.default, datetime.timedelta):
            values[field.name] = durations.ms(getattr(flags, f'{field.name}_ms'))
        else:
            values[field.name] = getattr(flags, field.name)
    values['file_descriptors'] = process_limits.within_system_limit(values['file_descriptors'])
    return settings.Settings(**values)


def read_location(flags: absl.flags.FlagValues = FLAGS) -> node_location.NodeLocation:
    """Return the location of this node that the flags specify.

    :raises zinctrail.errors.SettingsError: with a line for each invalid flag, including those of Settings.
    """
    error_lines = [
        f'--{name}: must be IP:PORT, not {getattr(flags, name)!r}'
        for name in ('addr', 'http')
        if not parsing.is_address(getattr(flags, name))
    ]
    error_lines += [f'--seeds: must be IP:PORT, not {seed!r}' for seed in flags.seeds if not parsing.is_address(seed)]
    error_lines += [
        f'--{name}: must be IP:PORT, not {addr!r}'
        for name, addrs in (('doors', flags.doors), ('front', [flags.front]))
        for addr in addrs
        if addr and not parsing.is_address(addr)
    ]
    if not flags.cell:
        error_lines.append('--cell: is missing')
    error_lines += [f'--{name}: {text}' for name, text in read_settings(flags).faults()]
    if error_lines:
        raise errors.SettingsError('\n'.join(error_lines))
    return node_location.NodeLocation(
        flags.addr, flags.http, flags.cell, list(flags.seeds), flags.front, first_start=flags.first_start
    )


class Configuration(typing.NamedTuple):
    """The values that a running process takes from a new command line."""

    location: node_location.NodeLocation
    settings: settings.Settings
    sampler: request_sampling.RequestSampler


def read_command_line(argv: list[str]) -> Configuration:
    """Return the configuration that a command line specifies, without changing the flags of this process.

    :raises zinctrail.errors.SettingsError: the command line is invalid.
    """
    # Not a copy of FLAGS: setting some flags has effects, such as changing the log level.
    flags = absl.flags.FlagValues()
    define_flags(flags)
    try:
        flags(argv, known_only=True)
    except absl.flags.Error as error:
        raise errors.SettingsError(str(error)) from error
    return Configuration(read_location(flags), read_settings(flags), request_sampling.RequestSampler(flags.trace_share))


class SettingsReload:
    """Reloads the settings of a running process: all of them or, if one is invalid, none.

    `changed_command_line()` returns the current command line, or None if it has not changed.
    """

    def __init__(self, host_: host.Host, changed_command_line: ChangedCommandLine) -> None:
        self.host = host_
        self.changed_command_line = changed_command_line

    def check(self) -> None:
        """Apply the settings if they have changed; invalid ones are only logged."""
        try:
            argv = self.changed_command_line()
            if argv is not None:
                configuration = read_command_line(argv)
                self.host.machine.request_sampler = configuration.sampler
                self.host.feed('settings', configuration.location, configuration.settings)
        except Exception as error:  # Whatever is wrong with the new settings, the process keeps the current ones.
            absl.logging.error(
                '%s: new settings are invalid, keeping the current settings: %s',
                self.host.machine.prefix,
                '; '.join(str(error).splitlines()),
            )


def parse(doc: str, argv: list[str] | None = None) -> list[str]:
    """Set the flags from the command line and its flagfiles, and return the other arguments.

    Exits with 0 on --help and --version, with 2 on an invalid flag.
    """
    argv = list(sys.argv if argv is None else argv)
    if any(arg in ('--help', '-help', '-h') for arg in argv[1:]):
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
    """Send our own and Twisted's log to standard error, each line with this process's address.

    Logs of many processes are read together, so each line names the process that wrote it.
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
    """Create the state machine, install the signal handlers, and start the host."""
    documents.raise_recursion_limit()
    machine, disk = make(read_location(), read_settings(), random.SystemRandom())
    machine.request_sampler = request_sampling.RequestSampler(FLAGS.trace_share)
    node = host.Host(machine, twisted.internet.reactor, disk, dialect, FLAGS.doors, FLAGS.figures_s)
    settings_reload = SettingsReload(node, changed_command_line)
    # Installed before the start: by default these signals end a process, and they may arrive at any time.
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: twisted.internet.reactor.callFromThread(node.feed, 'stop'))
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
    """Run a program: run one state machine on the event loop until it ends, then exit with its exit code.

    :param doc: the program's help text.
    :param make: `make(location, settings, rng)` returns the state machine and its disk (or None).
    :param dialect: an `IDialect`; our own by default.
    :param changed_command_line: returns the new command line if the settings have changed, else None; it is called
        every `RELOAD_INTERVAL_S`, and on SIGHUP. Without one, SIGHUP makes the process read its flagfiles again.
    """
    define_flags()
    argv = list(sys.argv if argv is None else argv)
    unknown = parse(doc, argv)
    start_logging()
    try:
        if unknown:
            raise errors.SettingsError(f'unexpected arguments: {" ".join(unknown)}')
        node, settings_reload = start_host(make, dialect, changed_command_line or (lambda: argv))
    except errors.ZinctrailError as error:
        for line in str(error).splitlines():
            print(f'{sys.argv[0]}: {line}', file=sys.stderr)
        sys.exit(USAGE)
    if changed_command_line:
        host.call_periodically(settings_reload.check, RELOAD_INTERVAL_S)
    reactor: twisted_types.Reactor = twisted.internet.reactor
    reactor.run(installSignalHandlers=False)
    # The interpreter removes our handlers as it exits; another signal would then change the exit code.
    for signal_number in HANDLED_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)
    sys.exit(node.exit_code)
