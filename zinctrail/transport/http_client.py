"""HTTP client for parties that use our libraries, over persistent connections, built on twisted.web."""

import datetime
import io
import typing

import twisted.internet.defer as defer
import twisted.internet.endpoints as endpoints
import twisted.internet.error as network_error
import twisted.internet.task as task
import twisted.python.failure as failure
import twisted.web.client as client
import twisted.web.http_headers as http_headers
import twisted.web.iweb as iweb
import zope.interface

import zinctrail.runtime.effects as effects
import zinctrail.transport.response_body as response_body
import zinctrail.transport.twisted_types as twisted_types
import zinctrail.transport.web as web

# Limited because each response is buffered in memory as a whole before it is checked.
MAX_RESPONSE_BYTES = 8 << 20
# Half of the server's idle timeout: the client, which reuses a connection, must close it before the server does.
IDLE_S = web.IDLE_S // 2
CONNECT_TIMEOUT_S = 1
MAX_CONNECTIONS_PER_HOST = 64
MIN_TIMEOUT_S = 0.001
# How many connections are verified for one request at most. Another request may take the one that was just verified,
# and a server that closes every connection leaves none.
MAX_VERIFICATIONS = 8
# The path at which an endpoint returns its incarnation.
LIVE_PATH = '/zt/live'


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class NumericAddressConnector:
    """Creates connections to numeric addresses without a resolver.

    Twisted's default passes every new connection to a resolver thread, even for
    numeric addresses, and these calls pile up just when all clients reconnect.
    """

    def __init__(self, reactor: twisted_types.Reactor) -> None:
        self.reactor = reactor
        # The number of connections opened so far.
        self.opened = 0

    def endpointForURI(self, uri: client.URI) -> 'CountingEndpoint':
        """Return the endpoint for a URI; Twisted connects to it only if the pool has no connection."""
        return CountingEndpoint(self, self.reactor, uri.host.decode(), uri.port, timeout=CONNECT_TIMEOUT_S)


