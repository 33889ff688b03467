"""At-most-once requests: their claims, their stored results, and the replay of results to further attempts."""

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
import zinctrail.runtime.process_limits as process_limits

Request = request_record.Request
# The limit of the number of stored results, beside that of their bytes; an attempt whose result was evicted gets the
# outcome "unknown".
MAX_STORED_RESULTS = 20000
RETRY_NO_CLAIM_MS = 500
RETRY_CLAIM_CLOSED_MS = 200


class StoredResponse(typing.NamedTuple):
    """The response that is replayed to every attempt with the same request id."""

    status: int
    headers: dict[str, str]
    body: bytes


class ResultQuery(typing.NamedTuple):
    """Another proxy's query for the result of a request id that it could not claim."""

    addr: str
    key: int


@dataclasses.dataclass(slots=True)
class StoredResult:
    """Holds the state of one at-most-once request id on this proxy, with the requests and queries waiting for it."""

    epoch: int
    # The nonce of this proxy's claim for the id; '' if another proxy made the claim.
    claim_nonce: str = ''
    # Whether an attempt with the id is in progress on this proxy.
    is_running: bool = True
    # The final response; None until there is one.
    response: StoredResponse | None = None
    # The zone where the request ran; '' if nothing is known to have run.
    zone: str = ''
    # Attempts of the same id, and queries of other proxies, that wait for the result.
    waiting: list[Request] = dataclasses.field(default_factory=list)
    queries: list[ResultQuery] = dataclasses.field(default_factory=list)


def ran_outside_home() -> refusals.Refusal:
    """Return the refusal of an attempt whose request was claimed or run outside its home regions."""
    return refusals.OutcomeUnknown(409, 'claimed or run before, outside these home regions')


def epoch_of(request: Request) -> int:
    """Return the epoch at the start of the request's id; the `accept` stage has refused ids without one."""
    epoch = claims.epoch_of(request.id)
    assert epoch is not None
    return epoch


