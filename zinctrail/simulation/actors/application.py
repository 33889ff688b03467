"""An application that uses locks, numbers, keys and watches, through the client library."""

import contextlib
import datetime
import random
import typing

import twisted.internet.defer as defer

import zinctrail.client.coordination as coordination
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.caller as caller_actor
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.observations as observations

if typing.TYPE_CHECKING:
    import zinctrail.simulation.actors.deployment as client_deployment

ms = durations.ms

LOCKS = 2
KEYS = 3
WATCH_WAIT = ms(2000)
RETRY_AFTER = ms(200)
# Pauses before the next watch, in ms. The long one checks that the history of events reaches back for 20 s.
WATCH_PAUSES_MS = (0, 0, 500, 18000)


class Application:
    """Runs five concurrent loops of calls until it is switched off.

    :param every: the mean pause between two iterations of each loop.
    :param lease: the lease duration of its locks.
    """

    def __init__(
        self,
        deployment: 'client_deployment.Deployment',
        name: str,
        zone: str,
        every: datetime.timedelta = ms(200),
        lease: datetime.timedelta = ms(3000),
    ) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.name = name
        self.every = every
        self.rng = random.Random(f'{self.world.seed}/{name}')
        directories = [node.location.http for node in self.world.of('dir')]
        self.rng.shuffle(directories)
        fetcher = caller_actor.WorldFetcher(deployment, name)
        self.library = coordination.CoordinationClient(self.world, directories, fetcher, self.world.seconds, self.rng)
        self.lease = lease
        # The number of values written so far; it makes each value unique.
        self.written = 0
        self.on = False

    def start(self) -> None:
        """Start all five loops; each ends once the application is switched off."""
        self.on = True
        for loop in (self.use_locks, self.take_numbers, self.write_keys, self.read_keys, self.watch_keys):
            loop().addErrback(lambda reason: reason.trap(GeneratorExit))

    def pause(self) -> defer.Deferred:
        """Return a Deferred that fires after a random pause around the mean."""
        return self.library.sleep(self.every * self.rng.uniform(0.5, 1.5))

    # -- locks ----------------------------------------------------------------

    @defer.inlineCallbacks
    def use_locks(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Acquire locks in a loop; renew each a few times, then release it or let its lease expire."""
        while self.on:
            lock = self.library.lock(f'lock{self.rng.randrange(LOCKS)}', self.name, self.lease)
            with contextlib.suppress(errors.CoordinationError):
                yield self.use_lock(lock)
            yield self.pause()

    @defer.inlineCallbacks
    def use_lock(self, lock: coordination.Lock) -> typing.Generator[typing.Any, typing.Any, None]:
        """Acquire a lock, renew it up to three times, then release it or let its lease expire."""
        is_mine = yield lock.acquire()
        for _ in range(self.rng.randrange(4)):
            if is_mine:
                yield self.library.sleep(self.lease / 3)
                self.record_belief(lock)
                is_mine = yield lock.acquire()
                if not is_mine:
                    self.stop_believing(lock)
        if is_mine:
            self.record_belief(lock)
            if self.rng.random() < 0.7:
                self.stop_believing(lock)
                yield lock.release()
            else:
                yield self.library.sleep(self.lease)

    def record_belief(self, lock: coordination.Lock) -> None:
        """Record that the application believes that it holds the lock until its lease ends."""
        if lock.is_held():
            self.deployment.records.locks.append(
                observations.LockBelief(lock.name, self.name, lock.fencing_token, self.world.now, lock.expires_at)
            )

    def stop_believing(self, lock: coordination.Lock) -> None:
        """End all spans in which the application believes that it holds the lock, renewals included."""
        for belief in self.deployment.records.locks:
            if belief.name == lock.name and belief.holder == self.name:
                belief.stop(self.world.now)

    # -- numbers and keys -------------------------------------------------------

    @defer.inlineCallbacks
    def take_numbers(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Take the next number of the counter in a loop."""
        while self.on:
            operation = actor_records.Operation('next', 'orders', self.world.now)
            self.deployment.records.numbers.append(operation)
            try:
                operation.value = yield self.library.next_number('orders')
                operation.responded_at = self.world.now
                operation.result = 'ok'
            except errors.CoordinationError:
                pass
            yield self.pause()

    @defer.inlineCallbacks
    def operate(
        self, kind: str, key: str, value: str | None = None, expected_revision: int | None = None
    ) -> typing.Generator[typing.Any, typing.Any, actor_records.Operation]:
        """Perform one operation on a key; return a Deferred of its record, with the result as far as it is known."""
        operation = actor_records.Operation(kind, key, self.world.now, value=value, expected_revision=expected_revision)
        self.deployment.records.keys.append(operation)
        try:
            if kind == 'put':
                operation.revision = yield self.library.put(key, value, expected_revision)
            elif kind == 'drop':
                operation.revision = yield self.library.remove(key, expected_revision)
            else:
                document = yield self.library.get(key)
                operation.revision = document['rev']
                operation.value = document['value']
            operation.responded_at = self.world.now
            operation.result = 'ok'
        except errors.CoordinationError as error:
            if error.status in (404, 409):
                operation.responded_at = self.world.now
                operation.result = 'refused'
                operation.revision = error.document.get('rev')
        return operation

    @defer.inlineCallbacks
    def write_keys(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Put and remove keys in a loop; some writes are conditional on the revision just read."""
        while self.on:
            key = f'k/{self.rng.randrange(KEYS)}'
            self.written += 1
            value = f'{self.name}.{self.written}'
            expected_revision = None
            draw = self.rng.random()
            if draw < 0.4:
                read = yield self.operate('get', key)
                expected_revision = read.revision if read.result == 'ok' else None
            kind = 'drop' if draw > 0.9 or draw < 0.1 else 'put'
            yield self.operate(kind, key, value, expected_revision)
            yield self.pause()

    @defer.inlineCallbacks
    def read_keys(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Read random keys in a loop."""
        while self.on:
            yield self.operate('get', f'k/{self.rng.randrange(KEYS)}')
            yield self.pause()

    @defer.inlineCallbacks
    def watch_keys(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Watch all keys in a loop, each time from the last revision seen."""
        since = None
        since_at = None
        while self.on:
            sent_at = self.world.now
            try:
                if since is None:
                    document = yield self.library.get('k/0')
                    since = document['head']
                    since_at = sent_at
                    continue
                yield self.library.sleep(ms(self.rng.choice(WATCH_PAUSES_MS)))
                document = yield self.library.watch('k/', since, WATCH_WAIT)
                watch = actor_records.Watch('k/', since, since_at, sent_at, self.world.now)
                watch.head = document['head']
                watch.events = document['events']
                self.deployment.records.watches.append(watch)
                since = watch.head
                since_at = self.world.now
            except errors.CoordinationError as error:
                if error.status == 410:
                    watch = actor_records.Watch('k/', since, since_at, sent_at, self.world.now, is_gone=True)
                    self.deployment.records.watches.append(watch)
                    since = None
                yield self.library.sleep(RETRY_AFTER)
