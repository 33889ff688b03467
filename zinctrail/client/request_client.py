"""The library that a client links: it looks up proxies, sends requests, and reports the outcome of each.

client = request_client.RequestClient(reactor, ['127.0.0.1:7001'], zone='accra/a')
response = yield client.send('loans', '/checkout', body=b'{}', timeout=datetime.timedelta(seconds=5))
response.outcome      ran, not-run or unknown
"""

import dataclasses
import datetime
import json
import random
import typing

import twisted.internet.defer as defer
import twisted.internet.task as task

import zinctrail.client.seal as seal
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.transport.clock as transport_clock
import zinctrail.transport.http_client as http_client
import zinctrail.transport.twisted_types as twisted_types

# Outcomes of a request: it ran, it certainly did not run, or it may have run. Values of the header zt-outcome.
RAN, NOT_RUN, UNKNOWN = 'ran', 'not-run', 'unknown'
LOOKUP_TIMEOUT = durations.ms(1000)
# The pause before the next lookup if no directory responds.
LOOKUP_RETRY_SECONDS = 0.2
# How many directories are remembered; lookup responses name further ones.
MAX_DIRECTORIES = 8
# The delay before a retry if the response names none, multiplied by the number of attempts so far.
RETRY_STEP_MS = 50
REQUEST_ID_BITS = 80


class LookupResponse(typing.TypedDict):
    """A directory's response to a lookup; the fields have their names in the HTTP interface."""

    # HTTP addresses of proxies to use in turn, and of further directories.
    proxies: list[str]
    dirs: list[str]
    # The current epoch, with which request ids begin.
    epoch: int
    # How long the response is valid.
    ttl_ms: int


@dataclasses.dataclass
class Response:
    """The result of a request, as far as the client knows it."""

    # RAN, NOT_RUN or UNKNOWN.
    outcome: str
    # The HTTP status; 0 if there was no response.
    status: int
    headers: dict[str, str]
    body: bytes
    # The request's id; '' if it was never sent.
    id: str = ''
    attempts: int = 1
    # The error of the last attempt, such as a lost response; '' if there was none.
    fault: str = ''


@dataclasses.dataclass(frozen=True)
class Request:
    """The attributes of a request that are the same for all its attempts."""

    service: str
    path: str
    method: str
    body: bytes
    labels: dict[str, str] | None
    # The deadline of all attempts, on the client's clock.
    deadline: datetime.timedelta


