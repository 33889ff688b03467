"""The HTTP server of open traffic: a request to any path is fed to the state machine as one input.

The operator's limits are enforced here: the size of headers and bodies, the
time that receiving a header may take, the idle time of a connection. A client
that exceeds them gets an error response (or is only disconnected, if it has
sent no request), and no other client is affected.
"""

import socket
import typing

import twisted.internet.interfaces as interfaces
import twisted.internet.protocol as protocol
import twisted.python.failure as failure
import twisted.web.http as http

import zinctrail.runtime.effects as effects
import zinctrail.transport.twisted_types as twisted_types

# How long the connection of a refused client stays open after the response. Closing it with unread bytes would reset
# it, and the response would be lost.
LINGER_S = 1.0
# How long a connection may take to send its remaining data after an orderly close; then it is aborted.
MAX_CLOSE_S = 10.0
# The limit of buffered bodies, of all connections together: many large ones must not exhaust the process's memory.
MAX_BUFFERED_BYTES = 80 << 20
# The limit of client connections: endpoints and peers need file descriptors too.
MAX_CONNECTIONS = 3000
# How much memory Twisted may preallocate for an announced body.
MAX_ANNOUNCED_BYTES = 1 << 20
# The Retry-After, in seconds, for a client that is refused because a buffer or connection limit is reached.
RETRY_AFTER = b'0.5'
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
    content: typing.Any
    received_bytes = 0
    # Set when the request is fed to the state machine.
    request_id: RequestId | None = None
    # True once the request has been fed to the state machine.
    is_submitted = False

    def __init__(self, channel: typing.Any, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(channel, *args, **options)
        self.server: OpenTrafficServer = channel.site

    def gotLength(self, length: int | None) -> None:
        """Refuse the request if the announced length of its body is above a limit."""
        server = self.server
        if length and length > server.limits.body_bytes:
            self.channel.refuse(413)
        elif length and server.buffered_bytes + length > MAX_BUFFERED_BYTES:
            self.channel.refuse(503)
        super().gotLength(min(length, MAX_ANNOUNCED_BYTES) if length else length)

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a chunk of the body, or refuse the request if a limit is exceeded."""
        if self.channel.is_refused:
            return
        self.received_bytes += len(data)
        server = self.server
        server.buffered_bytes += len(data)
        if self.received_bytes > server.limits.body_bytes:
            self.channel.refuse(413)
        elif server.buffered_bytes > MAX_BUFFERED_BYTES:
            self.channel.refuse(503)
        else:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Pass the complete request to the server.

        The base class is not called: it parses queries and forms, and refuses
        those that it can't parse, but proxied requests may contain any.
        """
        if self.channel.is_refused:
            return
        if len(self.requestHeaders.getRawHeaders(b'host', ())) != 1:
            # Without exactly one host, no rule can match, and a 404 would look like the operator's configuration.
            self.channel.refuse(400)
            return
        self.content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        self.server.received(self)

    def finish(self) -> None:
        """End the response."""
        super().finish()
        self.release_body()

    def release_body(self) -> None:
        """Stop counting the body as buffered."""
        self.server.buffered_bytes -= self.received_bytes
        self.received_bytes = 0

    def connectionLost(self, reason: failure.Failure) -> None:
        """Handle the loss of the client's connection before the response was sent."""
        super().connectionLost(reason)
        self.release_body()
        if self.is_submitted:
            self.server.client_disconnected(self)


class ClientConnection(http.HTTPChannel):
    """One connection of a client. Its timeouts are enforced by the server's sweep; it has no timers of its own."""

    # The type that Twisted declares lacks the methods of TCP.
    transport: typing.Any
    # The OpenTrafficServer; twisted.web reads this attribute too.
    site: typing.Any = None
    # When the header that is being received began; None if none is.
    header_since: float | None = None
    # When data of a request was last received, or a response completed.
    idle_since = 0.0
    is_in_body = False
    # True if the client was refused: everything that still arrives is ignored.
    is_refused = False
    # When the connection is aborted if the client has not closed it by then.
    abort_at: float | None = None

    def connectionMade(self) -> None:
        """Register the connection, and make room for it if there are too many."""
        super().connectionMade()
        self.idle_since = self.site.now()
        sock = self.transport.getHandle()
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * MAX_CLOSE_S))
        self.site.connections.add(self)
        if len(self.site.connections) > MAX_CONNECTIONS:
            self.site.make_room(self)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Unregister the connection."""
        self.site.connections.discard(self)
        super().connectionLost(reason)

    def is_idle(self) -> bool:
        """True if the connection has no pending request and no partially received one."""
        return not self.requests and not self._receivedHeaderSize and not self._buffer

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, and record when a header begins."""
        if self.is_refused:
            return
        if not self._handlingRequest:
            self.idle_since = self.site.now()
            if self.header_since is None and not self.is_in_body:
                self.header_since = self.idle_since
        super().dataReceived(data)
        self.clear_header_time()

    def clear_header_time(self) -> None:
        """Reset the header timeout if no header has begun: some clients send an empty line after a request."""
        if self.header_since is not None and self.is_idle():
            self.header_since = None

    def lineReceived(self, line: bytes) -> None:
        """Parse a line, unless the client was refused: lines may still follow in the data that was just received."""
        if not self.is_refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Parse a chunk of a body, unless the client was refused."""
        if not self.is_refused:
            super().rawDataReceived(data)

    def allHeadersReceived(self) -> None:
        """Handle the end of the header: the body begins."""
        self.header_since, self.is_in_body = None, True
        super().allHeadersReceived()

    def allContentReceived(self) -> None:
        """Handle the end of the body."""
        self.is_in_body = False
        super().allContentReceived()

    def requestDone(self, request: OpenRequest) -> None:
        """Handle the end of the response; the next header may already have been received in part."""
        self.idle_since = self.site.now()
        self.header_since = self.idle_since if self._dataBuffer else None
        super().requestDone(request)
        self.clear_header_time()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a client that sent a header line above the limit."""
        self.refuse(431)

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(431 if self._receivedHeaderSize > self.totalHeadersSize else 400)

    def refuse(self, status: int) -> None:
        """Send an error response before the request is complete, and end the connection."""
        if self.is_refused:
            return
        self.is_refused, self.persistent = True, False
        retry_after = b'Retry-After: %s\r\n' % RETRY_AFTER if status == 503 else b''
        self.transport.write(
            b'HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n'
            % (status, http.RESPONSES.get(status, b'Refused'), retry_after)
        )
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self.abort_at = self.site.now() + LINGER_S

    def loseConnection(self) -> None:
        """Close the connection after its pending data is sent; it is aborted if that takes over `MAX_CLOSE_S`."""
        self.abort_at = self.site.now() + MAX_CLOSE_S
        super().loseConnection()


