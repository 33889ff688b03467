"""Steps of platform_chain.feature: processes of a real deployment are told to end, are killed and start again."""

import signal
import threading
import time

import behave

import features.support.deployment_client as deployment_client
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents

# Long, because a silent request is hedged elsewhere, and here the endpoints are silent on purpose.
HELD_ROUTE_MS = 60000
HELD_LEFT_MS = 20000
JOIN_S = 20
# The routes of requests that may run once.
ONCE_PATHS = ('/r4/', '/r7/')


def add_held_routes(front: str):
    """Add routes whose requests may wait long, and wait until a proxy knows them."""
    deployment_client.add_routes(
        [
            platform_documents.route('r6', timeout_ms=HELD_ROUTE_MS, target_ms=HELD_ROUTE_MS),
            platform_documents.route('r7', timeout_ms=HELD_ROUTE_MS, target_ms=HELD_ROUTE_MS, kind='non_idempotent'),
        ]
    )
    deployment_client.running().wait_until(
        lambda: {deployment_client.send_request(front, route).status for route in ('r6', 'r7')} == {200},
        'the new routes',
    )


def send_and_keep(context, front: str, route: str):
    """Send a request, and keep the response."""
    context.responses.append(deployment_client.send_request(front, route, left_ms=HELD_LEFT_MS))


def hold_requests(context, front: str):
    """Send three requests, each from a thread of its own, and wait until endpoints hold all of them."""
    deployment = deployment_client.running()
    for stand_in in context.endpoints:
        stand_in.released.clear()
        stand_in.behaviours = ['hold'] * 3
    context.responses = []
    context.clients = [
        threading.Thread(target=send_and_keep, args=(context, front, route)) for route in ('r6', 'r6', 'r7')
    ]
    before = len(deployment.executed)
    for client in context.clients:
        client.start()

    def are_held():
        paths = [request['path'] for request in deployment.executed[before:]]
        return sum(path in ('/r6/x', '/r7/x') for path in paths) >= 3

    deployment.wait_until(are_held, 'them to run')


def tell_to_end(context, process):
    """Send SIGTERM."""
    context.ended = process
    process.signal(signal.SIGTERM)
    context.told_at = time.monotonic()


@behave.when('a proxy is told to end while requests are at their endpoints')
def proxy_ends_with_requests(context):
    proxy = deployment_client.running().edges[0]
    add_held_routes(proxy.front)
    hold_requests(context, proxy.front)
    tell_to_end(context, proxy)


@behave.then('it is not ready any more, and resolutions stop naming it')
def ending_proxy_is_not_named(context):
    deployment, proxy = deployment_client.running(), context.ended
    deployment.wait_until(lambda: not deployment.is_ready(proxy), 'it to be unready')
    others = [process for process in deployment.edges if process is not proxy]
    deployment_client.wait_for_resolutions(others, 'resolutions without it', 10)


@behave.then('once the endpoints answer, every client has its answer')
def held_requests_are_answered(context):
    assert not context.responses, context.responses
    for stand_in in context.endpoints:
        stand_in.behaviours = []
        stand_in.released.set()
    for client in context.clients:
        client.join(JOIN_S)
    assert [response.status for response in context.responses] == [200] * 3, context.responses
    for response in context.responses:
        assert len(deployment_client.executions(response.attempt_id)) == 1


@behave.then('the {what} has ended with code 0 within its grace')
def process_has_ended(context, what: str):
    assert context.ended.wait(30) == 0
    took_s = time.monotonic() - context.told_at
    assert took_s < context.ended.settings['bounds']['grace_period_s'] * deployment_client.contention(), took_s


@behave.then('requests through the other proxy are answered well')
def other_proxy_serves(context):
    for process in deployment_client.running().edges:
        if process is not context.ended:
            deployment_client.wait_for_good_response(process.front)


@behave.when('the ended {what} starts again')
def process_starts_again(context, what: str):
    context.ended.settings['first_start'] = False
    context.ended.start()


@behave.then('resolutions name it again')
def restarted_proxy_is_named(context):
    deployment_client.wait_for_resolutions(deployment_client.running().edges, 'resolutions with it')


def leader(deployment):
    """The control node that leads, or None."""
    for process in deployment.cores:
        response = http_calls.call(process.internal, 'GET', '/v1/self')
        if response.document['state']['mode'] == 'leader':
            return process
    return None


@behave.when('the leader is told to end while the operator sends changes')
def leader_ends_within_changes(context):
    deployment = deployment_client.running()
    leading = deployment.wait_until(lambda: leader(deployment), 'a leader')
    for number in range(5):
        deployment_client.change_route(number)
    tell_to_end(context, leading)
    for number in range(5, 20):
        deployment_client.change_route(number)


@behave.then('each acknowledged change is read back')
def acknowledged_changes_stand(context):
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


@behave.then('no request ran twice that may run once, and nothing ran that nobody sent')
def executions_are_right(context):
    deployment = deployment_client.running()
    once = [request['id'] for request in deployment.executed if request['path'].startswith(ONCE_PATHS)]
    assert len(once) > 20 and len(once) == len(set(once)), len(once)
    executed = {request['id'] for request in deployment.executed}
    assert executed <= deployment.attempts, executed - deployment.attempts
