"""An operator: reads, changes and applies the configuration, as zinctrailctl does."""

import copy
import datetime
import json
import typing

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.node as simulated_node

if typing.TYPE_CHECKING:
    import zinctrail.simulation.actors.deployment as client_deployment

ms = durations.ms

READ_TIMEOUT = ms(4000)
APPLY_TIMEOUT = ms(3000)
STATUS_TIMEOUT = ms(2000)
RETRY_AFTER = ms(200)
# How often an apply without a known result is sent, with its id.
APPLY_ATTEMPTS = 4
# Statuses that leave open whether an apply took effect.
UNKNOWN = (0, 503, 504)


def ignore(*args) -> None:
    """A callback for whoever needs no answer."""


class Operator:
    """Changes the configuration over HTTP; callbacks take (status or 0, document)."""

    def __init__(self, deployment: 'client_deployment.Deployment', name: str = 'op') -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name

    def ask(
        self,
        method: str,
        path: str,
        body: dict | None,
        callback: typing.Callable[[int, dict], typing.Any],
        wait: datetime.timedelta = ms(9000),
        node: simulated_node.Node | None = None,
    ) -> None:
        """Call a node that follows a leader, or the one given."""
        nodes = [node for node in self.world.of('dir') + self.world.of('core') if node.up and node.machine.leader]
        node = node or self.world.rng.choice(nodes or self.world.of('dir'))
        raw = json.dumps(body).encode() if body else b''
        deferred = self.world.fetch(self.name, node.location.http, method, path, {}, raw, wait)

        def answered(result: effects.HttpResult) -> None:
            """Pass on the status, and the body as a document if it is one."""
            try:
                document = json.loads(result.body) if result.body else {}
            except ValueError:
                document = {}
            callback(result.status, document)

        deferred.addCallback(answered)

    def read(self, callback: typing.Callable[[dict | None], typing.Any] = ignore) -> None:
        """Read the configuration back; the callback takes the document, or None."""
        sent_at = self.world.now

        def answered(status: int, document: dict) -> None:
            """Note what was read, and pass it on."""
            if status == 200:
                self.deployment.records.reads.append(
                    actor_records.Read(sent_at, self.world.now, document['generation'], document['config'])
                )
            callback(document if status == 200 else None)

        self.ask('GET', '/v1/config', None, answered, READ_TIMEOUT)

    def apply(
        self,
        config: dict,
        base: int,
        callback: typing.Callable[[int, dict], typing.Any] = ignore,
        wait: bool = False,
    ) -> None:
        """Apply a configuration, and send it again with its id while its result is not known."""
        sent_at = self.world.now
        left = APPLY_ATTEMPTS
        epoch = max(node.machine.replica.get('meta', 'epoch') or 0 for node in self.world.of('dir') if node.machine)
        body = {'config': config, 'base': base, 'wait': wait, 'id': f'{epoch}.{self.world.rng.getrandbits(64):x}'}

        def answered(status: int, document: dict) -> None:
            """Send again what has no known result, and note the result at the end."""
            nonlocal left
            left -= 1
            if status in UNKNOWN and left:
                self.world.after(RETRY_AFTER, self.ask, 'PUT', '/v1/config', body, answered, APPLY_TIMEOUT)
                return
            self.deployment.records.applies.append(
                actor_records.Apply(sent_at, self.world.now, status, base, document.get('generation'), config)
            )
            callback(status, document)

        self.ask('PUT', '/v1/config', body, answered, APPLY_TIMEOUT)

    def change(
        self,
        function: typing.Callable[[dict], typing.Any],
        callback: typing.Callable[[int, dict], typing.Any] = ignore,
        attempts: int = 20,
        wait: bool = False,
    ) -> None:
        """Read the configuration, change it by function(config) and apply it; on a conflict or a fault, all over."""

        def have_read(document: dict | None) -> None:
            """Apply the changed configuration on the version that was read."""
            if document is None:
                again(0, {})
                return
            config = copy.deepcopy(document['config'])
            function(config)
            self.apply(config, document['generation'], applied, wait)

        def applied(status: int, document: dict) -> None:
            """Pass on a success, and begin again after anything else."""
            if status == 200:
                callback(status, document)
            else:
                again(status, document)

        def again(status: int, document: dict) -> None:
            """Begin again, unless the change is invalid or no attempts are left."""
            if attempts > 1 and status != 400:
                self.world.after(RETRY_AFTER, self.change, function, callback, attempts - 1, wait)
            else:
                callback(status, document)

        self.read(have_read)

    def watch_status(self, seen: set[str] | None = None, every: datetime.timedelta = ms(500)) -> None:
        """Watch the status page for endpoints that are no longer listed."""
        seen = set() if seen is None else seen

        def answered(status: int, document: dict) -> None:
            """Note which endpoints are no longer listed, and look again later."""
            if status == 200:
                listed = set(document['state']['endpoints'])
                for incarnation in seen - listed:
                    self.deployment.records.gone.setdefault(incarnation, self.world.now)
                seen.update(listed)
            self.world.after(every, self.watch_status, seen)

        self.ask('GET', '/v1/status', None, answered, STATUS_TIMEOUT)

    def evacuate(self, cell: str, is_evacuated: bool = True) -> None:
        """Evacuate a cell, or take it back."""
        sent_at = self.world.now

        def set_evacuated(config: dict) -> None:
            """Change the evacuation of the zone in a configuration."""
            nonlocal sent_at
            # The time counts from the change itself: reading first is the client's own affair.
            sent_at = self.world.now
            config['cells'].setdefault(cell, {}).update(evacuated=is_evacuated)

        def changed(status: int, document: dict) -> None:
            """Note the order once it is acknowledged."""
            if status == 200:
                self.deployment.records.evacuations.append(
                    actor_records.Evacuation(sent_at, self.world.now, cell, is_evacuated)
                )

        self.change(set_evacuated, changed)
