"""The simulated world of open traffic: each party has a zone, cuts are recorded, and endpoints may go silent."""

import datetime
import typing

import twisted.internet.defer as defer

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.network as network
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms
import zinctrail.simulation.world as simulated_world

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.endpoint as open_endpoint

ms = durations.ms


class World(simulated_world.World):
    """A world in which proxies reach endpoints the way transport.endpoint_client does."""

    callers_hang_up = True
    # The timeout on a connection to a silent endpoint, and how long an idle connection is kept open.
    SILENT_CONNECTION_TIMEOUT = ms(1500)
    IDLE_CONNECTION_LIMIT = ms(4000)

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        # The zone of each process, endpoint and user, by its name.
        self.zones: dict[str, str] = {}
        self.records = open_records.Records()
        # The cuts that are not healed, by (source, target).
        self.open_cuts: dict[tuple[str, str], open_records.Cut] = {}

    def add(self, name: str, role: str, cell: str, *args, **kwargs) -> simulated_node.Node:
        """Add a node that is not started yet, and record its zone."""
        self.zones[name] = cell
        return super().add(name, role, cell, *args, **kwargs)

    def extra_latency(self, source: str, target: str) -> datetime.timedelta:
        """Return the added one-way latency between the zones of two parties."""
        here = self.zones.get(source)
        there = self.zones.get(target)
        if here is None or there is None or here == there:
            return durations.ZERO
        is_same_region = here.split('/')[0] == there.split('/')[0]
        return ms(terms.ZONE_MS if is_same_region else terms.REGION_MS)

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Cut a link as simulation.network does, and record the cut."""
        super().cut(source, target, both)
        if (source, target) not in self.open_cuts:
            cut = open_records.Cut(source, target, self.now)
            self.open_cuts[source, target] = cut
            self.records.cuts.append(cut)

    def heal(self, *names: str) -> None:
        """Heal links as simulation.network does, and record when each cut ended."""
        super().heal(*names)
        for pair in list(self.open_cuts):
            if pair not in self.cuts and (pair[1], pair[0]) not in self.cuts:
                self.open_cuts.pop(pair).ends_at = self.now

    def fetch_endpoint(self, caller: str, effect: effects.HttpFetch) -> defer.Deferred:
        """Send a request to an endpoint, without checking its identity; a kept connection may have gone silent."""
        connection: typing.Any = self.connections.get((caller, effect.incarnation))
        endpoint: typing.Any = self.endpoints.get(effect.address)
        is_kept = (
            connection is not None
            and connection[0] is endpoint
            and connection[1] == endpoint.incarnation
            and self.now - connection[2] < self.IDLE_CONNECTION_LIMIT
        )
        if endpoint is not None and self.is_cut(caller, endpoint.name):
            self.records.sent_while_cut_off.add(effect.headers.get('zt-id'))
        if is_kept and self.is_cut(caller, endpoint.name):
            deferred: defer.Deferred = defer.Deferred()
            # The request counts as sent: the connection was open, and the fate of the bytes is unknown.
            self.after(
                min(effect.wait, self.SILENT_CONNECTION_TIMEOUT),
                network.settle,
                deferred,
                effects.HttpResult(fault='silent'),
            )
            return deferred
        if is_kept and endpoint.idle_limit is not None and self.now - connection[2] > endpoint.idle_limit:
            return self.reset_by_endpoint(caller, effect, endpoint)
        deferred = self.fetch(
            caller, effect.address, effect.method, effect.path, effect.headers, effect.body, effect.wait
        )

        def on_response(result: effects.HttpResult) -> effects.HttpResult:
            """Keep the connection on which a complete response arrived."""
            if not result.fault and endpoint is not None:
                self.connections[caller, effect.incarnation] = (endpoint, endpoint.incarnation, self.now)
            return result

        return deferred.addCallback(on_response)

    def reset_by_endpoint(
        self, caller: str, effect: effects.HttpFetch, endpoint: 'open_endpoint.Endpoint'
    ) -> defer.Deferred:
        """Fail a request on a connection that the endpoint dropped without notice; the endpoint never sees it."""
        del self.connections[caller, effect.incarnation]
        self.records.endpoint_failures.add(effect.headers.get('zt-id'))
        deferred: defer.Deferred = defer.Deferred()
        # The request counts as sent, since the bytes went out: a reset does not tell whether they were read.
        lost = effects.HttpResult(fault='connection lost')
        self.after(self.delay(caller, endpoint.name), network.settle, deferred, lost)
        return deferred

    def reset(self, node: simulated_node.Node, share: float) -> None:
        """Reset a share of a node's connections, also to endpoints: requests run on, but their responses are lost."""
        super().reset(node, share)
        for endpoint in list(self.endpoints.values()):
            for request_id, callback in list(endpoint.open.items()):
                proxy = endpoint.deployment.attempts_by_id[request_id].proxy
                if proxy == node.name and self.rng.random() < share:
                    self.records.endpoint_failures.add(request_id)
                    callback(effects.HttpResult(fault='connection lost'))
