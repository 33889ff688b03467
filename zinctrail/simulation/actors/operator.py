"""An operator that reads, changes and applies the configuration, as zinctrailctl does."""

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
# The maximum number of times that an apply with an unknown result is sent, always with the same id.
APPLY_ATTEMPTS = 4
# Statuses after which it is unknown whether an apply took effect.
UNKNOWN_RESULT_STATUSES = (0, 503, 504)


def ignore(*args) -> None:
    """Do nothing: the default callback of a caller that needs no response."""


class Operator:
    """Changes the configuration over HTTP; callbacks take the status (0 without a response) and the document."""

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
        """Send a call to a random node that follows a leader, or to the given node."""
        nodes = [node for node in self.world.of('dir') + self.world.of('core') if node.up and node.machine.leader]
        node = node or self.world.rng.choice(nodes or self.world.of('dir'))
        raw = json.dumps(body).encode() if body else b''
        deferred = self.world.fetch(self.name, node.location.http, method, path, {}, raw, wait)

        def on_response(result: effects.HttpResult) -> None:
            """Pass on the status and the body's document; an empty one if the body is not JSON."""
            try:
                document = json.loads(result.body) if result.body else {}
            except ValueError:
                document = {}
            callback(result.status, document)

        deferred.addCallback(on_response)

    def read(self, callback: typing.Callable[[dict | None], typing.Any] = ignore) -> None:
        """Read the configuration back; the callback takes the document, or None."""
        sent_at = self.world.now

        def on_response(status: int, document: dict) -> None:
            """Record the configuration that was read, and pass it on."""
            if status == 200:
                self.deployment.records.reads.append(
                    actor_records.Read(sent_at, self.world.now, document['generation'], document['config'])
                )
            callback(document if status == 200 else None)

        self.ask('GET', '/v1/config', None, on_response, READ_TIMEOUT)

    def apply(
        self,
        config: dict,
        base: int,
        callback: typing.Callable[[int, dict], typing.Any] = ignore,
        wait: bool = False,
    ) -> None:
        """Apply a configuration; retry with the same id while the result is unknown."""
        sent_at = self.world.now
        remaining = APPLY_ATTEMPTS
        epoch = max(node.machine.replica.get('meta', 'epoch') or 0 for node in self.world.of('dir') if node.machine)
        body = {'config': config, 'base': base, 'wait': wait, 'id': f'{epoch}.{self.world.rng.getrandbits(64):x}'}

        def on_response(status: int, document: dict) -> None:
            """Retry while the result is unknown, and record the final result."""
            nonlocal remaining
            remaining -= 1
            if status in UNKNOWN_RESULT_STATUSES and remaining:
                self.world.after(RETRY_AFTER, self.ask, 'PUT', '/v1/config', body, on_response, APPLY_TIMEOUT)
                return
            self.deployment.records.applies.append(
                actor_records.Apply(sent_at, self.world.now, status, base, document.get('generation'), config)
            )
            callback(status, document)

        self.ask('PUT', '/v1/config', body, on_response, APPLY_TIMEOUT)

    def change(
        self,
        function: typing.Callable[[dict], typing.Any],
        callback: typing.Callable[[int, dict], typing.Any] = ignore,
        attempts: int = 20,
        wait: bool = False,
    ) -> None:
        """Read the configuration, change it by function(config), apply it; start over after a conflict or an error."""

        def on_read(document: dict | None) -> None:
            """Apply the changed configuration on top of the generation that was read."""
            if document is None:
                start_over(0, {})
                return
            config = copy.deepcopy(document['config'])
            function(config)
            self.apply(config, document['generation'], on_applied, wait)

        def on_applied(status: int, document: dict) -> None:
            """Pass on a success; start over after anything else."""
            if status == 200:
                callback(status, document)
            else:
                start_over(status, document)

        def start_over(status: int, document: dict) -> None:
            """Start over, unless the change is invalid or no attempts remain."""
            if attempts > 1 and status != 400:
                self.world.after(RETRY_AFTER, self.change, function, callback, attempts - 1, wait)
            else:
                callback(status, document)

        self.read(on_read)

    def poll_status(self, seen: set[str] | None = None, every: datetime.timedelta = ms(500)) -> None:
        """Poll the status page, and record endpoints that are no longer listed."""
        seen = set() if seen is None else seen

        def on_response(status: int, document: dict) -> None:
            """Record the endpoints that are no longer listed, and schedule the next poll."""
            if status == 200:
                listed = set(document['state']['endpoints'])
                for incarnation in seen - listed:
                    self.deployment.records.removed.setdefault(incarnation, self.world.now)
                seen.update(listed)
            self.world.after(every, self.poll_status, seen)

        self.ask('GET', '/v1/status', None, on_response, STATUS_TIMEOUT)

    def evacuate(self, zone: str, is_evacuated: bool = True) -> None:
        """Evacuate a zone, or end its evacuation."""
        sent_at = self.world.now

        def set_evacuated(config: dict) -> None:
            """Set the zone's evacuation in a configuration."""
            nonlocal sent_at
            # The time counts from the change itself: the system's time bound does not include the read before it.
            sent_at = self.world.now
            config['cells'].setdefault(zone, {}).update(evacuated=is_evacuated)

        def on_changed(status: int, document: dict) -> None:
            """Record the evacuation once it is acknowledged."""
            if status == 200:
                self.deployment.records.evacuations.append(
                    actor_records.Evacuation(sent_at, self.world.now, zone, is_evacuated)
                )

        self.change(set_evacuated, on_changed)
