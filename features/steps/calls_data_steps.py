"""Steps of calls_data.feature: the responses that clients get while endpoints misbehave on their connections."""

import random
import time
import unittest.mock as mock

import behave
import twisted.internet.reactor as reactor

import features.support.endpoint_actions as endpoint_actions
import features.support.scripted_endpoints as scripted_endpoints

REQUESTS_AT_ONCE = 12


@behave.given('a proxy on loopback with two scripted endpoints')
def proxy_with_two_endpoints(context):
    context.loopback = scripted_endpoints.LoopbackProxy(2)


@behave.given('a proxy on loopback with one scripted endpoint')
def proxy_with_one_endpoint(context):
    context.loopback = scripted_endpoints.LoopbackProxy(1)


@behave.when('a {kind} request is sent to an endpoint that {action}')
def request_is_sent_to_endpoint(context, kind: str, action: str):
    context.loopback.script = [endpoint_actions.ACTIONS[action]]
    context.started_at = time.monotonic()
    context.request_id = context.loopback.request(kind)


@behave.when('a {kind} request with {left:d} ms left is sent to an endpoint that {action}')
def request_with_time_left_is_sent_to_endpoint(context, kind: str, left: int, action: str):
    context.loopback.script = [endpoint_actions.ACTIONS[action]]
    context.started_at = time.monotonic()
    context.request_id = context.loopback.request(kind, left)
    context.took = time.monotonic() - context.started_at


def serve_and_keep(request_id):
    """Serve a request, with a keep-alive timeout that is longer than any pause of a busy machine."""
    return endpoint_actions.serve(request_id, headers=b'Keep-Alive: timeout=9\r\n')


@behave.when('a {kind} request is served, and the next one on its connection is sent to an endpoint that {action}')
def request_on_reused_connection_is_sent_to_endpoint(context, kind: str, action: str):
    loopback = context.loopback
    loopback.script = [serve_and_keep, endpoint_actions.ACTIONS[action]]
    loopback.request(kind)
    context.request_id = loopback.request(kind)
    assert loopback.host.endpoint_client.opened == 1, 'the connection was not reused'


@behave.then('its client gets {status:d}, and it ran {runs:d} times')
def client_gets_status_after_runs(context, status: int, runs: int):
    loopback, request_id = context.loopback, context.request_id
    # A further request is served first: by then any retry of this one has been sent.
    loopback.request('once')
    received = loopback.responses[request_id].status
    assert (received, len(loopback.ran[request_id])) == (status, runs), (received, loopback.ran[request_id])


@behave.then('no guarantee about calls is violated')
def no_guarantee_is_violated(context):
    assert not context.loopback.violations(), context.loopback.violations()


@behave.when('{count:d} often requests are each sent to an endpoint that is silent')
def requests_are_sent_to_silent_endpoint(context, count: int):
    loopback = context.loopback
    loopback.choose_action = endpoint_actions.ACTIONS['is silent']
    for request_id, client in [loopback.send('often') for _ in range(count)]:
        loopback.receive(request_id, client)


@behave.then("none was sent to more endpoints than its rule's attempts")
def attempts_stay_within_rule(context):
    sent = [len(incarnations) for incarnations in context.loopback.arrived.values()]
    assert max(sent) == 2, sent


@behave.then("its response came within {margin_ms:d} ms after its rule's timeout")
def response_comes_within_timeout(context, margin_ms: int):
    assert scripted_endpoints.RULE_MS / 1000 <= context.took < (scripted_endpoints.RULE_MS + margin_ms) / 1000, (
        context.took
    )


@behave.when('{count:d} once requests are served after {delay_ms:d} ms each')
def slow_requests_are_served(context, count: int, delay_ms: int):
    loopback = context.loopback
    connection_type = scripted_endpoints.ScriptedEndpointConnection
    perform = connection_type.perform

    def perform_later(connection, request_id, action):
        reactor.callLater(delay_ms / 1000, perform, connection, request_id, action)

    with mock.patch.object(connection_type, 'perform', perform_later):
        for request_id, client in [loopback.send('once') for _ in range(count)]:
            assert loopback.receive(request_id, client).status == 200


@behave.when('{count:d} requests of both kinds are sent to endpoints that act at random under seed {seed:d}')
def requests_are_sent_to_random_endpoints(context, count: int, seed: int):
    loopback = context.loopback
    loopback.rng = random.Random(seed)
    loopback.choose_action = loopback.act_at_random
    for _ in range(0, count, REQUESTS_AT_ONCE):
        batch = [loopback.send(loopback.rng.choice(('once', 'often'))) for _ in range(REQUESTS_AT_ONCE)]
        for request_id, client in batch:
            loopback.receive(request_id, client)
    loopback.choose_action = endpoint_actions.serve
    for _ in range(4):
        loopback.request('once')
