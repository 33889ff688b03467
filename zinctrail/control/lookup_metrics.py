"""Metrics of proxy lookups: the distance of the proxies that lookup responses name."""

import collections
import typing

import zinctrail.control.ingress_selection as ingress_selection
import zinctrail.runtime.metrics as metrics

# The distance of the farthest proxy in a response: in the client's zone, elsewhere in its region, in another region.
DISTANCES = ('cell', 'region', 'elsewhere')
# A bound on the zones tracked for naming other regions, since requests may name any zone.
MAX_ZONES = 1000


class LoggingMember(typing.Protocol):
    """The interface of the member that serves lookups, as LookupMetrics uses it."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence; `event` is the kind of event, `fields` are its searchable values."""


class LookupMetrics:
    """Counts lookup responses, and logs when those for a zone start or stop naming proxies of other regions."""

    def __init__(self, member: LoggingMember):
        self.member = member
        self.responses: collections.Counter[str] = collections.Counter()
        # The zones whose last response named proxies of other regions.
        self.spillover_zones: set[str] = set()

    def observe(self, zone: str, chosen: ingress_selection.SelectedIngresses) -> None:
        """Record the proxies that a response for a zone names."""
        in_zone, in_region, elsewhere = chosen
        self.responses['elsewhere' if elsewhere else 'region' if in_region else 'cell'] += 1
        if bool(elsewhere) == (zone in self.spillover_zones):
            return
        if elsewhere and len(self.spillover_zones) < MAX_ZONES:
            self.spillover_zones.add(zone)
        else:
            self.spillover_zones.discard(zone)
        self.member.log(
            f'Lookup responses for zone {zone:.60} {"" if elsewhere else "no longer "}name proxies of other regions.',
            'lookup',
            cell=zone[:60],
            in_region=len(in_zone) + len(in_region),
            elsewhere=len(elsewhere),
        )

    def rows(self) -> typing.Iterator[metrics.Metric]:
        """Yield the metrics, as rows of runtime/metrics.py."""
        yield metrics.by_label(
            metrics.COUNTER,
            'lookups',
            'Answers to clients that look proxies up, by the farthest that they name.',
            'reach',
            {reach: self.responses[reach] for reach in DISTANCES},
        )
