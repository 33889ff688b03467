"""What the thin programs share: flags, logs, signals, the loop."""

import dataclasses
import datetime
import random
import signal
import sys

import absl.flags
import absl.logging
import twisted.internet.reactor
import twisted.python.log as twisted_log

import zinctrail
import zinctrail.agree.frames as frames
import zinctrail.agree.partner as partner
import zinctrail.bounds as bounds
import zinctrail.edge.host as host
import zinctrail.faults as faults
import zinctrail.seam as seam

FLAGS = absl.flags.FLAGS
USAGE = 2


def place_flags():
    absl.flags.DEFINE_string('addr', '', 'IP:PORT for our own processes.')
    absl.flags.DEFINE_string('http', '', 'IP:PORT for HTTP.')
    absl.flags.DEFINE_string('cell', '', 'The cell this process stands in.')
    absl.flags.DEFINE_list('seeds', [], 'Up to a few IP:PORT of other processes, of any role; they may be stale.')
    absl.flags.DEFINE_string('front', '', 'IP:PORT where a proxy takes open traffic, matched by host and path.')
    absl.flags.DEFINE_list('doors', [], 'More IP:PORT for calls; what is spoken there may be a dialect.')
    for f in dataclasses.fields(bounds.Bounds):
        if isinstance(f.default, datetime.timedelta):
            absl.flags.DEFINE_integer(f'{f.name}_ms', seam.to_ms(f.default), f'Bound {f.name}, in milliseconds.')
        elif isinstance(f.default, float):
            absl.flags.DEFINE_float(f.name, f.default, f'Bound {f.name}.')
        else:
            absl.flags.DEFINE_integer(f.name, f.default, f'Bound {f.name}.')


def read_bounds():
    vals = {}
    for f in dataclasses.fields(bounds.Bounds):
        if isinstance(f.default, datetime.timedelta):
            vals[f.name] = seam.ms(getattr(FLAGS, f'{f.name}_ms'))
        else:
            vals[f.name] = getattr(FLAGS, f.name)
    return bounds.Bounds(**vals)


def read_place():
    bad = [f'--{n}: must be IP:PORT, not {getattr(FLAGS, n)!r}'
           for n in ('addr', 'http') if not frames.is_addr(getattr(FLAGS, n))]
    bad += [f'--seeds: must be IP:PORT, not {s!r}' for s in FLAGS.seeds if not frames.is_addr(s)]
    bad += [f'--{n}: must be IP:PORT, not {s!r}' for n, many in (('doors', FLAGS.doors), ('front', [FLAGS.front]))
            for s in many if s and not frames.is_addr(s)]
    if not FLAGS.cell:
        bad.append('--cell: is missing')
    bad += [f'--{n}: {t}' for n, t in read_bounds().faults()]
    if bad:
        raise faults.SettingFault('\n'.join(bad))
    return partner.Place(FLAGS.addr, FLAGS.http, FLAGS.cell, list(FLAGS.seeds), FLAGS.front)


def parse(doc, argv=None):
    """Flags from the command line and flagfiles; exits 0 on --help, 2 on a fault."""
    argv = list(sys.argv if argv is None else argv)
    if any(a in ('--help', '-help', '-h') for a in argv[1:]):
        print(doc.strip())
        print('\nFlags (also by --flagfile=FILE):')
        print('\n'.join(line for line in FLAGS.main_module_help().splitlines() if line.strip())
              or FLAGS.get_help())
        sys.exit(0)
    if '--version' in argv[1:]:
        print(zinctrail.__version__)
        sys.exit(0)
    try:
        return FLAGS(argv)[1:]
    except absl.flags.Error as e:
        print(f'{argv[0]}: {e}', file=sys.stderr)
        sys.exit(USAGE)


def serve(doc, make, dialect=None, argv=None):
    """Run one machine: make(place, bounds, rng) -> (machine, disk)."""
    place_flags()
    rest = parse(doc, argv)
    absl.logging.use_absl_handler()
    if FLAGS['verbosity'].using_default_value:
        absl.logging.set_verbosity(absl.logging.INFO)
    twisted_log.PythonLoggingObserver(loggerName='twisted').start()
    try:
        if rest:
            raise faults.SettingFault(f'unknown words: {" ".join(rest)}')
        place, bound = read_place(), read_bounds()
        machine, disk = make(place, bound, random.SystemRandom())
        h = host.Host(machine, twisted.internet.reactor, disk, dialect, FLAGS.doors)
        h.start()
    except faults.Fault as e:
        for line in str(e).splitlines():
            print(f'{sys.argv[0]}: {line}', file=sys.stderr)
        sys.exit(USAGE)

    def stop(*_):
        twisted.internet.reactor.callFromThread(h.feed, 'stop')
    for s in (signal.SIGTERM, signal.SIGINT):
        signal.signal(s, stop)
    twisted.internet.reactor.run(installSignalHandlers=False)
    sys.exit(h.code)
