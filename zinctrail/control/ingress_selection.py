"""Which proxies an answer to a client of open traffic names.

Clients send to all that an answer names in equal parts. So it names those of
the client's own region, and of other regions only as many as its own lacks, and
only where the requests may go: a region that has one proxy left would else have
most of its traffic led to wherever there are most of them.
"""

import random
import typing

import zinctrail.control.routing_table as routing_table

# Below this many proxies in a zone, those of its region are named as well, and below this many in the region, some of
# other regions: a client whose only proxy has just gone would have nowhere else to turn.
MIN_INGRESSES = 2
# A region bears its traffic with this part of the proxies that a region has on average, a half: below it, others help.
SUFFICIENT_SHARE_DIVISOR = 2


class SelectedIngresses(typing.NamedTuple):
    """The addresses that an answer names, by their distance from the client."""

    in_zone: list[str]
    in_region: list[str]
    elsewhere: list[str]

    def addresses(self) -> list[str]:
        """All of them, the nearest first."""
        return [*self.in_zone, *self.in_region, *self.elsewhere]


def select(
    ingresses: routing_table.IngressesByDistance, homes: frozenset[str], max_count: int, rng: random.Random
) -> SelectedIngresses:
    """Choose up to `max_count` fronts for a client.

    :param homes: the regions that its requests may be led to outside its own; empty: any.
    """
    in_own_region = len(ingresses.in_zone) + len(ingresses.in_region)
    missing = max(0, sufficient_for_region(ingresses) - in_own_region)
    in_zone = sample(ingresses.in_zone, max_count, rng)
    needs_own_region = missing or len(ingresses.in_zone) < MIN_INGRESSES
    in_region = sample(ingresses.in_region, max_count - len(in_zone), rng) if needs_own_region else []
    count = min(missing, max_count - len(in_zone) - len(in_region))
    # Gone through only where some are lacking, which is seldom.
    elsewhere = sample(fallback_ingresses(ingresses, homes, in_own_region), count, rng) if count else []
    return SelectedIngresses(in_zone, in_region, elsewhere)


def sufficient_for_region(ingresses: routing_table.IngressesByDistance) -> int:
    """How many proxies a region needs to be left to itself."""
    total = len(ingresses.in_zone) + len(ingresses.in_region) + sum(map(len, ingresses.elsewhere.values()))
    average = total // (1 + len(ingresses.elsewhere))
    return max(MIN_INGRESSES, average // SUFFICIENT_SHARE_DIVISOR)


def fallback_ingresses(
    ingresses: routing_table.IngressesByDistance, homes: frozenset[str], in_own_region: int
) -> typing.Sequence[str]:
    """The proxies of other regions that may stand in."""
    all_ingresses = [ingress for region_ingresses in ingresses.elsewhere.values() for ingress in region_ingresses]
    if not homes:
        return all_ingresses
    home_ingresses = [
        ingress
        for region, region_ingresses in ingresses.elsewhere.items()
        if region in homes
        for ingress in region_ingresses
    ]
    # With no proxy at all where the requests may go, any other still sends them on to endpoints at home.
    return home_ingresses if home_ingresses or in_own_region else all_ingresses


def sample(ingresses: typing.Sequence[str], count: int, rng: random.Random) -> list[str]:
    """Up to `count` of these, drawn instead of shuffled: an answer must not cost more the more proxies there are."""
    return rng.sample(ingresses, min(len(ingresses), count))
