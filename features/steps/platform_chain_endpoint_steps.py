"""Steps of platform_chain.feature: endpoints of a real deployment that misbehave, drain or crash, and home regions."""

import time

import behave

import features.support.deployment_client as deployment_client
import features.support.endpoint as endpoint
import features.support.platform_documents as platform_documents

# The route for each kind of request.
ROUTES = {'idempotent': 'r1', 'non_idempotent': 'r4'}
WARM_UP_REQUESTS = 8
# More behaviours than there will be requests.
MANY = 10000
EXECUTION_COUNTS = {'once': (1,), 'twice': (2,), 'once or twice': (1, 2)}


@behave.when('the first endpoint to get a request of kind {kind} behaves as {behaviour}')
def first_endpoint_behaves(context, kind: str, behaviour: str):
    context.route = ROUTES[kind]
    # Sent first, because the retry budget of a proxy grows with the requests it has served.
    for _ in range(WARM_UP_REQUESTS):
        assert deployment_client.send_request(context.ingress, context.route).status == 200
    # All endpoints share one list, so that only the first to get a request misbehaves.
    behaviours = [behaviour]
    for test_endpoint in context.endpoints:
        test_endpoint.behaviours = behaviours
    is_silent_for_long = behaviour in ('silent', 'other') and kind == 'non_idempotent'
    context.response = deployment_client.send_request(
        context.ingress, context.route, remaining_ms=1200 if is_silent_for_long else 10000
    )
    assert not behaviours


def assert_own_response(response):
    """Assert that a response comes from the endpoint that executed the request, with that endpoint's seal."""
    test_endpoint, request = deployment_client.execution_of(response)
    body = endpoint.response_body(test_endpoint, request)
    assert response.body == body, response
    assert response.headers['zinctrail-server-seal'] == endpoint.seal_of(response.attempt_id, body), response


@behave.then('the client gets {wanted}, and the request was executed {times}')
def client_gets_status_and_executions(context, wanted: str, times: str):
    response = context.response
    statuses = [0 if status == 'no answer' else int(status) for status in wanted.split(' or ')]
    assert response.status in statuses, response
    executions = deployment_client.executions(response.attempt_id)
    assert len(executions) in EXECUTION_COUNTS[times], executions
    if response.status == 200:
        assert_own_response(response)


@behave.then('the next request on that route gets a correct response')
def next_request_is_served(context):
    for test_endpoint in context.endpoints:
        test_endpoint.end_silence()
    # Several requests, because any of them may use the pooled connection that holds the superfluous response.
    for _ in range(4):
        response = deployment_client.send_request(context.ingress, context.route)
        assert response.status == 200, response
        assert response.headers['zinctrail-attempt-id'] == response.attempt_id, response
        assert response.body == endpoint.response_body(*deployment_client.execution_of(response))


@behave.when('both endpoints respond to a request, and send a second response in place of the next one')
def both_answer_twice(context):
    context.responses = []
    for test_endpoint in context.endpoints:
        test_endpoint.behaviours, test_endpoint.misplaced_copies = ['late'] * MANY, 0

    def has_sent_a_copy():
        context.responses += [deployment_client.send_request(context.ingress, route) for route in ROUTES.values()]
        return any(test_endpoint.misplaced_copies for test_endpoint in context.endpoints)

    # One copy is enough: an endpoint that sent one gets no second request on a connection for some seconds.
    deployment_client.running().wait_until(has_sent_a_copy, 'a response in place of the next one', 40)
    for test_endpoint in context.endpoints:
        test_endpoint.behaviours = []
        # A connection on which a copy is still due would disturb the next scenario.
        test_endpoint.owed_copies.clear()


@behave.then('no client gets the response to another request')
def each_client_gets_its_own(context):
    served = [response for response in context.responses if response.status == 200]
    assert served, context.responses
    for response in served:
        headers = response.headers
        assert response.document['id'] == response.attempt_id == headers['zinctrail-attempt-id'], response
        assert headers['zinctrail-server-seal'] == endpoint.seal_of(response.attempt_id, response.body), response
    assert {response.status for response in context.responses} <= {200, 502}, context.responses


