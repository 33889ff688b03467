"""Calls that operators and applications of the platform make, with valid bodies."""

import typing

import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents

# (method, path, document) by name.
CALLS: dict[str, tuple[str, str, dict[str, typing.Any]]] = {
    'a heartbeat': ('PUT', '/v1/instances/i-1', platform_documents.heartbeat()),
    'a lock acquisition': ('POST', '/v1/locks/l1', {'holder': 'a', 'hold_ms': 3000}),
    'a lock renewal': ('PUT', '/v1/locks/l1', {'holder': 'a', 'fence_number': 1, 'hold_ms': 3000}),
    'a lock release': ('DELETE', '/v1/locks/l1', {'holder': 'a', 'fence_number': 1}),
    'a number': ('POST', '/v1/numbers/n1', {'more': 1}),
    'a put': ('PUT', '/v1/cells/g1.a', {'value': 'v', 'concerns': 0}),
    'a change': ('PATCH', '/v1/configuration', {'upserts': {}, 'removals': {}}),
}


def document_for(method: str, path: str) -> dict[str, typing.Any] | None:
    """Return the document of the call with a method and path, or None for a call without a body."""
    return next((document for *call, document in CALLS.values() if call == [method, path]), None)


def read_configuration(platform) -> dict[str, typing.Any]:
    """Return the configuration as it is read back, with its lists in order of name."""
    response = platform.call('GET', '/v1/configuration')
    assert response.status == 200, response
    return platform_documents.by_name(response.document)


def send_configuration(context, document: dict[str, typing.Any]) -> None:
    """Send a configuration change; store it, the response and the state before it in the context."""
    context.sent = document
    context.state_before = context.platform.state()
    context.response = context.platform.call('PATCH', '/v1/configuration', document)


def control_node(platform, number: int):
    """Return the control node for a call's number, so that calls rotate over all control nodes."""
    nodes = platform.world.of('core')
    return nodes[number % len(nodes)]


def statuses(responses: list[http_calls.Response]) -> list[int]:
    """Return the status of each response."""
    return [response.status for response in responses]
