"""The server for open traffic on real connections; a scenario sends the responses and advances its clock."""

import twisted.internet.reactor as reactor

import features.support.raw_client as raw_client
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.effects as effects
import zinctrail.transport.dialect as dialect
import zinctrail.transport.open_traffic_server as open_traffic_server

# A complete request with an id.
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\nzt-id: 1\r\n\r\n'
BODY = b'whole'


class RecordingHost:
    """A host that records requests and hang-ups, and sends no responses by itself."""

    def __init__(self):
        # (id, call) of each request and of each hang-up.
        self.requests, self.hang_ups = [], []

    def feed(self, kind, request_id, call=None):
        """Record an input from the server."""
        (self.requests if kind == 'front' else self.hang_ups).append((request_id, call))


class OpenTrafficIngress:
    """A server that listens on loopback, with the requests that it received."""

    def __init__(self):
        self.host = RecordingHost()
        self.server = reactor_thread.call(self._listen)
        self.port = self.server.port.getHost().port

    def _listen(self):
        server = open_traffic_server.OpenTrafficServer(self.host, dialect.NativeDialect(), reactor)
        server.listen(0, '127.0.0.1')
        return server

    @property
    def requests(self) -> list[tuple]:
        """(id, call) of each request that was received."""
        return self.host.requests

    def connect(self) -> raw_client.RawClient:
        """Open a client's connection to the server."""
        return raw_client.RawClient(self.port)

    def limit(self, limits: effects.Limits) -> None:
        """Give the server the operator's limits."""
        reactor_thread.call(lambda: self.server.apply_limits(limits))

    def drain(self, stops_listening: bool) -> None:
        """Drain the server; with `stops_listening` it accepts no more connections."""
        reactor_thread.call(lambda: self.server.drain(stops_listening))

    def respond(self, index: int = -1) -> None:
        """Respond to a request, by default the last one received."""
        request_id = self.requests[index][0]
        reactor_thread.call(lambda: self.server.respond(effects.HttpResponse(request_id, 200, {}, BODY)))

    def advance(self, seconds: float) -> None:
        """Let the server check its connections for timeouts as if `seconds` had passed."""
        real = self.server.now

        def sweep():
            self.server.now = lambda: real() + seconds
            self.server.sweep()

        reactor_thread.call(sweep)
        self.server.now = real
