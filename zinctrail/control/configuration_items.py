"""The configuration for open traffic: items, each with its own name and version.

  {"set":  {"rules": [RULE, ...], "pools": [POOL, ...], "limits": LIMITS},
   "drop": {"rules": [{"name": N, "version": V}, ...], "pools": [...]}}

  RULE    name, version, host, prefix, once, timeout_ms, aim_ms, rank, attempts, home,
          and pool, or shares [{"pool": P, "weight": W}, ...]
  POOL    name, version, health, connections, cold_s, cold_per_s
  LIMITS  version, header_bytes, body_bytes, header_ms, idle_ms

For each name the highest version is in force, whether it sets or drops the
item; a lower or equal version changes nothing. A dropped item leaves a tombstone
with its version, so that a delayed older change cannot restore it. A version
belongs to the content that was acknowledged under it: different content under
that version is refused (409), the same content is acknowledged again. Unknown
fields are stored unchanged and returned on reads.
"""

import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.control.document_checks as document_checks
import zinctrail.control.replies as replies
import zinctrail.control.version_contents as version_contents
import zinctrail.errors as errors
import zinctrail.runtime.parsing as parsing

TABLE = 'items'
LISTS = ('rules', 'pools')
# The key of the only item without a name.
LIMITS = 'limits'
LIMIT_FIELDS = ('header_bytes', 'body_bytes', 'header_ms', 'idle_ms')
# A latency target this far above the timeout is treated as an operator error.
MAX_TARGET_OVER_TIMEOUT_MS = 60000
MAX_VERSION = 1 << 53
# One day.
MAX_MS = 86400000
MAX_ATTEMPTS = 100
MAX_PRIORITY = 1000000
MAX_WEIGHT = 1e9
MAX_CONNECTIONS = 1000000
MAX_SLOW_START = 1e6
# The maximum number of errors or conflicting items that a refusal lists.
MAX_ERRORS_REPORTED = 100


class ShareRow(typing.TypedDict):
    """One of the pools in a rule's weighted split."""

    pool: str
    # The pool's share of requests is its weight divided by the sum of the rule's weights.
    weight: float


class RuleItem(typing.TypedDict, total=False):
    """A rule for open traffic: which requests go to which pools, and how."""

    name: str
    version: int
    # The request's Host header, and a prefix of its path.
    host: str
    prefix: str
    # Whether a request may be executed at most once.
    once: bool
    timeout_ms: int
    # The latency target.
    aim_ms: int
    # The priority under overload; requests of lower priority are shed first.
    rank: int
    # The maximum number of attempts for one request, including the first.
    attempts: int
    # The regions in which requests may be executed; empty: any.
    home: list[str]
    # Either one pool, or a weighted split over several.
    pool: str
    shares: list[ShareRow]


class PoolItem(typing.TypedDict, total=False):
    """A pool of endpoints for open traffic."""

    name: str
    version: int
    # The path of health checks.
    health: str
    # The maximum number of connections to one endpoint.
    connections: int
    # Slow start: how many seconds an endpoint warms up, and how many requests per second it gets in that time.
    cold_s: float
    cold_per_s: float


class LimitsItem(typing.TypedDict, total=False):
    """Limits on the size of open-traffic requests, and timeouts for their headers and for idle connections."""

    version: int
    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


Item = RuleItem | PoolItem | LimitsItem


class ItemRow(typing.TypedDict):
    """A row of table `items`, keyed by PART/NAME or `limits`."""

    # The version in force.
    v: int
    # The item as it was received; None is the tombstone of a dropped item.
    row: Item | None


class ConflictRow(typing.TypedDict):
    """An item that a refusal lists because its version belongs to different content."""

    # 'rules', 'pools' or 'limits'.
    part: str
    name: str
    version: int
    # The version in force.
    standing: int


class ItemChange(typing.NamedTuple):
    """The change to one item."""

    key: str
    version: int
    # None drops the item.
    row: Item | None


def check(document: typing.Any, references: 'References | None' = None) -> list[document_checks.FieldError]:
    """Return all errors of a change; any JSON value may be given. Without `references`, rules may name any pool."""
    checks = document_checks.DocumentChecks()
    if not checks.fields('$', document, ('set', 'drop')):
        return checks.field_errors
    sets, drops = document.get('set', {}), document.get('drop', {})
    if checks.fields('$.set', sets, (*LISTS, LIMITS)):
        for part in LISTS:
            for path, row in checks.objects(f'$.set.{part}', sets.get(part, [])):
                _check_name_and_version(checks, path, row)
                ROW_CHECKS[part](checks, path, row, references)
        if LIMITS in sets:
            _check_limits(checks, '$.set.limits', sets[LIMITS])
    if checks.fields('$.drop', drops, LISTS):
        for part in LISTS:
            for path, row in checks.objects(f'$.drop.{part}', drops.get(part, [])):
                _check_name_and_version(checks, path, row)
    return checks.field_errors


