"""A control node that leads as the only voter, on a real data folder, and calls of its HTTP API."""

import json
import random
import tempfile
import typing

import features.support.machine_host as machine_host
import zinctrail.consensus.storage as storage
import zinctrail.control.controller as controller
import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.documents as documents
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.process_limits as process_limits
import zinctrail.runtime.settings as settings
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as simulated_world
import zinctrail.transport.disk as transport_disk

TERM = 1
VERSION = (TERM, 1)
Document = dict[str, typing.Any]


class StoringNode(machine_host.TimedMachine):
    """A control node that leads; what it writes is stored in a folder, from which it can be restarted."""

    def __init__(self, rows: Document | None, **fields: typing.Any):
        """Start on the disk of a node that has these rows of table `items`, or empty; `fields` are settings."""
        documents.raise_recursion_limit()
        self.settings = settings.Settings(**fields)
        self.folder = tempfile.TemporaryDirectory(prefix='zt-items-')
        self.responses: dict[int, effects.HttpResponse] = {}
        # The texts of all log lines.
        self.logged: list[str] = []
        self.calls = 0
        self.disk = transport_disk.Disk(self.folder.name)
        if rows is not None:
            for name, text in self._first_files(rows).items():
                self.disk.carry_out(effects.Write(name, text))
        super().__init__(self._machine(), durations.ZERO)
        if rows is None:
            self.feed('start')
        else:
            self._lead()

    def _first_files(self, rows: Document) -> dict[str, str]:
        """Return the files of a node that has the rows in a snapshot."""
        files = machine_host.data_folder('a', ['a'], TERM, VERSION)
        name = storage.snapshot_name(VERSION)
        snapshot = storage.decode(name, files[name])
        snapshot['tables']['items'] = rows
        return {**files, name: storage.encode(snapshot)}

    def _machine(self) -> controller.Controller:
        return controller.Controller(
            machine_host.location_of('a'), self.settings, random.Random(1), transport_disk.Disk.load(self.disk)
        )

    def _lead(self) -> None:
        self.feed('start')
        self.run(3000)
        assert self.machine.mode == 'leader', self.machine.mode

    def restart(self) -> None:
        """End the process, and start it from its disk."""
        self.machine = self._machine()
        self._lead()

    def feed(self, kind: str, *arguments: typing.Any) -> None:
        """Give the machine an input, and carry out its effects."""
        inputs: list[tuple] = [(kind, arguments)]
        while inputs:
            kind, arguments = inputs.pop(0)
            for effect in self.machine.feed(kind, self.now, *arguments):
                if isinstance(effect, effects.DISK_EFFECTS):
                    self.disk.carry_out(effect)
                elif isinstance(effect, effects.NotifyDurable):
                    inputs.append(('done', (effect.name,)))
                elif isinstance(effect, effects.Log):
                    self.logged.append(effect.text)
                elif isinstance(effect, effects.HttpResponse):
                    self.responses[typing.cast(int, effect.request_id)] = effect

    def call(self, method: str, path: str, document: typing.Any = None) -> tuple[int, Document]:
        """Return (status, document) of a call."""
        self.calls += 1
        body = b'' if document is None else json.dumps(document).encode()
        self.feed('http', self.calls, effects.HttpRequest(method, path, {}, body))
        self.run(100)
        response = self.responses.pop(self.calls)
        return response.status, json.loads(response.body)

    def set_pools(self, *pools: Document) -> int:
        """Set pools; return the status."""
        return self.call('PATCH', '/v1/items', {'set': {'pools': list(pools)}})[0]

    def drop_pool(self, name: str, version: int) -> int:
        """Drop a pool; return the status."""
        return self.call('PATCH', '/v1/items', {'drop': {'pools': [{'name': name, 'version': version}]}})[0]

    def pools(self) -> dict[str, Document]:
        """Return the pools in force by name, as an operator reads them."""
        status, document = self.call('GET', '/v1/items')
        assert status == 200, status
        return {row['name']: row for row in document['items']['pools']}

    def configuration_bytes(self) -> int:
        """Return the size of the items in force."""
        status, document = self.call('GET', '/v1/items')
        assert status == 200, status
        return len(json.dumps(document['items'], separators=(',', ':')))


def memory_mb_for(configuration_bytes: int) -> int:
    """Return the memory with which the configuration may have so many bytes."""
    return round(configuration_bytes / (process_limits.CONFIGURATION_SHARE * process_limits.MEGABYTE))


class BoundedWorld:
    """A simulated deployment whose configuration may have so many bytes, and calls of its nodes."""

    def __init__(self, configuration_bytes: int):
        custom_settings = settings.Settings(memory_mb=memory_mb_for(configuration_bytes))
        self.world = simulated_world.World(1, custom_settings)
        client_deployment.Deployment(self.world, deployments.PRESETS['small']).start()
        self.http_addresses = [node.location.http for node in self.world.of('core') + self.world.of('dir')]
        self.nodes = len(self.http_addresses)

    def call(self, method: str, path: str, document: typing.Any = None, node: int = 0) -> tuple[int, Document]:
        """Return (status, document) of a call at one of the nodes."""
        results: list = []
        body = b'' if document is None else json.dumps(document).encode()
        address = self.http_addresses[node]
        deferred = self.world.fetch('operator', address, method, path, {}, body, durations.ms(10000))
        deferred.addCallback(results.append)
        assert self.world.run(durations.ms(20000), lambda: bool(results))
        return results[0].status, json.loads(results[0].body)


def nested(depth: int, innermost: typing.Any = 'end') -> typing.Any:
    """Return `depth` objects, each in the one before."""
    value = innermost
    for _ in range(depth):
        value = {'include': value}
    return value


def nested_lists(depth: int) -> typing.Any:
    """Return `depth` lists, each in the one before."""
    value: typing.Any = 'end'
    for _ in range(depth):
        value = [value]
    return value


def nested_text(depth: int) -> str:
    """Return the JSON text of `depth` objects, of any depth."""
    return '{"a":' * depth + '1' + '}' * depth
