"""The measured sizes: each sweep varies one dimension, or all in proportion."""

import zinctrail.simulation.scale.sizes as sizes

Size = sizes.Size

# Points with at least this many nodes, or ten times as many endpoints, take minutes of processor time.
LARGE_NODES = 10000
# The dimensions that grow in proportion, and the minimum number of proxies of such a size.
PROPORTIONAL = ('nodes', 'endpoints', 'services', 'routes', 'tenants')
MIN_NODES = 4


def vary(field: str, *values: int, **others: int) -> list[Size]:
    """Return sizes that differ in one field."""
    return [Size(**{**others, field: value}) for value in values]


def in_proportion(shares: tuple[float, ...]) -> list[Size]:
    """Return sizes that are given shares of the target size in all dimensions."""
    found = []
    for share in shares:
        counts = {field: max(1, round(sizes.TARGET[field] * share)) for field in PROPORTIONAL}
        counts['nodes'] = max(MIN_NODES, counts['nodes'])
        found.append(Size(**counts, changes=4))
    return found


SWEEPS = {
    'nodes': vary('nodes', 10, 100, 300, 1000, 3000, 10000, answers=20, killed=1, restarted=1, parted=1),
    'endpoints': vary('endpoints', 100, 1000, 10000, 100000, services=100),
    'beats_at_dir': vary('endpoints', 10, 100, 1000, 10000, services=100, beats=1),
    'services': vary('services', 10, 100, 1000, 10000),
    'routes': vary('routes', 100, 1000, 10000, 100000),
    'tenants': vary('tenants', 100, 1000, 10000, 100000),
    # Limited to 100, because 1000 pools at 30 proxies take ten minutes.
    'pools': vary('pools', 1, 3, 10, 30, 100, services=1000, endpoints=2000),
    'changes': vary('changes', 1, 10, 100, 1000),
    'claims': vary('claims', 10, 100, 1000, 10000),
    'headless': vary('nodes', 10, 30, 100, 300, 1000, headless=1),
    'losses': [Size(nodes=1000, killed=count, restarted=count, parted=count) for count in (1, 17, 51, 203)],
    'whole': in_proportion((0.001, 0.01, 0.1)),
    'full': in_proportion((1.0,)),
}
MEMORY_SWEEPS = {
    'memory_nodes': vary('nodes', 10, 100, 1000, 10000, 100000),
    'memory_endpoints': vary('endpoints', 100, 1000, 10000, 100000),
    'memory_services': vary('services', 10, 100, 1000, 10000),
    'memory_routes': vary('routes', 100, 1000, 10000, 100000),
    'memory_tenants': vary('tenants', 100, 1000, 10000, 100000),
    'memory_whole': in_proportion((0.001, 0.01, 0.1, 1.0)),
}
ALL = {**SWEEPS, **MEMORY_SWEEPS}


def weight(size: Size) -> float:
    """Return the relative time that a point of this size takes."""
    return size.nodes + size.endpoints / 10 + size.tenants / 10


def is_large(size: Size) -> bool:
    """True if a point of this size takes minutes of processor time."""
    return max(size.nodes, size.endpoints / 10) >= LARGE_NODES


def seeds(sweep: str, size: Size, usual: int, large: int) -> range:
    """Return the seeds of a size: `large` seeds for a large size, `usual` for others, one for a memory sweep."""
    if sweep in MEMORY_SWEEPS:
        return range(1, 2)
    return range(1, 1 + (large if is_large(size) else usual))
