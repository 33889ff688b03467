"""A real proxy between raw-socket clients and raw-socket endpoints, on loopback.

Each endpoint records which requests it ran and with which status; the checks
compare that with the responses of the clients.
"""

import collections
import collections.abc
import random

import twisted.internet.protocol as protocol
import twisted.internet.reactor as reactor

import features.support.endpoint_actions as endpoint_actions
import features.support.raw_client as raw_client
import features.support.reactor_thread as reactor_thread
import zinctrail.consensus.node_location as node_location
import zinctrail.proxy.node as proxy_node
import zinctrail.proxy.retry_budget as retry_budget
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.transport.clock as clock
import zinctrail.transport.dialect as dialect
import zinctrail.transport.host as host
import zinctrail.transport.open_traffic_server as open_traffic_server

ms = durations.ms
RULE_MS = 600
MAX_ATTEMPTS = 2
POOL = {'name': 's', 'version': 1, 'health': '/health', 'connections': 100, 'cold_s': 3, 'cold_per_s': 6}


def rule_row(name: str) -> dict:
    """Return the rule whose name is also its host; requests of `once` run at most once."""
    return {
        'name': name,
        'version': 1,
        'host': name,
        'prefix': '/',
        'once': name == 'once',
        'timeout_ms': RULE_MS,
        'aim_ms': RULE_MS // 2,
        'rank': 0,
        'attempts': MAX_ATTEMPTS,
        'pool': 's',
    }


class ScriptedEndpointConnection(protocol.Protocol):
    """One connection of a scripted endpoint."""

    def __init__(self, loopback, incarnation):
        self.loopback, self.incarnation, self.data = loopback, incarnation, b''

    def dataReceived(self, data):
        """Perform an action for each request whose headers are complete."""
        self.data += data
        while b'\r\n\r\n' in self.data:
            head, _, self.data = self.data.partition(b'\r\n\r\n')
            request_id = head.lower().split(b'zt-id: ')[1].split(b'\r\n')[0]
            self.perform(request_id, self.loopback.choose_action(request_id))

    def perform(self, request_id: bytes, action: endpoint_actions.EndpointAction) -> None:
        """Record and perform an action for a request."""
        loopback = self.loopback
        loopback.arrived[request_id].append(self.incarnation)
        if action.runs:
            loopback.ran[request_id].append(self.incarnation)
        if action.status:
            loopback.given_statuses[request_id].add(action.status)
        if action.writes:
            self.transport.write(action.writes)
        if action.ends == 'close':
            self.transport.loseConnection()
        elif action.ends == 'reset':
            self.transport.abortConnection()