@behave.when('all endpoints refuse a request')
def all_refuse(context):
    for test_endpoint in context.endpoints:
        test_endpoint.behaviours = ['busy'] * 10
    context.response = deployment_client.send_request(context.ingress)
    for test_endpoint in context.endpoints:
        test_endpoint.behaviours = []


@behave.then('the request is refused with {status:d} and Retry-After, and no endpoint executes it')
def refused_and_not_executed(context, status: int):
    response = context.response
    assert response.status == status and 0 < float(response.headers['retry-after']) < 1.2, response
    assert not deployment_client.executions(response.attempt_id)


# -- endpoints that drain and deregister---------------------------------------------


@behave.when('one endpoint reports that it is draining, and the drain is in force at the proxies')
def one_drains(context):
    deployment = deployment_client.running()
    context.draining, context.other = context.endpoints
    assert context.draining.send_heartbeat('draining').status == 200
    start = time.monotonic()
    for process in deployment.edges:
        deployment.wait_until(
            lambda process=process: deployment.has_drain_in_force(process, context.draining),
            f'{process.name} to have the drain in force',
        )
    context.took_s = time.monotonic() - start


@behave.then('this took less than drain_ms, and only the other endpoint executes requests')
def draining_endpoint_gets_no_request(context):
    deployment = deployment_client.running()
    limit_s = deployment.edges[0].settings['bounds']['drain_ms'] / 1000 * deployment_client.contention()
    assert context.took_s < limit_s, context.took_s
    before = len(context.draining.executed)
    for process in deployment.edges:
        for _ in range(10):
            response = deployment_client.send_request(process.ingress, 'r5')
            assert response.status == 200 and response.document['by'] == context.other.identifier, response
    assert len(context.draining.executed) == before


@behave.when('the draining endpoint deregisters')
def draining_endpoint_deregisters(context):
    assert context.draining.deregister().status == 200


@behave.then('no process lists the endpoint, even after a late heartbeat')
def deregistered_endpoint_is_removed(context):
    deployment = deployment_client.running()
    assert context.draining.send_heartbeat('available').status == 200
    context.draining.crash()
    for process in deployment.processes:
        deployment.wait_until(
            lambda process=process: not deployment.knows(process, context.draining),
            f'{process.name} to remove the endpoint',
        )


@behave.when('one endpoint crashes, and an endpoint of sb starts on its address')
def address_is_taken_by_other_service(context):
    old = context.endpoints[0]
    old.crash()
    context.new = deployment_client.running().start_endpoint_at(old.ip, 'sb')


@behave.then('the new endpoint executes no request for sc')
def other_service_gets_no_request(context):
    for _ in range(20):
        for process in deployment_client.running().edges:
            deployment_client.send_request(process.ingress, 'r5')
    assert not [request for request in context.new.executed if request['path'].startswith('/r5/')], context.new.executed


# -- home regions -------------------------------------------------------------------


@behave.when('routes to sa come with home_regions south, with north, and with both')
def routes_with_home_regions(context):
    regions = {'h1': ['south'], 'h2': ['north'], 'h3': ['north', 'south']}
    deployment_client.add_routes(
        [
            platform_documents.route(
                name,
                home_regions=home_regions,
                timeout_ms=deployment_client.ROUTE_TIMEOUT_MS,
                target_ms=deployment_client.ROUTE_TARGET_MS,
            )
            for name, home_regions in regions.items()
        ]
    )


@behave.then('each proxy refuses requests to the first route before execution, and serves the others')
def home_regions_are_kept(context):
    deployment = deployment_client.running()
    for process in deployment.edges:
        ingress = process.ingress
        deployment.wait_until(
            lambda ingress=ingress: deployment_client.send_request(ingress, 'h3').status == 200, 'the routes'
        )
        assert deployment_client.send_request(ingress, 'h2').status == 200
        response = deployment_client.send_request(ingress, 'h1')
        assert response.status == 503 and 'retry-after' in response.headers, response
        assert not deployment_client.executions(response.attempt_id), response
