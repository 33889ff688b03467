"""The client library for coordination: locks with fencing tokens, counters, a small key-value store, watches.

Every call that changes state carries an id, and is retried at any directory
until its result is known or its timeout ends; because of the id it takes effect
only once.
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
# The longest that one attempt takes before the next directory is tried.
ATTEMPT_TIMEOUT = durations.ms(2000)
RETRY_PAUSE = durations.ms(100)
LOCK_TIMEOUT = durations.ms(2000)
# How much longer than its wait time a watch may take, over all attempts.
WATCH_MARGIN = durations.ms(10000)
ID_BITS = 96
# Statuses after which a call is retried: no valid response (0), or a response that says to retry later. The result is
# not known yet.
RETRIED_STATUSES = (0, 503, 504)

# A JSON document of the HTTP interface.
Document = dict[str, typing.Any]


class CoordinationClient:
    """The coordination client of one application. Its calls return Deferreds and raise errors.CoordinationError.

    `timeout` is for the whole call, including its retries.
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
        # The directory that responded last comes first.
        self.directories = list(directories)
        self.fetcher: http_client.Fetcher = fetcher or http_client.HttpClient(reactor)
        self.clock = clock
        self.rng = rng or random.SystemRandom()

    def now(self) -> datetime.timedelta:
        """Return the time on the client's clock."""
        return datetime.timedelta(seconds=self.clock())

    def sleep(self, delay: datetime.timedelta) -> defer.Deferred[None]:
        """Return a Deferred that fires after a delay."""
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
        """Make a call that may be retried. Returns (when the successful attempt was sent, its JSON result)."""
        deadline = self.now() + timeout
        status: int = 0
        document: Document = {'fault': 'no directory responds'}
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
                status, document = _parse_response(response)
                if status == 200:
                    return sent_at, document
                if status not in RETRIED_STATUSES:
                    raise errors.CoordinationError(status, document)
            # The next directory is tried, since this one may be partitioned; the id makes the retry safe.
            self.directories.append(self.directories.pop(0))
            yield self.sleep(min(RETRY_PAUSE, deadline - self.now()))
        raise errors.CoordinationError(status, document)

    @defer.inlineCallbacks
    def new_id(self, timeout: datetime.timedelta) -> twisted_types.DeferredGenerator[str]:
        """Return an id for a call: EPOCH.RANDOM, where the epoch determines how long its result is retained."""
        _, document = yield self.call('GET', '/v1/epoch', None, timeout)
        return f'{document["epoch"]}.{self.rng.getrandbits(ID_BITS):024x}'

    @defer.inlineCallbacks
    def call_once(
        self, path: str, body: Document, timeout: datetime.timedelta = DEFAULT_TIMEOUT
    ) -> twisted_types.DeferredGenerator[Document]:
        """Make a call that changes state, under a new id, so that it takes effect once. Returns its JSON result."""
        deadline = self.now() + timeout
        call_id = yield self.new_id(timeout)
        _, document = yield self.call('POST', path, dict(body, id=call_id), deadline - self.now())
        return document

    @defer.inlineCallbacks
    def next_number(
        self, name: str, increment: int = 1, timeout: datetime.timedelta = DEFAULT_TIMEOUT
    ) -> twisted_types.DeferredGenerator[int]:
        """Increment a counter and return its value, which is above all values that were returned before."""
        document = yield self.call_once('/v1/number/next', {'name': name, 'by': increment}, timeout)
        return document['number']

    @defer.inlineCallbacks
    def get(self, key: str, timeout: datetime.timedelta = DEFAULT_TIMEOUT) -> twisted_types.DeferredGenerator[Document]:
        """Return {value, rev, head}: a key's value and revision, None and 0 if it is absent.

        `head` is the revision from which to watch the key.
        """
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
        """Write a key and return its new revision; with `revision`, only if the key is at that revision (0: absent)."""
        body: Document = {'key': key, 'value': value}
        if revision is not None:
            body['rev'] = revision
        document = yield self.call_once('/v1/key/put', body, timeout)
        return document['rev']

    @defer.inlineCallbacks
    def remove(
        self, key: str, revision: int | None = None, timeout: datetime.timedelta = DEFAULT_TIMEOUT
    ) -> twisted_types.DeferredGenerator[int]:
        """Remove a key and return the removal's revision; with `revision`, only if the key is at that revision."""
        body: Document = {'key': key} if revision is None else {'key': key, 'rev': revision}
        document = yield self.call_once('/v1/key/drop', body, timeout)
        return document['rev']

    @defer.inlineCallbacks
    def watch(
        self, prefix: str, since: int, wait: datetime.timedelta = durations.ms(5000)
    ) -> twisted_types.DeferredGenerator[Document]:
        """Return the events after revision `since`, {events, head}; wait while there are none. Continue from `head`.

        The error has status 410 if the retained history does not reach back to `since`.
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
        """Return a lock object for one owner; nothing is sent before `acquire`."""
        return Lock(self, name, owner, lease)


class Lock:
    """The owner's view of a lock: it is held here never longer than the control plane reserves it."""

    def __init__(self, client: CoordinationClient, name: str, owner: str, lease: datetime.timedelta):
        self.client, self.name, self.owner, self.lease = client, name, owner, lease
        self.expires_at: datetime.timedelta | None = None
        self.fencing_token: int | None = None
        # The id of the newest acquisition, which a release names.
        self.acquisition: str | None = None

    def is_held(self) -> bool:
        """True if the owner still holds the lock."""
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
        # The lease starts here when the call was sent, and at the control plane later, so that it expires here first.
        self.expires_at = sent_at + self.lease
        self.fencing_token, self.acquisition = document['fence'], document['take']
        return self.is_held()

    @defer.inlineCallbacks
    def release(self, timeout: datetime.timedelta = LOCK_TIMEOUT) -> twisted_types.DeferredGenerator[None]:
        """Release the lock."""
        # Cleared before the call, because another owner may hold the lock from the moment the call is sent.
        self.expires_at = self.fencing_token = None
        acquisition, self.acquisition = self.acquisition, None
        if acquisition is not None:
            body = {'name': self.name, 'holder': self.owner, 'take': acquisition}
            yield self.client.call('POST', '/v1/lock/free', body, timeout)


def _parse_response(response: effects.HttpResult) -> tuple[int, Document]:
    """Return (status, JSON document) of a response; the status is 0 if the body is not JSON."""
    try:
        return response.status, json.loads(response.body)
    except ValueError:
        return 0, {'fault': 'response is not JSON'}
