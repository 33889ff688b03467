"""Blocking HTTP calls with JSON bodies, for commands and tools that run no event loop."""

import http.client
import json
import typing

# The exceptions that `call` may raise: the connection failed, or the response is not HTTP or not JSON.
ERRORS = (OSError, http.client.HTTPException, ValueError)
TIMEOUT_S = 3


def call(
    addr: str, method: str, path: str, body: typing.Any = None, timeout_s: float = TIMEOUT_S
) -> tuple[int, typing.Any]:
    """Send one request and return its status and its JSON document.

    :raises OSError, http.client.HTTPException, ValueError: one of `ERRORS`.
    """
    host, _, port = addr.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {'content-type': 'application/json'})
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


def try_call(
    addr: str, method: str, path: str, body: typing.Any = None, timeout_s: float = TIMEOUT_S
) -> tuple[int, typing.Any]:
    """Like `call`, but returns `(0, {})` where `call` would raise."""
    try:
        return call(addr, method, path, body, timeout_s)
    except ERRORS:
        return 0, {}
