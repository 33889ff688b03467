"""The `lag` command: asks each member for its version, and shows how the members that are behind differ."""

import typing

import zinctrail.cli.commands.output as output
import zinctrail.cli.commands.session as session
import zinctrail.cli.commands.status as status
import zinctrail.transport.blocking_client as blocking_client

SELF_TIMEOUT_S = 2
COPY_TIMEOUT_S = 5
COLUMNS = ('member', 'role', 'cell', 'http', 'generation', 'lease', 'behind')


class LagRow(typing.TypedDict):
    """A member's own report; the JSON output of `lag` is a list of these. None: the member does not respond."""

    node: str
    role: str
    cell: str
    http: str
    # Its version of the replicated state.
    generation: int | None
    # The remaining time of its lease, in milliseconds.
    lease_ms: int | None
    # By how many versions it is behind.
    behind: int | None
    # The parts of the operator's configuration that differ from the newest, as text.
    lacks: list[str]


def lag(client: session.Session, args: list[str]) -> None:
    """`lag`: print a table of all members, then the differences of those that are behind; --json for scripts."""
    state = client.get('/v1/status')['state']
    rows = list(lag_rows(state))
    if client.options.json:
        output.print_json(rows)
        return
    print(f'newest: generation {state["generation"][1]}, of routes {state["routes"]}')
    output.print_table([COLUMNS, *map(_table_row, rows)])
    for row in rows:
        for text in row['lacks']:
            print(f'{row["http"]}: {text}')


def lag_rows(state: dict) -> typing.Iterator[LagRow]:
    """Yield a row for each member in the leader's state; the members are called one after the other."""
    newest_tables = None
    for node, member in status.by_role(state['members']):
        newest = state['generation'][1] if member['role'] == 'core' else state['routes']
        row: LagRow = {
            'node': node,
            'role': member['role'],
            'cell': member['cell'],
            'http': member['http'],
            'generation': None,
            'lease_ms': None,
            'behind': None,
            'lacks': [],
        }
        status_code, document = blocking_client.try_call(member['http'], 'GET', '/v1/self', timeout_s=SELF_TIMEOUT_S)
        if status_code == 200:
            own = document['state']
            behind = max(0, newest - own['generation'][1])
            row['generation'] = own['generation'][1]
            row['lease_ms'] = own['lease_ms']
            row['behind'] = behind
            if behind and member['role'] != 'core':
                newest_tables = newest_tables or _tables(state['http'])
                row['lacks'] = differences(newest_tables, _tables(member['http']))
        yield row


def _table_row(row: LagRow) -> tuple[str, ...]:
    return (
        row['node'][:8],
        row['role'],
        row['cell'],
        row['http'],
        '-' if row['generation'] is None else str(row['generation']),
        _lease_text(row['lease_ms']),
        '?' if row['behind'] is None else str(row['behind']),
    )


def _lease_text(lease_ms: int | None) -> str:
    if lease_ms is None:
        return 'silent'
    return f'{lease_ms} ms' if lease_ms else 'NONE'


def _tables(address: str) -> dict[str, dict]:
    """Return the tables of a process's replicated state, or an empty dict if it does not respond."""
    status_code, document = blocking_client.try_call(address, 'GET', '/v1/copy', timeout_s=COPY_TIMEOUT_S)
    return document['tables'] if status_code == 200 else {}


def differences(newest: dict[str, dict], present: dict[str, dict]) -> list[str]:
    """Describe how the operator's configuration differs between two states: items and versions, settings, zones."""
    newest_items, present_items = newest.get('items', {}), present.get('items', {})
    found = []
    for key in sorted({*newest_items, *present_items}):
        wanted, actual = newest_items.get(key), present_items.get(key)
        if wanted != actual:
            found.append(f'{key}: has {_version_text(actual)}, newest {_version_text(wanted)}')
    for table in ('conf', 'cells'):
        wanted_rows, actual_rows = newest.get(table, {}), present.get(table, {})
        keys = sorted({*wanted_rows, *actual_rows})
        found += [f'{table} {key}' for key in keys if wanted_rows.get(key) != actual_rows.get(key)]
    return found


def _version_text(item: dict | None) -> str:
    return str(item['v']) if item else 'none'
