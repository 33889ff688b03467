"""Traces one request, or the elections, through the log lines of many processes.

Lines are ordered by their timestamps, each by the clock of the machine that
wrote it; clock skew between machines may put their lines out of order.
"""

import collections
import typing

import zinctrail.runtime.logs as logs

# The values of the field `event` in lines about elections.
ELECTION_EVENTS = ('stand', 'vote', 'lead', 'follow', 'down', 'lost', 'successor')


def parse_records(lines: typing.Iterable[str]) -> list[logs.Record]:
    """Parse the lines that are log lines; skip the others."""
    return [record for record in map(logs.parse, lines) if record is not None]


def timestamp(record: logs.Record) -> str:
    """Return the time of a record without the year, which text lines lack; it can be compared as text."""
    at = record.get('at', '')
    return (at[5:] if at[4:5] == '-' else at).rstrip('Z')


def time_of_day(record: logs.Record) -> str:
    """Return the time of a record as hours, minutes, seconds and milliseconds."""
    return timestamp(record).partition('T')[2][:12]


def request_lines(records: list[logs.Record], request_id: str) -> list[str]:
    """Return a line for each record about the request with this id, in order of time."""
    of_request = (record for record in records if record.get('id') == request_id)
    return [
        f'{time_of_day(record)}  {record.get("by", "?")}  {_request_event(record)}'
        for record in sorted(of_request, key=timestamp)
    ]


def _request_event(record: logs.Record) -> str:
    if record.get('event') == 'claim':
        return f'claim for {record.get("proxy", "?")}: {record.get("outcome", "?")}'
    if record.get('event') != 'request':
        return record['text']
    earlier = [name for name in record.get('tried', '').split(',') if name and name != record.get('inc')]
    return (
        f'{record["outcome"]} {record["status"]}: {record.get("cause") or "reply of the endpoint"};'
        f' service {record.get("service") or "-"}, endpoint {record.get("inc") or "none"}'
        + (f', before it {", ".join(earlier)}' if earlier else '')
        + f', tries {record["tries"]}, {record["here_ms"]} ms here, {record["there_ms"]} ms there'
    )


def node_addresses(records: list[logs.Record]) -> dict[str, str]:
    """Return {node: address}, as processes log them at their start."""
    return {
        record['node']: record['by']
        for record in records
        if record.get('event') == 'start' and 'node' in record and 'by' in record
    }


def election_lines(records: list[logs.Record], term: int | None = None) -> list[str]:
    """Return lines about each term, or about one: its candidates and their reasons, its votes, its leader, its end."""
    addresses = node_addresses(records)
    by_term = collections.defaultdict(list)
    for record in records:
        if record.get('event') in ELECTION_EVENTS and record.get('term', '').isdigit():
            by_term[int(record['term'])].append(record)
    lines = []
    for each in sorted(by_term) if term is None else [term] if term in by_term else []:
        lines.append(f'term {each}')
        lines += _term_lines(sorted(by_term[each], key=timestamp), addresses)
    return lines


def _term_lines(records: list[logs.Record], addresses: dict[str, str]) -> list[str]:
    """Return the events of one term in order of time, then summaries of who followed and who lost the leader."""
    lines, follows, losses = [], [], collections.defaultdict(list)
    for record in records:
        if record['event'] == 'follow':
            follows.append(record)
        elif record['event'] == 'lost':
            losses[record.get('why', '?')].append(record)
        else:
            text = _election_event(record, addresses)
            lines.append(f'  {time_of_day(record)}  {record.get("by", "?")}  {text}')
    if follows:
        lines.append(f'  followed by {_count_and_times(follows)}')
    for reason, lost in sorted(losses.items()):
        lines.append(f'  lost by {_count_and_times(lost, reason)}')
    return lines


def _election_event(record: logs.Record, addresses: dict[str, str]) -> str:
    def name(node: str | None) -> str:
        return addresses.get(node or '', node or '') or '?'

    event = record['event']
    if event == 'stand':
        return f'starts an election, attempt {record.get("tries", "?")}: {record.get("why", "?")}'
    if event == 'vote':
        return f'votes for {name(record.get("node"))}'
    if event == 'lead':
        return 'leads, with the votes of ' + ', '.join(name(voter) for voter in record.get('votes', '').split(','))
    if event == 'down':
        return f'steps down: {record.get("why", "?")}'
    return f'shuts down, and names its successor {name(record.get("node"))}'


def _count_and_times(records: list[logs.Record], reason: str = '') -> str:
    """Summarize records: the number of processes, and the times of the first and the last record."""
    count = len({record.get('by') for record in records})
    return (
        f'{count}{": " + reason if reason else ""}, the first at {time_of_day(records[0])},'
        f' the last at {time_of_day(records[-1])}'
    )
