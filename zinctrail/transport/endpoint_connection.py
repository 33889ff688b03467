"""One connection to a plain endpoint: the requests that it carries, and the checks of what the endpoint sends.

Built on twisted.web's own client protocol.
"""

import socket
import typing

import twisted.internet.defer as defer
import twisted.internet.error as network_error
import twisted.internet.protocol as protocol
import twisted.python.failure as failure
import twisted.web._newclient as newclient
import twisted.web.http_headers as http_headers
import twisted.web.iweb as iweb
import zope.interface

import zinctrail.transport.payload as payload
import zinctrail.transport.peer_connections as peer_connections

if typing.TYPE_CHECKING:
    import zinctrail.transport.endpoint_client as endpoint_client

# The limit of the header of a response.
HEADER_LIMIT_BYTES = 128 << 10
# How long an endpoint may leave sent bytes unacknowledged. An unresponsive one must not delay requests that another
# endpoint could serve.
DEAD_PEER_TIMEOUT_MS = 1500
# How many responses to earlier requests are skipped while waiting for the response to the current one.
MAX_SKIPPED_RESPONSES = 2
# The states of Twisted's parser before the body.
HEADER_STATES = (newclient.STATUS, newclient.HEADER)


@zope.interface.implementer(iweb.IBodyProducer)
class CompleteBody:
    """A short request body."""

    def __init__(self, body: bytes):
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: typing.Any) -> defer.Deferred[None]:
        """Write the complete body at once."""
        consumer.write(self.body)
        return defer.succeed(None)

    def stopProducing(self) -> None:
        """Do nothing: the body has already been written."""

    pauseProducing = resumeProducing = stopProducing


class LongRequest(newclient.Request):
    """A request with a long body, which is written as fast as the endpoint reads it.

    To Twisted the request counts as written at once, because it would otherwise
    deliver no response before, and an endpoint may respond while it still reads.
    """

    def __init__(
        self,
        method: bytes,
        path: bytes,
        headers: http_headers.Headers,
        sending: payload.Sending,
        connection: typing.Any,
    ) -> None:
        super().__init__(method, path, headers, None, persistent=True)
        self.body = sending.payload
        self.sending = sending
        self.connection = connection

    def writeTo(self, transport: typing.Any) -> defer.Deferred[None]:
        """Write the header, and begin to write the body."""
        self._writeHeaders(transport, b'Content-Length: %d\r\n' % len(self.body))

        self.connection.sending = self
        producer = payload.PieceProducer(payload.reading(self.body), transport.write, self.finish)
        transport.registerProducer(producer, True)
        producer.resumeProducing()
        return defer.succeed(None)

    def finish(self) -> None:
        """Handle the end of the body."""
        self.stop()
        self.connection.transport.unregisterProducer()

    def stop(self) -> None:
        """Read the body no more."""
        if self.connection.sending is self:
            self.connection.sending = None
            self.sending.end()


