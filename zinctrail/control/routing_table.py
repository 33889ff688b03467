"""The routing table: pools, rules, zones and ingresses, derived from the replicated state.

Directories, proxies and control nodes read it for each request and each
lookup. Anything that requires iterating over a table of the state is derived
at most once per version of the state, and cached until the next version.
"""

import dataclasses
import typing

import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.control.configuration as configuration
import zinctrail.control.configuration_items as configuration_items
import zinctrail.control.rows as rows

# The maximum number of zones whose ingresses are cached for a version of the state.
MAX_CACHED_ZONES = 1000
# During a warm-up, the missing capacity of an endpoint is counted in eighths (EndpointRow.cold).
CAPACITY_STEPS = 8
# The position of rules of the operators' document that set none.
DEFAULT_RULE_ORDER = 1000
# The tables that operators change and routes are derived from.
OPERATORS_TABLES = ('cells', 'conf', 'items')

Labels = dict[str, str]
# Table `cells`, keyed by the zone's name.
Zones = dict[str, rows.ZoneRow]
# Table `conf`, keyed by PART/NAME: a configuration.PoolRow or RuleRow, or the labels of an endpoint.
ConfigurationRows = dict[str, typing.Any]


class IngressesByDistance(typing.NamedTuple):
    """The ingresses (addresses of proxies for open traffic), by their distance from a zone."""

    in_zone: tuple[str, ...]
    # In other zones of the same region.
    in_region: tuple[str, ...]
    # In other regions, keyed by the region.
    elsewhere: dict[str, tuple[str, ...]]


def without_port(host: str) -> str:
    """Return the host name of a Host header, without the port."""
    return host.rsplit(':', 1)[0]


class HostRule(typing.NamedTuple):
    """A rule for open traffic."""

    prefix: str
    version: int
    row: configuration_items.RuleItem


class LabelRule(typing.NamedTuple):
    """A rule of the operators' document."""

    order: int
    name: str
    row: configuration.RuleRow


@dataclasses.dataclass
class DerivedRoutes:
    """The routes derived from one version of the state; endpoints are identified by their incarnations."""

    endpoints: dict[str, rows.EndpointRow]
    # The labels of each endpoint, including those set by operators and by its zone.
    labels: dict[str, Labels]
    # The endpoints of each pool of the operators' document, sorted.
    pools: dict[str, list[str]]
    # The pools that each endpoint is in, by their names in order.
    pools_of_endpoint: dict[str, list[str]]
    # The endpoints of each service, for open traffic.
    services: dict[str, list[str]]
    # The rules of each host (in lower case), longest prefix and newest version first.
    rules_by_host: dict[str, list[HostRule]]
    # The home regions of each host whose rules have any (see _derive_homes_by_host).
    homes_by_host: dict[str, frozenset[str]]
    # The operators' rules in the order in which they are tried.
    rules: list[LabelRule]


class Tables(typing.Protocol):
    """Where the routes are derived from: a replica, or one as it would be after changes."""

    def get(self, table: str) -> dict[str, typing.Any]:
        """Return the rows of a table."""


def _derive(state: Tables) -> DerivedRoutes:
    conf, zones, endpoints = state.get('conf'), state.get('cells'), state.get('endpoints')
    labels = {incarnation: _labels(endpoint, zones, conf) for incarnation, endpoint in endpoints.items()}
    pools, pools_of_endpoint = _derive_pools(conf, labels)
    rules_by_host = _derive_rules_by_host(state.get('items'))
    return DerivedRoutes(
        endpoints=endpoints,
        labels=labels,
        pools=pools,
        pools_of_endpoint=pools_of_endpoint,
        services=_derive_services(endpoints),
        rules_by_host=rules_by_host,
        homes_by_host=_derive_homes_by_host(rules_by_host),
        rules=_derive_rules(conf),
    )


def rehearse(state: replica.Replica, changes: replica.Rows) -> None:
    """Derive the routes as they would be after changes to a state; raises whatever that raises."""
    _derive(_Preview(state, changes))


class _Preview:
    """The tables of a replica as they would be after changes."""

    def __init__(self, state: replica.Replica, changes: replica.Rows) -> None:
        self.state = state
        self.changes = changes

    def get(self, table: str) -> dict[str, typing.Any]:
        """Return the rows of a table."""
        rows = self.state.full_table(table)
        rows.update({key: value for changed, key, value in self.changes if changed == table})
        return {key: value for key, value in rows.items() if value is not None}


