"""A real proxy between raw-socket clients and raw-socket endpoints, on loopback.

Every endpoint notes what it ran and what it said of it; the checks compare
that with what the clients were told.
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
    """The rule of the host of its name; `once` runs at most once."""
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

    def __init__(self, stage, incarnation):
        self.stage, self.incarnation, self.data = stage, incarnation, b''

    def dataReceived(self, data):
        """Act on each request that has come whole."""
        self.data += data
        while b'\r\n\r\n' in self.data:
            head, _, self.data = self.data.partition(b'\r\n\r\n')
            request_id = head.lower().split(b'zt-id: ')[1].split(b'\r\n')[0]
            self.perform(request_id, self.stage.choose_action(request_id))

    def perform(self, request_id: bytes, action: endpoint_actions.EndpointAction) -> None:
        """Note what is done with a request, and do it."""
        stage = self.stage
        stage.arrived[request_id].append(self.incarnation)
        if action.runs:
            stage.ran[request_id].append(self.incarnation)
        if action.status:
            stage.gave[request_id].add(action.status)
        if action.writes:
            self.transport.write(action.writes)
        if action.ends == 'close':
            self.transport.loseConnection()
        elif action.ends == 'reset':
            self.transport.abortConnection()


class Stage:
    """The proxy, its endpoints, and notes of what was run, said and told."""

    def __init__(self, endpoint_count: int, seed: int = 1):
        self.arrived = collections.defaultdict(list)
        self.ran = collections.defaultdict(list)
        self.gave = collections.defaultdict(set)
        self.told = {}
        self.kinds = {}
        # Actions for the next requests that arrive, whoever sends them; after them all are served.
        self.script = []
        self.rng = random.Random(seed)
        self.choose_action = self.next_of_script
        reactor_thread.call(self.open, endpoint_count, seed)

    def next_of_script(self, request_id: bytes) -> endpoint_actions.EndpointAction:
        """What the script says of the next request."""
        action = self.script.pop(0) if self.script else endpoint_actions.serve
        return action(request_id)

    def act_at_random(self, request_id: bytes) -> endpoint_actions.EndpointAction:
        """Any action of the table, or a random mixture of answers cut at a random byte."""
        if self.rng.random() < 0.4:
            return endpoint_actions.serve(request_id)
        if self.rng.random() < 0.5:
            name = self.rng.choice(sorted(endpoint_actions.ACTIONS))
            return endpoint_actions.ACTIONS[name](request_id)
        answers = endpoint_actions.random_answers(self.rng, request_id, self.kinds)
        text = b''.join(answers)
        if self.rng.random() < 0.5:
            text = text[: self.rng.randrange(len(text) + 1)]
        action = endpoint_actions.EndpointAction(True, text, self.rng.choice(('', 'close', 'reset')))
        # It may have given any of these statuses: which of them came whole is for the client to find out.
        self.gave[request_id] |= endpoint_actions.statuses_in(answers, request_id)
        return action

    def open(self, endpoint_count: int, seed: int) -> None:
        """Start the proxy and its endpoints; on the reactor's thread."""
        machine = proxy_node.Proxy(
            node_location.NodeLocation('127.0.0.1:1', '127.0.0.1:2', 'r/c', [], '127.0.0.1:3'),
            settings.Settings(),
            random.Random(seed),
        )
        self.machine = machine
        machine.now = clock.now()
        # Alone and long there, so that the shared bound on repeats lends it all of the allowance.
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
        """Let an endpoint listen; its row."""
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
        """A request over a connection of its own; (its id, the connection)."""
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
        self.told[request_id] = ClientResponse(client.read())
        client.socket.close()
        return self.told[request_id]

    def request(self, kind: str, left: int | None = None) -> bytes:
        """Send a request and wait for its response; its id."""
        request_id, client = self.send(kind, left)
        self.receive(request_id, client)
        return request_id

    # -- checks -----------------------------------------------------------

    def violations(self) -> list[str]:
        """Which rules of calls are broken, in words."""
        return [text for request_id in self.told for text in self.violations_of(request_id)]

    def violations_of(self, request_id: bytes) -> collections.abc.Iterator[str]:
        """Which rules are broken by what became of a request."""
        told, ran, kind = self.told[request_id], self.ran[request_id], self.kinds[request_id]
        if kind == 'once' and len(ran) > 1:
            yield f'{request_id}: ran {len(ran)} times'
        if kind == 'once' and told.status in endpoint_actions.NOT_RUN_STATUSES and ran:
            yield f'{request_id}: told {told.status}, and it ran'
        if len(set(self.arrived[request_id])) > MAX_ATTEMPTS:
            yield f'{request_id}: sent to {self.arrived[request_id]}'
        if told.stamp is not None:
            if told.stamp != b'stamp-' + request_id or told.body != b'body of ' + request_id:
                yield f'{request_id}: got the answer of another, {told}'
            if told.status not in self.gave[request_id]:
                yield f'{request_id}: stamped with {told.status}, given {self.gave[request_id]}'
        elif 200 <= told.status < 300:
            yield f'{request_id}: a success without a stamp'


class ClientResponse:
    """What a client was told; an answer that is not whole counts as none."""

    def __init__(self, data: bytes):
        head, _, self.body = data.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.status = int(lines[0].split()[1])
        headers = dict(line.lower().split(b': ', 1) for line in lines[1:])
        self.stamp = headers.get(b'zt-stamp')
        assert len(self.body) == int(headers[b'content-length']), data
