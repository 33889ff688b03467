"""HTTP client for plain endpoints (those without our library), with strict checks of responses and connection reuse.

Built on twisted.web's own client protocol. A connection that carried anything
but exactly one complete response to each request is closed and never reused,
and for `DISTRUST_S` the other connections to its endpoint are not reused either.
"""

import datetime
import typing

import twisted.internet.defer as defer
import twisted.internet.error as network_error
import twisted.internet.protocol as protocol
import twisted.python.failure as failure
import twisted.web._newclient as newclient
import twisted.web.http_headers as http_headers

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.process_limits as process_limits
import zinctrail.runtime.settings as settings
import zinctrail.transport.answer_reader as answer_reader
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.endpoint_connection as endpoint_connection
import zinctrail.transport.message_syntax as message_syntax
import zinctrail.transport.payload as payload
import zinctrail.transport.peer_connections as peer_connections
import zinctrail.transport.twisted_types as twisted_types

MAX_RESPONSE_BYTES = 64 << 20
# The limit of the body of a response to a health check.
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
# For how long each connection to an endpoint that violated HTTP carries only one request.
DISTRUST_S = 5.0

# The fault of a request whose body was dropped to make room for the response to an earlier attempt.
BODY_RELEASED = 'its body was dropped'

# Returns True if a response with these headers belongs to the request that was sent.
IsOwnResponse = typing.Callable[[dict[str, str]], bool]


