"""The library that a client links: it looks up proxies, sends requests, and reports what became of each.

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

# What became of a request: it ran, it certainly did not run, or nobody can say. Values of the header zt-outcome.
RAN, NOT_RUN, UNKNOWN = 'ran', 'not-run', 'unknown'
LOOKUP_TIMEOUT = durations.ms(1000)
# The pause before the next lookup where no directory answers.
LOOKUP_RETRY_SECONDS = 0.2
# How many directories are remembered; lookups return further ones.
MAX_DIRECTORIES = 8
# The wait before a retry where the response names none, for each attempt so far.
RETRY_STEP_MS = 50
REQUEST_ID_BITS = 80


class StandingAnswer(typing.TypedDict):
    """A directory's answer to a lookup, as the HTTP interface names its fields."""

    # HTTP addresses of proxies to use in turn, and of further directories.
    proxies: list[str]
    dirs: list[str]
    # The present epoch, with which ids of requests begin.
    epoch: int
    # How long the answer is valid.
    ttl_ms: int


@dataclasses.dataclass
class Response:
    """What the client knows of a request in the end."""

    # RAN, NOT_RUN or UNKNOWN.
    outcome: str
    # The HTTP status; 0 where there was no response.
    status: int
    headers: dict[str, str]
    body: bytes
    # The request's id; '' where it was never sent.
    id: str = ''
    attempts: int = 1
    # What went wrong on the way; '' where nothing did.
    fault: str = ''


@dataclasses.dataclass(frozen=True)
class Request:
    """A request on its way, the same for all its attempts."""

    service: str
    path: str
    method: str
    body: bytes
    labels: dict[str, str] | None
    # When its time is over, on the client's clock.
    deadline: datetime.timedelta


class RequestClient:
    """Sends requests of one application; keeps the last lookup while it is valid."""

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
        # The one that answered last comes first.
        self.directories = list(directories)
        self.zone = zone
        # The regions in which its requests may run; empty: any.
        self.home = list(home)
        self.max_attempts = max_attempts
        self.fetcher: http_client.Fetcher = fetcher or http_client.HttpClient(reactor)
        self.clock = clock
        self.rng = rng or random.SystemRandom()
        # The last answer of a directory, and until when it is valid.
        self.lookup_result: StandingAnswer | None = None
        self.valid_until = durations.ZERO
        self.sent_count = 0

    def now(self) -> datetime.timedelta:
        """The time on the client's clock."""
        return datetime.timedelta(seconds=self.clock())

    @defer.inlineCallbacks
    def lookup(self, timeout: datetime.timedelta) -> twisted_types.DeferredGenerator[StandingAnswer | None]:
        """The directory's answer: proxies and the present epoch; looked up again once invalid, None if nobody answers.

        `timeout` is for each directory.
        """
        if self.lookup_result and self.now() < self.valid_until:
            return self.lookup_result
        body: dict[str, typing.Any] = {'home': self.home}
        if self.zone:
            body['cell'] = self.zone
        for _ in range(len(self.directories)):
            asked_at = self.now()
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
                self._remember(json.loads(response.body), asked_at)
                return self.lookup_result
            self.directories.append(self.directories.pop(0))
        return None

    def _remember(self, result: StandingAnswer, asked_at: datetime.timedelta) -> None:
        self.lookup_result = result
        # Counted from the question: the directory counts from later, so it becomes invalid here first.
        self.valid_until = asked_at + durations.ms(result['ttl_ms'])
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
        """Send one request, and retry where that is safe; the Response says what became of it."""
        request = Request(service, path, method, body, labels, self.now() + timeout)
        response = Response(NOT_RUN, 0, {}, b'', fault='no standing answer')
        attempt = 0
        while attempt < self.max_attempts and self.now() < request.deadline:
            found = yield self.lookup(request.deadline - self.now())
            if found is None:
                left_seconds = max(0, (request.deadline - self.now()).total_seconds())
                yield task.deferLater(self.reactor, min(LOOKUP_RETRY_SECONDS, left_seconds))
                continue
            request_id = request_id or f'{found["epoch"]}.{self.rng.getrandbits(REQUEST_ID_BITS):020x}'
            attempt += 1
            earlier_outcome = response.outcome
            response = yield self._attempt(found, request, request_id, attempt)
            # Once an attempt may have run, only a response that says so settles the request.
            if earlier_outcome == UNKNOWN and response.outcome == NOT_RUN:
                response.outcome = UNKNOWN
            if response.outcome == RAN or 400 <= response.status < 500:
                break
            pause = retry_after(response)
            # Where no retry fits before the deadline, the result is returned now.
            if self.now() + pause >= request.deadline:
                break
            if attempt < self.max_attempts:
                yield task.deferLater(self.reactor, pause.total_seconds())
        return response

    @defer.inlineCallbacks
    def _attempt(
        self, found: StandingAnswer, request: Request, request_id: str, attempt: int
    ) -> twisted_types.DeferredGenerator[Response]:
        """One attempt, through the next of the proxies that the directory named."""
        self.sent_count += 1
        proxy = found['proxies'][self.sent_count % len(found['proxies'])]
        left = max(durations.ms(1), request.deadline - self.now())
        result = yield self.fetcher.fetch(
            proxy,
            proxy,
            request.method,
            f'/r/{request.service}{request.path}',
            self._headers(request, request_id, attempt, left),
            request.body,
            left,
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
            # Nobody listens there, so nothing ran; another lookup may name another proxy.
            response.outcome, self.valid_until = NOT_RUN, durations.ZERO
        elif result.fault or not _is_response_to(result, request_id, attempt):
            response.outcome, response.body = UNKNOWN, b''
            response.fault = result.fault or 'reply altered or of another request'
        if response.status in (403, 503):
            self.valid_until = durations.ZERO
        return response

    def _headers(self, request: Request, request_id: str, attempt: int, left: datetime.timedelta) -> dict[str, str]:
        headers = {
            'zt-id': request_id,
            'zt-attempt': str(attempt),
            'zt-left-ms': str(max(1, durations.to_ms(left))),
            'content-type': 'application/json',
        }
        if self.home:
            headers['zt-home'] = ','.join(self.home)
        if request.labels:
            headers['zt-labels'] = ','.join(f'{label}={value}' for label, value in request.labels.items())
        return headers


def _is_response_to(result: effects.HttpResult, request_id: str, attempt: int) -> bool:
    """Whether a result is intact and belongs to this attempt of this request."""
    return (
        seal.is_intact(result.status, result.headers, result.body)
        and result.headers.get('zt-id') == request_id
        and result.headers.get('zt-attempt') == str(attempt)
    )


def retry_after(response: Response) -> datetime.timedelta:
    """How long to wait before a retry: as the response says, or longer with each attempt."""
    try:
        return durations.ms(json.loads(response.body)['retry_ms'])
    except (ValueError, KeyError, TypeError):
        return durations.ms(RETRY_STEP_MS * response.attempts)
