"""The library that an endpoint links: it serves requests that proxies send, and sends heartbeats.

  server = endpoint.Endpoint(reactor, '127.0.0.1:8001', 'loans', 'accra/a', 4, handler, directories)
  server.start()

handler(method, path, headers, body) returns (status, body) or a Deferred of it.
"""

import datetime
import json
import typing

import twisted.internet.defer as defer
import twisted.internet.task as task
import twisted.internet.tcp as tcp
import twisted.python.failure as failure
import twisted.web.resource as resource
import twisted.web.server as server
from absl import logging

import zinctrail.client.admission as admission
import zinctrail.runtime.durations as durations
import zinctrail.transport.http_client as http_client
import zinctrail.transport.peer_connections as peer_connections
import zinctrail.transport.twisted_types as twisted_types
import zinctrail.transport.web as web

HEARTBEAT_TIMEOUT = durations.ms(1500)
BODY_LIMIT_BYTES = 1 << 20
# How often a draining endpoint checks whether its last request has ended.
DRAIN_POLL_SECONDS = 0.05

# What a handler returns: the HTTP status and the body.
HandlerResult = tuple[int, bytes]
# Called with the method, the path, the headers by name in lower case, and the body; it returns a HandlerResult or a
# Deferred of it.
Handler = typing.Callable[[str, str, dict[str, str], bytes], typing.Any]


class Endpoint:
    """An endpoint: listens on a port, and sends heartbeats to any directory that responds."""

    def __init__(
        self,
        reactor: twisted_types.Reactor,
        address: str,
        service: str,
        zone: str,
        slots: int,
        handler: Handler,
        directories: list[str],
        labels: dict[str, str] | None = None,
        heartbeat_interval: datetime.timedelta = durations.ms(2000),
    ):
        self.reactor = reactor
        self.admission = admission.Admission(address, service, zone, slots, labels)
        self.handler = handler
        # The directory that responded last comes first.
        self.directories = list(directories)
        self.heartbeat_interval = heartbeat_interval
        self.fetcher = http_client.HttpClient(reactor)
        self.heartbeats = task.LoopingCall(self.send_heartbeat)
        self.heartbeats.clock = reactor
        # The listening port; None before `start`.
        self.port: tcp.Port | None = None

    def start(self) -> None:
        """Start to listen and to send heartbeats."""
        host, port = peer_connections.split_address(self.admission.address)
        site = web.make_site(RequestResource(self), BODY_LIMIT_BYTES, self.reactor)
        self.port = self.reactor.listenTCP(port, site, interface=host)
        self.heartbeats.start(self.heartbeat_interval.total_seconds())

    @defer.inlineCallbacks
    def send_heartbeat(self) -> twisted_types.DeferredGenerator[None]:
        """Send a heartbeat with the current state to the first directory that accepts it."""
        body = json.dumps(self.admission.heartbeat()).encode()
        for _ in range(len(self.directories)):
            response = yield self.fetcher.fetch(
                'dir',
                self.directories[0],
                'POST',
                '/v1/beat',
                {'content-type': 'application/json'},
                body,
                HEARTBEAT_TIMEOUT,
            )
            if response.status == 410:
                # An incarnation that the control plane removed never comes back, so this process begins a new one.
                logging.warning(
                    'endpoint: incarnation %s was removed by the control plane; continuing with a new incarnation.',
                    self.admission.incarnation,
                )
                self.admission.start_incarnation()
                body = json.dumps(self.admission.heartbeat()).encode()
            elif response.status == 400:
                logging.error('endpoint: heartbeat refused: %s', response.body.decode('utf-8', 'replace'))
            if response.status in (200, 400):
                return
            # The next directory is tried: a failure of one directory must not lead to the endpoint's removal.
            self.directories.append(self.directories.pop(0))

    def set_state(self, state: str) -> defer.Deferred[None]:
        """Change the state to 'ready', 'draining' (finishes requests) or 'leaving' (refuses all); report it at once."""
        self.admission.state = state
        return self.send_heartbeat()

    def set_cold(self, cold: float) -> None:
        """Set the remaining fraction of the warm-up, from 1 to 0; reported with the next heartbeat."""
        self.admission.cold = cold

    def crash(self) -> defer.Deferred[None]:
        """Stop at once without reporting it, as in a crash; a later `start` runs a new incarnation."""
        if self.heartbeats.running:
            self.heartbeats.stop()
        self.admission.start_incarnation()
        return self._stop_listening()

    @defer.inlineCallbacks
    def shut_down(self) -> twisted_types.DeferredGenerator[None]:
        """Shut down gracefully: drain, wait for running requests, report the state 'leaving', stop listening."""
        yield self.set_state('draining')
        while self.admission.running:
            yield task.deferLater(self.reactor, DRAIN_POLL_SECONDS)
        yield self.set_state('leaving')
        if self.heartbeats.running:
            self.heartbeats.stop()
        yield self._stop_listening()

    def _stop_listening(self) -> defer.Deferred[None]:
        assert self.port is not None
        return self.port.stopListening()


class RequestResource(resource.Resource):
    """The HTTP resource of an endpoint: every path except /zt/live goes to the handler."""

    isLeaf = True

    def __init__(self, endpoint: Endpoint):
        super().__init__()
        self.endpoint = endpoint

    def render(self, request: server.Request) -> int:
        """Refuse a request, or run the handler and write its sealed response."""
        headers = {
            name.decode('latin-1').lower(): values[0].decode('latin-1')
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        if request.path == b'/zt/live':
            web.write_response(request, *self.endpoint.admission.liveness())
            return server.NOT_DONE_YET
        refusal = self.endpoint.admission.admit(headers)
        if refusal is not None:
            web.write_response(request, *refusal)
            return server.NOT_DONE_YET
        self._run_handler(request, headers)
        return server.NOT_DONE_YET

    def _run_handler(self, request: server.Request, headers: dict[str, str]) -> None:
        disconnections: list[failure.Failure] = []
        request.notifyFinish().addErrback(disconnections.append)
        incarnation = self.endpoint.admission.incarnation
        assert request.content is not None
        body = request.content.read()
        handled = defer.maybeDeferred(
            self.endpoint.handler,
            request.method.decode('latin-1'),
            request.uri.decode('latin-1'),
            headers,
            body,
        )

        def handler_failed(reason: failure.Failure) -> HandlerResult:
            logging.error('endpoint: handler failed: %s', reason.getTraceback())
            return 500, b'{"fault": "handler broke"}'

        def respond(result: HandlerResult) -> None:
            status, body = result
            response = self.endpoint.admission.seal_response(headers, status, body)
            if disconnections:
                return
            if incarnation == self.endpoint.admission.incarnation:
                web.write_response(request, *response)
            else:
                # The sealed response would name the new incarnation, which did not run the request.
                request.loseConnection()

        handled.addErrback(handler_failed).addCallback(respond)
