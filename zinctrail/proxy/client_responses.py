"""Responses to clients' requests: an endpoint's response, or a refusal of this proxy."""

import json

import zinctrail.client.seal as seal
import zinctrail.proxy.at_most_once as at_most_once
import zinctrail.proxy.pipeline as pipeline
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.proxy.refusals as refusals
import zinctrail.proxy.request as request_record
import zinctrail.runtime.effects as effects

Request = request_record.Request
# Response headers that concern one connection, or that this proxy's server sets; never passed on.
CONNECTION_HEADERS = ('connection', 'transfer-encoding', 'content-length', 'date', 'server', 'keep-alive')
# The most characters of a request id that a refusal echoes.
MAX_ECHOED_ID_LENGTH = 100


def passed_headers(result: effects.HttpResult) -> dict[str, str]:
    """Return an endpoint's response headers without those of its connection."""
    return {name: value for name, value in result.headers.items() if name not in CONNECTION_HEADERS}


class ClientResponses(proxy_part.ProxyPart):
    """Sends the responses to clients' requests and to the attempts that wait for the same result."""

    def respond_client_refusal(self, request: Request, refusal: refusals.Refusal) -> None:
        """Respond with a refusal as sealed JSON."""
        outcome = refusal.outcome
        # An earlier attempt may have run, unless this attempt's claim shows that none did.
        if outcome == refusals.NOT_RUN and request.attempt > 1 and not request.is_claimed:
            outcome = refusals.UNKNOWN
        body = {'outcome': outcome, 'attempt_outcome': refusal.outcome, 'fault': str(refusal), **refusal.details()}
        headers = {
            'zt-outcome': outcome,
            'zt-attempt-outcome': refusal.outcome,
            'zt-id': request.id[:MAX_ECHOED_ID_LENGTH],
            'zt-attempt': str(request.attempt),
            'content-type': 'application/json',
        }
        if refusal.retry_ms is not None:
            headers['retry-after'] = str(max(1, round(refusal.retry_ms / 1000)))
        text = json.dumps(body).encode()
        seal.add(refusal.status, headers, text)
        self.proxy.counts[outcome] += 1
        self.proxy.request_metrics.observe_end(request, refusal.status, outcome, str(refusal))
        self.complete(request, refusal.status, headers, text, has_run=False)

    def respond_result(self, request: Request) -> None:
        """Respond with the endpoint's response."""
        result = request.result
        self.proxy.counts[refusals.RAN] += 1
        self.proxy.request_metrics.observe_end(request, result.status, refusals.RAN)
        self.complete(request, result.status, passed_headers(result), result.body, has_run=True)

    def complete(self, request: Request, status: int, headers: dict, body: bytes, has_run: bool) -> None:
        """Send the response, and store it for other attempts with the same request id."""
        self.proxy.runner.remove(request)
        self.proxy.out.append(effects.HttpResponse(request.call_id, status, headers, body))
        if not request.claim_nonce:
            return
        stored = self.proxy.at_most_once.stored_results.get(request.id)
        if stored is None or not stored.is_running:
            return
        is_unknown = headers['zt-outcome'] == refusals.UNKNOWN
        self.proxy.at_most_once.end_result(
            request,
            stored,
            at_most_once.StoredResponse(status, headers, body) if has_run or is_unknown else None,
            has_run,
        )
        for waiting in stored.waiting:
            if self.proxy.runner.is_pending(waiting):
                if stored.response:
                    self.proxy.at_most_once.replay(waiting, stored.response, stored.zone)
                else:
                    self.proxy.runner.resume(waiting, pipeline.replay_stored)
        for query in stored.queries:
            self.proxy.at_most_once.send_result(query, request.id, stored)
