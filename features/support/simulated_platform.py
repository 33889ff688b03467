"""A simulated cluster in virtual time, called through the adapter as the platform calls it."""

import json
import typing

import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents
import features.support.repository as repository
import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.world as world

CONTROL_NODES = 3
PROXIES = 2
START_LIMIT = durations.ms(30000)
# Tables that change without any call.
VOLATILE_TABLES = ('meta', 'members')


class SimulatedPlatform:
    """Three control nodes and two proxies of a simulated world, called through the adapter."""

    def __init__(self, seed: int = 1):
        self.world = world.World(seed)
        self.dialect = repository.translation.PlatformDialect(platform_documents.ZONES)
        zones = [f'{region}/{zone}' for zone, region in platform_documents.ZONES.items()]
        for index in range(CONTROL_NODES):
            self.world.add(f'core{index}', 'core', zones[index]).location.directory = True
        for index in range(PROXIES):
            self.world.add(f'prox{index}', 'prox', zones[index]).location.front = f'10.1.0.{index}:8641'
        for node in self.world.nodes.values():
            node.location.seeds = [control_node.location.addr for control_node in self.world.of('core')]
            node.start()
        if not self.world.run(START_LIMIT, self.is_ready):
            raise RuntimeError('the simulated platform did not become ready')

    def is_ready(self) -> bool:
        """Return True if there is a leader and every proxy holds a lease."""
        return bool(self.world.leader() and all(node.machine.has_lease() for node in self.world.of('prox')))

    def send(self, method: str, path: str, document: typing.Any = None, raw: bytes | None = None, node=None) -> list:
        """Send a call without waiting; the response is appended to the returned list."""
        node = node or self.world.of('core')[0]
        body = raw if raw is not None else b'' if document is None else json.dumps(document).encode()
        responses = []
        translated = self.dialect.api_request_in(effects.HttpRequest(method, path, {'host': 'x'}, body))
        if isinstance(translated, effects.HttpResponse):
            responses.append(http_calls.Response(translated.status, translated.headers, translated.body))
            return responses
        call, token = translated

        def respond(result):
            own = effects.HttpResponse(None, result.status, result.headers, result.body)
            response = self.dialect.api_response_out(token, own)
            responses.append(http_calls.Response(response.status, response.headers, response.body))

        node.call(call, respond)
        return responses

    def call(
        self, method: str, path: str, document: typing.Any = None, timeout_ms: int = 9000, **options
    ) -> http_calls.Response:
        """Send a call and return its response."""
        responses = self.send(method, path, document, **options)
        if not self.world.run(durations.ms(timeout_ms), lambda: bool(responses)):
            raise RuntimeError(f'{method} {path}: no response')
        return responses[0]

    def leading_replica(self) -> replica.Replica:
        """Return the replica of the leader."""
        leader = self.world.leader()
        assert leader is not None, 'no control node is the leader'
        return leader.machine.replica

    def state(self) -> str:
        """Return the replicated state as JSON, without the tables that change without any call."""
        tables = self.leading_replica().tables
        return json.dumps({name: rows for name, rows in tables.items() if name not in VOLATILE_TABLES}, sort_keys=True)

    def endpoints(self) -> dict[str, typing.Any]:
        """Return the endpoint rows in the replica of the leader."""
        return self.leading_replica().get('endpoints')
