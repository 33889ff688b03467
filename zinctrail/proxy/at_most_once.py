"""Requests that may run at most once: their claims, kept results, and attempts that are answered from them."""

import base64
import collections
import dataclasses
import typing

import zinctrail.client.seal as seal
import zinctrail.consensus.codec as codec
import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.control.claims as claims
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record

Request = request_record.Request
# Memory for kept results is bounded; an attempt whose result is forgotten is answered "unknown".
MAX_STORED_RESULTS = 20000
MAX_STORED_BYTES = 64 << 20
RETRY_NO_CLAIM_MS = 500
RETRY_CLAIM_CLOSED_MS = 200


class StoredResponse(typing.NamedTuple):
    """The response that attempts of one id get."""

    status: int
    headers: dict[str, str]
    body: bytes


class ResultQuery(typing.NamedTuple):
    """Another proxy's question for the result of an id that it can not claim."""

    addr: str
    key: int


@dataclasses.dataclass(slots=True)
class StoredResult:
    """An at-most-once id as this proxy knows it, and who waits for its result."""

    epoch: int
    # The nonce of the claim that this proxy made for it; '' where another proxy made one.
    claim_nonce: str = ''
    # Whether an attempt of it is under way here.
    is_running: bool = True
    # What it became; None while that is open.
    response: StoredResponse | None = None
    # The zone where it ran; '' where nothing ran, as far as is known.
    zone: str = ''
    waiting: list[Request] = dataclasses.field(default_factory=list)
    queries: list[ResultQuery] = dataclasses.field(default_factory=list)


def ran_outside_home() -> refusals.Refusal:
    """The refusal of an attempt whose result lies outside its home regions."""
    return refusals.OutcomeUnknown(409, 'claimed or run before, outside these home regions')


def epoch_of(request: Request) -> int:
    """The epoch that its id begins with; the pass that accepts a request refuses ids without one."""
    epoch = claims.epoch_of(request.id)
    assert epoch is not None
    return epoch


