"""The client library for coordination: locks with fencing tokens, counters, small keys, watches.

Every call that acts carries an id, and is retried at any directory until its
result is known or its time is over; the id keeps it from acting twice.
"""

import datetime
import json
import random
import typing

import twisted.internet.defer as defer
import twisted.internet.task as task

import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.transport.clock as transport_clock
import zinctrail.transport.http_client as http_client
import zinctrail.transport.twisted_types as twisted_types

DEFAULT_TIMEOUT = durations.ms(5000)
# The longest that one attempt waits before the next directory is asked.
ATTEMPT_TIMEOUT = durations.ms(2000)
RETRY_PAUSE = durations.ms(100)
LOCK_TIMEOUT = durations.ms(2000)
# How much longer than its own wait a watch may take, over all attempts.
WATCH_MARGIN = durations.ms(10000)
ID_BITS = 96
# Nobody answered, or an answer that says to try again later: the result is not known yet.
RETRIED_STATUSES = (0, 503, 504)

# A JSON document of the HTTP interface.
Document = dict[str, typing.Any]


class CoordinationClient:
    """Calls of one application. Each method returns a Deferred and raises errors.CoordinationError.

    `timeout` is for the whole call, with its retries.
    """

    def __init__(
        self,
        reactor: twisted_types.Reactor,
        directories: typing.Iterable[str],
        fetcher: http_client.Fetcher | None = None,
        clock: typing.Callable[[], float] = transport_clock.seconds,
        rng: random.Random | None = None,
    ):
        self.reactor = reactor
        # The one that answered last comes first.
        self.directories = list(directories)
        self.fetcher: http_client.Fetcher = fetcher or http_client.HttpClient(reactor)
        self.clock = clock
        self.rng = rng or random.SystemRandom()

    def now(self) -> datetime.timedelta:
        """The time on the client's clock."""
        return datetime.timedelta(seconds=self.clock())

    def sleep(self, delay: datetime.timedelta) -> defer.Deferred[None]:
        """A Deferred that fires after a delay."""
        return task.deferLater(self.reactor, max(0.0, delay.total_seconds()))

    @defer.inlineCallbacks
    def call(
        self,
        method: str,
        path: str,
        body: Document | None,
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
        attempt_timeout: datetime.timedelta = ATTEMPT_TIMEOUT,
    ) -> twisted_types.DeferredGenerator[tuple[datetime.timedelta, Document]]:
        """Make a call that may be retried: (when the attempt that succeeded was sent, its JSON result)."""
        deadline = self.now() + timeout
        status: int = 0
        document: Document = {'fault': 'nobody answers'}
        data = json.dumps(body).encode() if body is not None else b''
        while self.now() < deadline:
            sent_at = self.now()
            response = yield self.fetcher.fetch(
                'dir',
                self.directories[0],
                method,
                path,
                {'content-type': 'application/json'},
                data,
                min(attempt_timeout, deadline - sent_at),
            )
            if not response.fault:
                status, document = _read(response)
                if status == 200:
                    return sent_at, document
                if status not in RETRIED_STATUSES:
                    raise errors.CoordinationError(status, document)
            # The next directory is asked, since this one may be partitioned; the id makes that safe.
            self.directories.append(self.directories.pop(0))
            yield self.sleep(min(RETRY_PAUSE, deadline - self.now()))
        raise errors.CoordinationError(status, document)

    @defer.inlineCallbacks
    def new_id(self, timeout: datetime.timedelta) -> twisted_types.DeferredGenerator[str]:
        """An id for a call: EPOCH.RANDOM, where the epoch says until when its result is remembered."""
        _, document = yield self.call('GET', '/v1/epoch', None, timeout)
        return f'{document["epoch"]}.{self.rng.getrandbits(ID_BITS):024x}'

    @defer.inlineCallbacks
    def call_once(
        self, path: str, body: Document, timeout: datetime.timedelta = DEFAULT_TIMEOUT
    ) -> twisted_types.DeferredGenerator[Document]:
        """Make a call that acts, under a new id: its retries act once in all. Returns its JSON result."""
        deadline = self.now() + timeout
        call_id = yield self.new_id(timeout)
        _, document = yield self.call('POST', path, dict(body, id=call_id), deadline - self.now())
        return document

    @defer.inlineCallbacks
    def next_number(
        self, name: str, increment: int = 1, timeout: datetime.timedelta = DEFAULT_TIMEOUT
    ) -> twisted_types.DeferredGenerator[int]:
        """Raise a counter and return its number, above all that were returned before."""
        document = yield self.call_once('/v1/number/next', {'name': name, 'by': increment}, timeout)
        return document['number']

    @defer.inlineCallbacks
    def get(self, key: str, timeout: datetime.timedelta = DEFAULT_TIMEOUT) -> twisted_types.DeferredGenerator[Document]:
        """{value, rev, head}: a key's value and revision, None and 0 where it is absent; `head` is where to watch from."""
        try:
            _, document = yield self.call('POST', '/v1/key/get', {'key': key}, timeout)
        except errors.CoordinationError as error:
            if error.status != 404:
                raise
            document = {'value': None, 'rev': 0, 'head': error.document['head']}
        return document

    @defer.inlineCallbacks
    def put(
        self, key: str, value: str, revision: int | None = None, timeout: datetime.timedelta = DEFAULT_TIMEOUT
    ) -> twisted_types.DeferredGenerator[int]:
        """Write a key and return its new revision; with `revision`, only if it is at that one (0: absent)."""
        body: Document = {'key': key, 'value': value}
        if revision is not None:
            body['rev'] = revision
        document = yield self.call_once('/v1/key/put', body, timeout)
        return document['rev']

    @defer.inlineCallbacks
    def remove(
        self, key: str, revision: int | None = None, timeout: datetime.timedelta = DEFAULT_TIMEOUT
    ) -> twisted_types.DeferredGenerator[int]:
        """Remove a key and return the removal's revision; with `revision`, only if it is at that one."""
        body: Document = {'key': key} if revision is None else {'key': key, 'rev': revision}
        document = yield self.call_once('/v1/key/drop', body, timeout)
        return document['rev']

    @defer.inlineCallbacks
    def watch(
        self, prefix: str, since: int, wait: datetime.timedelta = durations.ms(5000)
    ) -> twisted_types.DeferredGenerator[Document]:
        """The events after revision `since`, {events, head}; waits while there are none. Continue from `head`.

        Status 410 of the error says that the history no longer reaches back that far.
        """
        _, document = yield self.call(
            'POST',
            '/v1/key/watch',
            {'prefix': prefix, 'since': since, 'wait_ms': durations.to_ms(wait)},
            wait + WATCH_MARGIN,
            wait + ATTEMPT_TIMEOUT,
        )
        return document

    def lock(self, name: str, owner: str, lease: datetime.timedelta = durations.ms(5000)) -> 'Lock':
        """A lock for one owner; nothing is sent before `acquire`."""
        return Lock(self, name, owner, lease)


