"""Slow start of open traffic: an endpoint that is warming up gets no more requests per second than its capacity.

There is no shared counter. If the endpoint's capacity is N requests per second,
1.5 * N of the proxies may send to it, each with an interval such that all
together stay within the capacity. In no second does it get more requests than
there are such proxies.
"""

import datetime
import math
import typing
import zlib

import zinctrail.consensus.member_roles as member_roles
import zinctrail.control.rows as rows
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.runtime.durations as durations

# How many proxies may send to an endpoint that is warming up, as a multiple of its capacity in requests per second.
SENDERS_FACTOR = 1.5
SECOND = durations.ms(1000)
# The capacity of an endpoint that is warming up if its pool sets none, in requests per second.
DEFAULT_RATE = 1


class WarmUpShare(typing.NamedTuple):
    """This proxy's share of an endpoint that is warming up: whether it may send, and the minimum time between sends."""

    is_sender: bool
    interval: datetime.timedelta


class SlowStart(proxy_part.ProxyPart):
    """Limits which endpoints that are warming up this proxy sends to, and how often."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start without shares, before the first version of the state."""
        super().__init__(proxy)
        # {incarnation: WarmUpShare}, for the current version of the state.
        self.warm_up_shares: dict[str, WarmUpShare] = {}
        # {incarnation that is warming up: whether this proxy may send to it}, for the current version of the state.
        self.is_warm_up_sender: dict[str, bool] = {}

    def warm_up_interval(self, incarnation: str, row: rows.EndpointRow) -> datetime.timedelta | None:
        """Return the minimum time between this proxy's requests to an endpoint that is warming up.

        None if only other proxies may send to it.
        """
        share = self.warm_up_shares.get(incarnation)
        if share is None:
            share = self.warm_up_shares[incarnation] = self.derive_warm_up_share(incarnation, row)
        return share.interval if share.is_sender else None

    def derive_warm_up_share(self, incarnation: str, row: rows.EndpointRow) -> WarmUpShare:
        """Determine which proxies may send to an endpoint that is warming up, and how often."""
        routes = self.proxy.routes
        rate = (routes.item(f'pools/{row["service"]}') or {}).get('cold_per_s') or DEFAULT_RATE
        senders = math.ceil(rate * SENDERS_FACTOR)
        members = routes.members(member_roles.PROXY).values()
        interval = SECOND * max(1, min(senders, len(members))) / rate
        if len(members) <= senders:
            return WarmUpShare(True, interval)
        region = routes.region_of(row['cell'])
        # Proxies of the endpoint's region come first, because they have the most traffic for it. The further order is
        # by a hash with the proxy's address, so that a proxy that restarts keeps its rank.
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
        """True if the endpoint is warming up and this proxy may not send to it now."""
        if not row.get('chill'):
            return False
        interval = self.warm_up_interval(incarnation, row)
        return (
            interval is None or self.proxy.now < self.proxy.endpoint_selection.view_of(incarnation).sent_at + interval
        )

    def update(self) -> None:
        """Recompute this proxy's shares of the endpoints that are warming up in a new version of the state."""
        self.warm_up_shares = {}
        before, self.is_warm_up_sender = self.is_warm_up_sender, {}
        for incarnation, row in self.proxy.routes.replica.get('endpoints').items():
            if row.get('chill'):
                is_sender = self.warm_up_interval(incarnation, row) is not None
                self.is_warm_up_sender[incarnation] = is_sender
                if is_sender and before.get(incarnation) is False:
                    # The first send waits for an interval, because the proxy that this one replaces may have just sent.
                    self.proxy.endpoint_selection.view_of(incarnation).sent_at = self.proxy.now
