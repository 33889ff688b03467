"""Steps of platform_chain.feature: clients that leave while an endpoint works on their request."""

import socket

import behave

import features.support.deployment_client as deployment_client

# Much less than a request that is worked on has left, and enough for a crowded machine.
SEEN_S = 12
LEFT_MS = 30000


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


@behave.when('a client closes its connection while an endpoint works on its request')
def client_closes(context):
    deployment = deployment_client.running()
    deployment_client.add_patient_route(context.front)
    for stand_in in context.endpoints:
        stand_in.behaviours = ['work']
    context.attempt_id = deployment.new_attempt_id()
    connection = connect_and_send(context.front, deployment_client.PATIENT_ROUTE, context.attempt_id)
    deployment.wait_until(lambda: deployment_client.executions(context.attempt_id), 'an endpoint to work on it')
    connection.close()


@behave.then('the endpoint sees its connection close long before the time of the request is over')
def endpoint_sees_the_close(context):
    try:
        ((stand_in, _),) = deployment_client.executions(context.attempt_id)
        deployment_client.running().wait_until(
            lambda: context.attempt_id in stand_in.dropped, 'the endpoint to see its connection close', SEEN_S
        )
    except RuntimeError as late:
        raise AssertionError('work goes on for a client that has left') from late
    finally:
        for each in context.endpoints:
            each.behaviours = []
