"""The start settings of a process: addresses, zone, seeds, and whether the whole system starts for the first time."""

import dataclasses
import typing


@dataclasses.dataclass
class NodeLocation:
    """The location of a process and how it starts, all from its settings."""

    addr: str
    http: str
    cell: str
    seeds: list[str]
    # The ingress address for open traffic, which is matched by host and path; empty if there is none.
    front: str = ''
    # Whether this control node also acts as a directory.
    directory: bool = False
    # Whether the whole system starts for the first time, so that a control node without state may form a cluster.
    first_start: bool = True


def region_of(zones: typing.Mapping[str, typing.Mapping[str, typing.Any]], zone: str) -> str:
    """Return the region of a zone: the configured one, else the part of the zone's name before the slash."""
    return (zones.get(zone) or {}).get('region') or zone.split('/')[0]