def _labels(endpoint: rows.EndpointRow, zones: Zones, conf: ConfigurationRows) -> Labels:
    zone = zones.get(endpoint['cell']) or {}
    # Labels that an operator sets for an endpoint override its own labels, which override those of its zone.
    return {
        **zone.get('labels', {}),
        **endpoint['labels'],
        **conf.get(f'labels/{endpoint["addr"]}', {}),
        'service': endpoint['service'],
        'cell': endpoint['cell'],
        'region': node_location.region_of(zones, endpoint['cell']),
    }


def _derive_pools(
    conf: ConfigurationRows, labels: dict[str, Labels]
) -> tuple[dict[str, list[str]], dict[str, list[str]]]:
    """Return the endpoints of each pool, and the pools of each endpoint."""
    pools: dict[str, list[str]] = {}
    pools_of_endpoint: dict[str, list[str]] = {}
    for key, row in sorted(conf.items()):
        if not key.startswith('pools/'):
            continue
        name = key.removeprefix('pools/')
        selector = dict(row.get('selector', {}), service=row['service'])
        pools[name] = sorted(i for i, its_labels in labels.items() if configuration.matches(selector, its_labels))
        for incarnation in pools[name]:
            pools_of_endpoint.setdefault(incarnation, []).append(name)
    return pools, pools_of_endpoint


def _derive_services(endpoints: dict[str, rows.EndpointRow]) -> dict[str, list[str]]:
    services: dict[str, list[str]] = {}
    for incarnation, endpoint in endpoints.items():
        services.setdefault(endpoint['service'], []).append(incarnation)
    return services


def _derive_rules_by_host(items: dict[str, configuration_items.ItemRow]) -> dict[str, list[HostRule]]:
    rules_by_host: dict[str, list[HostRule]] = {}
    for key, item in items.items():
        if key.startswith('rules/') and item['row'] is not None:
            rule = typing.cast(configuration_items.RuleItem, item['row'])
            rules_by_host.setdefault(rule['host'].lower(), []).append(HostRule(rule['prefix'], item['v'], rule))
    for rules in rules_by_host.values():
        rules.sort(key=lambda rule: (len(rule.prefix), rule.version), reverse=True)
    return rules_by_host


def _derive_homes_by_host(rules_by_host: dict[str, list[HostRule]]) -> dict[str, frozenset[str]]:
    """Return, by host, the home regions common to all of its rules that have any; if none is common, all of them."""
    homes_by_host = {}
    for host, rules in rules_by_host.items():
        homes = [frozenset(rule.row['home']) for rule in rules if rule.row.get('home')]
        if homes:
            homes_by_host[host] = frozenset.intersection(*homes) or frozenset.union(*homes)
    return homes_by_host


def _derive_rules(conf: ConfigurationRows) -> list[LabelRule]:
    rules = [
        LabelRule(row.get('order', DEFAULT_RULE_ORDER), key.removeprefix('rules/'), row)
        for key, row in conf.items()
        if key.startswith('rules/')
    ]
    return sorted(rules, key=lambda rule: (rule.order, rule.name))


