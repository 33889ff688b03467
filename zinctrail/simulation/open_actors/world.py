"""The world of open traffic: parties stand in cells, cuts are noted, endpoints may go silent."""

import datetime
import typing

import twisted.internet.defer as defer

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.network as network
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_actors.notes as open_notes
import zinctrail.simulation.open_actors.terms as terms
import zinctrail.simulation.world as simulated_world

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.endpoint as open_endpoint

ms = durations.ms


class World(simulated_world.World):
    """A world whose endpoints are reached as transport.endpoint_client does."""

    callers_hang_up = True
    # How long a connection to an endpoint that has gone silent is waited for, and how long one is kept idle.
    SILENT = ms(1500)
    IDLE = ms(4000)

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        # The cell of each party, by its name.
        self.cells: dict[str, str] = {}
        self.notes = open_notes.Notes()
        # Cuts that are not healed, by their link.
        self.open_cuts: dict[tuple[str, str], open_notes.Cut] = {}

    def add(self, name: str, role: str, cell: str, *args, **kwargs) -> simulated_node.Node:
        """Add a node that is not started yet, and note its cell."""
        self.cells[name] = cell
        return super().add(name, role, cell, *args, **kwargs)

    def extra_latency(self, source: str, target: str) -> datetime.timedelta:
        """What the way takes longer between zones and between regions."""
        here = self.cells.get(source)
        there = self.cells.get(target)
        if here is None or there is None or here == there:
            return durations.ZERO
        is_same_region = here.split('/')[0] == there.split('/')[0]
        return ms(terms.ZONE_MS if is_same_region else terms.REGION_MS)

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """As simulation.network, with a note."""
        super().cut(source, target, both)
        if (source, target) not in self.open_cuts:
            noted = open_notes.Cut(source, target, self.now)
            self.open_cuts[source, target] = noted
            self.notes.cuts.append(noted)

    def heal(self, *names: str) -> None:
        """As simulation.network, with a note of when each cut ended."""
        super().heal(*names)
        for pair in list(self.open_cuts):
            if pair not in self.cuts and (pair[1], pair[0]) not in self.cuts:
                self.open_cuts.pop(pair).ends_at = self.now

    def fetch_endpoint(self, caller: str, effect: effects.HttpFetch) -> defer.Deferred:
        """A call to an endpoint; nobody is asked who it is, and a kept connection may have gone silent."""
        connection: typing.Any = self.connections.get((caller, effect.incarnation))
        endpoint: typing.Any = self.endpoints.get(effect.address)
        is_kept = (
            connection is not None
            and connection[0] is endpoint
            and connection[1] == endpoint.incarnation
            and self.now - connection[2] < self.IDLE
        )
        if endpoint is not None and self.is_cut(caller, endpoint.name):
            self.notes.swallowed.add(effect.headers.get('zt-id'))
        if is_kept and self.is_cut(caller, endpoint.name):
            deferred: defer.Deferred = defer.Deferred()
            # It counts as sent: the connection was there, and nobody can say what became of the bytes.
            self.after(min(effect.wait, self.SILENT), network.settle, deferred, effects.HttpResult(fault='silent'))
            return deferred
        if is_kept and endpoint.idle_limit is not None and self.now - connection[2] > endpoint.idle_limit:
            return self.reset_by_endpoint(caller, effect, endpoint)
        deferred = self.fetch(
            caller, effect.address, effect.method, effect.path, effect.headers, effect.body, effect.wait
        )

        def answered(result: effects.HttpResult) -> effects.HttpResult:
            """Keep the connection on which a whole answer came."""
            if not result.fault and endpoint is not None:
                self.connections[caller, effect.incarnation] = (endpoint, endpoint.incarnation, self.now)
            return result

        return deferred.addCallback(answered)

    def reset_by_endpoint(
        self, caller: str, effect: effects.HttpFetch, endpoint: 'open_endpoint.Endpoint'
    ) -> defer.Deferred:
        """A call on a connection that its endpoint has dropped without notice: reset, and never seen there."""
        del self.connections[caller, effect.incarnation]
        self.notes.broke.add(effect.headers.get('zt-id'))
        deferred: defer.Deferred = defer.Deferred()
        # Sent, since the bytes went out: a reset does not tell whether they were read.
        lost = effects.HttpResult(fault='connection lost')
        self.after(self.delay(caller, endpoint.name), network.settle, deferred, lost)
        return deferred

    def reset(self, node: simulated_node.Node, share: float) -> None:
        """Endpoints' connections as well: what is at work there runs on, and its answer has no way back."""
        super().reset(node, share)
        for endpoint in list(self.endpoints.values()):
            for request_id, callback in list(endpoint.open.items()):
                front = endpoint.deployment.by_id[request_id].front
                if front == node.name and self.rng.random() < share:
                    self.notes.broke.add(request_id)
                    callback(effects.HttpResult(fault='connection lost'))
