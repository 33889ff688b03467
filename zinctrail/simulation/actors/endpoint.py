"""A simulated endpoint, with or without the zinctrail library for endpoints."""

import datetime
import json
import typing

import zinctrail.client.admission as admission
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.node as simulated_node

if typing.TYPE_CHECKING:
    import zinctrail.simulation.actors.deployment as client_deployment

ms = durations.ms

# The minimum and maximum time that an endpoint works on a request, in ms.
DEFAULT_WORK_MS = (2, 20)
HEARTBEAT_TIMEOUT = ms(1500)
HEARTBEAT_RETRY = ms(100)
# The share of heartbeats that go to a directory in the endpoint's zone.
SAME_ZONE_SHARE = 0.8
# Most responses are successes; some are the endpoint's own errors, which are passed on like any other response.
STATUSES = (200, 404, 500)
STATUS_WEIGHTS = (96, 3, 1)


class PlainAdmission(admission.Admission):
    """Implements only docs/interface.md, without the library's admission: it refuses and remembers no requests."""

    def admit(self, headers: dict[str, str]) -> None:
        """Admit every request."""
        self.running += 1
        return None


class Endpoint:
    """A server of one service at one address; each start is a new incarnation."""

    def __init__(
        self,
        deployment: 'client_deployment.Deployment',
        name: str,
        address: str,
        service: str,
        zone: str,
        slots: int = 8,
        labels: dict[str, str] | None = None,
        sends_heartbeats: bool = True,
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.slots = slots
        self.labels = labels
        self.sends_heartbeats = sends_heartbeats
        self.up = False
        # Counts starts and ends; the incarnation's id is in the admission.
        self.incarnation = 0
        self.work_ms = DEFAULT_WORK_MS
        # The share of the warm-up that remains at the start, from 0 (warm) to 1, and the length of the full warm-up.
        self.initial_warm_up = 0.0
        self.warm_up_time: datetime.timedelta | None = None
        # The probabilities of a lost, garbled, truncated or misrouted response.
        self.loss_chance = self.garbling_chance = self.truncation_chance = self.misrouting_chance = 0.0
        # Whether it responds to each request, after the usual work time, that the request did not run.
        self.refuses_all = False
        self.last_body = b''

    # -- lifecycle -----------------------------------------------------------------

    def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
        self.up = True
        kind = PlainAdmission if self.deployment.plain else admission.Admission
        self.admission = kind(self.address, self.service, self.zone, self.slots, self.labels, self.world.rng)
        self.admission.cold = self.initial_warm_up
        self.incarnations = {self.admission.incarnation}
        self.running = 0
        self.started_at = self.world.now
        self.world.endpoints[self.address] = self
        self.send_heartbeat(self.incarnation)

    def kill(self) -> None:
        """End at once, without deregistering."""
        self.up = False
        self.incarnation += 1
        if self.world.endpoints.get(self.address) is self:
            del self.world.endpoints[self.address]

    def set_state(self, state: str) -> None:
        """Announce the state ready, draining or leaving in an immediate heartbeat."""
        self.admission.state = state
        self.send_heartbeat(self.incarnation, once=True)

    def warm_up(self) -> None:
        """Set the admission's remaining share of the warm-up, which falls linearly with time."""
        if self.warm_up_time:
            remaining = 1 - (self.world.now - self.started_at) / self.warm_up_time
            self.admission.cold = max(0.0, min(1.0, self.initial_warm_up * remaining))

    def send_heartbeat(self, incarnation: int, once: bool = False) -> None:
        """Send a heartbeat, and schedule the next unless `once`; a failed one is retried soon."""
        if incarnation != self.incarnation or not self.sends_heartbeats:
            return
        self.warm_up()
        body = self.admission.heartbeat()
        sent_at = self.world.now
        deferred = self.world.fetch(
            self.name,
            self.pick_directory().location.http,
            'POST',
            '/v1/beat',
            {},
            json.dumps(body).encode(),
            HEARTBEAT_TIMEOUT,
        )
        deferred.addCallback(self.on_heartbeat_response, incarnation, sent_at, body)
        if not once:
            self.world.after(self.world.settings.beat, self.send_heartbeat, incarnation)

    def pick_directory(self) -> simulated_node.Node:
        """Return a random directory, usually one in the endpoint's zone."""
        rng = self.world.rng
        directories = self.world.of('dir')
        near = [node for node in directories if node.location.cell == self.zone] or directories
        return rng.choice(near if rng.random() < SAME_ZONE_SHARE else directories)

    def on_heartbeat_response(
        self, result: effects.HttpResult, incarnation: int, sent_at: datetime.timedelta, body: dict
    ) -> None:
        """Record an acknowledged state; after a 410, record the removal and begin a new incarnation."""
        if incarnation != self.incarnation:
            return
        records = self.deployment.records
        now = self.world.now
        state = body['state']
        sent_by = body['inc']
        if result.status == 200 and state != 'ready':
            records.states.append(actor_records.StateChange(now, sent_at, sent_by, state))
        if result.status == 410 and self.admission.incarnation == sent_by:
            records.removed.setdefault(sent_by, now)
            self.admission.start_incarnation()
            self.incarnations.add(self.admission.incarnation)
        if result.status != 200:
            self.world.after(HEARTBEAT_RETRY, self.send_heartbeat, incarnation, True)

    # -- requests ---------------------------------------------------------------

    def call(self, call: effects.HttpRequest, callback: typing.Callable) -> None:
        """Handle a request."""
        if call.path == '/zt/live':
            callback(effects.HttpResult(*self.admission.liveness()))
            return
        headers = call.headers
        records = self.deployment.records
        self.warm_up()
        arrival = self.arrival_of(headers)
        records.arrivals.append(arrival)
        if self.refuses_all:
            self.world.after(ms(self.work_ms[0]), self.refuse_after_work, headers, callback)
            return
        refusal = self.admission.admit(headers)
        if refusal is not None:
            callback(effects.HttpResult(*refusal))
            return
        self.running += 1
        records.runs.append(arrival)
        work = ms(self.world.rng.uniform(*self.work_ms))
        self.world.after(work, self.finish, self.incarnation, headers, callback)

    def arrival_of(self, headers: dict[str, str]) -> actor_records.Arrival:
        """Return the record of a request that arrives now."""
        return actor_records.Arrival(
            at=self.world.now,
            id=headers['zt-id'],
            attempt=int(headers['zt-attempt']),
            incarnation=self.admission.incarnation,
            target_incarnation=headers['zt-inc'],
            is_unknown_target=headers['zt-inc'] not in self.incarnations,
            address=self.address,
            service=self.service,
            zone=self.zone,
            home=[region for region in headers.get('zt-home', '').split(',') if region],
            running=self.running + 1,
            capacity=self.admission.capacity(),
            labels=self.labels or {},
        )

    def refuse_after_work(self, headers: dict[str, str], callback: typing.Callable) -> None:
        """Respond, after the usual work time, that the request did not run."""
        callback(effects.HttpResult(*self.admission.sealed(503, headers, 'not-run', b'{}')))

    def finish(self, incarnation: int, headers: dict[str, str], callback: typing.Callable) -> None:
        """Respond to a request whose work is done; lose or damage the response as the probabilities have it."""
        if incarnation != self.incarnation:
            callback(effects.HttpResult(fault='connection lost'))
            return
        self.running -= 1
        rng = self.world.rng
        document = {'id': headers['zt-id'], 'service': self.service, 'by': self.admission.incarnation}
        body = json.dumps(document).encode()
        status, sealed_headers, sealed_body = self.admission.seal_response(
            headers, rng.choices(STATUSES, STATUS_WEIGHTS)[0], body
        )
        last_body = self.last_body
        self.last_body = sealed_body
        if rng.random() < self.loss_chance:
            result = effects.HttpResult(fault='connection lost')
        elif rng.random() < self.garbling_chance:
            garbled = bytearray(sealed_body)
            garbled[rng.randrange(len(garbled))] ^= 1 << rng.randrange(7)
            result = effects.HttpResult(status, sealed_headers, bytes(garbled))
        elif rng.random() < self.truncation_chance:
            half = sealed_body[: len(sealed_body) // 2]
            result = effects.HttpResult(status, sealed_headers, half, True, 'reply cut short')
        elif last_body and rng.random() < self.misrouting_chance:
            result = effects.HttpResult(status, sealed_headers, last_body)
        else:
            result = effects.HttpResult(status, sealed_headers, sealed_body)
        callback(result)