class EndpointConnection(newclient.HTTP11ClientProtocol):
    """A connection to a plain endpoint, which tracks whether it may be reused."""

    # The type that Twisted declares lacks the methods of TCP.
    transport: typing.Any
    incarnation = ''
    # Set before the connection is opened.
    owner: 'endpoint_client.EndpointClient'
    idle_since = 0.0
    # The keep-alive timeout that the endpoint announced, in seconds; None if it announced none.
    keep_alive_s: float | None = None
    # True if the connection must not carry another request.
    is_unusable = False
    # Returns True if a response with these headers belongs to the current request; set with each request.
    is_own_response: typing.Callable[[typing.Any], bool]
    # Fires with the response that follows a skipped one.
    next_response: defer.Deferred | None = None
    # Bytes received after a skipped response.
    unparsed = b''
    skipped_responses = 0
    # The request with a long body that is being written, and the last one that was; None if there is none.
    sending: LongRequest | None = None
    long_request: LongRequest | None = None
    # True while the connection counts as open.
    is_counted = True
    # The bytes of the header that is being received.
    header_bytes = 0
    # The limit of the body of the response.
    body_limit_bytes = 0

    def connectionMade(self) -> None:
        """Set the socket options."""
        super().connectionMade()
        peer_connections.set_dead_peer_timeout(self.transport, DEAD_PEER_TIMEOUT_MS)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Remove the connection from the idle connections."""
        if self.sending is not None:
            self.sending.stop()
        super().connectionLost(reason)
        self.long_request = None
        self.owner.closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse a response; bytes that arrive between requests belong to no request and make the connection unusable."""
        if self._state == 'QUIESCENT':
            self.distrust_endpoint()
            self.discard()
            return
        data, self.unparsed = self.unparsed + data, b''
        if data:
            super().dataReceived(data)
            self.count_header(len(data))

    def count_header(self, received: int) -> None:
        """Count received bytes if the header is not complete yet; discard the connection above `HEADER_LIMIT_BYTES`."""
        parser = self._parser
        if parser is None or parser.state not in HEADER_STATES:
            self.header_bytes = 0
            return
        self.header_bytes += received
        if self.header_bytes > HEADER_LIMIT_BYTES:
            self.distrust_endpoint()
            self.discard()

    def _finishResponse_WAITING(self, rest: bytes) -> None:
        if self._parser is None:
            super()._finishResponse_WAITING(rest)
            return
        headers = self._parser.connHeaders
        if not self.is_own_response(self._parser.response):
            self.distrust_endpoint()
            if self._state == 'WAITING' and self.skipped_responses < MAX_SKIPPED_RESPONSES:
                self.skip_response(rest)
                return
        if rest:
            self.distrust_endpoint()
            self.is_unusable = True
        closes = any(b'close' in value.lower() for value in headers.getRawHeaders(b'connection', ()))
        self.keep_alive_s = 0.0 if closes else announced_timeout(headers.getRawHeaders(b'keep-alive', ()))
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING

    def skip_response(self, rest: bytes) -> None:
        """Skip the response to an earlier request, and wait for the response to the current one.

        The current request is not failed: one that may run at most once can't
        be retried, and each response names the request that it belongs to.
        """
        self.skipped_responses += 1
        assert self._parser is not None and self._transportProxy is not None
        skipped, self.unparsed = self._parser, rest
        self._transportProxy.stopProxying()
        self._transportProxy = newclient.TransportProxyProducer(self.transport)
        self._parser = newclient.HTTPClientParser(self._currentRequest, self._finishResponse)
        self._parser.makeConnection(self._transportProxy)
        self.next_response = self._responseDeferred = self._parser._responseDeferred
        self.transport.resumeProducing()
        skipped.connectionLost(failure.Failure(network_error.ConnectionDone()))
        # Deferred to a later iteration of the event loop, after the skipped response has been handled.
        self.owner.reactor.callLater(0, self.parse_rest)

    def parse_rest(self) -> None:
        """Parse the bytes that were received after a skipped response."""
        if self._state == 'WAITING':
            self.dataReceived(b'')

    def distrust_endpoint(self) -> None:
        """Record that the connection's endpoint violated HTTP."""
        self.owner.distrust(self.incarnation)

    def release_request(self) -> bool:
        """Drop the body of the current request; return False if there is none, or an attempt still has to send it."""
        return self.long_request is not None and self.long_request.body.release_if_sent()

    def discard(self) -> None:
        """Mark the connection as unusable and abort it."""
        self.is_unusable = True
        self.transport.abortConnection()

    def has_no_pending_input(self) -> bool:
        """True if the socket has neither unread bytes nor an end of stream since the connection was last used."""
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


def announced_timeout(values: typing.Iterable[bytes]) -> float | None:
    """Return the timeout in seconds that the values of keep-alive headers announce, or None."""
    for value in values:
        for field in value.split(b','):
            name, _, seconds = field.strip().partition(b'=')
            if name.strip().lower() == b'timeout' and seconds.strip().isdigit():
                return float(seconds)
    return None


def violates_http(response: typing.Any, connection: EndpointConnection) -> bool:
    """True if a response is not HTTP, has an impossible status, or declares its length in two ways."""
    framing = connection._parser.connHeaders if connection._parser is not None else http_headers.Headers()
    return (
        response.version[0] != b'HTTP'
        or not 200 <= response.code < 600
        or (framing.hasHeader(b'transfer-encoding') and framing.hasHeader(b'content-length'))
    )