class RoutingTable:
    """The routes derived from a replica; its owner calls `invalidate` with each new version of the state."""

    def __init__(self, state: replica.Replica):
        self.replica = state
        self._derived: DerivedRoutes | None = None
        self._members_by_role: dict[str, dict[str, rows.MemberRow]] = {}
        self.ingresses_by_zone: dict[str, IngressesByDistance] = {}
        # The state version that the two above were derived from.
        self._members_version: tuple[int, int] | None = None

    def invalidate(self) -> None:
        """Drop the derived routes; they are derived again on next use."""
        self._derived = None
        self._members_version = None

    def _routes(self) -> DerivedRoutes:
        if self._derived is None:
            self._derived = _derive(self.replica)
        return self._derived

    # -- zones ------------------------------------------------------------

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return node_location.region_of(self.replica.get('cells'), zone)

    def is_evacuated(self, zone: str) -> bool:
        """True if the operators' document takes the zone out of service, including its proxies."""
        return bool((self.replica.get('cells').get(zone) or {}).get('evacuated'))

    def is_emptied(self, zone: str) -> bool:
        """True if an evacuation command keeps requests from the zone's endpoints; its proxies keep serving."""
        return bool((self.replica.get('cells').get(zone) or {}).get('emptied'))

    # -- pools and rules --------------------------------------------------

    def pool_endpoints(self, pool: str) -> typing.Sequence[str]:
        """Return the endpoints of a pool of the operators' document."""
        return self._routes().pools.get(pool, ())

    def has_pool(self, pool: str) -> bool:
        """True if the operators' document has a pool of this name."""
        return pool in self._routes().pools

    def service_endpoints(self, service: str) -> typing.Sequence[str]:
        """Return the endpoints of a service, for open traffic."""
        return self._routes().services.get(service, ())

    def rule_for_labels(self, labels: Labels) -> tuple[str, configuration.RuleRow] | tuple[None, None]:
        """Return (name, rule) of the first matching rule of the operators' document, or (None, None)."""
        for _, name, row in self._routes().rules:
            if configuration.matches(row.get('match', {}), labels):
                return name, row
        return None, None

    def rule_for_path(self, host: str, path: str) -> configuration_items.RuleItem | None:
        """Return the host's open-traffic rule with the longest matching path prefix, or None."""
        for prefix, _, row in self._routes().rules_by_host.get(host.lower(), ()):
            if path.startswith(prefix):
                return row
        return None

    def homes_of_host(self, host: str) -> frozenset[str]:
        """Return the regions outside the client's own to which requests for a host may be sent; empty: any."""
        return self._routes().homes_by_host.get(host.lower(), frozenset())

    def item(self, key: str) -> typing.Any:
        """Return the content of a configuration item; None if it does not exist or was dropped."""
        item = self.replica.get('items', key)
        return item['row'] if item else None

    # -- endpoints --------------------------------------------------------

    def endpoint(self, incarnation: str) -> rows.EndpointRow | None:
        """Return the row of an endpoint, or None."""
        return self.replica.get('endpoints').get(incarnation)

    def labels_of(self, incarnation: str) -> Labels:
        """Return all labels of an endpoint, including those set by operators and by its zone."""
        return self._routes().labels[incarnation]

    def is_ejected(self, incarnation: str) -> bool:
        """True if outlier detection has ejected the endpoint (zinctrail/control/outlier_detection.py)."""
        return incarnation in self.replica.get('doubts')

    def is_usable(self, incarnation: str) -> bool:
        """True if new requests may be sent to the endpoint."""
        endpoint = self.endpoint(incarnation)
        return (
            endpoint is not None
            and endpoint['state'] == 'ready'
            and not self.is_evacuated(endpoint['cell'])
            and not self.is_emptied(endpoint['cell'])
        )

    def capacity(self, incarnation: str, pool: str) -> int:
        """Return the pool's share of the endpoint's current capacity, in concurrent requests."""
        routes = self._routes()
        endpoint = routes.endpoints.get(incarnation)
        pools = routes.pools_of_endpoint.get(incarnation, ())
        if endpoint is None or pool not in pools:
            return 0
        warm_steps = CAPACITY_STEPS - endpoint['cold']
        capacity = max(1, endpoint['slots'] * warm_steps // CAPACITY_STEPS)
        # An endpoint in several pools has no more capacity than in one, so its capacity is divided among them.
        share, remainder = divmod(capacity, len(pools))
        return share + (1 if pools.index(pool) < remainder else 0)

    # -- members ----------------------------------------------------------

    def members(self, role: str) -> dict[str, rows.MemberRow]:
        """Return {node: row} of a role. Cached until the next version of the state: callers must not change it."""
        self._derive_members()
        return self._members_by_role.get(role, {})

    def _derive_members(self) -> None:
        if self._members_version == self.replica.tables_version:
            return
        self._members_version = self.replica.tables_version
        self._members_by_role, self.ingresses_by_zone = {}, {}
        for node, member in self.replica.get('members').items():
            self._members_by_role.setdefault(member['role'], {})[node] = member

    def ingresses(self, zone: str) -> IngressesByDistance:
        """Return the ingresses by their distance from a zone, without those of proxies that shut down.

        Cached until the next version of the state: callers must not change it.
        """
        self._derive_members()
        found = self.ingresses_by_zone.get(zone)
        if found is None:
            # Lookups may name zones that are not configured, so the number of cached zones must be bounded.
            if len(self.ingresses_by_zone) >= MAX_CACHED_ZONES:
                self.ingresses_by_zone.clear()
            found = self.ingresses_by_zone[zone] = self._derive_ingresses(zone)
        return found

    def _derive_ingresses(self, zone: str) -> IngressesByDistance:
        own_region = self.region_of(zone)
        in_zone: list[str] = []
        in_region: list[str] = []
        elsewhere: dict[str, list[str]] = {}
        for member in self.members(member_roles.PROXY).values():
            if not member.get('front') or member.get('leaving'):
                continue
            region = self.region_of(member['cell'])
            if member['cell'] == zone:
                in_zone.append(member['front'])
            elif region == own_region:
                in_region.append(member['front'])
            else:
                elsewhere.setdefault(region, []).append(member['front'])
        return IngressesByDistance(
            tuple(in_zone), tuple(in_region), {region: tuple(ingresses) for region, ingresses in elsewhere.items()}
        )