class AtMostOnce(proxy_part.ProxyPart):
    """Claims ids with the leader, keeps results, answers other attempts and other proxies."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up without results."""
        super().__init__(proxy)
        # {id: StoredResult}, oldest first, and the size of the responses in it.
        self.stored_results: collections.OrderedDict[str, StoredResult] = collections.OrderedDict()
        self.stored_bytes = 0
        # Requests whose result another proxy is asked for: {key of the query: Request}.
        self.result_queries: dict[int, Request] = {}

    # -- kept results -----------------------------------------------------

    def begin_result(self, request: Request) -> None:
        """Note that an attempt is under way; forget the oldest results where there are too many."""
        self.stored_results[request.id] = StoredResult(epoch_of(request), request.claim_nonce)
        while len(self.stored_results) > MAX_STORED_RESULTS or self.stored_bytes > MAX_STORED_BYTES:
            oldest_id, oldest = next(iter(self.stored_results.items()))
            if oldest.is_running:
                break
            self.forget_result(oldest_id)

    def end_result(
        self, request: Request, stored: StoredResult, response: StoredResponse | None, has_run: bool
    ) -> None:
        """Keep the response of an attempt that ended; without one its claim is closed, and the next starts anew."""
        stored.is_running = False
        if response is None:
            del self.stored_results[request.id]
            return
        stored.response, stored.zone = response, request.zone if has_run else ''
        self.stored_bytes += len(response.body)

    def replace_response(self, stored: StoredResult, status: int, headers: dict[str, str], body: bytes) -> None:
        """Keep another response than before for an id."""
        assert stored.response is not None
        self.stored_bytes += len(body) - len(stored.response.body)
        stored.response = StoredResponse(status, headers, body)

    def forget_result(self, request_id: str) -> None:
        """Drop what is kept of an id."""
        stored = self.stored_results.pop(request_id)
        if stored.response:
            self.stored_bytes -= len(stored.response.body)

    def forget_old_results(self) -> None:
        """Drop results of epochs whose claims are no longer retained."""
        oldest = (self.proxy.replica.get('meta', 'epoch') or 0) - self.proxy.settings.epochs_kept
        for request_id in [i for i, k in self.stored_results.items() if k.epoch <= oldest and not k.is_running]:
            self.forget_result(request_id)

    def replay(self, request: Request, response: StoredResponse, zone: str) -> None:
        """Answer an attempt with the response of another, which ran in `zone`."""
        if self.is_outside_home(request, zone):
            self.proxy.runner.refuse(request, ran_outside_home())
            return
        status, headers, body = response
        # With its own attempt number: the caller matches the response with what it sent.
        headers = seal.add(status, dict(headers, **{'zt-attempt': str(request.attempt), 'zt-kept': '1'}), body)
        self.proxy.counts[refusals.REPLAYED] += 1
        self.proxy.request_metrics.observe_end(request, status, refusals.REPLAYED)
        self.proxy.client_responses.complete(request, status, headers, body, has_run=True)

    def is_outside_home(self, request: Request, zone: str) -> bool:
        """Whether a zone lies outside the request's home regions."""
        return (
            bool(request.allowed_regions and zone) and self.proxy.routes.region_of(zone) not in request.allowed_regions
        )

    # -- claims -----------------------------------------------------------

    def handle_claim_result(self, request: Request, result: dict) -> None:
        """The leader's answer to `claim`."""
        if not self.proxy.runner.is_pending(request):
            return
        got = result.get('got')
        if got == 'claimed':
            request.is_claimed = True
            self.proxy.runner.resume(request)
        elif got == 'taken':
            self.query_owner(request, result)
        elif got == 'old':
            self.proxy.runner.refuse(request, refusals.OutcomeUnknown(409, 'request id of an epoch no longer kept'))
        elif result['status'] == 400:
            self.proxy.runner.refuse(request, refusals.MalformedRequest(result['fault']))
        elif result.get('unknown') is False:
            self.proxy.runner.refuse(
                request, refusals.Unavailable('no master could be asked for a claim', RETRY_NO_CLAIM_MS)
            )
        else:
            # The claim may yet be committed, so that a late copy of this attempt may run.
            self.proxy.runner.refuse(
                request, refusals.OutcomeUnknown(504, 'no claim in time', retry_ms=RETRY_NO_CLAIM_MS)
            )

    def query_owner(self, request: Request, claim: dict) -> None:
        """Another attempt owns the claim: its result is the result, nothing runs here."""
        if claim['state'] == 'closed':
            self.proxy.runner.refuse(
                request, refusals.Unavailable('an attempt this late does not run', RETRY_CLAIM_CLOSED_MS)
            )
            return
        members = self.proxy.replica.get('members')
        owner = claim['by']
        if owner == self.proxy.node or owner not in members:
            self.proxy.runner.refuse(request, refusals.OutcomeUnknown(504, 'ran or not under a proxy that is gone'))
            return
        if self.is_outside_home(request, members[owner]['cell']):
            # Its result was carried outside these home regions, and must not be carried in.
            self.proxy.runner.refuse(request, ran_outside_home())
            return
        key = self.proxy.next_number()
        request.waiting_for = request_record.Waiting.OWNER
        self.result_queries[key] = request
        self.proxy.send_message(claim['at'], traffic_messages.ResultRequest(key=key, request_id=request.id))

    # -- results between proxies ------------------------------------------

    def handle_result_request(self, message: traffic_messages.ResultRequest) -> None:
        """Another proxy asks for the result of an id; answered when that is known."""
        stored = self.stored_results.get(message.request_id)
        query = ResultQuery(codec.sender_of(message).address, message.key)
        if stored is not None and stored.is_running:
            stored.queries.append(query)
        else:
            self.send_result(query, message.request_id, stored)

    def send_result(self, query: ResultQuery, request_id: str, stored: StoredResult | None) -> None:
        """Answer another proxy's query; without a result where none is known."""
        response: list | None = None
        zone = ''
        if stored is not None and stored.response:
            status, headers, body = stored.response
            response = [status, headers, base64.b64encode(body).decode()]
            zone = stored.zone
        answer = traffic_messages.ResultResponse(key=query.key, request_id=request_id, result=response, zone=zone)
        self.proxy.send_message(query.addr, answer)

    def handle_result_response(self, message: traffic_messages.ResultResponse) -> None:
        """The answer of the claim's owner."""
        request = self.result_queries.get(message.key)
        if request is None or message.request_id not in (None, request.id):
            # It answers whoever had our address before us, and used the same number.
            return
        del self.result_queries[message.key]
        if not self.proxy.runner.is_pending(request):
            return
        if not message.result or message.request_id is None:
            # A sender of the previous release names no request, so that it may be the result of another one.
            self.proxy.runner.refuse(
                request, refusals.OutcomeUnknown(504, 'claimed before, and its outcome is not known')
            )
            return
        status, headers, body = message.result
        self.replay(request, StoredResponse(status, headers, base64.b64decode(body)), message.zone or '')
