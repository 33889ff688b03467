"""Properties of a proxy on real connections: bytes of clients and of endpoints."""

import socket
import typing

import hypothesis.strategies as st

import features.support.endpoint_actions as endpoint_actions
import features.support.net.strategies as strategies
import features.support.raw_client as raw_client
import features.support.reactor_thread as reactor_thread
import features.support.scripted_endpoints as scripted_endpoints
import zinctrail.transport.open_traffic_server as open_traffic_server
import zinctrail.transport.web as web

ENDPOINTS = 2
# An idle connection may wait; one that has sent all it will send is answered or closed.
READ_TIMEOUT_S = 10
PATIENCE_S = 0.4


class ProxyOnSockets:
    """A proxy on loopback with endpoints that answer, and a listener of its API."""

    def __init__(self) -> None:
        self.loopback = scripted_endpoints.LoopbackProxy(ENDPOINTS)
        self.api_port = reactor_thread.call(self._listen)
        self.count = 0

    def _listen(self) -> int:
        host = self.loopback.host
        site = web.make_site(host.api, 1 << 20, host.reactor, host.clients)
        return host.reactor.listenTCP(0, site, interface='127.0.0.1').getHost().port

    def next_id(self) -> bytes:
        """Return an id that no request had."""
        self.count += 1
        return b'net%d' % self.count

    def exchange(self, port: int, data: bytes) -> bytes:
        """Send bytes; return all that comes until the connection ends.

        If nothing comes for a while, since more of a request is awaited, the sending side is ended.
        """
        client = raw_client.RawClient(port)
        client.socket.settimeout(PATIENCE_S)
        try:
            client.socket.sendall(data)
            try:
                return client.read()
            except TimeoutError:
                client.socket.settimeout(READ_TIMEOUT_S)
                client.socket.shutdown(socket.SHUT_WR)
                return client.read()
        except (BrokenPipeError, ConnectionResetError):
            return b''
        except OSError as error:
            # The connection was reset before the sending side ended.
            assert not isinstance(error, TimeoutError), 'neither an answer nor a closed connection'
            return b''
        finally:
            client.socket.close()

    def assert_unharmed(self) -> None:
        """Assert that nothing is counted any more, and that ordinary requests are served."""
        machine, host = self.loopback.machine, self.loopback.host

        def is_settled() -> bool:
            channels = host.clients.channels | self.open_server.clients.channels
            return not machine.runner.requests and not host.fetches and not channels

        reactor_thread.wait_for(is_settled)
        views = machine.endpoint_selection.endpoint_views.values()
        assert not any(view.in_use for view in views), list(views)
        held = [host.clients.account.held_bytes, self.open_server.clients.account.held_bytes]
        assert held == [0, 0], held
        for _ in range(ENDPOINTS):
            request_id = self.loopback.request('often')
            assert self.loopback.responses[request_id].status == 200, self.loopback.responses[request_id].status
        assert not machine.counts['internal_errors']
        assert not host.stats['broke']

    @property
    def open_server(self) -> open_traffic_server.OpenTrafficServer:
        """The server of open traffic."""
        server = self.loopback.host.open_server
        assert server is not None
        return server


def request_text(parts: strategies.RequestParts, request_id: bytes) -> bytes:
    """Return the bytes of a request."""
    own = [(b'Host', parts.host), (b'zt-id', request_id), (b'zt-left-ms', b'100')]
    headers = [*own, *parts.headers, *parts.framing]
    lines = [b'%s %s %s' % (parts.method, parts.path, parts.version), *(b'%s: %s' % header for header in headers)]
    return b'\r\n'.join(lines) + b'\r\n\r\n' + parts.body


class Sent(typing.NamedTuple):
    """What a client sends: requests one after another, or any bytes; it may stop in the middle."""

    requests: list[strategies.RequestParts]
    raw: bytes
    share: float

    def data(self, net: ProxyOnSockets) -> bytes:
        """Return the bytes."""
        requests = [request_text(parts, net.next_id()) for parts in self.requests]
        # An ordinary request, after which the connection is closed.
        requests.append(request_text(strategies.RequestParts(headers=((b'Connection', b'close'),)), net.next_id()))
        whole = b''.join(requests) + self.raw
        return whole[: round(self.share * len(whole))]


SENT = st.builds(
    Sent,
    st.lists(strategies.REQUESTS, min_size=1, max_size=2),
    st.one_of(st.just(b''), st.binary(max_size=60)),
    st.one_of(st.just(1.0), st.just(1.0), st.integers(0, 20).map(lambda part: part / 20)),
)


def check_open_traffic(net: ProxyOnSockets, sent: Sent) -> None:
    """A client sends bytes to open traffic."""
    net.exchange(net.loopback.port, sent.data(net))
    net.assert_unharmed()


def check_api(net: ProxyOnSockets, sent: Sent) -> None:
    """A client sends bytes to the API."""
    net.exchange(net.api_port, sent.data(net))
    net.assert_unharmed()


class Answer(typing.NamedTuple):
    """What an endpoint answers."""

    status_line: bytes
    headers: list[tuple[bytes, bytes]]
    framing: tuple[tuple[bytes, bytes], ...]
    body: bytes
    has_id: bool
    ends: str

    def action(self, request_id: bytes) -> endpoint_actions.EndpointAction:
        """Return the answer to a request."""
        own = [(b'zt-id', request_id), (b'zt-stamp', b'stamp-' + request_id)] if self.has_id else []
        lines = [self.status_line, *(b'%s: %s' % header for header in [*own, *self.headers, *self.framing])]
        return endpoint_actions.EndpointAction(True, b'\r\n'.join(lines) + b'\r\n\r\n' + self.body, self.ends, 200)


ANSWERS = st.builds(
    Answer,
    strategies.STATUS_LINES,
    strategies.HEADERS,
    strategies.FRAMINGS,
    strategies.BODIES,
    st.booleans(),
    st.sampled_from(['', 'close', 'reset']),
)


def check_endpoint(net: ProxyOnSockets, answers: list[Answer]) -> None:
    """Endpoints answer a request and its retries with bytes."""
    net.loopback.script = [answer.action for answer in answers]
    request_id = net.next_id()
    client = raw_client.RawClient(net.loopback.port)
    client.send(
        b'GET /a HTTP/1.1\r\nHost: often\r\nzt-id: %s\r\nzt-left-ms: 300\r\nConnection: close\r\n\r\n' % request_id
    )
    response = client.read()
    client.socket.close()
    assert response.startswith(b'HTTP/1.1 '), response
    net.loopback.script = []
    net.assert_unharmed()