class Lock:
    """A lock as its owner may rely on it: never for longer than the control plane reserves it."""

    def __init__(self, client: CoordinationClient, name: str, owner: str, lease: datetime.timedelta):
        self.client, self.name, self.owner, self.lease = client, name, owner, lease
        self.expires_at: datetime.timedelta | None = None
        self.fencing_token: int | None = None
        # Which acquisition is the newest; a release names it.
        self.acquisition: str | None = None

    def is_held(self) -> bool:
        """Whether the owner may still rely on it."""
        return self.expires_at is not None and self.client.now() < self.expires_at

    @defer.inlineCallbacks
    def acquire(self, timeout: datetime.timedelta = LOCK_TIMEOUT) -> twisted_types.DeferredGenerator[bool]:
        """True if the lock is held now (also renews it); False while another owner holds it."""
        body = {
            'name': self.name,
            'holder': self.owner,
            'lease_ms': durations.to_ms(self.lease),
            'id': f'{self.client.rng.getrandbits(ID_BITS):024x}',
        }
        try:
            sent_at, document = yield self.client.call('POST', '/v1/lock/take', body, timeout)
        except errors.CoordinationError as error:
            if error.status == 409:
                self.expires_at = None
                return False
            raise
        # Counted from the sending: the control plane counts from later, so it expires here first.
        self.expires_at = sent_at + self.lease
        self.fencing_token, self.acquisition = document['fence'], document['take']
        return self.is_held()

    @defer.inlineCallbacks
    def release(self, timeout: datetime.timedelta = LOCK_TIMEOUT) -> twisted_types.DeferredGenerator[None]:
        """Give the lock up."""
        # Before the call: from the moment it is sent, another owner may hold the lock.
        self.expires_at = self.fencing_token = None
        acquisition, self.acquisition = self.acquisition, None
        if acquisition is not None:
            body = {'name': self.name, 'holder': self.owner, 'take': acquisition}
            yield self.client.call('POST', '/v1/lock/free', body, timeout)


def _read(response: effects.HttpResult) -> tuple[int, Document]:
    """(status, JSON document) of a response; status 0 if it is not JSON."""
    try:
        return response.status, json.loads(response.body)
    except ValueError:
        return 0, {'fault': 'a reply that is not JSON'}
