"""Steps of platform_chain.feature: clients that leave while endpoints work on their request."""

import signal
import socket
import struct
import time

import behave

import features.support.deployment_client as deployment_client

# Much less than a request that is worked on has left, and enough for a crowded machine.
SEEN_S = 12
LEFT_MS = 30000
ROUTES = {
    'one endpoint': deployment_client.LONG_TIMEOUT_ROUTE,
    'two endpoints': deployment_client.LONG_TIMEOUT_HEDGED_ROUTE,
}
ENDPOINT_COUNTS = {'one endpoint': 1, 'two endpoints': 2}
ENDS = {'told to end': signal.SIGTERM, 'killed': signal.SIGKILL}


def connect_and_send(front: str, route: str, attempt_id: str) -> socket.socket:
    """A connection on which a request was sent."""
    host, _, port = front.rpartition(':')
    connection = socket.create_connection((host, int(port)), timeout=deployment_client.RESPONSE_TIMEOUT_S)
    lines = [
        f'GET /{route}/x HTTP/1.1',
        f'Host: {deployment_client.HOST}',
        f'Zinctrail-Attempt-Id: {attempt_id}',
        f'Zinctrail-Deadline-Remaining: {LEFT_MS}',
    ]
    connection.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')
    return connection


def send_and_wait(context, front: str, where: str) -> socket.socket:
    """A client's connection, once its request is worked on."""
    deployment = deployment_client.running()
    deployment_client.add_long_timeout_routes(front)
    # The retry budget that pays for a hedge grows with the requests that were served.
    for _ in range(10):
        deployment_client.send_request(front)
    for stand_in in context.endpoints:
        stand_in.behaviours = ['work']
    context.route = ROUTES[where]
    context.attempt_id = deployment.new_attempt_id()
    connection = connect_and_send(front, context.route, context.attempt_id)
    deployment.wait_until(
        lambda: len(deployment_client.executions(context.attempt_id)) == ENDPOINT_COUNTS[where],
        f'{where} to work on it',
    )
    return connection


@behave.when('a client {leaves} its connection while its request is worked on at {where}')
def client_leaves(context, leaves: str, where: str):
    connection = send_and_wait(context, context.front, where)
    if leaves == 'resets':
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    connection.close()


@behave.when('a client closes its connection at a proxy that was {end}, while its request is worked on at one endpoint')
def client_leaves_ending_proxy(context, end: str):
    context.ended = deployment_client.running().edges[0]
    connection = send_and_wait(context, context.ended.front, 'one endpoint')
    context.ended.signal(ENDS[end])
    context.told_at = time.monotonic()
    connection.close()


@behave.then('each of them sees its own connection close long before the time of the request is over')
def endpoints_see_the_close(context):
    endpoints = [stand_in for stand_in, _ in deployment_client.executions(context.attempt_id)]
    try:
        deployment_client.running().wait_until(
            lambda: all(context.attempt_id in stand_in.dropped for stand_in in endpoints),
            'the endpoints to see their connections close',
            SEEN_S,
        )
    except RuntimeError as late:
        raise AssertionError('work goes on for a client that has left') from late
    finally:
        for stand_in in context.endpoints:
            stand_in.behaviours = []


@behave.then('the proxy has ended within its grace')
def proxy_has_ended(context):
    context.ended.wait(30)
    took_s = time.monotonic() - context.told_at
    assert took_s < context.ended.settings['bounds']['grace_period_s'] * deployment_client.contention(), took_s
