"""The server for open traffic over real connections; a scenario gives the responses, and moves its clock."""

import twisted.internet.reactor as reactor

import features.support.raw_client as raw_client
import features.support.reactor_thread as reactor_thread
import zinctrail.runtime.effects as effects
import zinctrail.transport.dialect as dialect
import zinctrail.transport.open_traffic_server as open_traffic_server

# A whole request, which carries an id.
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\nzt-id: 1\r\n\r\n'
BODY = b'whole'


class RecordingHost:
    """A host whose machine answers nothing by itself."""

    def __init__(self):
        # (id, call) of each request and of each hang-up.
        self.requests, self.hang_ups = [], []

    def feed(self, kind, request_id, call=None):
        """Keep what the server feeds."""
        (self.requests if kind == 'front' else self.hang_ups).append((request_id, call))


class OpenTrafficFront:
    """A server that listens on loopback, and what it was sent."""

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
        """(id, call) of each request that came."""
        return self.host.requests

    def connect(self) -> raw_client.RawClient:
        """A client's connection to the server."""
        return raw_client.RawClient(self.port)

    def limit(self, limits: effects.Limits) -> None:
        """Give the server the operator's limits."""
        reactor_thread.call(lambda: self.server.apply_limits(limits))

    def drain(self, stops_listening: bool) -> None:
        """Let the server leave; once shut, it takes no connections."""
        reactor_thread.call(lambda: self.server.drain(stops_listening))

    def respond(self, index: int = -1) -> None:
        """Answer a request, by default the last that came."""
        request_id = self.requests[index][0]
        reactor_thread.call(lambda: self.server.respond(effects.HttpResponse(request_id, 200, {}, BODY)))

    def advance(self, seconds: float) -> None:
        """Let the server look after its connections as if so many seconds had gone by."""
        real = self.server.now

        def sweep():
            self.server.now = lambda: real() + seconds
            self.server.sweep()

        reactor_thread.call(sweep)
        self.server.now = real
