"""Heartbeats of endpoints: their validation, and their conversion to a row of the replicated state.

A heartbeat is {inc, addr, service, cell, slots, state} with labels, cold,
pressure, seq and cold_ms optional (docs/interface.md). An endpoint that does not
use the zinctrail library numbers its heartbeats (`seq`) and reports the remaining
milliseconds of its warm-up (`cold_ms`) instead of the remaining share (`cold`).
"""

import math

import zinctrail.control.arguments as arguments
import zinctrail.control.document_checks as document_checks
import zinctrail.control.retention as retention
import zinctrail.control.routing_table as routing_table
import zinctrail.control.rows as rows
import zinctrail.errors as errors
import zinctrail.runtime.parsing as parsing

REQUIRED_FIELDS = ('inc', 'addr', 'service', 'cell', 'slots', 'state')
KNOWN_FIELDS = ('inc', 'addr', 'service', 'cell', 'labels', 'slots', 'state', 'cold', 'pressure', 'seq', 'cold_ms')
LEAVING = 'leaving'
STATES = ('ready', 'draining', LEAVING)
MAX_SLOTS = 100000
# Maximum ratios: of the remaining warm-up, and of the load to the endpoint's capacity.
MAX_COLD = 1
MAX_LOAD = 1000


def check(heartbeat: dict) -> None:
    """Refuse a malformed heartbeat, listing all of its errors."""
    checks = document_checks.DocumentChecks()
    if checks.fields('$', heartbeat, KNOWN_FIELDS, REQUIRED_FIELDS):
        for key in ('inc', 'service', 'cell'):
            if key in heartbeat:
                checks.name(f'$.{key}', heartbeat[key])
        if not parsing.is_address(heartbeat.get('addr')):
            checks.add('$.addr', 'must be IP:PORT')
        checks.labels('$.labels', heartbeat.get('labels', {}), allows_lists=False)
        checks.whole_number('$.slots', heartbeat.get('slots'), 1, MAX_SLOTS)
        _check_report(checks, heartbeat)
    if checks.field_errors:
        raise document_checks.validation_error('invalid beat', checks.field_errors)


def _check_report(checks: document_checks.DocumentChecks, heartbeat: dict) -> None:
    """Check the fields that change from heartbeat to heartbeat: state, warm-up and load."""
    if heartbeat.get('state') not in STATES:
        checks.add('$.state', f'must be one of {", ".join(STATES)}')
    for key, high in (('cold', MAX_COLD), ('pressure', MAX_LOAD)):
        if not _is_ratio(heartbeat.get(key, 0), high):
            checks.add(f'$.{key}', 'must be a number from 0 to 1')
    for key in ('seq', 'cold_ms'):
        if key in heartbeat:
            checks.whole_number(f'$.{key}', heartbeat[key], 0, arguments.MAX_EXACT_INTEGER)


def _is_ratio(value, high: float) -> bool:
    return not isinstance(value, bool) and isinstance(value, (int, float)) and 0 <= value <= high


def to_row(heartbeat: dict) -> rows.EndpointRow:
    """Convert a heartbeat to an endpoint row, without its sequence number."""
    row: rows.EndpointRow = {
        'addr': heartbeat['addr'],
        'service': heartbeat['service'],
        'cell': heartbeat['cell'],
        'labels': heartbeat.get('labels', {}),
        'slots': heartbeat['slots'],
        'state': heartbeat['state'],
        # In steps, so that a warm-up does not create a version of the state with each heartbeat; rounded up, so that
        # the endpoint never appears warmer than it is.
        'cold': math.ceil(heartbeat.get('cold', 0) * routing_table.CAPACITY_STEPS),
    }
    if 'seq' in heartbeat:
        # Proxies only need to know whether it is warming up; the milliseconds would change with each heartbeat.
        row['plain'] = True
        row['chill'] = int(heartbeat.get('cold_ms', 0) > 0)
    return row


def is_unchanged(row: rows.EndpointRow | None, reported: rows.EndpointRow) -> bool:
    """True if a heartbeat reports the same as the endpoint's row, regardless of its sequence number."""
    return row is not None and {key: value for key, value in row.items() if key != 'seq'} == reported


def require_not_removed(state, incarnation: str) -> None:
    """Refuse an incarnation that was removed: it never returns, and the endpoint must create a new one."""
    if state.get(retention.TOMBSTONES_TABLE, incarnation) is not None:
        raise errors.GoneError('this incarnation was declared gone: mint a new one')
