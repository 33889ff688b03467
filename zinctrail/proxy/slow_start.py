"""Slow start of open traffic: a cold endpoint gets no more requests a second than it bears.

No node counts for all proxies. As many of them as the endpoint bears requests
a second, and half as many again, may send to it, each so seldom that all
together keep to what it bears; in no second more requests come than there are
such proxies.
"""

import datetime
import math
import typing
import zlib

import zinctrail.consensus.member_roles as member_roles
import zinctrail.control.rows as rows
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.runtime.durations as durations

# How many proxies may send to a cold endpoint, as a multiple of the requests a second that it bears.
SENDERS_FACTOR = 1.5
SECOND = durations.ms(1000)
# What a cold endpoint bears where its pool does not say, in requests a second.
DEFAULT_RATE = 1


class WarmUpShare(typing.NamedTuple):
    """This proxy's share of a cold endpoint: whether it may send to it, and the least time between two requests."""

    is_sender: bool
    interval: datetime.timedelta


class SlowStart(proxy_part.ProxyPart):
    """Which cold endpoints it may send to, and how often."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up before the first version of the state."""
        super().__init__(proxy)
        # {incarnation: WarmUpShare}, for the version in force.
        self.warm_up_shares: dict[str, WarmUpShare] = {}
        # {incarnation that is cold: whether this proxy may send to it}, for the version in force.
        self.is_warm_up_sender: dict[str, bool] = {}

    def warm_up_interval(self, incarnation: str, row: rows.EndpointRow) -> datetime.timedelta | None:
        """The least time between two of our requests to a cold endpoint; None where others send to it."""
        share = self.warm_up_shares.get(incarnation)
        if share is None:
            share = self.warm_up_shares[incarnation] = self.derive_warm_up_share(incarnation, row)
        return share.interval if share.is_sender else None

    def derive_warm_up_share(self, incarnation: str, row: rows.EndpointRow) -> WarmUpShare:
        """Work out which proxies send to it, and how often."""
        routes = self.proxy.routes
        rate = (routes.item(f'pools/{row["service"]}') or {}).get('cold_per_s') or DEFAULT_RATE
        senders = math.ceil(rate * SENDERS_FACTOR)
        members = routes.members(member_roles.PROXY).values()
        interval = SECOND * max(1, min(senders, len(members))) / rate
        if len(members) <= senders:
            return WarmUpShare(True, interval)
        region = routes.region_of(row['cell'])
        # Proxies of its region come first, because they have the most traffic for it. The rest of the order is by
        # address, so that a proxy that restarts keeps its place.
        ranked = sorted(
            (
                routes.region_of(member['cell']) != region,
                zlib.crc32(f'{incarnation}/{member["addr"]}'.encode()),
                member['addr'],
            )
            for member in members
        )
        return WarmUpShare(any(addr == self.proxy.location.addr for _, _, addr in ranked[:senders]), interval)

    def is_throttled(self, incarnation: str, row: rows.EndpointRow) -> bool:
        """Whether it is cold, and this proxy may not send to it now."""
        if not row.get('chill'):
            return False
        interval = self.warm_up_interval(incarnation, row)
        return (
            interval is None or self.proxy.now < self.proxy.endpoint_selection.view_of(incarnation).sent_at + interval
        )

    def update(self) -> None:
        """A version of the state came into force: note who is cold, and what this proxy may send now."""
        self.warm_up_shares = {}
        before, self.is_warm_up_sender = self.is_warm_up_sender, {}
        for incarnation, row in self.proxy.routes.replica.get('endpoints').items():
            if row.get('chill'):
                is_sender = self.warm_up_interval(incarnation, row) is not None
                self.is_warm_up_sender[incarnation] = is_sender
                if is_sender and before.get(incarnation) is False:
                    # Wait for an interval first: the proxy in whose place this one comes may have sent just now.
                    self.proxy.endpoint_selection.view_of(incarnation).sent_at = self.proxy.now
