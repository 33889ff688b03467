"""The syntax of HTTP messages (RFC 9110, RFC 9112): which requests and headers may be passed on.

Twisted's server accepts more than its client will send, and more than HTTP
allows, so that requests are checked where they are read.
"""

import re

import twisted.web.http_headers as http_headers

METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Any form of a target, of visible ASCII characters.
TARGET = re.compile(rb'[!-~]+')
# A host name or address with an optional port; empty if the target has no authority.
HOST = re.compile(rb"[0-9A-Za-z._~!$&'()*+,;=:%\[\]-]*")
# The control characters but the tab.
FORBIDDEN_IN_VALUE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')


def request_error(method: bytes, target: bytes, headers: http_headers.Headers) -> str:
    """Return why a request is not one that HTTP allows; '' if it is."""
    if not METHOD.fullmatch(method):
        return 'method'
    if not TARGET.fullmatch(target):
        return 'target'
    hosts = headers.getRawHeaders(b'host', ())
    # Without exactly one host, no rule can match, and a 404 would look like the operator's configuration.
    if len(hosts) != 1 or not HOST.fullmatch(hosts[0]):
        return 'host'
    if any(FORBIDDEN_IN_VALUE.search(value) for _, values in headers.getAllRawHeaders() for value in values):
        return 'header'
    return ''


def drop_invalid_headers(headers: http_headers.Headers) -> None:
    """Remove the headers of a response whose values HTTP does not allow; their names were checked when they were read."""
    invalid = [
        name for name, values in headers.getAllRawHeaders() if any(FORBIDDEN_IN_VALUE.search(value) for value in values)
    ]
    for name in invalid:
        headers.removeHeader(name)
