"""Clients and the operator of the deployment that serves all scenarios of platform_chain.feature."""

import collections.abc
import os
import time
import typing

import features.support.deployment as deployments
import features.support.endpoint as endpoint
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents

HOST = 'hulo.example'
LEASE_WAIT_S = 60
LEASE_POLL_S = 0.1
RESPONSE_TIMEOUT_S = 15
# Long, because the scenarios wait for events, and a busy machine may delay them.
ROUTE_TIMEOUT_MS = 10000
ROUTE_TARGET_MS = 1500
# Routes whose requests may wait for a minute; those of the first are not hedged meanwhile, those of the second soon.
LONG_TIMEOUT_ROUTE, LONG_TIMEOUT_HEDGED_ROUTE = 'r8', 'r9'
LONG_TIMEOUT_MS = 60000

Executed = tuple[endpoint.Endpoint, endpoint.Request]


def running() -> deployments.Deployment:
    """Return the deployment that serves all scenarios of the feature."""
    return deployments.RUNNING[-1]


def contention() -> float:
    """Return the load per processor of this machine, at least 1: bounds in real time are multiplied by it."""
    return max(1.0, os.getloadavg()[0] / (os.cpu_count() or 1))


def retry_without_lease(send: collections.abc.Callable[[str], http_calls.Response]) -> http_calls.Response:
    """Send an attempt by `send(attempt_id)`, again while it is refused for lack of a lease; return the response.

    On a busy machine processes may not run for seconds, and a proxy rightly refuses requests then.
    """
    end = time.monotonic() + LEASE_WAIT_S
    while True:
        response = send(running().new_attempt_id())
        if response.status != 503 or b'no lease' not in response.body or time.monotonic() > end:
            return response
        time.sleep(LEASE_POLL_S)


def send_request(ingress: str, route: str = 'r1', remaining_ms: int = 10000, **options) -> http_calls.Response:
    """Send a request on a route; return the response with its attempt id, with status 0 if the connection was lost."""

    def send(attempt_id):
        try:
            response = http_calls.send_attempt(
                ingress,
                HOST,
                f'/{route}/x',
                attempt_id,
                remaining_ms=remaining_ms,
                timeout_s=RESPONSE_TIMEOUT_S,
                **options,
            )
        except http_calls.ConnectionLostError as fault:
            response = http_calls.Response(0, {}, str(fault).encode())
        response.attempt_id = attempt_id
        return response

    return retry_without_lease(send)


def wait_for_good_response(ingress: str) -> None:
    """Send valid requests until one gets 200."""
    running().wait_until(lambda: send_request(ingress).status == 200, 'a response with status 200', 30)


def executions(attempt_id: str) -> list[Executed]:
    """Return (endpoint, request) for each execution of an attempt."""
    return [
        (test_endpoint, request)
        for test_endpoint in running().endpoints
        for request in test_endpoint.executed
        if request['id'] == attempt_id
    ]


def execution_of(response: http_calls.Response) -> Executed:
    """Return the (endpoint, request) that a response names; an idempotent request may have run elsewhere too."""
    return next(
        (test_endpoint, request)
        for test_endpoint, request in executions(response.attempt_id)
        if test_endpoint.identifier == response.document['by']
    )


def resolutions() -> list[list[str]]:
    """Return, for each control node that responds, the addresses that it resolves for a client."""
    addresses = []
    for process in running().cores:
        path = f'/v1/resolution?name={HOST}&region=north&zone=z1'
        response = http_calls.call(process.directory, 'GET', path)
        if response.status == 200:
            assert 0 < response.document['ttl_s'] <= 5, response
            addresses.append(sorted(response.document['addresses']))
    return addresses


def wait_for_resolutions(edges: list[deployments.AdapterProcess], what: str, limit_s: float = 60) -> None:
    """Wait until each control node resolves exactly the addresses of these proxies."""
    wanted = [sorted(process.ingress for process in edges)] * len(running().cores)
    running().wait_until(lambda: resolutions() == wanted, what, limit_s)


def assert_configuration_in_force(response: http_calls.Response) -> None:
    """Assert that a configuration that was read back has exactly the acknowledged changes."""
    assert platform_documents.by_name(response.document) == platform_documents.by_name(running().items), response


def add_routes(routes: list[dict[str, typing.Any]]) -> None:
    """Add routes to the configuration."""
    response = running().call_control('PATCH', '/v1/configuration', {'upserts': {'route_list': routes}})
    assert response.status == 200, response
    running().items['route_list'] += routes


def add_long_timeout_routes(ingress: str) -> None:
    """Add the routes with long timeouts unless they exist, and wait until a proxy serves them."""
    targets_ms = {LONG_TIMEOUT_ROUTE: LONG_TIMEOUT_MS, LONG_TIMEOUT_HEDGED_ROUTE: ROUTE_TARGET_MS}
    if all(route['name'] != LONG_TIMEOUT_ROUTE for route in running().items['route_list']):
        add_routes(
            [
                platform_documents.route(name, timeout_ms=LONG_TIMEOUT_MS, target_ms=target_ms)
                for name, target_ms in targets_ms.items()
            ]
        )
    running().wait_until(
        lambda: {send_request(ingress, name).status for name in targets_ms} == {200}, 'the routes with long timeouts'
    )


def change_route(number: int) -> None:
    """Send a change that adds one route; record it if it was acknowledged."""
    row = platform_documents.route(f'c{number}', 3)
    document = {'upserts': {'route_list': [row]}, 'removals': {}}
    if running().call_control('PATCH', '/v1/configuration', document).status == 200:
        running().items['route_list'].append(row)
