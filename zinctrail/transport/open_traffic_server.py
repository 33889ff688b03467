"""The HTTP server of open traffic: a request to any path is fed to the state machine as one input.

The operator's limits are enforced here: the size of headers and bodies, the
time that receiving a header may take, the idle time of a connection. A client
that exceeds them gets an error response (or is only disconnected, if it has
sent no request), and no other client is affected.
"""

import typing

import twisted.internet.interfaces as interfaces
import twisted.internet.protocol as protocol
import twisted.python.failure as failure
import twisted.web.http as http
from absl import logging

import zinctrail.runtime.effects as effects
import zinctrail.transport.client_channel as client_channel
import zinctrail.transport.client_connections as client_connections
import zinctrail.transport.message_syntax as message_syntax
import zinctrail.transport.payload as payload
import zinctrail.transport.twisted_types as twisted_types

# The announced keep-alive timeout is this much shorter than the real one, so that no client sends a request on a
# connection that is just being closed.
KEEP_ALIVE_MARGIN_S = 1
# Statuses whose responses have no body and no content-length.
BODILESS = (204, 304)

# The id of a request of open traffic: 'front', and its number.
RequestId = tuple[str, int]


class InputSink(typing.Protocol):
    """The interface that the server requires of its host."""

    def feed(self, kind: str, *args: typing.Any) -> None:
        """Feed an input to the state machine."""