def _check_name_and_version(checks: document_checks.DocumentChecks, path: str, row: dict) -> None:
    checks.name(f'{path}.name', row.get('name'))
    checks.whole_number(f'{path}.version', row.get('version'), 0, MAX_VERSION)


def _check_limits(checks: document_checks.DocumentChecks, path: str, row: typing.Any) -> None:
    # Unknown fields are stored unchanged, so every field that is present counts as known.
    if not checks.fields(path, row, row or (), ('version',)):
        return
    checks.whole_number(f'{path}.version', row.get('version'), 0, MAX_VERSION)
    for field in LIMIT_FIELDS:
        if field in row:
            checks.whole_number(f'{path}.{field}', row[field], 1, MAX_VERSION)


def _check_rule(checks: document_checks.DocumentChecks, path: str, row: dict, references: 'References | None') -> None:
    if not isinstance(row.get('host'), str) or not row['host']:
        checks.add(f'{path}.host', 'must be a text that is not empty')
    prefix = row.get('prefix')
    if not isinstance(prefix, str) or not prefix.startswith('/') or not prefix.endswith('/'):
        checks.add(f'{path}.prefix', 'must begin and end with a slash')
    checks.boolean(f'{path}.once', row.get('once'))
    _check_times(checks, path, row)
    if 'attempts' in row:
        checks.whole_number(f'{path}.attempts', row['attempts'], 1, MAX_ATTEMPTS)
    if 'rank' in row:
        checks.whole_number(f'{path}.rank', row['rank'], 0, MAX_PRIORITY)
    home = row.get('home', [])
    if not isinstance(home, list) or not all(isinstance(region, str) and region for region in home):
        checks.add(f'{path}.home', 'must be a list of regions')
    if ('pool' in row) == ('shares' in row):
        checks.add(path, 'must have either pool or shares')
    elif 'pool' in row:
        _check_reference(checks, f'{path}.pool', row['pool'], row, references)
    else:
        _check_shares(checks, f'{path}.shares', row, references)


def _check_times(checks: document_checks.DocumentChecks, path: str, row: dict) -> None:
    checks.whole_number(f'{path}.timeout_ms', row.get('timeout_ms'), 1, MAX_MS)
    if 'aim_ms' in row:
        checks.whole_number(f'{path}.aim_ms', row['aim_ms'], 1, MAX_MS)
        # The two can be compared only if both are known to be numbers.
        if not checks.field_errors and row['aim_ms'] >= row['timeout_ms'] + MAX_TARGET_OVER_TIMEOUT_MS:
            checks.add(f'{path}.aim_ms', f'is a minute or more above timeout_ms, {row["timeout_ms"]}')


def _check_shares(
    checks: document_checks.DocumentChecks, path: str, rule: dict, references: 'References | None'
) -> None:
    total = 0.0
    for share_path, share in checks.objects(path, rule['shares']):
        _check_reference(checks, f'{share_path}.pool', share.get('pool'), rule, references)
        if checks.is_amount(f'{share_path}.weight', share.get('weight'), MAX_WEIGHT):
            total += share['weight']
    if not total:
        checks.add(path, 'must have a weight above zero')


def _check_reference(
    checks: document_checks.DocumentChecks, path: str, pool: typing.Any, rule: dict, references: 'References | None'
) -> None:
    is_name = isinstance(pool, str) and bool(pool)
    if not is_name or (references is not None and not references.allows(rule, pool)):
        checks.add(path, f'names no pool: {pool!r:.60}')


def _check_pool(checks: document_checks.DocumentChecks, path: str, row: dict, references: 'References | None') -> None:
    if 'health' in row and not parsing.is_path(row['health']):
        checks.add(f'{path}.health', 'must be a path of visible ASCII characters')
    if 'connections' in row:
        checks.whole_number(f'{path}.connections', row['connections'], 1, MAX_CONNECTIONS)
    for field in ('cold_s', 'cold_per_s'):
        checks.is_amount(f'{path}.{field}', row.get(field, 0), MAX_SLOW_START)


ROW_CHECKS = {'rules': _check_rule, 'pools': _check_pool}


def to_changes(document: dict) -> list[ItemChange]:
    """Convert a validated change to one ItemChange per item."""
    sets, drops = document.get('set', {}), document.get('drop', {})
    changes = [ItemChange(f'{part}/{row["name"]}', row['version'], row) for part in LISTS for row in sets.get(part, ())]
    changes += [
        ItemChange(f'{part}/{row["name"]}', row['version'], None) for part in LISTS for row in drops.get(part, ())
    ]
    if LIMITS in sets:
        changes.append(ItemChange(LIMITS, sets[LIMITS]['version'], sets[LIMITS]))
    return changes


