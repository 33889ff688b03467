"""Generates the replicated state of a cluster of a given size, in the format of a snapshot."""

import typing

import zinctrail.control.controller as controller
import zinctrail.simulation.scale.sizes as sizes

Row = dict[str, typing.Any]
Tables = dict[str, dict[str, Row]]

CLUSTER = 'c' * 32
# The initial version of the state and of its routes: (term, number).
VERSION = (1, 2)

RULE_HOSTS = 997


def process_address(number: int) -> str:
    """Return the address of a process by its number in the cluster."""
    return f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000'


def http_address(address: str) -> str:
    """Return the HTTP address of the process at a peer address."""
    return address.rpartition(':')[0] + ':7001'


def member_row(role: str, number: int, zones: list[str]) -> Row:
    """Return the row of a member."""
    address = process_address(number)
    row: Row = {
        'role': role,
        'addr': address,
        'http': http_address(address),
        'cell': zones[number % len(zones)],
        'level': controller.Controller.level,
    }
    if role == 'prox':
        row['front'] = row['http'][:-1] + '2'
    return row


def endpoint_row(number: int, services: int, zones: list[str]) -> Row:
    """Return the row of an endpoint that is ready."""
    return {
        'addr': f'10.{128 + (number >> 16)}.{number >> 8 & 255}.{number & 255}:8000',
        'service': f'service-{number % services}',
        'cell': zones[number % len(zones)],
        'labels': {},
        'slots': 6,
        'state': 'ready',
        'cold': 0,
        'plain': True,
        'chill': 0,
        'seq': 1,
    }


def pool_row(number: int) -> Row:
    """Return the row of a pool of open traffic."""
    return {
        'name': f'service-{number}',
        'version': 1,
        'health': '/health',
        'connections': 550,
        'cold_s': 5,
        'cold_per_s': 5,
    }


def rule_row(number: int, services: int, version: int = 1) -> Row:
    """Return the row of a traffic rule."""
    return {
        'name': f'route-{number}',
        'version': version,
        'host': f'host-{number % RULE_HOSTS}.example',
        'prefix': f'/v1/part-{number}/',
        'once': number % 3 == 0,
        'timeout_ms': 3000,
        'aim_ms': 1200,
        'attempts': 2,
        'pool': f'service-{number % services}',
    }


def tenant_row(number: int) -> Row:
    """Return the row of a tenant with its home region."""
    return {'name': f'tenant-{number}', 'version': 1, 'home': [f'r{number % sizes.TARGET["regions"]}']}


def item_rows(size: sizes.Size, services: int) -> dict[str, Row]:
    """Return the rows of pools, rules and tenants in the table of configuration items."""
    rows = {f'pools/service-{number}': pool_row(number) for number in range(services)}
    rows.update((f'rules/route-{number}', rule_row(number, services)) for number in range(size.routes))
    rows.update((f'tenants/tenant-{number}', tenant_row(number)) for number in range(size.tenants))
    return {key: {'v': 1, 'row': row} for key, row in rows.items()}


def state_tables(size: sizes.Size) -> Tables:
    """Return the full state at a size, in the format of a snapshot: {table: {key: row}}."""
    zones = sizes.zone_names(size.nodes)
    roles = ['core'] * size.cores + ['dir'] * size.dirs + ['prox'] * size.nodes
    voters = [f'{number:016x}' for number in range(size.cores)]
    services = max(1, size.services)
    meta: Row = {
        'cluster': CLUSTER,
        'vc': {'committed': voters, 'accepted': voters},
        'boot': voters,
        'routes': list(VERSION),
        'epoch': 1,
        'term': 1,
        'conf': 1,
    }
    return {
        'meta': meta,
        'members': {f'{number:016x}': member_row(role, number, zones) for number, role in enumerate(roles)},
        'endpoints': {f'{number:024x}': endpoint_row(number, services, zones) for number in range(size.endpoints)},
        'items': item_rows(size, services),
        'conf': {f'pools/service-{number}': {'service': f'service-{number}'} for number in range(size.pools)},
        'cells': {zone: {'region': zone.split('/')[0]} for zone in zones},
    }