class OpenRequest(http.Request):
    """One request of open traffic; limits on its body are enforced while the body arrives."""

    # The types that Twisted declares lack our fields.
    channel: typing.Any
    # Set when the request is fed to the state machine.
    request_id: RequestId | None = None
    # True once the request has been fed to the state machine.
    is_submitted = False

    def __init__(self, channel: typing.Any, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(channel, *args, **options)
        self.server: OpenTrafficServer = channel.site
        # The body, until the request is fed to the state machine; None while there is none.
        self.payload: payload.Payload | None = None

    def gotLength(self, length: int | None) -> None:
        """Refuse the request if the announced length of its body is above a limit."""
        if length and length > self.server.limits.body_bytes:
            self.channel.refuse(413)
        elif length and not self.server.clients.account.may_ever_hold(length):
            self.channel.refuse(503)

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a chunk of the body, or refuse the request if a limit is exceeded."""
        if self.channel.is_refused:
            return
        if self.payload is None:
            self.payload = payload.Payload(self.server.clients.account)
        size = len(self.payload) + len(data)
        if size > self.server.limits.body_bytes:
            self.channel.refuse(413)
        elif not self.payload.reserve(size):
            self.channel.refuse(503)
        else:
            self.payload.add(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Pass the complete request to the server.

        The base class is not called: it parses queries and forms, and refuses
        those that it can't parse, but proxied requests may contain any.
        """
        if self.channel.is_refused:
            return
        if message_syntax.request_error(command, path, self.requestHeaders):
            self.channel.refuse(400)
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.server.received(self)

    def take_body(self) -> bytes | payload.Payload:
        """Return the body, and hold it no longer: whoever has it does."""
        body = self.payload.body() if self.payload is not None else b''
        self.payload = None
        return body

    def held_bytes(self) -> int:
        """Return how many bytes of the body are held here."""
        return self.payload.holding.size if self.payload is not None else 0

    def release_body(self) -> None:
        """Drop the body."""
        if self.payload is not None:
            self.payload.release()

    def connectionLost(self, reason: failure.Failure) -> None:
        """Handle the loss of the client's connection before the response was sent."""
        super().connectionLost(reason)
        self.release_body()
        if self.is_submitted:
            self.server.client_disconnected(self)


class ClientConnection(client_channel.ClientChannel):
    """One connection of a client of open traffic."""

    def connectionMade(self) -> None:
        """Register the connection."""
        self.site.connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Unregister the connection."""
        self.site.connections.discard(self)
        super().connectionLost(reason)


class OpenTrafficServer(http.HTTPFactory):
    """The listener of open traffic: feeds requests to the state machine, and sends the responses it returns."""

    noisy = False
    protocol: typing.Any = ClientConnection
    reactor: twisted_types.Reactor

    def __init__(
        self,
        host: InputSink,
        dialect: typing.Any,
        reactor: twisted_types.Reactor,
        clients: client_connections.ClientConnections | None = None,
    ) -> None:
        """
        :param clients: the connections of all listeners of the process; by default this listener is the only one.
        """
        # Twisted's own timeout is off: the sweep applies the current limits, which may change.
        no_timeout: typing.Any = None
        super().__init__(reactor=reactor, timeout=no_timeout)
        self.host = host
        self.dialect = dialect
        self.clients = clients or client_connections.default_connections(reactor)
        self.last_request_no = 0
        # {request id: a request whose response is outstanding}.
        self.pending: dict[RequestId, OpenRequest] = {}
        self.connections: set[ClientConnection] = set()
        # The listening port; None while no new connections are accepted.
        self.port: typing.Any = None
        self.is_draining = False
        self.apply_limits(effects.Limits())

    def log(self, request: http.Request) -> None:
        """Log nothing: Twisted's access log is off."""

    def now(self) -> float:
        """Return the reactor's time in seconds."""
        return self.reactor.seconds()

    def listen(self, port: int, interface: str) -> None:
        """Accept connections."""
        self.port = self.reactor.listenTCP(port, self, interface=interface)

    def apply_limits(self, limits: effects.Limits) -> None:
        """Apply new limits, to existing connections too."""
        self.limits = limits
        announced_s = int(limits.idle_ms / 1000 - KEEP_ALIVE_MARGIN_S)
        self.keep_alive = f'timeout={announced_s}' if announced_s > 0 else ''
        for connection in self.connections:
            self.apply_header_limit(connection)

    def apply_header_limit(self, connection: ClientConnection) -> None:
        """Apply the current header limit to a connection."""
        connection.totalHeadersSize = connection.MAX_LENGTH = self.limits.header_bytes

    def buildProtocol(self, addr: interfaces.IAddress | None) -> typing.Any:
        """Return the protocol of a new connection."""
        connection: typing.Any = super().buildProtocol(addr)
        connection.requestFactory = OpenRequest
        connection.site = self
        self.apply_header_limit(connection)
        return connection

    @property
    def buffered_bytes(self) -> int:
        """The bytes of bodies that are being received."""
        return sum(request.held_bytes() for connection in self.connections for request in connection.requests)

    def sweep(self) -> None:
        """Enforce the time limits of the connections."""
        now = self.now()
        for connection in list(self.connections):
            connection.observe_progress(now)
            connection.enforce_time_limits(now)

    def drain(self, stops_listening: bool) -> None:
        """Close each connection after its next response, and optionally stop accepting new connections."""
        self.is_draining = True
        if not stops_listening or self.port is None:
            return
        self.port.stopListening()
        self.port = None
        for connection in [connection for connection in self.connections if connection.is_idle()]:
            connection.loseConnection()

    def received(self, request: OpenRequest) -> None:
        """Feed a complete request to the state machine."""
        request.is_submitted = True
        self.last_request_no += 1
        request_id = request.request_id = ('front', self.last_request_no)
        self.pending[request_id] = request
        headers = {
            name.decode('latin-1').lower(): b','.join(values).decode('latin-1')
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        call = effects.HttpRequest(
            request.method.decode('latin-1'), request.uri.decode('latin-1'), headers, request.take_body()
        )
        self.host.feed('front', request_id, self.dialect.request_in(call))

    def client_disconnected(self, request: OpenRequest) -> None:
        """Notify the state machine that a client disconnected before it got its response."""
        if request.request_id is not None and self.pending.pop(request.request_id, None) is not None:
            self.host.feed('hung_up', request.request_id)

    def respond(self, response: effects.HttpResponse) -> None:
        """Send the response of the state machine, if its client is still connected."""
        request = self.pending.pop(response.request_id, None)
        if request is None:
            payload.release_body(response.body)
            return
        try:
            self.write(request, response)
        except Exception:
            # Nothing else may be sent to this client, since a part of the response may have been written.
            logging.exception('front: response %d could not be written, closing its connection.', response.status)
            payload.release_body(response.body)
            request.channel.transport.abortConnection()

    def write(self, request: OpenRequest, response: effects.HttpResponse) -> None:
        """Write a response to its client."""
        headers = self.dialect.response_out(response.headers)
        if self.is_draining:
            # Announced so that the client opens its next connection to another proxy.
            headers['connection'] = 'close'
            request.channel.persistent = False
        elif self.keep_alive and request.channel.persistent:
            headers['keep-alive'] = self.keep_alive
        write_response(request, response.status, headers, response.body)


def write_response(request: OpenRequest, status: int, headers: dict[str, str], body: effects.Body) -> None:
    """Send a complete response."""
    request.setResponseCode(status)
    for name, value in headers.items():
        # Encoded here, because Twisted would encode strings as UTF-8 and send one received byte as two.
        request.responseHeaders.setRawHeaders(name, [value.encode('latin-1', 'replace')])
    if status not in BODILESS:
        request.responseHeaders.setRawHeaders('content-length', [b'%d' % len(body)])
    if isinstance(body, payload.Payload) and request.method != b'HEAD':
        request.channel.send_payload(request, body)
        return
    if request.method != b'HEAD' and body:
        request.write(body)
    request.finish()
