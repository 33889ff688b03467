"""The simulated network: frames between processes, HTTP calls, delays, losses and partitions.

A link is one direction between two parties, identified by their names as (sender, receiver).
"""

import datetime
import json
import random
import typing
import zlib

import twisted.internet.defer as defer

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.simulation.virtual_time as virtual_time
import zinctrail.transport.peer_connections as peer_connections

if typing.TYPE_CHECKING:
    import zinctrail.simulation.node as simulated_node

ms = durations.ms

MIN_DELAY_MS = 0.2
MEAN_EXTRA_DELAY_MS = 0.8
CONNECT_TIMEOUT = ms(1000)


def settle(call: defer.Deferred, result: effects.HttpResult) -> None:
    """Fire the Deferred of a call with its result, unless it has fired already."""
    if not call.called:
        call.callback(result)


class Network(virtual_time.Clock):
    """Carries frames and HTTP calls between named parties, subject to the faults that are set."""

    # Whether a new connection to an endpoint is checked for its incarnation. Tests switch this off to show that a
    # request would then reach another endpoint that reuses the address.
    verifies_incarnations = True
    # Whether callers that abandon a call close its connection, as callers of open traffic do.
    callers_hang_up = False
    # Whether the bytes on links of limited bandwidth are counted after compression.
    compresses = True

    def __init__(self, rng: random.Random, custom_settings: settings.Settings):
        super().__init__()
        self.rng = rng
        self.settings = custom_settings
        self.nodes: dict[str, simulated_node.Node] = {}
        self.by_address: dict[str, simulated_node.Node] = {}
        self.by_http: dict[str, simulated_node.Node | simulated_node.Ingress] = {}
        # Endpoints that are up, by address.
        self.endpoints: dict[str, typing.Any] = {}
        # Cut links. A dict instead of a set, because iteration must have the same order in every run.
        self.cuts: dict[tuple[str, str], bool] = {}
        # The probabilities that a frame is lost, and that it arrives twice.
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay = durations.ZERO
        # The probability that an HTTP response is lost, by the name of its caller.
        self.response_loss: dict[str, float] = {}
        # The latest arrival that is scheduled on each link; later frames do not overtake it.
        self.last_arrivals: dict[tuple[str, str], datetime.timedelta] = {}
        # The bandwidths of limited links in bytes per second, and the time at which each has sent all its bytes.
        self.bandwidths: dict[tuple[str, str], float] = {}
        self.link_free_at: dict[tuple[str, str], datetime.timedelta] = {}
        # Bytes carried over limited links, by the kind of frame.
        self.link_bytes: dict[str, int] = {}
        # Open connections to endpoints: (caller, incarnation) -> (endpoint, its incarnation count).
        self.connections: dict[tuple[str, str], typing.Any] = {}
        self.verifications = 0
        self.inputs = 0
        self.frames = 0
        # The bytes of all frames, before compression, by kind.
        self.bytes: dict[str, int] = {}
        # Called with (sender, receiver, text) for each frame that arrives.
        self.on_deliver: typing.Callable[[simulated_node.Node, simulated_node.Node, str], typing.Any] | None = None

    def log(self, text: str) -> None:
        """Append a line to the simulation's log."""
        raise NotImplementedError

    def record_event(self, name: str, kind: str, until: datetime.timedelta | None = None) -> None:
        """Record an external event of a process."""
        raise NotImplementedError

    # -- delays and faults ---------------------------------------------------

    def delay(self, source: str = '', target: str = '') -> datetime.timedelta:
        """Draw a one-way delay."""
        random_part = self.rng.expovariate(1 / MEAN_EXTRA_DELAY_MS)
        return ms(MIN_DELAY_MS + random_part) + self.extra_delay + self.extra_latency(source, target)

    def extra_latency(self, source: str, target: str) -> datetime.timedelta:
        """Return the additional latency between two parties that are in different places; none by default."""
        return durations.ZERO

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Cut the link from one party to another, and the reverse link if `both`."""
        self.cuts[source, target] = True
        if both:
            self.cuts[target, source] = True

    def partition(self, side: typing.Iterable[str], others: typing.Iterable[str] | None = None) -> None:
        """Cut a group of processes from all other processes, or only from `others`."""
        for name in side:
            for other in self.nodes if others is None else others:
                if other not in side:
                    self.cut(name, other)

    def isolate(self, name: str) -> None:
        """Cut one party from all processes and from all endpoints that are up, in both directions."""
        for other in [*self.nodes, *(endpoint.name for endpoint in self.endpoints.values())]:
            if other != name:
                self.cut(name, other)

    def heal(self, *names: str) -> None:
        """Heal all cuts, or only those at the named parties."""
        self.cuts = {cut: True for cut in self.cuts if names and not (cut[0] in names or cut[1] in names)}

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the link from one party to another is cut."""
        return (source, target) in self.cuts

    def reset(self, node: 'simulated_node.Node', share: float) -> None:
        """Reset a random share of a process's connections, both from callers and to other processes."""
        if not node.up:
            return
        self.record_event(node.name, 'reset')
        for request_id in [request_id for request_id in node.requests if self.rng.random() < share]:
            callback = node.requests[request_id]
            node.hang_up(request_id)
            callback(effects.HttpResult(fault='connection lost'))
        for other in list(self.nodes.values()):
            if other is not node and other.up and self.rng.random() < share:
                node.feed('lost', other.location.addr)
                other.feed('lost', node.location.addr)

    # -- frames between processes ----------------------------------------------

    def sent_at(self, source: str, target: str, kind: str, text: str, may_compress: bool) -> datetime.timedelta:
        """Return the time at which a frame has left its sender: later than now if the link's bandwidth is limited."""
        bandwidth = self.bandwidths.get((source, target))
        if bandwidth is None:
            return self.now
        is_compressed = may_compress and self.compresses and len(text) > peer_connections.COMPRESSION_THRESHOLD_BYTES
        size = len(zlib.compress(text.encode(), 1)) if is_compressed else len(text)
        self.link_bytes[kind] = self.link_bytes.get(kind, 0) + size
        begin = max(self.now, self.link_free_at.get((source, target), durations.ZERO))
        self.link_free_at[source, target] = begin + datetime.timedelta(seconds=size / bandwidth)
        return self.link_free_at[source, target]

    def carry(self, source: 'simulated_node.Node', address: str, message: dict, may_compress: bool = False) -> None:
        """Carry a frame between two processes; frames on a link keep their order, as over TCP."""
        text = json.dumps(message)
        kind = message['t']
        if len(text) > self.settings.frame_most:
            # transport.peer_connections refuses such a frame too; here its size is measured without compression.
            self.log(
                f'{source.name}: frame of kind {kind} not sent: its {len(text)} bytes are above the limit of'
                f' {self.settings.frame_most}'
            )
            return
        self.frames += 1
        self.bytes[kind] = self.bytes.get(kind, 0) + len(text)
        target = self.by_address.get(address)
        if target is None or not target.up:
            if target is None or not self.is_cut(source.name, target.name):
                self.after(self.delay(), source.feed_incarnation, source.incarnation, 'lost', address)
            return
        if self.is_cut(source.name, target.name) or self.rng.random() < self.loss:
            return
        link = (source.name, target.name)
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            sent_at = self.sent_at(*link, kind, text, may_compress)
            when = max(sent_at + self.delay(*link), self.last_arrivals.get(link, durations.ZERO))
            self.last_arrivals[link] = when
            self.at(when, self.deliver, source, target, target.incarnation, text)

    def deliver(
        self, source: 'simulated_node.Node', target: 'simulated_node.Node', incarnation: int, text: str
    ) -> None:
        """Deliver a frame to its receiver, if it is still the same incarnation and the link is not cut."""
        if incarnation == target.incarnation and not self.is_cut(source.name, target.name):
            if self.on_deliver:
                self.on_deliver(source, target, text)
            target.feed('recv', json.loads(text))

    # -- HTTP --------------------------------------------------------------------

    def fetch(
        self,
        caller: str,
        address: str,
        method: str,
        path: str,
        headers: dict,
        body: bytes,
        wait: datetime.timedelta,
    ) -> defer.Deferred:
        """Make an HTTP call to a process or an endpoint; returns a Deferred of effects.HttpResult."""
        deferred: defer.Deferred = defer.Deferred()

        def done(result: effects.HttpResult) -> None:
            """Fire with the first result; later ones are dropped."""
            settle(deferred, result)

        server: typing.Any = self.by_http.get(address) or self.endpoints.get(address)
        name = server.name if server else address
        is_cut = self.is_cut(caller, name)
        if (server is None or not server.up) and not is_cut:
            self.after(self.delay(), done, effects.HttpResult(sent=False, fault='refused'))
            return deferred
        if server is not None and server.up:
            self.after(wait, done, effects.HttpResult(fault='late'))
        if is_cut:
            timed_out = effects.HttpResult(sent=False, fault='connect timed out')
            self.after(min(wait, CONNECT_TIMEOUT), done, timed_out)
            return deferred

        def respond(result: effects.HttpResult) -> None:
            """Send the response back, unless the link is cut or loses it."""
            if not self.is_cut(name, caller) and not self.rng.random() < self.response_loss.get(caller, 0.0):
                self.after(self.delay(name, caller), done, result)

        call = effects.HttpRequest(method, path, {header.lower(): value for header, value in headers.items()}, body)
        self.after(self.delay(caller, name), self.deliver_call, server, server.incarnation, call, respond, deferred)
        return deferred

    def abandon_call(self, deferred: defer.Deferred) -> None:
        """End a call whose caller has closed its connection, so that its server notices."""
        settle(deferred, effects.HttpResult(fault='given up'))

    def deliver_call(
        self,
        server: typing.Any,
        incarnation: int,
        call: effects.HttpRequest,
        respond: typing.Callable,
        deferred: defer.Deferred,
    ) -> None:
        """Deliver an HTTP call, if its server is still the incarnation that it was sent to; otherwise it fails."""
        if server.incarnation != incarnation or not server.up:
            # A process that refuses connections, or that exited after doing so, closes those it has not read from.
            is_unread = getattr(server, 'refuses_connections', False)
            fault = 'closed unread' if is_unread else 'connection lost'
            respond(effects.HttpResult(sent=not is_unread, fault=fault))
            return
        request_id = server.call(call, respond)
        if self.callers_hang_up and request_id is not None:
            # The caller closes its connection when it has a result, be it a timeout, and the server notices.
            deferred.addCallback(lambda result: server.hang_up(request_id) or result)

    def fetch_endpoint(self, caller: str, effect: effects.HttpFetch) -> defer.Deferred:
        """Make a call to one incarnation of an endpoint.

        On a new connection, the incarnation is queried first, so that a request
        never reaches another endpoint that reuses the address.
        """
        connection: tuple[typing.Any, int] = self.connections.get((caller, effect.incarnation), (None, 0))
        endpoint, incarnation = connection
        is_reused = (
            endpoint is not None
            and self.endpoints.get(effect.address) is endpoint
            and endpoint.incarnation == incarnation
        )
        request = (effect.method, effect.path, effect.headers, effect.body)
        if is_reused or effect.path == '/zt/live' or not self.verifies_incarnations:
            return self.fetch(caller, effect.address, *request, effect.wait)
        until = self.now + effect.wait
        self.verifications += 1
        deferred: defer.Deferred = defer.Deferred()

        def verified(result: effects.HttpResult) -> None:
            """Send the request, if the endpoint is the expected incarnation and the caller still waits."""
            if deferred.called:
                return
            found: typing.Any = self.endpoints.get(effect.address)
            is_other = (
                result.headers.get('zt-inc') != effect.incarnation
                or found is None
                or found.admission.incarnation != effect.incarnation
            )
            if result.fault or is_other:
                # Only the query of the incarnation was sent.
                deferred.callback(effects.HttpResult(sent=False, fault=result.fault or 'another incarnation'))
                return
            self.connections[caller, effect.incarnation] = (found, found.incarnation)
            call = self.fetch(caller, effect.address, *request, until - self.now)
            call.addCallback(lambda result: settle(deferred, result))

        query = self.fetch(caller, effect.address, 'GET', '/zt/live', {'zt-inc': effect.incarnation}, b'', effect.wait)
        query.addCallback(verified)
        return deferred