class LoopbackProxy:
    """A proxy on loopback with its endpoints, and records of what endpoints executed and clients received."""

    def __init__(self, endpoint_count: int, seed: int = 1):
        self.arrived = collections.defaultdict(list)
        self.ran = collections.defaultdict(list)
        self.given_statuses = collections.defaultdict(set)
        self.responses = {}
        self.kinds = {}
        # Actions for the next requests in the order of their arrival; later ones are served.
        self.script = []
        self.rng = random.Random(seed)
        self.choose_action = self.next_scripted_action
        reactor_thread.call(self.open, endpoint_count, seed)

    def next_scripted_action(self, request_id: bytes) -> endpoint_actions.EndpointAction:
        """Return the scripted action for the next request, or serve it if the script is over."""
        action = self.script.pop(0) if self.script else endpoint_actions.serve
        return action(request_id)

    def act_at_random(self, request_id: bytes) -> endpoint_actions.EndpointAction:
        """Return a random action of the table, or a random mixture of responses cut at a random byte."""
        if self.rng.random() < 0.4:
            return endpoint_actions.serve(request_id)
        if self.rng.random() < 0.5:
            name = self.rng.choice(sorted(endpoint_actions.ACTIONS))
            return endpoint_actions.ACTIONS[name](request_id)
        responses = endpoint_actions.random_responses(self.rng, request_id, self.kinds)
        text = b''.join(responses)
        if self.rng.random() < 0.5:
            text = text[: self.rng.randrange(len(text) + 1)]
        action = endpoint_actions.EndpointAction(True, text, self.rng.choice(('', 'close', 'reset')))
        # It may have given any of these statuses; which response arrives complete depends on the cut.
        self.given_statuses[request_id] |= endpoint_actions.statuses_in(responses, request_id)
        return action

    def open(self, endpoint_count: int, seed: int) -> None:
        """Start the proxy and its endpoints; runs on the reactor's thread."""
        machine = proxy_node.Proxy(
            node_location.NodeLocation('127.0.0.1:1', '127.0.0.1:2', 'r/c', [], '127.0.0.1:3'),
            settings.Settings(),
            random.Random(seed),
        )
        self.machine = machine
        machine.now = clock.now()
        # The only proxy, and known for a minute, so that the shared retry budget grants it the whole allowance.
        machine.retry_budgets.proxy_counts = retry_budget.ProxyCountHistory(machine.settings, machine.now - ms(60000))
        machine.lease_until = machine.now + ms(10**9)
        rows = [['members', 'm', dict(machine.member_row(), level=1)]]
        rows += [self.listen_as(f'e{index}') for index in range(endpoint_count)]
        rows += [['items', f'rules/{name}', {'v': 1, 'row': rule_row(name)}] for name in ('once', 'often')]
        rows.append(['items', 'pools/s', {'v': 1, 'row': POOL}])
        machine.replica.accept((1, 1), rows=rows)
        machine.replica.commit((1, 1))
        machine.applied(rows)
        machine.out.clear()
        self.host = host.Host(machine, reactor)
        self.host.open_server = open_traffic_server.OpenTrafficServer(self.host, dialect.NativeDialect(), reactor)
        self.host.open_server.listen(0, '127.0.0.1')
        self.port = self.host.open_server.port.getHost().port

    def listen_as(self, incarnation: str) -> list:
        """Start a scripted endpoint; return its row."""
        factory = protocol.ServerFactory()
        factory.buildProtocol = lambda address: ScriptedEndpointConnection(self, incarnation)
        port = reactor.listenTCP(0, factory, interface='127.0.0.1')
        row = {
            'addr': f'127.0.0.1:{port.getHost().port}',
            'service': 's',
            'cell': 'r/c',
            'labels': {},
            'slots': 100,
            'state': 'ready',
            'cold': 0,
        }
        return ['endpoints', incarnation, row]

    # -- clients ----------------------------------------------------------

    def send(self, kind: str, left: int | None = None) -> tuple[bytes, raw_client.RawClient]:
        """Send a request over a connection of its own; return (its id, the connection)."""
        request_id = b'id%d' % (len(self.kinds) + 1)
        self.kinds[request_id] = kind
        client = raw_client.RawClient(self.port)
        left_ms = b'zt-left-ms: %d\r\n' % left if left else b''
        client.send(
            b'GET /a HTTP/1.1\r\nHost: %s\r\nzt-id: %s\r\n%sConnection: close\r\n\r\n'
            % (kind.encode(), request_id, left_ms)
        )
        return request_id, client

    def receive(self, request_id: bytes, client: raw_client.RawClient) -> 'ClientResponse':
        """Wait for the response to a request."""
        self.responses[request_id] = ClientResponse(client.read())
        client.socket.close()
        return self.responses[request_id]

    def request(self, kind: str, left: int | None = None) -> bytes:
        """Send a request and wait for its response; return its id."""
        request_id, client = self.send(kind, left)
        self.receive(request_id, client)
        return request_id

    # -- checks -----------------------------------------------------------

    def violations(self) -> list[str]:
        """Return a description of each guarantee about calls that is violated."""
        return [text for request_id in self.responses for text in self.violations_of(request_id)]

    def violations_of(self, request_id: bytes) -> collections.abc.Iterator[str]:
        """Yield a description of each guarantee that was violated for a request."""
        response, ran, kind = self.responses[request_id], self.ran[request_id], self.kinds[request_id]
        if kind == 'once' and len(ran) > 1:
            yield f'{request_id}: ran {len(ran)} times'
        if kind == 'once' and response.status in endpoint_actions.NOT_RUN_STATUSES and ran:
            yield f'{request_id}: got {response.status}, and it ran'
        if len(set(self.arrived[request_id])) > MAX_ATTEMPTS:
            yield f'{request_id}: sent to {self.arrived[request_id]}'
        if response.stamp is not None:
            if response.stamp != b'stamp-' + request_id or response.body != b'body of ' + request_id:
                yield f'{request_id}: got the response of another, {response}'
            if response.status not in self.given_statuses[request_id]:
                yield f'{request_id}: stamped with {response.status}, given {self.given_statuses[request_id]}'
        elif 200 <= response.status < 300:
            yield f'{request_id}: a success without a stamp'


class ClientResponse:
    """A response that a client received; raises AssertionError if it is incomplete."""

    def __init__(self, data: bytes):
        head, _, self.body = data.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.status = int(lines[0].split()[1])
        headers = dict(line.lower().split(b': ', 1) for line in lines[1:])
        self.stamp = headers.get(b'zt-stamp')
        assert len(self.body) == int(headers[b'content-length']), data
