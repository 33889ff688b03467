"""Example and test deployments: their sizes and configurations."""

import typing


class Shape(typing.TypedDict, total=False):
    """The sizes of a deployment."""

    regions: int
    # Zones in each region.
    cells: int
    # Control nodes, proxies and directories.
    cores: int
    proxies: int
    dirs: int
    # Requests and coordination calls per second.
    rate: float
    calls: float
    # From this number of members on, members are checked at the slower pace for large deployments (setting `herd`).
    herd: int
    # The number of endpoints of each service.
    services: dict[str, int]
    # The services whose requests may run at most once.
    once: list[str]


DEADLINE_MS = 5000
ATTEMPTS = 2
# A small deployment, one checked at the pace for many members, and the deployments of BRIEF-zinctrail.md.
PRESETS: dict[str, Shape] = {
    'small': {
        'regions': 3,
        'cells': 1,
        'cores': 3,
        'proxies': 3,
        'dirs': 3,
        'rate': 20,
        'calls': 2,
        'services': {'catalog': 3, 'loans': 3},
        'once': ['loans'],
    },
    # Few members, checked at the slower pace for many members.
    'many': {
        'regions': 3,
        'cells': 1,
        'cores': 3,
        'proxies': 6,
        'dirs': 3,
        'rate': 20,
        'calls': 2,
        'herd': 3,
        'services': {'catalog': 3, 'loans': 3},
        'once': ['loans'],
    },
    'accra': {
        'regions': 3,
        'cells': 2,
        'cores': 6,
        'proxies': 9,
        'dirs': 6,
        'rate': 390,
        'calls': 50,
        'services': {'catalog': 12, 'loans': 12, 'sync': 12, 'holds': 12},
        'once': ['loans', 'holds'],
    },
    'ukks': {
        'regions': 3,
        'cells': 2,
        'cores': 6,
        'proxies': 12,
        'dirs': 6,
        'rate': 345,
        'calls': 40,
        'services': {'defects': 14, 'lots': 14, 'photos': 14, 'certificates': 13},
        'once': ['lots', 'certificates'],
    },
}


def zones_of(shape: Shape) -> list[str]:
    """Return the names of a deployment's zones; neighbours in the list are in different regions."""
    return [f'r{region}/c{zone}' for zone in range(shape['cells']) for region in range(shape['regions'])]


def configuration_of(shape: Shape) -> dict:
    """Return the configuration document of a deployment: a pool and a rule for each service."""
    return {
        'pools': {service: {'service': service} for service in shape['services']},
        'rules': {
            service: {
                'match': {'service': service},
                'pool': service,
                'deadline_ms': DEADLINE_MS,
                'run_once': service in shape['once'],
                'repeat': {'attempts': ATTEMPTS},
            }
            for service in shape['services']
        },
        'cells': {zone: {'region': zone.split('/')[0]} for zone in zones_of(shape)},
        'labels': {},
    }