class CountingEndpoint(endpoints.TCP4ClientEndpoint):
    """A TCP endpoint that counts the connections opened to it.

    It is created for every call, but connected only if the pool has no connection.
    """

    def __init__(self, counter: NumericAddressConnector, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.counter = counter

    def connect(self, factory: typing.Any) -> defer.Deferred:
        """Open a new connection, and count it: new connections are costly at a high request rate."""
        self.counter.opened += 1
        return super().connect(factory)


class IncarnationError(Exception):
    """Raised when the peer of a new connection is not the intended incarnation, or could not be verified as it."""


class IncarnationPool(client.HTTPConnectionPool):
    """Connection pool of one incarnation; each connection is verified once before a request is sent over it.

    Without this, a new process at the address of a dead endpoint would receive
    the first request of every new connection, and would be recognised only
    afterwards.
    """

    def __init__(self, http_client: 'HttpClient', incarnation: str) -> None:
        super().__init__(http_client.reactor, persistent=True)
        self.http_client = http_client
        self.incarnation = incarnation.encode()

    @defer.inlineCallbacks
    def getConnection(self, key: typing.Any, endpoint: typing.Any) -> twisted_types.DeferredGenerator[typing.Any]:
        """Return a verified connection; fails with IncarnationError if there is none."""
        for _ in range(MAX_VERIFICATIONS):
            connection = yield super().getConnection(key, endpoint)
            if getattr(connection, 'verified_incarnation', None) == self.incarnation:
                return connection
            self.http_client.verifications += 1
            yield self._verify(connection, key)
            # Reading the response returned the connection to the pool, so it is taken from there in the next round.
            connection.verified_incarnation = self.incarnation
            yield task.deferLater(self.http_client.reactor, 0)
        raise IncarnationError('no verified connection stayed open')

    @defer.inlineCallbacks
    def _verify(self, connection: typing.Any, key: typing.Any) -> twisted_types.DeferredGenerator[None]:
        headers = http_headers.Headers({b'host': [b'%s:%d' % key[1:]], b'zt-inc': [self.incarnation]})
        live_request = client.Request(b'GET', LIVE_PATH.encode(), headers, None, persistent=True)
        try:
            response = yield connection.request(live_request)
            yield client.readBody(response)
        except Exception as error:  # Only the liveness request failed; the client's request has not been sent.
            connection.abort()
            raise IncarnationError(f'liveness request failed: {type(error).__name__}') from error
        if response.headers.getRawHeaders(b'zt-inc', [b''])[0] != self.incarnation:
            raise IncarnationError('peer is another incarnation')


class Fetcher(typing.Protocol):
    """The interface of HttpClient and of its simulation: it sends HTTP requests."""

    def fetch(
        self,
        key: str,
        addr: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: datetime.timedelta,
        /,
    ) -> defer.Deferred[effects.HttpResult]:
        """Send a request; the Deferred fires with its result and never fails. Connections are pooled by `key`."""


class HttpClient:
    """HTTP client over persistent connections, pooled by a key.

    With `verifies`, the key of a call is an incarnation, and a connection is
    used only after its peer was verified to be that incarnation.
    """

    def __init__(self, reactor: twisted_types.Reactor, verifies: bool = False) -> None:
        self.reactor = reactor
        self.verifies = verifies
        # {key: (connection pool, the agent that uses it)}.
        self.pools: dict[str, tuple[client.HTTPConnectionPool, typing.Any]] = {}
        self.connector = NumericAddressConnector(reactor)
        # The number of connection verifications so far.
        self.verifications = 0

    def _agent(self, key: str) -> typing.Any:
        if key not in self.pools:
            is_verified = self.verifies and key != LIVE_PATH
            pool = IncarnationPool(self, key) if is_verified else client.HTTPConnectionPool(self.reactor)
            # An automatic retry by Twisted could run a request a second time without our knowledge.
            pool.retryAutomatically = False
            pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
            pool.cachedConnectionTimeout = IDLE_S
            agent = client.Agent.usingEndpointFactory(self.reactor, self.connector, pool)
            self.pools[key] = (pool, agent)
        return self.pools[key][1]

    def close(self, key: str) -> None:
        """Close the idle connections of a key."""
        if key in self.pools:
            self.pools.pop(key)[0].closeCachedConnections()

    def fetch(
        self,
        key: str,
        addr: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: datetime.timedelta,
    ) -> defer.Deferred[effects.HttpResult]:
        """Send a request; the Deferred fires with an effects.HttpResult and never fails.

        Cancelling the Deferred closes the connection.
        """
        # The response to a liveness check contains the incarnation, so its connection needs no verification.
        key = LIVE_PATH if path == LIVE_PATH else key
        raw_headers = http_headers.Headers({name: [value] for name, value in headers.items()})
        producer = client.FileBodyProducer(io.BytesIO(body)) if body or method in ('POST', 'PUT') else None
        try:
            response = self._agent(key).request(method.encode(), f'http://{addr}{path}'.encode(), raw_headers, producer)
        except Exception as error:  # A request that Twisted refuses has not been sent.
            fault = f'{type(error).__name__}: {error}'
            return defer.succeed(
                effects.HttpResult(sent=False, fault=fault, is_unsendable=isinstance(error, ValueError))
            )
        timer = self.reactor.callLater(max(MIN_TIMEOUT_S, timeout.total_seconds()), response.cancel)
        response.addCallback(read_body)
        response.addErrback(result_of_failure)

        def cancel_timer(result: effects.HttpResult) -> effects.HttpResult:
            if timer.active():
                timer.cancel()
            return result

        return response.addBoth(cancel_timer)


def read_body(response: typing.Any) -> defer.Deferred[effects.HttpResult]:
    """Read the body of a response; the Deferred fires with an effects.HttpResult."""
    complete: defer.Deferred[tuple[bytes, str]] = defer.Deferred(
        lambda _: body.transport and body.transport.abortConnection()
    )
    body = response_body.ResponseBody(complete, MAX_RESPONSE_BYTES)
    headers = {
        name.decode('latin-1').lower(): b','.join(values).decode('latin-1')
        for name, values in response.headers.getAllRawHeaders()
    }
    response.deliverBody(body)
    return complete.addCallback(lambda got: effects.HttpResult(response.code, headers, got[0], True, got[1]))


def result_of_failure(reason: failure.Failure) -> effects.HttpResult:
    """Return the result of a request that got no response; `sent` is False if no byte of the request was sent."""
    assert reason.type is not None
    # These are raised before a connection exists, or while its peer is verified: no byte of the request was sent.
    unsent = reason.check(
        network_error.ConnectError,
        network_error.ConnectionRefusedError,
        network_error.DNSLookupError,
        IncarnationError,
    )
    return effects.HttpResult(sent=not unsent, fault=reason.type.__name__)