class AtMostOnce(proxy_part.ProxyPart):
    """Handles claim results, stores the results of requests, and replays them to other attempts and other proxies."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start without stored results."""
        super().__init__(proxy)
        # {request id: StoredResult}, oldest first, and the total size of the response bodies in it.
        self.stored_results: collections.OrderedDict[str, StoredResult] = collections.OrderedDict()
        self.stored_bytes = 0
        # {key of the query: Request}: requests whose result was requested from another proxy.
        self.result_queries: dict[int, Request] = {}

    # -- stored results ---------------------------------------------------

    def begin_result(self, request: Request) -> None:
        """Record that an attempt is in progress; evict the oldest results while the bounds are exceeded."""
        self.stored_results[request.id] = StoredResult(epoch_of(request), request.claim_nonce)
        max_bytes = process_limits.max_stored_bytes(self.proxy.settings)
        while len(self.stored_results) > MAX_STORED_RESULTS or self.stored_bytes > max_bytes:
            oldest_id, oldest = next(iter(self.stored_results.items()))
            if oldest.is_running:
                break
            self.discard_result(oldest_id)

    def end_result(
        self, request: Request, stored: StoredResult, response: StoredResponse | None, has_run: bool
    ) -> None:
        """Store the response of an attempt that ended.

        With no response the claim is closed, and the entry is removed, so that the next attempt starts afresh.
        """
        stored.is_running = False
        if response is None:
            del self.stored_results[request.id]
            return
        stored.response, stored.zone = response, request.zone if has_run else ''
        self.stored_bytes += len(response.body)

    def replace_response(self, stored: StoredResult, status: int, headers: dict[str, str], body: bytes) -> None:
        """Replace the stored response of a request id."""
        assert stored.response is not None
        self.stored_bytes += len(body) - len(stored.response.body)
        stored.response = StoredResponse(status, headers, body)

    def discard_result(self, request_id: str) -> None:
        """Remove the stored result of a request id."""
        stored = self.stored_results.pop(request_id)
        if stored.response:
            self.stored_bytes -= len(stored.response.body)

    def discard_old_results(self) -> None:
        """Remove the results of epochs whose claims are no longer retained."""
        oldest = (self.proxy.replica.get('meta', 'epoch') or 0) - self.proxy.settings.epochs_kept
        for request_id in [i for i, k in self.stored_results.items() if k.epoch <= oldest and not k.is_running]:
            self.discard_result(request_id)

    def replay(self, request: Request, response: StoredResponse, zone: str) -> None:
        """Respond to an attempt with the stored response of another attempt, which ran in `zone`."""
        if self.is_outside_home(request, zone):
            self.proxy.runner.refuse(request, ran_outside_home())
            return
        status, headers, body = response
        # The response carries this attempt's own number, because the caller matches responses with attempts by it.
        headers = seal.add(status, dict(headers, **{'zt-attempt': str(request.attempt), 'zt-kept': '1'}), body)
        self.proxy.counts[refusals.REPLAYED] += 1
        self.proxy.request_metrics.observe_end(request, status, refusals.REPLAYED)
        self.proxy.client_responses.complete(request, status, headers, body, has_run=True)

    def is_outside_home(self, request: Request, zone: str) -> bool:
        """True if a zone lies outside the request's home regions."""
        return (
            bool(request.allowed_regions and zone) and self.proxy.routes.region_of(zone) not in request.allowed_regions
        )

    # -- claims -----------------------------------------------------------

    def handle_claim_result(self, request: Request, result: dict) -> None:
        """Handle the leader's result of the operation `claim`."""
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
            # The claim may still be committed, and then a delayed copy of this attempt may run.
            self.proxy.runner.refuse(
                request, refusals.OutcomeUnknown(504, 'no claim in time', retry_ms=RETRY_NO_CLAIM_MS)
            )

    def query_owner(self, request: Request, claim: dict) -> None:
        """Request the result from the proxy that owns the claim; nothing runs here, since another attempt owns it."""
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
            # The result is held outside these home regions, and must not be brought into them.
            self.proxy.runner.refuse(request, ran_outside_home())
            return
        key = self.proxy.next_number()
        request.waiting_for = request_record.Waiting.OWNER
        self.result_queries[key] = request
        self.proxy.send_message(claim['at'], traffic_messages.ResultRequest(key=key, request_id=request.id))

    # -- results between proxies ------------------------------------------

    def handle_result_request(self, message: traffic_messages.ResultRequest) -> None:
        """Handle another proxy's query for a result; respond at once, or when the attempt in progress ends."""
        stored = self.stored_results.get(message.request_id)
        query = ResultQuery(codec.sender_of(message).address, message.key)
        if stored is not None and stored.is_running:
            stored.queries.append(query)
        else:
            self.send_result(query, message.request_id, stored)

    def send_result(self, query: ResultQuery, request_id: str, stored: StoredResult | None) -> None:
        """Send the response to another proxy's query; its result is None if no response is stored."""
        response: list | None = None
        zone = ''
        if stored is not None and stored.response:
            status, headers, body = stored.response
            response = [status, headers, base64.b64encode(body).decode()]
            zone = stored.zone
        answer = traffic_messages.ResultResponse(key=query.key, request_id=request_id, result=response, zone=zone)
        self.proxy.send_message(query.addr, answer)

    def handle_result_response(self, message: traffic_messages.ResultResponse) -> None:
        """Handle the response of the proxy that owns the claim."""
        request = self.result_queries.get(message.key)
        if request is None or message.request_id not in (None, request.id):
            # The message is for the process that had this address before and used the same key.
            return
        del self.result_queries[message.key]
        if not self.proxy.runner.is_pending(request):
            return
        if not message.result or message.request_id is None:
            # A sender of the previous release omits the request id, so the result may be of another request.
            self.proxy.runner.refuse(
                request, refusals.OutcomeUnknown(504, 'claimed before, and its outcome is not known')
            )
            return
        status, headers, body = message.result
        self.replay(request, StoredResponse(status, headers, base64.b64decode(body)), message.zone or '')