class EndpointRequest(typing.NamedTuple):
    """A request to an endpoint, and what is expected of its response."""

    incarnation: str
    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: 'bytes | payload.Sending'
    timeout: datetime.timedelta
    at_most_once: bool
    is_own_response: IsOwnResponse
    body_limit_bytes: int


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
        self.idle: dict[str, list[endpoint_connection.EndpointConnection]] = {}
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

    def uncount(self, connection: endpoint_connection.EndpointConnection) -> None:
        """Count a connection as open no longer."""
        if connection.is_counted:
            connection.is_counted = False
            self.open_connections -= 1

    def closed(self, connection: endpoint_connection.EndpointConnection) -> None:
        """Remove a connection that has ended from the idle ones."""
        self.uncount(connection)
        idle = self.idle.get(connection.incarnation)
        if idle and connection in idle:
            idle.remove(connection)

    def max_idle_s(self, connection: endpoint_connection.EndpointConnection, at_most_once: bool) -> float:
        """Return the maximum idle time of a connection, in seconds, at which it may still be reused."""
        if connection.keep_alive_s is None:
            return AT_MOST_ONCE_IDLE_S if at_most_once else IDLE_S
        return connection.keep_alive_s - IDLE_MARGIN_S

    def take_idle(self, incarnation: str, at_most_once: bool) -> endpoint_connection.EndpointConnection | None:
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

    def release(self, connection: endpoint_connection.EndpointConnection) -> None:
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
        # From here on, so that the body is not dropped for another attempt while this one waits for its connection.
        sending = payload.Sending(body) if isinstance(body, payload.Payload) else None
        request = EndpointRequest(
            incarnation,
            addr,
            method,
            path,
            headers,
            sending or body,
            timeout,
            at_most_once,
            is_own_response,
            body_limit_bytes,
        )
        call = defer.maybeDeferred(self.connect_and_send, request)

        def ended(result: typing.Any) -> typing.Any:
            if sending is not None:
                sending.end()
            return result

        return call.addBoth(ended)

    def connect_and_send(self, request: EndpointRequest) -> defer.Deferred[effects.HttpResult]:
        """Send a request over an idle connection or a new one; the Deferred is as in `fetch`."""
        connection = self.take_idle(request.incarnation, request.at_most_once)
        if connection is not None:
            connection.body_limit_bytes = request.body_limit_bytes
            return self.send_or_discard(connection, request, request.timeout)
        host, port = peer_connections.split_address(request.address)
        if self.open_connections >= self.max_connections:
            self.close_longest_idle()
        self.opened += 1
        self.open_connections += 1
        began = self.reactor.seconds()
        connection = endpoint_connection.EndpointConnection()
        # Set before the connection is opened, since it may end, or receive bytes, before `connected` is called.
        connection.incarnation, connection.owner = request.incarnation, self
        connection.body_limit_bytes = request.body_limit_bytes
        connecting: defer.Deferred = defer.maybeDeferred(
            protocol.ClientCreator(self.reactor, lambda: connection).connectTCP,
            host,
            port,
            timeout=min(CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, request.timeout.total_seconds())),
        )

        def connected(connection: endpoint_connection.EndpointConnection) -> defer.Deferred[effects.HttpResult]:
            remaining = request.timeout - durations.ms(1000 * (self.reactor.seconds() - began))
            return self.send_or_discard(connection, request, remaining)

        def refused(reason: failure.Failure) -> effects.HttpResult:
            self.uncount(connection)
            assert reason.type is not None
            return effects.HttpResult(sent=False, fault=reason.type.__name__)

        return connecting.addCallbacks(connected, refused)

    def send_or_discard(
        self,
        connection: endpoint_connection.EndpointConnection,
        request: EndpointRequest,
        timeout: datetime.timedelta,
    ) -> defer.Deferred[effects.HttpResult]:
        """Send a request as `send` does; if that raises an exception, the connection is closed, and the Deferred fails."""

        def discard(reason: failure.Failure) -> failure.Failure:
            connection.long_request = None
            connection.discard()
            return reason

        return defer.maybeDeferred(self.send, connection, request, timeout).addErrback(discard)

    def send(
        self,
        connection: endpoint_connection.EndpointConnection,
        request: EndpointRequest,
        timeout: datetime.timedelta,
    ) -> defer.Deferred[effects.HttpResult]:
        """Send a request over a connection without an outstanding request; the Deferred is as in `fetch`.

        :param timeout: what is left of the request's own.
        """
        connection.is_own_response = lambda response: request.is_own_response(lowercased(response.headers))
        connection.skipped_responses = 0
        try:
            message = self.new_request(connection, request.method, request.path, request.headers, request.body)
        except ValueError as error:  # HTTP doesn't allow such a request, and another endpoint would not get it either.
            self.release(connection)
            return defer.succeed(effects.HttpResult(sent=False, fault=str(error), is_unsendable=True))
        try:
            response = connection.request(message)
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

    def new_request(
        self,
        connection: endpoint_connection.EndpointConnection,
        method: str,
        path: str,
        headers: dict[str, str],
        body: 'bytes | payload.Sending',
    ) -> newclient.Request:
        """Return a request for a connection; raises ValueError if HTTP does not allow it."""
        # Encoded here, because Twisted would encode strings as UTF-8 and send one received byte as two.
        raw: typing.Any = {name: [value.encode('latin-1', 'replace')] for name, value in headers.items()}
        raw_headers = http_headers.Headers(raw)
        target = path.encode('latin-1')
        if isinstance(body, payload.Sending):
            connection.long_request = endpoint_connection.LongRequest(
                method.encode(), target, raw_headers, body, connection
            )
            return connection.long_request
        producer = endpoint_connection.CompleteBody(body) if body else None
        return newclient.Request(method.encode(), target, raw_headers, producer, persistent=True)

    def read(
        self, response: typing.Any, connection: endpoint_connection.EndpointConnection
    ) -> defer.Deferred[effects.HttpResult]:
        """Read a response to its end, or the next one if this one belongs to another request."""
        breaks_protocol = endpoint_connection.violates_http(response, connection)
        message_syntax.drop_invalid_headers(response.headers)
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
                # Its reader would hold it until it is garbage-collected.
                payload.release_body(body)
                body = b''
            return effects.HttpResult(
                response.code,
                lowercased(response.headers),
                body,
                True,
                error or ('no answer in the protocol' if breaks_protocol else ''),
            )

        return complete.addCallback(body_read)

    def failed(self, reason: failure.Failure, connection: endpoint_connection.EndpointConnection) -> effects.HttpResult:
        """Return the result of a request that got no response; distrust its endpoint unless the connection just ended."""
        assert reason.type is not None
        unsent = reason.check(newclient.RequestNotSent, network_error.ConnectError)
        causes = [cause.type for cause in getattr(reason.value, 'reasons', ())]
        # A cancelled request's connection is closed by us, which is no violation by its endpoint.
        ends = (network_error.ConnectionClosed, network_error.ConnectionAborted, OSError, defer.CancelledError)
        if any(not issubclass(cause, ends) for cause in causes):
            connection.distrust_endpoint()
        return effects.HttpResult(sent=not unsent, fault=reason.type.__name__)


def lowercased(headers: http_headers.Headers) -> dict[str, str]:
    """Return headers as a dict with names in lower case."""
    return {
        name.decode('latin-1').lower(): b','.join(values).decode('latin-1')
        for name, values in headers.getAllRawHeaders()
    }
