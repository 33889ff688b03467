"""The size of a measured cluster, and the size that the system is designed for."""

import dataclasses


@dataclasses.dataclass
class Size:
    """The size of a point's cluster and the amount of work in it.

    The random numbers of a point are drawn from this class's `repr`, and the
    files of docs/capacity hold its fields by name, so neither may change.
    """

    # Proxies.
    nodes: int = 30
    # Directories.
    dirs: int = 3
    # Control nodes.
    cores: int = 3
    endpoints: int = 0
    services: int = 10
    routes: int = 100
    # Configuration items with a home region, stored in the items table as rules are: the product has no tenants yet.
    tenants: int = 0
    # Pools with credit: labelled traffic, not open traffic.
    pools: int = 0
    # Changes of one rule, claims, and lookups at a directory, each in a window of its own.
    changes: int = 8
    claims: int = 0
    answers: int = 0
    # Where endpoints send their heartbeats: 0 to control nodes, as deployed; 1 to directories.
    beats: int = 0
    # Proxies killed at once, restarted at once, and partitioned from all others, each in a window of its own.
    killed: int = 0
    restarted: int = 0
    parted: int = 0
    # 1: the leader is killed at the end.
    headless: int = 0


# The size that the system is designed for.
TARGET = {
    'nodes': 12000,
    'endpoints': 75000,
    'services': 1900,
    'routes': 46000,
    'tenants': 470000,
    'requests': 1100000,
    'changes_a_day': 7200,
    'regions': 59,
    'zones': 233,
}

# The minimum number of regions, and of zones.
MIN_ZONES = 3


def zone_names(nodes: int) -> list[str]:
    """Return the zones of a cluster, in proportion to the target size."""
    share = nodes / TARGET['nodes']
    zones = max(MIN_ZONES, round(TARGET['zones'] * share))
    regions = max(MIN_ZONES, round(TARGET['regions'] * share))
    return [f'r{zone % regions}/z{zone}' for zone in range(zones)]
