"""An application that uses locks, numbers, cells and watches over HTTP, without ids and without the client library."""

import datetime
import random
import typing

import twisted.internet.defer as defer

import zinctrail.runtime.durations as durations
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_actors.deployment as open_deployment

ms = durations.ms

LOCKS = 2
LEASES_MS = (400, 1500, 3000)
FINAL_STATUSES = (200, 400, 404, 409, 410)
CALL_LENGTH = ms(3000)
CALL_TIMEOUT = ms(1000)
WATCH_WAIT_MS = 1500
# Pauses before the next watch, in ms. The long one checks how far back the history of events reaches.
WATCH_PAUSES_MS = (0, 0, 300, 17000)


class Application:
    """Runs five concurrent loops of calls until it is switched off.

    :param every: the mean pause between two iterations of each loop.
    """

    def __init__(
        self, deployment: 'open_deployment.Deployment', name: str, zone: str, every: datetime.timedelta = ms(150)
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.every = every
        self.rng = random.Random(f'{self.world.seed}/{name}')
        self.on = False
        # The number of values put so far; it makes each value unique.
        self.written = 0
        self.world.zones[name] = zone

    def start(self) -> None:
        """Start all five loops; each ends once the application is switched off."""
        self.on = True
        for loop in (self.use_locks, self.take_numbers, self.put_cells, self.get_cells, self.watch_cells):
            loop().addErrback(lambda reason: reason.trap(GeneratorExit))

    def sleep(self, length: datetime.timedelta) -> defer.Deferred:
        """Return a Deferred that fires after `length` of virtual time."""
        deferred: defer.Deferred = defer.Deferred()
        self.world.after(length, deferred.callback, None)
        return deferred

    def pause(self) -> defer.Deferred:
        """Return a Deferred that fires after a random pause around the mean."""
        return self.sleep(self.every * self.rng.uniform(0.5, 1.5))

    def call(self, path: str, body: dict, length: datetime.timedelta = CALL_LENGTH) -> defer.Deferred:
        """Send a call, retried until it has a conclusive response; return a Deferred of a deployment.Response."""
        deferred: defer.Deferred = defer.Deferred()

        def on_response(response: 'open_deployment.Response') -> None:
            """Report a success to the deployment, and fire with the response."""
            if response.status == 200:
                self.deployment.report_call_accepted(response.node)
            deferred.callback(response)

        wait = CALL_TIMEOUT + ms(body.get('wait_ms', 0))
        self.deployment.ask(self.name, 'POST', path, lambda: body, on_response, length, final=FINAL_STATUSES, wait=wait)
        return deferred

    # -- locks ----------------------------------------------------------------

    @defer.inlineCallbacks
    def use_locks(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Acquire locks; renew each a few times, then release it, let its lease expire, or abandon it."""
        while self.on:
            name = f'l{self.rng.randrange(LOCKS)}'
            lease_ms = self.rng.choice(LEASES_MS)
            body = {'name': name, 'holder': self.name, 'lease_ms': lease_ms}
            response = yield self.call('/v1/lock/hold', body)
            until = response.sent_at + ms(lease_ms)
            if response.status == 200 and self.world.now < until:
                belief = open_records.LockBelief(
                    name=name,
                    holder=self.name,
                    fencing_token=response.document['fence'],
                    since=self.world.now,
                    until=until,
                    sent_at=response.sent_at,
                )
                self.deployment.records.locks.append(belief)
                yield self.renew(belief, lease_ms)
                yield self.release_or_abandon(belief, lease_ms)
            yield self.pause()

    @defer.inlineCallbacks
    def renew(self, belief: open_records.LockBelief, lease_ms: int) -> typing.Generator[typing.Any, typing.Any, None]:
        """Renew a lock up to three times, for as long as it is held."""
        for _ in range(self.rng.randrange(4)):
            yield self.sleep(min(ms(lease_ms) / 3, ms(800)))
            if self.world.now >= belief.until:
                break
            body = {
                'name': belief.name,
                'holder': self.name,
                'fence': belief.fencing_token,
                'lease_ms': lease_ms,
            }
            response = yield self.call('/v1/lock/renew', body)
            if response.status != 200 or self.world.now >= belief.until:
                self.stop_believing(belief)
                break
            belief.until = max(belief.until, response.sent_at + ms(lease_ms))

    @defer.inlineCallbacks
    def release_or_abandon(
        self, belief: open_records.LockBelief, lease_ms: int
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Release a lock, let its lease expire, or abandon it."""
        draw = self.rng.random()
        if draw < 0.6:
            self.stop_believing(belief)
            body = {'name': belief.name, 'holder': self.name, 'fence': belief.fencing_token}
            yield self.call('/v1/lock/yield', body)
        elif draw < 0.8:
            # A holder that sleeps past the end of its lease, or that crashed and came back under the same name.
            yield self.sleep(ms(lease_ms) * self.rng.uniform(0.5, 1.5))
            self.stop_believing(belief)
        else:
            self.stop_believing(belief)

    def stop_believing(self, belief: open_records.LockBelief) -> None:
        """End the span in which the application believes that it holds the lock."""
        belief.stop(self.world.now)

    # -- numbers and cells --------------------------------------------------------

    @defer.inlineCallbacks
    def take_numbers(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Take the next number of the counter in a loop."""
        while self.on:
            response = yield self.call('/v1/number/step', {'name': 'n'})
            if response.status == 200:
                number = open_records.Number(response.sent_at, self.world.now, response.document['number'])
                self.deployment.records.numbers.append(number)
            yield self.pause()

    def random_cell(self) -> str:
        """Return the name of a random coordination cell."""
        return f'g{self.rng.randrange(terms.GROUPS)}.{self.rng.randrange(terms.CELLS_PER_GROUP)}'

    @defer.inlineCallbacks
    def put_cells(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Put values into random cells, each conditional on the last known revision."""
        known: dict[str, int] = {}
        while self.on:
            name = self.random_cell()
            self.written += 1
            put = open_records.Put(
                name=name,
                value=f'{self.name}.{self.written}',
                expected_revision=known.get(name, 0),
                sent_at=self.world.now,
            )
            self.deployment.records.puts.append(put)
            body = {'name': name, 'value': put.value, 'rev': put.expected_revision}
            response = yield self.call('/v1/cell/put', body)
            put.responded_at = self.world.now
            put.status = response.status
            put.statuses = list(response.statuses)
            if response.status == 200:
                known[name] = response.document['rev']
                put.revision = known[name]
            elif response.status == 409:
                known[name] = response.document['rev']
                put.named_revision = known[name]
            yield self.pause()

    @defer.inlineCallbacks
    def get_cells(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Read random cells in a loop."""
        while self.on:
            yield self.get(self.random_cell())
            yield self.pause()

    @defer.inlineCallbacks
    def get(self, name: str) -> typing.Generator[typing.Any, typing.Any, None]:
        """Read a cell and record its value and revision."""
        response = yield self.call('/v1/cell/get', {'name': name})
        if response.status in (200, 404):
            get = open_records.Get(
                name=name,
                sent_at=response.sent_at,
                responded_at=self.world.now,
                value=response.document.get('value'),
                revision=response.document.get('rev', 0),
            )
            self.deployment.records.gets.append(get)

    @defer.inlineCallbacks
    def watch_cells(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Watch random groups of cells, each from the last revision received for it."""
        since: dict[str, int] = {}
        given_at: dict[str, datetime.timedelta] = {}
        while self.on:
            group = f'g{self.rng.randrange(terms.GROUPS)}.'
            after = since.get(group, 0)
            yield self.sleep(ms(self.rng.choice(WATCH_PAUSES_MS)))
            sent_at = self.world.now
            body = {'group': group, 'since': after, 'wait_ms': WATCH_WAIT_MS}
            response = yield self.call('/v1/cell/watch', body)
            watch = open_records.Watch(
                group=group,
                since=after,
                given_at=given_at.get(group),
                sent_at=sent_at,
                responded_at=self.world.now,
                status=response.status,
                revision=response.document.get('rev'),
                events=response.document.get('events', []),
            )
            self.deployment.records.watches.append(watch)
            if response.status == 200:
                since[group] = response.document['rev']
                given_at[group] = self.world.now
            elif response.status == 410:
                since[group] = 0
