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
FRONTS_LEAST = 2
# A region bears its traffic with this part of the proxies that a region has on average, a half: below it, others help.
ENOUGH_DIVISOR = 2


class ChosenFronts(typing.NamedTuple):
    """The addresses that an answer names, by their distance from the client."""

    in_zone: list[str]
    in_region: list[str]
    elsewhere: list[str]

    def addresses(self) -> list[str]:
        """All of them, the nearest first."""
        return [*self.in_zone, *self.in_region, *self.elsewhere]


def choose(
    fronts: routing_table.FrontsByDistance, homes: frozenset[str], most: int, rng: random.Random
) -> ChosenFronts:
    """Choose up to `most` fronts for a client.

    :param homes: the regions that its requests may be led to outside its own; empty: any.
    """
    in_own_region = len(fronts.in_zone) + len(fronts.in_region)
    lacking = max(0, enough_for_region(fronts) - in_own_region)
    in_zone = sample(fronts.in_zone, most, rng)
    needs_region = lacking or len(fronts.in_zone) < FRONTS_LEAST
    in_region = sample(fronts.in_region, most - len(in_zone), rng) if needs_region else []
    count = min(lacking, most - len(in_zone) - len(in_region))
    # Gone through only where some are lacking, which is seldom.
    elsewhere = sample(spares(fronts, homes, in_own_region), count, rng) if count else []
    return ChosenFronts(in_zone, in_region, elsewhere)


def enough_for_region(fronts: routing_table.FrontsByDistance) -> int:
    """How many proxies a region needs to be left to itself."""
    total = len(fronts.in_zone) + len(fronts.in_region) + sum(map(len, fronts.elsewhere.values()))
    average = total // (1 + len(fronts.elsewhere))
    return max(FRONTS_LEAST, average // ENOUGH_DIVISOR)


def spares(fronts: routing_table.FrontsByDistance, homes: frozenset[str], in_own_region: int) -> typing.Sequence[str]:
    """The proxies of other regions that may stand in."""
    everywhere = [front for fronts_there in fronts.elsewhere.values() for front in fronts_there]
    if not homes:
        return everywhere
    at_home = [front for region, fronts_there in fronts.elsewhere.items() if region in homes for front in fronts_there]
    # With no proxy at all where the requests may go, any other still sends them on to endpoints at home.
    return at_home if at_home or in_own_region else everywhere


def sample(fronts: typing.Sequence[str], count: int, rng: random.Random) -> list[str]:
    """Up to `count` of these, drawn instead of shuffled: an answer must not cost more the more proxies there are."""
    return rng.sample(fronts, min(len(fronts), count))
