"""Selection of the ingresses (proxy addresses for open traffic) that a lookup response names.

Clients spread their requests evenly over all ingresses in a response. It
therefore names those of the client's own region, and of other regions only as
many as its own lacks, and only in regions to which the requests may go: otherwise
a region with one remaining proxy would send most of its traffic to the regions
with the most proxies.
"""

import random
import typing

import zinctrail.control.routing_table as routing_table

# With fewer proxies than this in a zone, those of its region are named too, and with fewer in the region, some of other
# regions: a client whose only proxy has just failed would have no alternative.
MIN_INGRESSES = 2
# A region can carry its traffic with the average number of proxies per region divided by this, that is with half of it:
# below that, other regions help.
SUFFICIENT_SHARE_DIVISOR = 2


class SelectedIngresses(typing.NamedTuple):
    """The addresses that a lookup response names, by their distance from the client."""

    in_zone: list[str]
    in_region: list[str]
    elsewhere: list[str]

    def addresses(self) -> list[str]:
        """Return all addresses, nearest first."""
        return [*self.in_zone, *self.in_region, *self.elsewhere]


def select(
    ingresses: routing_table.IngressesByDistance, homes: frozenset[str], max_count: int, rng: random.Random
) -> SelectedIngresses:
    """Select up to `max_count` ingresses for a client.

    :param homes: the regions outside its own to which its requests may be sent; empty: any.
    """
    in_own_region = len(ingresses.in_zone) + len(ingresses.in_region)
    missing = max(0, sufficient_for_region(ingresses) - in_own_region)
    in_zone = sample(ingresses.in_zone, max_count, rng)
    needs_own_region = missing or len(ingresses.in_zone) < MIN_INGRESSES
    in_region = sample(ingresses.in_region, max_count - len(in_zone), rng) if needs_own_region else []
    count = min(missing, max_count - len(in_zone) - len(in_region))
    # The ingresses of other regions are listed only if some are missing, which is rare.
    elsewhere = sample(fallback_ingresses(ingresses, homes, in_own_region), count, rng) if count else []
    return SelectedIngresses(in_zone, in_region, elsewhere)


def sufficient_for_region(ingresses: routing_table.IngressesByDistance) -> int:
    """Return how many proxies a region needs to carry its traffic without other regions."""
    total = len(ingresses.in_zone) + len(ingresses.in_region) + sum(map(len, ingresses.elsewhere.values()))
    average = total // (1 + len(ingresses.elsewhere))
    return max(MIN_INGRESSES, average // SUFFICIENT_SHARE_DIVISOR)


def fallback_ingresses(
    ingresses: routing_table.IngressesByDistance, homes: frozenset[str], in_own_region: int
) -> typing.Sequence[str]:
    """Return the ingresses of other regions that may be named instead of missing ones."""
    all_ingresses = [ingress for region_ingresses in ingresses.elsewhere.values() for ingress in region_ingresses]
    if not homes:
        return all_ingresses
    home_ingresses = [
        ingress
        for region, region_ingresses in ingresses.elsewhere.items()
        if region in homes
        for ingress in region_ingresses
    ]
    # If no region to which the requests may go has a proxy, any other proxy still forwards them to home endpoints.
    return home_ingresses if home_ingresses or in_own_region else all_ingresses


def sample(ingresses: typing.Sequence[str], count: int, rng: random.Random) -> list[str]:
    """Draw up to `count` ingresses; unlike a shuffle, the cost does not grow with the number of proxies."""
    return rng.sample(ingresses, min(len(ingresses), count))
