"""HTTP client for plain endpoints (those without our library), with strict checks of responses and connection reuse.

Built on twisted.web's own client protocol. A connection that carried anything
but exactly one complete response to each request is closed and never reused,
and for `DISTRUST_S` the other connections to its endpoint are not reused either.
"""

import datetime
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

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.process_limits as process_limits
import zinctrail.runtime.settings as settings
import zinctrail.transport.answer_reader as answer_reader
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.payload as payload
import zinctrail.transport.peer_connections as peer_connections
import zinctrail.transport.twisted_types as twisted_types

MAX_RESPONSE_BYTES = 64 << 20
# The limit of the header of a response, and of the body of a response to a health check.
HEADER_LIMIT_BYTES = 128 << 10
HEALTH_LIMIT_BYTES = 64 << 10
# Short, because nothing has been sent yet: another endpoint can still take the request before its deadline.
CONNECT_TIMEOUT_S = 0.3
MIN_CONNECT_TIMEOUT_S = 0.01
MIN_TIMEOUT_S = 0.001
# The maximum idle time of a reused connection if its endpoint announces no keep-alive timeout. It is shorter for a
# request that may run at most once: such a request must not be sent while the endpoint closes the connection, and a
# server that closes idle connections in less than a second announces no timeout.
IDLE_S = 3.0
AT_MOST_ONCE_IDLE_S = 0.25
# How much earlier than the announced keep-alive timeout a connection is closed.
IDLE_MARGIN_S = 0.7
# How long an endpoint may leave sent bytes unacknowledged. An unresponsive one must not delay requests that another
# endpoint could serve.
DEAD_PEER_TIMEOUT_MS = 1500
# For how long each connection to an endpoint that violated HTTP carries only one request.
DISTRUST_S = 5.0
# How many responses to earlier requests are skipped while waiting for the response to the current one.
MAX_SKIPPED_RESPONSES = 2

# The fault of a request whose body was dropped to make room for the response to an earlier attempt.
BODY_RELEASED = 'its body was dropped'
# The states of Twisted's parser before the body.
HEADER_STATES = (newclient.STATUS, newclient.HEADER)

# Returns True if a response with these headers belongs to the request that was sent.
IsOwnResponse = typing.Callable[[dict[str, str]], bool]


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
        self, method: bytes, path: bytes, headers: http_headers.Headers, body: payload.Payload, connection: typing.Any
    ) -> None:
        super().__init__(method, path, headers, None, persistent=True)
        self.body = body
        self.connection = connection

    def writeTo(self, transport: typing.Any) -> defer.Deferred[None]:
        """Write the header, and begin to write the body."""
        self._writeHeaders(transport, b'Content-Length: %d\r\n' % len(self.body))

        self.connection.sending = self
        self.body.readers += 1
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
            self.body.readers -= 1

    def release_body(self) -> bool:
        """Drop the body, unless it is still being written; it can't be sent again then. Return True if it was dropped."""
        if self.body.readers or self.body.is_released:
            return False
        self.body.release()
        return True


class EndpointConnection(newclient.HTTP11ClientProtocol):
    """A connection to a plain endpoint, which tracks whether it may be reused."""

    # The type that Twisted declares lacks the methods of TCP.
    transport: typing.Any
    incarnation = ''
    # Set before the connection is opened.
    owner: 'EndpointClient'
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
    body_limit_bytes = MAX_RESPONSE_BYTES

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
        """Drop the body of the current request; return False if there is none, or it is still being written."""
        return self.long_request is not None and self.long_request.release_body()

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


