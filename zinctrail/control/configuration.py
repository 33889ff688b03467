"""The operators' configuration: one document, validated and replaced as a whole by compare-and-set on its version.

{"pools":  {NAME: {"service": S, "selector": {LABEL: VALUE or [VALUES]}, "policy": LUA}},
 "rules":  {NAME: {"match": {LABEL: VALUE or [VALUES]}, "pool": POOL, "order": N,
                   "deadline_ms": N, "run_once": BOOL, "repeat": {"attempts": N}}},
 "cells":  {NAME: {"region": R, "labels": {..}, "evacuated": BOOL}},
 "labels": {ENDPOINT ADDRESS: {LABEL: VALUE}}}

In the replicated state, zones are rows of table `cells`, and the other parts
are rows PART/NAME of table `conf`.
"""

import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.control.document_checks as document_checks
import zinctrail.control.policies as policies
import zinctrail.control.replies as replies
import zinctrail.errors as errors

TABLE, ZONES_TABLE = 'conf', 'cells'
# The parts of a document. `cells` are zones; the name is part of the interface.
ZONES = 'cells'
PARTS = ('pools', 'rules', ZONES, 'labels')
# Endpoints report these labels about themselves; operators cannot override them.
ENDPOINT_LABELS = ('service', 'cell', 'region')
MAX_ORDER = 1000000
MAX_DEADLINE_MS = 600000
MAX_ATTEMPTS = 5

# {label: the required value, or a list of the allowed values}
Selector = dict[str, str | list[str]]


class PoolRow(typing.TypedDict, total=False):
    """A pool of the endpoints of one service that match a selector."""

    service: str
    selector: Selector
    # Lua source that chooses an endpoint (control.policies).
    policy: str


class RetryRow(typing.TypedDict):
    """How a rule's requests are retried."""

    # The maximum number of attempts for one request, including the first.
    attempts: int


class RuleRow(typing.TypedDict, total=False):
    """A rule: which requests go to which pool, and how."""

    # The labels of the requests that the rule applies to.
    match: Selector
    pool: str
    # The rule's position: rules are tried in ascending order.
    order: int
    deadline_ms: int
    # Whether a request may be executed at most once.
    run_once: bool
    repeat: RetryRow


class ZoneRow(typing.TypedDict, total=False):
    """A zone. Evacuations of open traffic add `emptied` to the stored row (control.evacuations)."""

    region: str
    labels: dict[str, str]
    # Whether the document's traffic is kept out of the zone.
    evacuated: bool


class Document(typing.TypedDict, total=False):
    """A complete configuration."""

    pools: dict[str, PoolRow]
    rules: dict[str, RuleRow]
    cells: dict[str, ZoneRow]
    # {endpoint address: its labels}
    labels: dict[str, dict[str, str]]


def check(document: typing.Any) -> list[document_checks.FieldError]:
    """Return all errors of a document; any JSON value may be given."""
    checks = document_checks.DocumentChecks()
    if not checks.fields('$', document, PARTS):
        return checks.field_errors
    for part in PARTS:
        if not isinstance(document.get(part, {}), dict):
            checks.add(f'$.{part}', 'must be an object')
            continue
        for name, row in document.get(part, {}).items():
            path = f'$.{part}.{name}'
            checks.name(path, name)
            ROW_CHECKS[part](checks, path, row, document)
    return checks.field_errors


def require_valid(document: typing.Any) -> None:
    """Refuse an invalid document, listing all of its errors."""
    field_errors = check(document)
    if field_errors:
        raise document_checks.validation_error('invalid configuration', field_errors)


def _check_pool(checks: document_checks.DocumentChecks, path: str, row: typing.Any, document: dict) -> None:
    if not checks.fields(path, row, ('service', 'selector', 'policy'), ('service',)):
        return
    if 'policy' in row:
        error = policies.check(row['policy'])
        if error:
            checks.add(f'{path}.policy', error)
    if 'service' in row:
        checks.name(f'{path}.service', row['service'])
    if 'selector' in row:
        checks.labels(f'{path}.selector', row['selector'])


