"""Commands that read log files and don't call any process."""

import zinctrail.cli.commands.output as output
import zinctrail.cli.commands.session as session
import zinctrail.runtime.log_trace as log_trace
import zinctrail.runtime.parsing as parsing


def trace(client: session.Session, args: list[str]) -> None:
    """`trace ID [FILE ...]`: print one request, from the log lines of any processes."""
    session.require_args(args, 1)
    request_id, *names = args
    records = log_trace.parse_records(output.read_lines(names))
    output.print_lines(
        log_trace.request_lines(records, request_id),
        f'no log line for request {request_id}: it succeeded and was not sampled (--trace_share),'
        ' or these are not its logs',
    )


def election(client: session.Session, args: list[str]) -> None:
    """`election [TERM] [FILE ...]`: print all elections or that of one term, from the log lines of any processes."""
    term, names = None, args
    if args and parsing.is_whole(args[0]):
        term, names = int(args[0]), args[1:]
    records = log_trace.parse_records(output.read_lines(names))
    output.print_lines(log_trace.election_lines(records, term), 'no log line for an election')