class References:
    """Decides which pools the rules of a change may name.

    A rule that comes into force must name a pool that exists once the change is
    in force. A rule that changes nothing may have been accepted earlier, when its
    pool existed: it may name any pool that ever existed, so that a retry of an
    accepted change is acknowledged even if its pools were dropped since.
    """

    def __init__(self, txn: transactions.Transaction, document: typing.Any):
        self.txn = txn
        # The pools that the change itself sets or drops: {name: (highest version, whether that version sets the pool)}.
        self.changed_pools: dict[str, tuple[int, bool]] = {}
        for part, is_set in (('set', True), ('drop', False)):
            for row in _rows(document, part, 'pools'):
                self._add(row.get('name'), row.get('version'), is_set)

    def _add(self, name: typing.Any, version: typing.Any, is_set: bool) -> None:
        if not isinstance(name, str) or not _is_version(version):
            return
        if name not in self.changed_pools or version > self.changed_pools[name][0]:
            self.changed_pools[name] = (version, is_set)

    def allows(self, rule: dict, pool: str) -> bool:
        """True if a rule of the change may name a pool."""
        if self._comes_into_force(rule):
            return self._will_exist(pool)
        return pool in self.changed_pools or self.txn.get(TABLE, f'pools/{pool}') is not None

    def _comes_into_force(self, rule: dict) -> bool:
        name, version = rule.get('name'), rule.get('version')
        if not isinstance(name, str) or not _is_version(version):
            return True
        item = self.txn.get(TABLE, f'rules/{name}')
        return item is None or version > item['v']

    def _will_exist(self, pool: str) -> bool:
        item = self.txn.get(TABLE, f'pools/{pool}')
        version, is_set = self.changed_pools.get(pool, (-1, False))
        if item is not None and item['v'] >= version:
            return item['row'] is not None
        return is_set


def _rows(document: typing.Any, part: str, kind: str) -> list[dict]:
    """Return the objects in one list of a change that may be malformed."""
    lists = document.get(part) if isinstance(document, dict) else None
    rows = lists.get(kind) if isinstance(lists, dict) else None
    return [row for row in rows if isinstance(row, dict)] if isinstance(rows, list) else []


def _is_version(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def apply(txn: transactions.Transaction, document: typing.Any) -> replies.Result:
    """Apply a change within a transaction, all or nothing; `took` in the result counts the items that it changed.

    400 with all errors if it is malformed; 409 if one of its versions belongs to different content.
    """
    field_errors = check(document, References(txn, document))
    if field_errors:
        raise document_checks.validation_error('invalid change', field_errors[:MAX_ERRORS_REPORTED])
    version_contents.initialize(txn)
    changed = 0
    conflicts: list[ConflictRow] = []
    for change in to_changes(document):
        current: ItemRow | None = txn.get(TABLE, change.key)
        if current is not None and change.version <= current['v']:
            if not _may_acknowledge(txn, change, current):
                conflicts.append(_conflict(change, current))
            continue
        if current is not None:
            version_contents.store_digest(txn, change.key, current['v'], version_contents.digest(current['row']))
        row: ItemRow = {'v': change.version, 'row': change.row}
        txn.put(TABLE, change.key, row)
        changed += 1
    if conflicts:
        raise _version_conflict_error(conflicts)
    return replies.ok(took=changed, generation=txn.generation)


def _may_acknowledge(txn: transactions.Transaction, change: ItemChange, current: ItemRow) -> bool:
    """True if an item that changes nothing may be acknowledged: its version does not belong to different content."""
    if change.version == current['v']:
        return version_contents.is_same(change.row, current['row'])
    content = version_contents.digest(change.row)
    known = version_contents.stored_digest(txn, change.key, change.version)
    if known is None and version_contents.is_complete(txn):
        # No content was ever acknowledged under this version: from now on it belongs to this content.
        version_contents.store_digest(txn, change.key, change.version, content)
    return known in (None, content)


def _conflict(change: ItemChange, current: ItemRow) -> ConflictRow:
    part, _, name = change.key.partition('/')
    return {'part': part, 'name': name, 'version': change.version, 'standing': current['v']}


def _version_conflict_error(conflicts: list[ConflictRow]) -> errors.ConflictError:
    """Return the refusal of a change with different content for acknowledged versions; a retry would fail too."""
    conflicts_reported = conflicts[:MAX_ERRORS_REPORTED]
    described = [
        {
            'path': f'{conflict["part"]}/{conflict["name"]}',
            'fault': f'version {conflict["version"]} is held by another content',
        }
        for conflict in conflicts_reported
    ]
    return errors.ConflictError(
        f'{len(conflicts)} item(s) with versions that are held by other contents',
        faults=described,
        held=conflicts_reported,
        final=True,
    )


def read(txn: transactions.Transaction) -> dict[str, typing.Any]:
    """Return all items in force, in the format of the `set` of a change."""
    items: dict[str, typing.Any] = {part: [] for part in LISTS}
    for key, item in sorted(txn.items(TABLE).items()):
        if item['row'] is None:
            continue
        if key == LIMITS:
            items[LIMITS] = item['row']
        else:
            items[key.split('/', 1)[0]].append(item['row'])
    return items