def _check_rule(checks: document_checks.DocumentChecks, path: str, row: typing.Any, document: dict) -> None:
    if not checks.fields(path, row, ('match', 'pool', 'order', 'deadline_ms', 'run_once', 'repeat'), ('pool',)):
        return
    if 'match' in row:
        checks.labels(f'{path}.match', row['match'])
    if 'pool' in row and not _is_pool(row['pool'], document.get('pools')):
        checks.add(f'{path}.pool', f'names no pool of this document: {row["pool"]!r}')
    if 'order' in row:
        checks.whole_number(f'{path}.order', row['order'], 0, MAX_ORDER)
    if 'deadline_ms' in row:
        checks.whole_number(f'{path}.deadline_ms', row['deadline_ms'], 1, MAX_DEADLINE_MS)
    if 'run_once' in row:
        checks.boolean(f'{path}.run_once', row['run_once'])
    if 'repeat' in row:
        _check_retry(checks, f'{path}.repeat', row['repeat'])


def _is_pool(name: typing.Any, pools: typing.Any) -> bool:
    return isinstance(name, str) and isinstance(pools, dict) and name in pools


def _check_retry(checks: document_checks.DocumentChecks, path: str, row: typing.Any) -> None:
    if checks.fields(path, row, ('attempts',), ('attempts',)) and 'attempts' in row:
        checks.whole_number(f'{path}.attempts', row['attempts'], 1, MAX_ATTEMPTS)


def _check_zone(checks: document_checks.DocumentChecks, path: str, row: typing.Any, document: dict) -> None:
    if not checks.fields(path, row, ('region', 'labels', 'evacuated')):
        return
    if 'region' in row:
        checks.name(f'{path}.region', row['region'])
    if 'labels' in row:
        _check_labels(checks, f'{path}.labels', row['labels'], document)
    if 'evacuated' in row:
        checks.boolean(f'{path}.evacuated', row['evacuated'])


def _check_labels(checks: document_checks.DocumentChecks, path: str, row: typing.Any, document: dict) -> None:
    checks.labels(path, row, allows_lists=False)
    for label in ENDPOINT_LABELS if isinstance(row, dict) else ():
        if label in row:
            checks.add(f'{path}.{label}', 'is reported by the endpoint itself and can not be set')


ROW_CHECKS = {'pools': _check_pool, 'rules': _check_rule, ZONES: _check_zone, 'labels': _check_labels}


def to_rows(document: Document) -> dict[tuple[str, str], dict]:
    """Convert a document to rows of the replicated state, as {(table, key): row}."""
    parts = typing.cast('dict[str, dict[str, dict]]', document)
    rows = {}
    for part in PARTS:
        for name, row in parts.get(part, {}).items():
            if part == ZONES:
                rows[ZONES_TABLE, name] = row
            else:
                rows[TABLE, f'{part}/{name}'] = row
    return rows


def from_rows(configuration_rows: dict[str, dict], zones: dict[str, ZoneRow]) -> Document:
    """Convert the rows of the two tables to a document."""
    parts: dict[str, dict[str, typing.Any]] = {part: {} for part in PARTS}
    for key, row in configuration_rows.items():
        part, name = key.split('/', 1)
        parts[part][name] = row
    parts[ZONES] = dict(zones)
    return typing.cast(Document, parts)


def apply(txn: transactions.Transaction, document: typing.Any, base: int) -> replies.Result:
    """Replace the configuration by a document within a transaction, all or nothing.

    `base` is the version of the configuration that the operator's change is
    based on; 409 if it is not the current version.
    """
    require_valid(document)
    current = txn.get('meta', 'conf') or 0
    if base != current:
        raise errors.ConflictError(f'based on generation {base}, the present one is {current}', generation=current)
    rows = to_rows(document)
    for table in (TABLE, ZONES_TABLE):
        for key in txn.items(table):
            if (table, key) not in rows:
                txn.drop(table, key)
    for (table, key), row in rows.items():
        txn.put(table, key, row)
    txn.put('meta', 'conf', txn.generation)
    return replies.ok(generation=txn.generation)


def matches(selector: Selector, labels: dict[str, str]) -> bool:
    """True if labels match a selector."""
    return all(
        labels.get(label) in (wanted if isinstance(wanted, list) else [wanted]) for label, wanted in selector.items()
    )
