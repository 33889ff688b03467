"""zinctrail-fleet: runs a small fleet on loopback, with test endpoints and clients.

  zinctrail-fleet [--preset=small|accra|ukks] [--seconds=N] [--rate=N] [--cores=N] ...

Prints all listening addresses as JSON, then a line of counts every few
seconds; stops everything it started on SIGINT, SIGTERM or after --seconds.
Exit: 0, or 1 if a request ran twice or a response was wrong.
"""

import json
import random
import signal
import sys
import tempfile
import time
import typing

import absl.flags
import twisted.internet.defer as defer
import twisted.internet.reactor
import twisted.internet.task as task
import twisted.internet.threads as threads
import twisted.python.failure as failure

import zinctrail.fleet.deployments as deployments
import zinctrail.fleet.histogram as histogram
import zinctrail.fleet.processes as processes
import zinctrail.transport.program as program

FLAGS = absl.flags.FLAGS
# Twisted replaces this module with a reactor object.
reactor: typing.Any = twisted.internet.reactor
# The sizes of a preset that flags can override.
SIZES = ('regions', 'cells', 'cores', 'proxies', 'dirs', 'rate')
REPORT_INTERVAL_S = 5


def define_flags() -> None:
    """Define the program's flags."""
    absl.flags.DEFINE_enum('preset', 'small', sorted(deployments.PRESETS), 'The sizes to start from.')
    for name in SIZES:
        # Only the rate may be 0: a fleet without any of the others can't serve requests.
        absl.flags.DEFINE_integer(name, None, f'How many {name}.', lower_bound=0 if name == 'rate' else 1)
    absl.flags.DEFINE_integer('endpoints', None, 'Endpoints per service.', lower_bound=0)
    absl.flags.DEFINE_float('seconds', 0, 'Stop after this many seconds (0: on a signal only).')
    absl.flags.DEFINE_integer('seed', 1, 'Seed of the test endpoints and clients.')
    absl.flags.DEFINE_string('folder', '', 'The folder for data and logs (default: a new temporary folder).')
    absl.flags.DEFINE_list('pass_flags', [], 'Flags passed to every process.')


def chosen_shape() -> deployments.Shape:
    """Return the preset with the sizes that the flags override."""
    shape = deployments.PRESETS[FLAGS.preset].copy()
    for name in SIZES:
        if getattr(FLAGS, name) is not None:
            shape.update(typing.cast(deployments.Shape, {name: getattr(FLAGS, name)}))
    if FLAGS.endpoints is not None:
        shape['services'] = dict.fromkeys(shape['services'], FLAGS.endpoints)
    return shape


def print_json(document: typing.Any, indent: int | None = None) -> None:
    """Print a document and flush standard output."""
    print(json.dumps(document, indent=indent), flush=True)


class Session:
    """One run of a fleet, from start to stop."""

    def __init__(self, fleet: processes.Fleet, seed: int, seconds: float):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.has_failed = False
        # The loop that sends the clients' requests.
        self.calls: task.LoopingCall | None = None

    def run(self) -> int:
        """Run the fleet until a signal or --seconds ends it, and return the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(self.end))
        began = time.monotonic()
        try:
            self.fleet.start()
            threads.deferToThread(self.fleet.configure).addCallbacks(self.started, self.failed)
            reactor.run(installSignalHandlers=False)
        finally:
            self.fleet.stop()
        report = self.fleet.report()
        seconds = round(time.monotonic() - began, 1)
        print_json({**report, **histogram.spread(self.fleet.waits), 'seconds': seconds})
        is_wrong = report['ran_twice'] or report.get('wrong') or report.get('false-not-run')
        return 1 if self.has_failed or is_wrong else 0

    def started(self, _: None) -> None:
        """Start endpoints and clients, once the fleet is configured."""
        self.fleet.start_endpoints(self.rng)
        if self.fleet.shape['rate']:
            self.calls = self.fleet.start_callers(self.rng)
        print_json(self.fleet.listen_addresses(), indent=1)
        print('ready', flush=True)
        reactor.callLater(REPORT_INTERVAL_S, self.print_report)
        if self.seconds:
            reactor.callLater(self.seconds, self.end)

    def print_report(self) -> None:
        """Print the counts so far, and schedule the next report."""
        print_json({**self.fleet.report(), **histogram.spread(self.fleet.waits)})
        reactor.callLater(REPORT_INTERVAL_S, self.print_report)

    def end(self) -> None:
        """Stop the clients, print the processes' figures, and stop the fleet."""
        if self.fleet.is_stopping:
            return
        self.fleet.is_stopping = True
        if self.calls:
            # The clients stop first: the outcome of requests that are sent while the fleet stops would be unknown.
            self.calls.stop()
        figures = threads.deferToThread(self.fleet.figures)
        figures.addCallback(lambda found: print_json({'figures': found}))
        figures.addBoth(self._stop_fleet).addBoth(self._stop_reactor)

    def _stop_fleet(self, _: typing.Any) -> defer.Deferred:
        return threads.deferToThread(self.fleet.stop)

    def _stop_reactor(self, _: typing.Any) -> None:
        reactor.stop()

    def failed(self, reason: failure.Failure) -> None:
        """Report that the fleet could not be configured, and stop it."""
        print(f'zinctrail-fleet: starting the fleet failed: {reason.getErrorMessage()}', file=sys.stderr)
        self.has_failed = True
        self.end()


def run() -> None:
    """Run the program."""
    define_flags()
    if program.parse(__doc__):
        print('zinctrail-fleet: takes only flags; see --help', file=sys.stderr)
        sys.exit(program.USAGE)
    folder = FLAGS.folder or tempfile.mkdtemp(prefix='fleet-')
    fleet = processes.Fleet(chosen_shape(), folder, reactor, FLAGS.pass_flags)
    sys.exit(Session(fleet, FLAGS.seed, FLAGS.seconds).run())


if __name__ == '__main__':
    run()
