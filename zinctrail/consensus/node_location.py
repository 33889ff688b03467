"""What a process is told at its start: its addresses, its zone, its seeds, and whether the whole system starts."""

import dataclasses
import typing


@dataclasses.dataclass
class NodeLocation:
    """Where a process runs and how it starts; all of it comes from its settings."""

    addr: str
    http: str
    cell: str
    seeds: list[str]
    # Where open traffic, which is matched by host and path, comes in; empty where none does.
    front: str = ''
    # Whether this control node also has a directory's role.
    directory: bool = False
    # Whether the whole system starts for the first time, so that a control node without state may form a cluster.
    first_start: bool = True


def region_of(zones: typing.Mapping[str, typing.Mapping[str, typing.Any]], zone: str) -> str:
    """The region of a zone: the configured one, else what the zone's name says before a slash."""
    return (zones.get(zone) or {}).get('region') or zone.split('/')[0]
