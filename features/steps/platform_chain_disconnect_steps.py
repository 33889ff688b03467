"""Steps of platform_chain.feature: clients that disconnect while endpoints execute their request."""

import signal
import socket
import struct
import time

import behave

import features.support.deployment_client as deployment_client

# Much less than the remaining deadline of a request in progress, and enough for a busy machine.
CLOSE_LIMIT_S = 12
REMAINING_MS = 30000
ROUTES = {
    'one endpoint': deployment_client.LONG_TIMEOUT_ROUTE,
    'two endpoints': deployment_client.LONG_TIMEOUT_HEDGED_ROUTE,
}
ENDPOINT_COUNTS = {'one endpoint': 1, 'two endpoints': 2}
SIGNALS = {'told to end': signal.SIGTERM, 'killed': signal.SIGKILL}


def connect_and_send(ingress: str, route: str, attempt_id: str) -> socket.socket:
    """Open a connection, send a request on it and return it."""
    host, _, port = ingress.rpartition(':')
    connection = socket.create_connection((host, int(port)), timeout=deployment_client.RESPONSE_TIMEOUT_S)
    lines = [
        f'GET /{route}/x HTTP/1.1',
        f'Host: {deployment_client.HOST}',
        f'Zinctrail-Attempt-Id: {attempt_id}',
        f'Zinctrail-Deadline-Remaining: {REMAINING_MS}',
    ]
    connection.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')
    return connection


def send_and_wait(context, ingress: str, where: str) -> socket.socket:
    """Send a request and return its connection once the endpoints execute it."""
    deployment = deployment_client.running()
    deployment_client.add_long_timeout_routes(ingress)
    # The retry budget that pays for a hedge grows with the requests that were served.
    for _ in range(10):
        deployment_client.send_request(ingress)
    for test_endpoint in context.endpoints:
        test_endpoint.behaviours = ['work']
    context.route = ROUTES[where]
    context.attempt_id = deployment.new_attempt_id()
    connection = connect_and_send(ingress, context.route, context.attempt_id)
    deployment.wait_until(
        lambda: len(deployment_client.executions(context.attempt_id)) == ENDPOINT_COUNTS[where],
        f'{where} to execute the request',
    )
    return connection


@behave.when('a client {leaves} its connection while its request is worked on at {where}')
def client_disconnects(context, leaves: str, where: str):
    connection = send_and_wait(context, context.ingress, where)
    if leaves == 'resets':
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    connection.close()


@behave.when('a client closes its connection at a proxy that was {end}, while its request is worked on at one endpoint')
def client_disconnects_from_stopping_proxy(context, end: str):
    context.stopped = deployment_client.running().edges[0]
    connection = send_and_wait(context, context.stopped.ingress, 'one endpoint')
    context.stopped.signal(SIGNALS[end])
    context.signalled_at = time.monotonic()
    connection.close()


@behave.then('each endpoint sees its connection close long before the deadline of the request')
def endpoints_see_the_close(context):
    endpoints = [test_endpoint for test_endpoint, _ in deployment_client.executions(context.attempt_id)]
    try:
        deployment_client.running().wait_until(
            lambda: all(context.attempt_id in test_endpoint.dropped for test_endpoint in endpoints),
            'the endpoints to see their connections close',
            CLOSE_LIMIT_S,
        )
    except RuntimeError as late:
        raise AssertionError('an endpoint still executes the request of a client that has disconnected') from late
    finally:
        for test_endpoint in context.endpoints:
            test_endpoint.behaviours = []


@behave.then('the proxy has exited within its grace period')
def proxy_has_exited(context):
    context.stopped.wait(30)
    took_s = time.monotonic() - context.signalled_at
    assert took_s < context.stopped.settings['bounds']['grace_period_s'] * deployment_client.contention(), took_s
