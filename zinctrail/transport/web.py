"""The HTTP server of a process, built on twisted.web: API calls are fed to its state machine."""

import io
import typing

import twisted.internet.interfaces as interfaces
import twisted.python.failure as failure
import twisted.web.http as http
import twisted.web.resource as resource
import twisted.web.server as server

import zinctrail.runtime.effects as effects
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.client_channel as client_channel
import zinctrail.transport.client_connections as client_connections
import zinctrail.transport.early_refusal as early_refusal
import zinctrail.transport.metrics_page as metrics_page
import zinctrail.transport.payload as payload
import zinctrail.transport.twisted_types as twisted_types

if typing.TYPE_CHECKING:
    import zinctrail.transport.host as transport_host

# The idle timeout of a persistent connection. No client may hold one open for ever, but proxies must be able to reuse
# theirs.
IDLE_S = 60
METRICS_PATH = b'/v1/metrics'
# Translates a response of the state machine into the dialect of its client.
Translate = typing.Callable[[effects.HttpResponse], effects.HttpResponse]


# The time that receiving the header of a call may take; calls come from slower machines than open traffic may.
HEADER_MS = 10000
HEADER_BYTES = 16384
# What a byte of a body costs in memory while the call is parsed and carried out.
PARSED_COST = 4


class BoundedRequest(early_refusal.EarlyRefusal, server.Request):
    """A call whose body is held in memory, and counted while it arrives and while the call is carried out."""

    # Twisted would parse the bodies of forms.
    _parsePOSTFormSubmission = False

    def __init__(self, channel: typing.Any, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(channel, *args, **options)
        self.holding = byte_account.Holding(channel.site.clients.account)

    def handleContentChunk(self, data: bytes) -> None:
        """Buffer a chunk of the body, or refuse the call if there is no room for it."""
        if not self.holding.grow(PARSED_COST * len(data)):
            self.channel.refuse(503)
        if not self.channel.is_refused:
            super().handleContentChunk(data)

    def held_bytes(self) -> int:
        """Return how many bytes are held for the body."""
        return self.holding.size

    def release_body(self) -> None:
        """Drop the body."""
        self.content = io.BytesIO()
        self.holding.release()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Handle the complete call, unless it was refused."""
        if not self.channel.is_refused:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason: failure.Failure) -> None:
        """Give back what was held for a client that disconnected."""
        super().connectionLost(reason)
        self.holding.release()

    def finish(self) -> None:
        """End the response."""
        super().finish()
        self.holding.release()


class PendingCall(typing.NamedTuple):
    """An API call whose response is outstanding."""

    request: server.Request
    # Translates the response into the dialect of the client; None if it is sent unchanged.
    translate: Translate | None


class ApiResource(resource.Resource):
    """Feeds every API call to the state machine as one input, and sends the response that it returns."""

    isLeaf = True

    def __init__(self, host: 'transport_host.Host') -> None:
        super().__init__()
        self.host = host
        self.last_call_id = 0
        # {call id: a call whose response is outstanding}.
        self.pending: dict[int, PendingCall] = {}

    def render(self, request: BoundedRequest) -> bytes | int:
        """Refuse a body above the limit, serve the metrics page, or feed the call to the state machine."""
        if request.received_bytes > request.body_limit_bytes:
            request.setResponseCode(413)
            request.setHeader('content-type', 'application/json')
            request.setHeader('zt-outcome', 'not-run')
            return b'{"outcome": "not-run", "fault": "body is above the bound"}'
        if request.method == b'GET' and request.path == METRICS_PATH:
            content_type, text = metrics_page.page(self.host)
            write_response(request, 200, {'content-type': content_type}, text)
            return server.NOT_DONE_YET
        self.submit(request, http_request_of(request))
        return server.NOT_DONE_YET

    def submit(self, request: server.Request, call: effects.HttpRequest, translate: Translate | None = None) -> None:
        """Feed a call to the state machine; its response is sent as `translate` returns it, or unchanged without one."""
        self.last_call_id += 1
        call_id = self.last_call_id
        self.pending[call_id] = PendingCall(request, translate)
        request.notifyFinish().addErrback(self.disconnected, call_id)
        self.host.feed('http', call_id, call)

    def disconnected(self, reason: failure.Failure, call_id: int) -> None:
        """Notify the state machine that a client disconnected before it got its response."""
        if self.pending.pop(call_id, None) is not None:
            self.host.feed('hung_up', call_id)

    def respond(self, response: effects.HttpResponse) -> None:
        """Send the response of the state machine, if its client is still connected."""
        call = self.pending.pop(response.request_id, None)
        if call is None:
            return
        if call.translate is not None:
            response = call.translate(response)
        write_response(call.request, response.status, response.headers, response.body)


class DialectResource(resource.Resource):
    """The API on an address where clients use the host's dialect."""

    isLeaf = True

    def __init__(self, host: 'transport_host.Host', addr: str) -> None:
        super().__init__()
        self.host = host
        self.addr = addr

    def render(self, request: BoundedRequest) -> bytes | int:
        """Translate the call and feed it to the state machine, or send the response that the dialect returned."""
        dialect = self.host.dialect
        if request.received_bytes > request.body_limit_bytes:
            write_response(request, 413, {}, b'')
            return server.NOT_DONE_YET
        translated = dialect.api_request_in(http_request_of(request))
        if isinstance(translated, effects.HttpResponse):
            write_response(request, translated.status, translated.headers, translated.body)
        else:
            call, context = translated
            self.host.api.submit(request, call, lambda response: dialect.api_response_out(context, response))
        return server.NOT_DONE_YET


def http_request_of(request: server.Request) -> effects.HttpRequest:
    """Convert a twisted.web request to the effects.HttpRequest that state machines take."""
    headers = {
        name.decode('latin-1').lower(): b','.join(values).decode('latin-1')
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
    assert request.content is not None
    return effects.HttpRequest(
        request.method.decode('latin-1'), request.uri.decode('latin-1'), headers, request.content.read()
    )


def write_response(request: server.Request, status: int, headers: dict[str, str], body: bytes) -> None:
    """Send a complete response; instead of a long one for which there is no room, 503 to a call that only reads."""
    long_body = None
    channel: typing.Any = request.channel
    if len(body) > byte_account.SMALL_BYTES and request.method != b'HEAD':
        long_body = payload.Payload.from_bytes(channel.site.clients.account, body)
        if long_body is None and request.method == b'GET':
            status, headers, body = 503, {'retry-after': client_channel.RETRY_AFTER.decode()}, b''
    request.setResponseCode(status)
    for name, value in headers.items():
        request.setHeader(name, value)
    request.setHeader('content-length', str(len(body)))
    if long_body is not None:
        channel.send_payload(request, long_body)
        return
    if request.method != b'HEAD':
        request.write(body)
    request.finish()


class ApiConnection(client_channel.ClientChannel):
    """One connection of a client of the API."""


class ApiSite(server.Site):
    """A listener of the API, without Twisted's access log; requests are logged by sampling (request_sampling.py)."""

    noisy = False
    protocol: typing.Any = ApiConnection

    def __init__(
        self,
        root: resource.Resource,
        body_limit_bytes: int,
        reactor: twisted_types.Reactor,
        clients: client_connections.ClientConnections | None,
    ) -> None:
        """
        :param clients: the connections of all listeners of the process; by default this listener is the only one, and
            enforces its time limits itself.
        """
        # Twisted's own timeout is off: the sweep of the connections applies the limits.
        no_timeout: typing.Any = None
        super().__init__(root, reactor=reactor, timeout=no_timeout)
        self.clients = clients or client_connections.default_connections(reactor)
        self.sweep = client_connections.Sweep(self.clients) if clients is None else None
        self.limits = effects.Limits(HEADER_BYTES, body_limit_bytes, HEADER_MS, 1000 * IDLE_S)
        bounded = type('Bounded', (BoundedRequest,), {'body_limit_bytes': body_limit_bytes})
        self.requestFactory = typing.cast(type[server.Request], bounded)

    def buildProtocol(self, addr: interfaces.IAddress | None) -> typing.Any:
        """Return the protocol of a new connection."""
        connection: typing.Any = super().buildProtocol(addr)
        connection.totalHeadersSize = connection.MAX_LENGTH = self.limits.header_bytes
        return connection

    def startFactory(self) -> None:
        """Begin to enforce time limits."""
        super().startFactory()
        if self.sweep is not None:
            self.sweep.start()

    def stopFactory(self) -> None:
        """End the enforcement of time limits."""
        super().stopFactory()
        if self.sweep is not None:
            self.sweep.stop()

    def log(self, request: http.Request) -> None:
        """Log nothing."""


def make_site(
    root: resource.Resource,
    body_limit_bytes: int,
    reactor: twisted_types.Reactor,
    clients: client_connections.ClientConnections | None = None,
) -> server.Site:
    """Return a listener's factory that serves `root` and limits the bodies of its requests."""
    return ApiSite(root, body_limit_bytes, reactor, clients)
