"""Steps of platform_chain.feature: processes of a real deployment that are stopped, killed and restarted."""

import signal
import threading
import time

import behave

import features.support.deployment_client as deployment_client
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents

# Long, because the endpoints hold these requests, and a request without a response would be hedged elsewhere.
HELD_ROUTE_MS = 60000
HELD_REMAINING_MS = 20000
JOIN_S = 20
# Path prefixes of the non-idempotent routes.
NON_IDEMPOTENT_PATHS = ('/r4/', '/r7/')


def add_held_routes(ingress: str):
    """Add routes with long timeouts, and wait until a proxy has them in force."""
    deployment_client.add_routes(
        [
            platform_documents.route('r6', timeout_ms=HELD_ROUTE_MS, target_ms=HELD_ROUTE_MS),
            platform_documents.route('r7', timeout_ms=HELD_ROUTE_MS, target_ms=HELD_ROUTE_MS, kind='non_idempotent'),
        ]
    )
    deployment_client.running().wait_until(
        lambda: {deployment_client.send_request(ingress, route).status for route in ('r6', 'r7')} == {200},
        'the new routes',
    )


def send_and_store_response(context, ingress: str, route: str):
    """Send a request and append its response to the context."""
    context.responses.append(deployment_client.send_request(ingress, route, remaining_ms=HELD_REMAINING_MS))


def hold_requests(context, ingress: str):
    """Send three requests, each from a thread of its own, and wait until endpoints hold all of them."""
    deployment = deployment_client.running()
    for test_endpoint in context.endpoints:
        test_endpoint.released.clear()
        test_endpoint.behaviours = ['hold'] * 3
    context.responses = []
    context.clients = [
        threading.Thread(target=send_and_store_response, args=(context, ingress, route)) for route in ('r6', 'r6', 'r7')
    ]
    before = len(deployment.executed)
    for client in context.clients:
        client.start()

    def are_held():
        paths = [request['path'] for request in deployment.executed[before:]]
        return sum(path in ('/r6/x', '/r7/x') for path in paths) >= 3

    deployment.wait_until(are_held, 'endpoints to hold all requests')


def send_sigterm(context, process):
    """Send SIGTERM to a process and record the time."""
    context.stopped = process
    process.signal(signal.SIGTERM)
    context.signalled_at = time.monotonic()


@behave.when('a proxy gets SIGTERM while endpoints hold requests')
def proxy_stops_with_requests(context):
    proxy = deployment_client.running().edges[0]
    add_held_routes(proxy.ingress)
    hold_requests(context, proxy.ingress)
    send_sigterm(context, proxy)


@behave.then('the proxy is no longer ready, and resolutions no longer name it')
def stopping_proxy_is_not_named(context):
    deployment, proxy = deployment_client.running(), context.stopped
    deployment.wait_until(lambda: not deployment.is_ready(proxy), f'{proxy.name} to be unready')
    others = [process for process in deployment.edges if process is not proxy]
    deployment_client.wait_for_resolutions(others, 'resolutions without it', 10)


@behave.then('once the endpoints respond, every client gets its response')
def held_requests_get_responses(context):
    assert not context.responses, context.responses
    for test_endpoint in context.endpoints:
        test_endpoint.behaviours = []
        test_endpoint.released.set()
    for client in context.clients:
        client.join(JOIN_S)
    assert [response.status for response in context.responses] == [200] * 3, context.responses
    for response in context.responses:
        assert len(deployment_client.executions(response.attempt_id)) == 1


@behave.then('the {role} has exited with code 0 within its grace period')
def process_has_exited(context, role: str):
    assert context.stopped.wait(30) == 0
    took_s = time.monotonic() - context.signalled_at
    assert took_s < context.stopped.settings['bounds']['grace_period_s'] * deployment_client.contention(), took_s


@behave.then('requests through the other proxy get correct responses')
def other_proxy_serves(context):
    for process in deployment_client.running().edges:
        if process is not context.stopped:
            deployment_client.wait_for_good_response(process.ingress)


@behave.when('the stopped {role} starts again')
def process_starts_again(context, role: str):
    context.stopped.settings['first_start'] = False
    context.stopped.start()


@behave.then('resolutions name the proxy again')
def restarted_proxy_is_named(context):
    deployment_client.wait_for_resolutions(deployment_client.running().edges, 'resolutions with it')


def leader(deployment):
    """Return the process of the leader, or None."""
    for process in deployment.cores:
        response = http_calls.call(process.internal, 'GET', '/v1/self')
        if response.document['state']['mode'] == 'leader':
            return process
    return None


@behave.when('the leader gets SIGTERM while the operator sends changes')
def leader_stops_during_changes(context):
    deployment = deployment_client.running()
    leading = deployment.wait_until(lambda: leader(deployment), 'a leader')
    for number in range(5):
        deployment_client.change_route(number)
    send_sigterm(context, leading)
    for number in range(5, 20):
        deployment_client.change_route(number)


@behave.then('each acknowledged change is read back')
def acknowledged_changes_are_read_back(context):
    response = deployment_client.running().call_control('GET', '/v1/configuration')
    deployment_client.assert_configuration_in_force(response)


@behave.when('every process is killed and starts again')
def all_processes_are_killed(context):
    deployment = deployment_client.running()
    deployment_client.change_route(30)
    for process in deployment.processes:
        process.signal(signal.SIGKILL)
    for process in deployment.processes:
        process.wait()
        process.settings['first_start'] = False
        process.start()


@behave.then('no non-idempotent request was executed twice, and no request was executed that no client sent')
def executions_are_right(context):
    deployment = deployment_client.running()
    once = [request['id'] for request in deployment.executed if request['path'].startswith(NON_IDEMPOTENT_PATHS)]
    assert len(once) > 20 and len(once) == len(set(once)), len(once)
    executed = {request['id'] for request in deployment.executed}
    assert executed <= deployment.attempts, executed - deployment.attempts