class RequestClient:
    """Sends requests of one application; caches the last lookup response while it is valid."""

    def __init__(
        self,
        reactor: twisted_types.Reactor,
        directories: typing.Iterable[str],
        zone: str = '',
        home: typing.Iterable[str] = (),
        max_attempts: int = 3,
        fetcher: http_client.Fetcher | None = None,
        clock: typing.Callable[[], float] = transport_clock.seconds,
        rng: random.Random | None = None,
    ):
        self.reactor = reactor
        # The directory that responded last comes first.
        self.directories = list(directories)
        self.zone = zone
        # The regions in which its requests may run; empty: any.
        self.home = list(home)
        self.max_attempts = max_attempts
        self.fetcher: http_client.Fetcher = fetcher or http_client.HttpClient(reactor)
        self.clock = clock
        self.rng = rng or random.SystemRandom()
        # The last lookup response, and until when it is valid.
        self.lookup_result: LookupResponse | None = None
        self.valid_until = durations.ZERO
        self.attempt_count = 0

    def now(self) -> datetime.timedelta:
        """Return the time on the client's clock."""
        return datetime.timedelta(seconds=self.clock())

    @defer.inlineCallbacks
    def lookup(self, timeout: datetime.timedelta) -> twisted_types.DeferredGenerator[LookupResponse | None]:
        """Return proxies and the current epoch: the cached lookup response, or a new one if it is no longer valid.

        None if no directory responds. `timeout` is for each directory.
        """
        if self.lookup_result and self.now() < self.valid_until:
            return self.lookup_result
        body: dict[str, typing.Any] = {'home': self.home}
        if self.zone:
            body['cell'] = self.zone
        for _ in range(len(self.directories)):
            requested_at = self.now()
            response = yield self.fetcher.fetch(
                'dir',
                self.directories[0],
                'POST',
                '/v1/answer',
                {'content-type': 'application/json'},
                json.dumps(body).encode(),
                min(timeout, LOOKUP_TIMEOUT),
            )
            if response.status == 200 and not response.fault:
                self._remember(json.loads(response.body), requested_at)
                return self.lookup_result
            self.directories.append(self.directories.pop(0))
        return None

    def _remember(self, result: LookupResponse, requested_at: datetime.timedelta) -> None:
        self.lookup_result = result
        # The validity starts here when the lookup was sent, and at the directory later, so that it ends here first.
        self.valid_until = requested_at + durations.ms(result['ttl_ms'])
        for directory in result['dirs']:
            if directory not in self.directories:
                self.directories.append(directory)
        del self.directories[MAX_DIRECTORIES:]

    @defer.inlineCallbacks
    def send(
        self,
        service: str,
        path: str = '/',
        method: str = 'POST',
        body: bytes = b'',
        labels: dict[str, str] | None = None,
        timeout: datetime.timedelta = durations.ms(5000),
        request_id: str | None = None,
    ) -> twisted_types.DeferredGenerator[Response]:
        """Send a request, retry it if that is safe, and return its Response."""
        request = Request(service, path, method, body, labels, self.now() + timeout)
        response = Response(NOT_RUN, 0, {}, b'', fault='no lookup response from any directory')
        attempt = 0
        while attempt < self.max_attempts and self.now() < request.deadline:
            lookup_response = yield self.lookup(request.deadline - self.now())
            if lookup_response is None:
                remaining_seconds = max(0, (request.deadline - self.now()).total_seconds())
                yield task.deferLater(self.reactor, min(LOOKUP_RETRY_SECONDS, remaining_seconds))
                continue
            request_id = request_id or f'{lookup_response["epoch"]}.{self.rng.getrandbits(REQUEST_ID_BITS):020x}'
            attempt += 1
            earlier_outcome = response.outcome
            response = yield self._attempt(lookup_response, request, request_id, attempt)
            # Once an attempt may have run, only a response with the outcome "ran" settles the request.
            if earlier_outcome == UNKNOWN and response.outcome == NOT_RUN:
                response.outcome = UNKNOWN
            if response.outcome == RAN or 400 <= response.status < 500:
                break
            pause = retry_after(response)
            # If no retry fits before the deadline, the result is returned now.
            if self.now() + pause >= request.deadline:
                break
            if attempt < self.max_attempts:
                yield task.deferLater(self.reactor, pause.total_seconds())
        return response

    @defer.inlineCallbacks
    def _attempt(
        self, lookup_response: LookupResponse, request: Request, request_id: str, attempt: int
    ) -> twisted_types.DeferredGenerator[Response]:
        """Send one attempt, through the next of the proxies in the lookup response."""
        self.attempt_count += 1
        proxy = lookup_response['proxies'][self.attempt_count % len(lookup_response['proxies'])]
        remaining = max(durations.ms(1), request.deadline - self.now())
        result = yield self.fetcher.fetch(
            proxy,
            proxy,
            request.method,
            f'/r/{request.service}{request.path}',
            self._headers(request, request_id, attempt, remaining),
            request.body,
            remaining,
        )
        response = Response(
            result.headers.get('zt-outcome', UNKNOWN),
            result.status,
            result.headers,
            result.body,
            request_id,
            attempt,
            result.fault,
        )
        if not result.sent:
            # The proxy could not be reached, so nothing ran; a new lookup may return another proxy.
            response.outcome, self.valid_until = NOT_RUN, durations.ZERO
        elif result.fault or not _is_response_to(result, request_id, attempt):
            response.outcome, response.body = UNKNOWN, b''
            response.fault = result.fault or 'response altered or to another request'
        if response.status in (403, 503):
            self.valid_until = durations.ZERO
        return response

    def _headers(
        self, request: Request, request_id: str, attempt: int, remaining: datetime.timedelta
    ) -> dict[str, str]:
        headers = {
            'zt-id': request_id,
            'zt-attempt': str(attempt),
            'zt-left-ms': str(max(1, durations.to_ms(remaining))),
            'content-type': 'application/json',
        }
        if self.home:
            headers['zt-home'] = ','.join(self.home)
        if request.labels:
            headers['zt-labels'] = ','.join(f'{label}={value}' for label, value in request.labels.items())
        return headers


def _is_response_to(result: effects.HttpResult, request_id: str, attempt: int) -> bool:
    """True if a result is intact and belongs to this attempt of this request."""
    return (
        seal.is_intact(result.status, result.headers, result.body)
        and result.headers.get('zt-id') == request_id
        and result.headers.get('zt-attempt') == str(attempt)
    )


def retry_after(response: Response) -> datetime.timedelta:
    """Return how long to wait before a retry: the time in the response, by default longer with each attempt."""
    try:
        return durations.ms(json.loads(response.body)['retry_ms'])
    except (ValueError, KeyError, TypeError):
        return durations.ms(RETRY_STEP_MS * response.attempts)