class EndpointClient:
    """Sends requests to plain endpoints, and pools the idle connections by incarnation."""

    def __init__(
        self,
        reactor: twisted_types.Reactor,
        account: byte_account.ByteAccount | None = None,
        max_connections: int | None = None,
    ) -> None:
        """
        :param account: holds the bodies of responses; by default an account of this client alone.
        :param max_connections: with more connections than this, idle ones are closed before another is opened.
        """
        limits = process_limits.process_limits(settings.Settings())
        self.reactor = reactor
        self.account = account or byte_account.ByteAccount(limits.held_bytes, limits.small_bytes)
        self.max_connections = max_connections or limits.endpoint_connections
        self.waiting_readers = answer_reader.WaitingReaders(reactor)
        # The number of connections that are open or being opened.
        self.open_connections = 0
        # {incarnation: its idle connections}, the most recently used one last.
        self.idle: dict[str, list[EndpointConnection]] = {}
        # {incarnation that violated HTTP: until when its connections are not reused}.
        self.distrusted_until: dict[str, float] = {}
        # The number of connections opened so far.
        self.opened = 0

    def distrust(self, incarnation: str) -> None:
        """Use each connection to an incarnation only once for `DISTRUST_S`, and close the idle ones."""
        self.distrusted_until[incarnation] = self.reactor.seconds() + DISTRUST_S
        self.close(incarnation)

    def is_distrusted(self, incarnation: str) -> bool:
        """True if an incarnation violated HTTP within the last `DISTRUST_S`."""
        return self.distrusted_until.get(incarnation, 0.0) > self.reactor.seconds()

    def close(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation."""
        for connection in self.idle.pop(incarnation, ()):
            connection.transport.loseConnection()

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle longest, if any is idle."""
        idle = [connection for connections in self.idle.values() for connection in connections]
        if idle:
            connection = min(idle, key=lambda connection: connection.idle_since)
            self.idle[connection.incarnation].remove(connection)
            connection.transport.loseConnection()

    def uncount(self, connection: EndpointConnection) -> None:
        """Count a connection as open no longer."""
        if connection.is_counted:
            connection.is_counted = False
            self.open_connections -= 1

    def closed(self, connection: EndpointConnection) -> None:
        """Remove a connection that has ended from the idle ones."""
        self.uncount(connection)
        idle = self.idle.get(connection.incarnation)
        if idle and connection in idle:
            idle.remove(connection)

    def max_idle_s(self, connection: EndpointConnection, at_most_once: bool) -> float:
        """Return the maximum idle time of a connection, in seconds, at which it may still be reused."""
        if connection.keep_alive_s is None:
            return AT_MOST_ONCE_IDLE_S if at_most_once else IDLE_S
        return connection.keep_alive_s - IDLE_MARGIN_S

    def take_idle(self, incarnation: str, at_most_once: bool) -> EndpointConnection | None:
        """Remove and return the most recently used idle connection that may still be reused, or None."""
        idle = self.idle.get(incarnation, [])
        now = self.reactor.seconds()
        while idle:
            connection = idle.pop()
            if connection.is_unusable or connection.state != 'QUIESCENT':
                connection.transport.loseConnection()
            elif now - connection.idle_since > self.max_idle_s(connection, at_most_once):
                if now - connection.idle_since <= self.max_idle_s(connection, False):
                    # The connection can still carry a request that may be retried.
                    idle.append(connection)
                    return None
                connection.transport.loseConnection()
            elif not connection.has_no_pending_input():
                connection.discard()
            else:
                return connection
        return None

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection to the pool after a request, or close it if it can't be reused."""
        is_usable = connection.state == 'QUIESCENT' and not connection.is_unusable and connection.sending is None
        if not is_usable or self.is_distrusted(connection.incarnation):
            connection.transport.abortConnection()
            return
        if connection.keep_alive_s is not None and connection.keep_alive_s <= IDLE_MARGIN_S:
            connection.transport.loseConnection()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.setdefault(connection.incarnation, []).append(connection)

    def sweep(self) -> None:
        """Close the connections that exceeded their maximum idle time, and drop expired entries of distrust."""
        now = self.reactor.seconds()
        for incarnation, idle in list(self.idle.items()):
            kept = []
            for connection in idle:
                if connection.state != 'QUIESCENT':
                    continue
                if now - connection.idle_since > self.max_idle_s(connection, False):
                    connection.transport.loseConnection()
                else:
                    kept.append(connection)
            if kept:
                self.idle[incarnation] = kept
            else:
                del self.idle[incarnation]
        self.distrusted_until = {
            incarnation: until for incarnation, until in self.distrusted_until.items() if until > now
        }

    def fetch(
        self,
        incarnation: str,
        addr: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: effects.Body,
        timeout: datetime.timedelta,
        at_most_once: bool,
        is_own_response: IsOwnResponse = lambda headers: True,
        body_limit_bytes: int = MAX_RESPONSE_BYTES,
    ) -> defer.Deferred[effects.HttpResult]:
        """Send a request; the Deferred fires with an effects.HttpResult and never fails.

        Cancelling the Deferred aborts the attempt to connect, or closes the connection.

        :param is_own_response: given the headers of a response, returns False if it belongs to another request.
        """
        if isinstance(body, payload.Payload) and body.is_released:
            # The earlier attempt was sent, so that the outcome of the request is unknown.
            return defer.succeed(effects.HttpResult(sent=True, fault=BODY_RELEASED))
        connection = self.take_idle(incarnation, at_most_once)
        if connection is not None:
            connection.body_limit_bytes = body_limit_bytes
            return self.send(connection, method, path, headers, body, timeout, is_own_response)
        host, port = peer_connections.split_address(addr)
        if self.open_connections >= self.max_connections:
            self.close_longest_idle()
        self.opened += 1
        self.open_connections += 1
        began = self.reactor.seconds()
        connection = EndpointConnection()
        # Set before the connection is opened, since it may end, or receive bytes, before `connected` is called.
        connection.incarnation, connection.owner = incarnation, self
        connection.body_limit_bytes = body_limit_bytes
        connecting = protocol.ClientCreator(self.reactor, lambda: connection).connectTCP(
            host, port, timeout=min(CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, timeout.total_seconds()))
        )

        def connected(connection: EndpointConnection) -> defer.Deferred[effects.HttpResult]:
            remaining = timeout - durations.ms(1000 * (self.reactor.seconds() - began))
            return self.send(connection, method, path, headers, body, remaining, is_own_response)

        def refused(reason: failure.Failure) -> effects.HttpResult:
            self.uncount(connection)
            assert reason.type is not None
            return effects.HttpResult(sent=False, fault=reason.type.__name__)

        return connecting.addCallbacks(connected, refused)

    def send(
        self,
        connection: EndpointConnection,
        method: str,
        path: str,
        headers: dict[str, str],
        body: effects.Body,
        timeout: datetime.timedelta,
        is_own_response: IsOwnResponse,
    ) -> defer.Deferred[effects.HttpResult]:
        """Send a request over a connection without an outstanding request; the Deferred is as in `fetch`."""
        # Encoded here, because Twisted would encode strings as UTF-8 and send one received byte as two.
        raw: typing.Any = {name: [value.encode('latin-1', 'replace')] for name, value in headers.items()}
        raw_headers = http_headers.Headers(raw)
        connection.is_own_response = lambda response: is_own_response(lowercased(response.headers))
        connection.skipped_responses = 0
        target = path.encode('latin-1')
        request: newclient.Request
        if isinstance(body, payload.Payload):
            request = connection.long_request = LongRequest(method.encode(), target, raw_headers, body, connection)
        else:
            producer = CompleteBody(body) if body else None
            request = newclient.Request(method.encode(), target, raw_headers, producer, persistent=True)
        try:
            response = connection.request(request)
        except Exception as error:  # A request that Twisted refuses has not been sent.
            connection.transport.abortConnection()
            return defer.succeed(effects.HttpResult(sent=False, fault=f'{type(error).__name__}: {error}'))
        timer = self.reactor.callLater(max(MIN_TIMEOUT_S, timeout.total_seconds()), connection.discard)
        response.addCallback(self.read, connection)
        response.addErrback(self.failed, connection)

        def finished(result: effects.HttpResult) -> effects.HttpResult:
            connection.long_request = None
            if timer.active():
                timer.cancel()
            if result.fault:
                connection.discard()
            else:
                self.release(connection)
            return result

        return response.addCallback(finished)

    def read(self, response: typing.Any, connection: EndpointConnection) -> defer.Deferred[effects.HttpResult]:
        """Read a response to its end, or the next one if this one belongs to another request."""
        breaks_protocol = violates_http(response, connection)
        complete: defer.Deferred[tuple[effects.Body, str]] = defer.Deferred()
        response.deliverBody(
            answer_reader.AnswerReader(
                complete,
                self.account,
                self.waiting_readers,
                response.length,
                connection.body_limit_bytes,
                connection.release_request,
            )
        )

        def body_read(body_and_error: tuple[effects.Body, str]) -> typing.Any:
            body, error = body_and_error
            if connection.next_response is not None:
                following, connection.next_response = connection.next_response, None
                return following.addCallback(self.read, connection)
            if error or breaks_protocol:
                connection.distrust_endpoint()
            return effects.HttpResult(
                response.code,
                lowercased(response.headers),
                body,
                True,
                error or ('no answer in the protocol' if breaks_protocol else ''),
            )

        return complete.addCallback(body_read)

    def failed(self, reason: failure.Failure, connection: EndpointConnection) -> effects.HttpResult:
        """Return the result of a request that got no response; distrust its endpoint unless the connection just ended."""
        assert reason.type is not None
        unsent = reason.check(newclient.RequestNotSent, network_error.ConnectError)
        causes = [cause.type for cause in getattr(reason.value, 'reasons', ())]
        # A cancelled request's connection is closed by us, which is no violation by its endpoint.
        ends = (network_error.ConnectionClosed, network_error.ConnectionAborted, OSError, defer.CancelledError)
        if any(not issubclass(cause, ends) for cause in causes):
            connection.distrust_endpoint()
        return effects.HttpResult(sent=not unsent, fault=reason.type.__name__)


def violates_http(response: typing.Any, connection: EndpointConnection) -> bool:
    """True if a response is not HTTP, has an impossible status, or declares its length in two ways."""
    framing = connection._parser.connHeaders if connection._parser is not None else http_headers.Headers()
    return (
        response.version[0] != b'HTTP'
        or not 200 <= response.code < 600
        or (framing.hasHeader(b'transfer-encoding') and framing.hasHeader(b'content-length'))
    )


def lowercased(headers: http_headers.Headers) -> dict[str, str]:
    """Return headers as a dict with names in lower case."""
    return {
        name.decode('latin-1').lower(): b','.join(values).decode('latin-1')
        for name, values in headers.getAllRawHeaders()
    }
