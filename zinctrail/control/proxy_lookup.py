"""Proxy lookup: tells clients which proxies they may use, and for how long.

Directories serve it, and so do control nodes if their deployment says so
(`NodeLocation.directory`).
"""

import datetime
import random
import typing

import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.control.http_api as http_api
import zinctrail.control.ingress_selection as ingress_selection
import zinctrail.control.lookup_metrics as lookup_metrics
import zinctrail.control.replies as replies
import zinctrail.control.routing_table as routing_table
import zinctrail.control.rows as rows
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

DEFAULT_PROXIES = 3
MAX_PROXIES = 64
# The maximum number of other directories in a response.
MAX_DIRECTORIES = 3
# The distances of a proxy from a client.
IN_ZONE, IN_REGION, ELSEWHERE = range(3)
RETRY_WITHOUT_LEASE_MS = 300
RETRY_WITHOUT_PROXY_MS = 1000


class LookupNode(typing.Protocol):
    """The interface of the member that serves proxy lookup."""

    node: str
    location: node_location.NodeLocation
    settings: settings.Settings
    rng: random.Random
    replica: replica.Replica
    routes: routing_table.RoutingTable

    def has_lease(self) -> bool:
        """True if this node may act on its state."""

    def lease_remaining(self) -> datetime.timedelta:
        """Return the remaining time of this node's lease."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence; `event` is the kind of event, `fields` are its searchable values."""


class ProxyLookup:
    """Finds the proxies for a client in the routing table of a member."""

    def __init__(self, member: LookupNode):
        self.member = member
        self.metrics = lookup_metrics.LookupMetrics(member)

    def serve(self, body: dict, respond: replies.Callback) -> None:
        """Serve POST /v1/answer {home: [regions], cell: zone, most: N, front: bool, host: name}, all fields optional.

        With `front` the response has ingresses (addresses for open traffic), suited
        to the host if one is given; without it, the HTTP addresses of proxies in
        the home regions, or in all regions if none is given.
        """
        http_api.check_fields(body, 'home', 'cell', 'most', 'front', 'host')
        home = body.get('home', [])
        zone = body.get('cell', self.member.location.cell)
        most = body.get('most', DEFAULT_PROXIES)
        if not isinstance(home, list) or not all(isinstance(region, str) for region in home):
            raise errors.BadRequestError('home must be a list of regions')
        host = body.get('host', '')
        if not isinstance(zone, str) or not isinstance(host, str):
            raise errors.BadRequestError('cell and host must be texts')
        if isinstance(most, bool) or not isinstance(most, int) or not 1 <= most <= MAX_PROXIES:
            raise errors.BadRequestError(f'most must be a whole number from 1 to {MAX_PROXIES}')
        if not self.member.has_lease():
            # A client would keep using a stale response, so the lookup is refused.
            raise errors.UnavailableError(
                'no lease on the state',
                elsewhere=self._other_addresses(member_roles.DIRECTORY),
                retry_ms=RETRY_WITHOUT_LEASE_MS,
            )
        is_open_traffic = body.get('front', False)
        if not isinstance(is_open_traffic, bool):
            raise errors.BadRequestError('front must be true or false')
        respond(self.find_ingresses(zone, most, host) if is_open_traffic else self.find_proxies(home, zone, most))

    def _other_addresses(self, role: str) -> list[str]:
        """Return the HTTP addresses of the other members with a role."""
        return sorted(
            member['http'] for node, member in self.member.routes.members(role).items() if node != self.member.node
        )

    def find_proxies(self, home: list[str], zone: str, most: int) -> replies.Result:
        """Return the proxies nearest to a zone; raises CallError 503 if there are none.

        Proxies of other regions are named only in place of missing near ones, since clients use all of them evenly.
        """
        region = self.member.routes.region_of(zone)

        def distance(member: rows.MemberRow) -> int:
            if member['cell'] == zone:
                return IN_ZONE
            return IN_REGION if self.member.routes.region_of(member['cell']) == region else ELSEWHERE

        proxies = [
            member
            for member in self.member.routes.members(member_roles.PROXY).values()
            if self._is_eligible(member, home)
        ]
        if not proxies:
            raise errors.UnavailableError('no proxy may carry this now', retry_ms=RETRY_WITHOUT_PROXY_MS)
        # Shuffled within a distance, so that the clients of a zone do not all use the same proxy.
        self.member.rng.shuffle(proxies)
        proxies.sort(key=distance)
        near_count = sum(distance(member) < ELSEWHERE for member in proxies)
        return replies.ok(
            proxies=[
                member['http'] for member in proxies[: min(most, max(near_count, ingress_selection.MIN_INGRESSES))]
            ],
            ttl_ms=self._time_to_live_ms(),
            epoch=self.member.replica.get('meta', 'epoch') or 0,
            generation=self.member.replica.committed[1],
            dirs=self._other_addresses(member_roles.DIRECTORY)[:MAX_DIRECTORIES],
        )

    def _is_eligible(self, member: rows.MemberRow, home: list[str]) -> bool:
        return (
            not member.get('leaving')
            and not self.member.routes.is_evacuated(member['cell'])
            and (not home or self.member.routes.region_of(member['cell']) in home)
        )

    def find_ingresses(self, zone: str, most: int, host: str = '') -> replies.Result:
        """Return ingresses for a client in a zone, suited to the host if one is given."""
        routes = self.member.routes
        homes = routes.homes_of_host(routing_table.without_port(host))
        chosen = ingress_selection.select(routes.ingresses(zone), homes, most, self.member.rng)
        addresses = chosen.addresses()
        if not addresses:
            raise errors.UnavailableError('no proxy may carry this now', retry_ms=RETRY_WITHOUT_PROXY_MS)
        self.metrics.observe(zone, chosen)
        return replies.ok(proxies=addresses, ttl_ms=self._time_to_live_ms())

    def _time_to_live_ms(self) -> int:
        """Return how long a client may use the response: never beyond the lease of this node."""
        return max(1, durations.to_ms(min(self.member.settings.answer, self.member.lease_remaining())))


def page_answer(
    member: http_api.ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback
) -> None:
    """Return the proxies that a client may use."""
    member.proxy_lookup.serve(body, respond)


# The pages of proxy lookup, in the format of http_api.PAGES.
PAGES: dict[tuple[str, str], http_api.Page] = {('POST', '/v1/answer'): page_answer}
