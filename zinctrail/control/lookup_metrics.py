"""What is measured of proxy lookups: how far away the proxies are that answers name."""

import collections
import typing

import zinctrail.control.ingress_selection as ingress_selection
import zinctrail.runtime.metrics as metrics

# The farthest proxy that an answer names: in the zone of the client, elsewhere in its region, in another region.
DISTANCES = ('cell', 'region', 'elsewhere')
# For how many zones it is remembered whether their answers name other regions; requests may name any zone.
MAX_ZONES = 1000


class LoggingMember(typing.Protocol):
    """What LookupMetrics needs of the member that serves lookups."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence, and what one would search for."""


class LookupMetrics:
    """Counts answers, and logs when those for a zone begin or cease to name proxies of other regions."""

    def __init__(self, member: LoggingMember):
        self.member = member
        self.responses: collections.Counter[str] = collections.Counter()
        # Zones whose last answer named proxies of other regions.
        self.spilling: set[str] = set()

    def observe(self, zone: str, chosen: ingress_selection.SelectedIngresses) -> None:
        """An answer for a zone names these proxies."""
        in_zone, in_region, elsewhere = chosen
        self.responses['elsewhere' if elsewhere else 'region' if in_region else 'cell'] += 1
        if bool(elsewhere) == (zone in self.spilling):
            return
        if elsewhere and len(self.spilling) < MAX_ZONES:
            self.spilling.add(zone)
        else:
            self.spilling.discard(zone)
        self.member.log(
            f'Answers for zone {zone:.60} {"" if elsewhere else "no longer "}name proxies of other regions.',
            'lookup',
            cell=zone[:60],
            in_region=len(in_zone) + len(in_region),
            elsewhere=len(elsewhere),
        )

    def rows(self) -> typing.Iterator[metrics.Metric]:
        """Rows of runtime/metrics.py."""
        yield metrics.by_label(
            metrics.COUNTER,
            'lookups',
            'Answers to clients that look proxies up, by the farthest that they name.',
            'reach',
            {reach: self.responses[reach] for reach in DISTANCES},
        )