class OpenTrafficServer(http.HTTPFactory):
    """The listener of open traffic: feeds requests to the state machine, and sends the responses it returns."""

    noisy = False
    protocol: typing.Any = ClientConnection
    reactor: twisted_types.Reactor

    def __init__(self, host: InputSink, dialect: typing.Any, reactor: twisted_types.Reactor) -> None:
        # Twisted's own timeout is off: the sweep applies the current limits, which may change.
        no_timeout: typing.Any = None
        super().__init__(reactor=reactor, timeout=no_timeout)
        self.host = host
        self.dialect = dialect
        self.last_request_no = 0
        # {request id: a request whose response is outstanding}.
        self.pending: dict[RequestId, OpenRequest] = {}
        self.connections: set[ClientConnection] = set()
        # The listening port; None while no new connections are accepted.
        self.port: typing.Any = None
        self.buffered_bytes = 0
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
        self.max_header_s, self.max_idle_s = limits.header_ms / 1000, limits.idle_ms / 1000
        announced_s = int(self.max_idle_s - KEEP_ALIVE_MARGIN_S)
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

    def make_room(self, new_connection: ClientConnection) -> None:
        """Close the connection that has been idle longest, or refuse the new connection if none is idle."""
        idle = [
            connection
            for connection in self.connections
            if connection is not new_connection and connection.abort_at is None and connection.is_idle()
        ]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).loseConnection()
        else:
            new_connection.refuse(503)

    def sweep(self) -> None:
        """Abort, refuse or close the connections that exceeded a timeout."""
        now = self.now()
        for connection in list(self.connections):
            if connection.abort_at is not None:
                if now >= connection.abort_at:
                    connection.transport.abortConnection()
            elif connection.header_since is not None:
                if now - connection.header_since >= self.max_header_s:
                    connection.refuse(408)
            elif not connection._handlingRequest and now - connection.idle_since >= self.max_idle_s:
                if connection.is_in_body:
                    connection.refuse(408)
                else:
                    connection.loseConnection()

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
            request.method.decode('latin-1'), request.uri.decode('latin-1'), headers, request.content.read()
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
            return
        headers = self.dialect.response_out(response.headers)
        if self.is_draining:
            # Announced so that the client opens its next connection to another proxy.
            headers['connection'] = 'close'
            request.channel.persistent = False
        elif self.keep_alive and request.channel.persistent:
            headers['keep-alive'] = self.keep_alive
        write_response(request, response.status, headers, response.body)


def write_response(request: OpenRequest, status: int, headers: dict[str, str], body: bytes) -> None:
    """Send a complete response."""
    request.setResponseCode(status)
    for name, value in headers.items():
        # Encoded here, because Twisted would encode strings as UTF-8 and send one received byte as two.
        request.responseHeaders.setRawHeaders(name, [value.encode('latin-1', 'replace')])
    if status not in BODILESS:
        request.responseHeaders.setRawHeaders('content-length', [b'%d' % len(body)])
    if request.method != b'HEAD' and body:
        request.write(body)
    request.finish()
