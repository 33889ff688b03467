"""Dialects: translation between the header names and formats of another platform and our own.

A dialect sits between the sockets and the state machines and makes no
decisions. The default is `NativeDialect`, which changes nothing. The caller of
`transport.program.serve` may pass another one.
"""

import typing

import zope.interface

import zinctrail.runtime.effects as effects


class IDialect(zope.interface.Interface):
    """Translates open traffic, requests to plain endpoints (those without our library), and API calls."""

    def request_in(request):
        """Translate a received request of open traffic into an effects.HttpRequest with our header names."""

    def response_out(headers):
        """Translate our headers of a response to open traffic into the headers that are sent."""

    def endpoint_request_out(headers):
        """Translate our headers of a request to a plain endpoint into the headers that are sent."""

    def endpoint_response_in(headers):
        """Translate the headers of a plain endpoint's response into ours."""

    def health_response_in(headers):
        """Translate the headers of a plain endpoint's response to a health check into ours."""

    def api_request_in(request):
        """Translate an API call into (effects.HttpRequest to one of our paths, context), or into its response.

        The response is an effects.HttpResponse; it is sent without the call reaching our API.
        """

    def api_response_out(context, response):
        """Translate our response to a call from `api_request_in` into the effects.HttpResponse that is sent."""


@zope.interface.implementer(IDialect)
class NativeDialect:
    """The default dialect: our own names and formats, untranslated."""

    def request_in(self, request: effects.HttpRequest) -> effects.HttpRequest:
        """Return the request unchanged."""
        return request

    def response_out(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers unchanged."""
        return headers

    endpoint_request_out = endpoint_response_in = health_response_in = response_out

    def api_request_in(self, request: effects.HttpRequest) -> tuple[effects.HttpRequest, typing.Any]:
        """Return the call unchanged; its response needs no context."""
        return request, None

    def api_response_out(self, context: typing.Any, response: effects.HttpResponse) -> effects.HttpResponse:
        """Return the response unchanged."""
        return response
