"""zinctrailctl: the command-line tool for operators.

  zinctrailctl --at=IP:PORT[,IP:PORT] COMMAND ...

  status                            show leader, term, generation, members, leases, endpoints and margins as
                                    tables; --json for scripts
  wait GENERATION                   wait until it is in force on every member, for --within=SECONDS (else exit 5)
  wait drained ADDR                 wait until that endpoint is draining or removed, in force on every member
  wait members N                    wait until N members respond and are up to date
  self                              show the state of the process at --at
  ready                             exit 0 if the process at --at is ready
  lag                               show each member's own generation and lease, and the items and zones in which
                                    members that are behind differ; --json for scripts
  duties                            show the holder and the fencing token of each singleton role
  trace ID [FILE ...]               show one request, from the log lines of any processes (no FILE: standard input)
  election [TERM] [FILE ...]        show each election, from the log lines of any processes
  get                               print the configuration in force (leadership confirmed by a quorum)
  check FILE                        print every error of a configuration (- is standard input)
  apply FILE [--base=N]             put a configuration into force; N is the generation that the change is based on
                                    (default: the current one)
  label ADDR K=V ... [K- ...]       set or remove labels of an endpoint
  cell CELL [region=R] [K=V] [K-]   set a zone's region and labels
  evacuate CELL | return CELL       move traffic away from a zone, or return it
  items get | items versions        print the open-traffic items in force (leadership confirmed by a quorum), or a
                                    table of their names and versions
  items apply FILE                  set and remove items; items that already have a higher version are unchanged
  items drop rules|pools NAME VERSION
                                    remove an item
  empty CELL | refill CELL          stop sending requests to a zone's plain endpoints, or start again
  lock take|free|get NAME [HOLDER]  acquire, release or show a lock
  number NAME                       print the next number of a counter
  key get|put|drop KEY [VALUE]      read, write or delete a key; --rev=N to compare and set
  recover [IP:PORT]                 after a permanent loss of a majority of voters: show the replicas that the
                                    processes at --at have; with the HTTP address of an empty zinctrail-controller,
                                    and --confirm=CLUSTER, make a new cluster from the newest replica
  watch PREFIX [SINCE]              print events, one per line, until interrupted (--once: one call)

Exit: 0 done, 1 refused or failed, 2 usage error, 3 conflict, 4 no response,
5 timed out waiting.
"""

import os
import sys
import typing

import absl.flags

import zinctrail.cli.command_line as command_line
import zinctrail.cli.commands.configuration as configuration
import zinctrail.cli.commands.coordination as coordination
import zinctrail.cli.commands.items as items
import zinctrail.cli.commands.lag as lag
import zinctrail.cli.commands.log_files as log_files
import zinctrail.cli.commands.recover as recover
import zinctrail.cli.commands.session as session
import zinctrail.cli.commands.status as status
import zinctrail.cli.commands.waiting as waiting
import zinctrail.runtime.documents as documents
import zinctrail.runtime.parsing as parsing
import zinctrail.transport.program as program

FLAGS = absl.flags.FLAGS
# The environment variable that is read if --at is not given.
ADDRESSES_VARIABLE = 'ZTCTL_AT'
# The exit code that shells report for a program that SIGINT ended.
EXIT_INTERRUPTED = 130


class Command(typing.NamedTuple):
    """A command of zinctrailctl."""

    function: typing.Callable[[session.Session, list[str]], None]
    # True if the command calls processes, for which it needs --at.
    needs_addresses: bool = True


COMMANDS = {
    'wait': Command(waiting.wait),
    'status': Command(status.status),
    'get': Command(configuration.get),
    'check': Command(configuration.check),
    'apply': Command(configuration.apply),
    'label': Command(configuration.label),
    'cell': Command(configuration.cell),
    'evacuate': Command(configuration.evacuate),
    'return': Command(configuration.end_evacuation),
    'ready': Command(status.ready),
    'self': Command(status.own_state),
    'lag': Command(lag.lag),
    'duties': Command(status.duties),
    'trace': Command(log_files.trace, needs_addresses=False),
    'election': Command(log_files.election, needs_addresses=False),
    'items': Command(items.items),
    'empty': Command(items.empty),
    'refill': Command(items.refill),
    'recover': Command(recover.recover),
    'lock': Command(coordination.lock),
    'number': Command(coordination.number),
    'key': Command(coordination.key),
    'watch': Command(coordination.watch),
}


def define_flags() -> None:
    """Define the flags of zinctrailctl in this module, since --help lists the flags of the main module."""
    absl.flags.DEFINE_list(
        'at', [], 'IP:PORT of HTTP of any zinctrail-controller or zinctrail-directory (or ZTCTL_AT).'
    )
    absl.flags.DEFINE_integer('base', None, 'The generation that the change is based on.')
    absl.flags.DEFINE_bool('wait', True, 'Wait until a change is in force everywhere.')
    absl.flags.DEFINE_integer('rev', None, 'The revision a key must be at (0: must not exist).')
    absl.flags.DEFINE_integer('lock_ms', 5000, 'How long a lock is held, in milliseconds.')
    absl.flags.DEFINE_string('confirm', None, 'recover: the first letters of the cluster that is abandoned.')
    absl.flags.DEFINE_bool('json', False, 'status, lag: JSON instead of a table.')
    absl.flags.DEFINE_float('within', 30, 'wait: the timeout in seconds.', lower_bound=0)
    absl.flags.DEFINE_bool('once', False, 'watch: make only one call.')


def read_options() -> session.Options:
    """Return the options of this run, from flags and the environment."""
    return session.Options(
        addresses=FLAGS.at or [address for address in os.environ.get(ADDRESSES_VARIABLE, '').split(',') if address],
        base=FLAGS.base,
        wait=FLAGS.wait,
        revision=FLAGS.rev,
        lock_ms=FLAGS.lock_ms,
        confirm=FLAGS.confirm,
        json=FLAGS.json,
        within_s=FLAGS.within,
        once=FLAGS.once,
    )


def run_command(args: list[str], options: session.Options) -> None:
    """Run the command that the first argument names; raises session.CommandError."""
    if not args or args[0] not in COMMANDS:
        text = f'unknown command {args[0]}; see --help' if args else 'no command given; see --help'
        raise session.CommandError(session.ExitCode.USAGE, text)
    command = COMMANDS[args[0]]
    has_addresses = bool(options.addresses) and all(parsing.is_address(address) for address in options.addresses)
    if command.needs_addresses and not has_addresses:
        raise session.CommandError(session.ExitCode.USAGE, '--at: must be IP:PORT[,IP:PORT]')
    command.function(session.Session(options), args[1:])


def run() -> None:
    """Run zinctrailctl, and exit."""
    documents.raise_recursion_limit()
    define_flags()
    args = program.parse(__doc__)
    try:
        run_command(args, read_options())
    except session.CommandError as error:
        command_line.fail('zinctrailctl', error, error.exit_code)
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(session.ExitCode.DONE)


if __name__ == '__main__':
    run()
