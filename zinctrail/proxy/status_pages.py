"""The proxy's own pages of the HTTP interface."""

import typing

import zinctrail.control.recovery as recovery
import zinctrail.control.replies as replies


class ServingProxy(recovery.ExportingMember, typing.Protocol):
    """The interface of the proxy for its pages."""

    def ready(self) -> tuple[bool, str]:
        """Return (whether traffic may be sent to this proxy, the reason if not)."""

    def status(self) -> dict[str, typing.Any]:
        """Return the JSON of /v1/self."""


def page_ready(proxy: ServingProxy) -> replies.Result:
    """Return the readiness of the proxy: 200, or 503 with the reason."""
    is_ready, reason = proxy.ready()
    return {'status': 200 if is_ready else 503, 'ready': is_ready, 'why': reason}


def page_live(proxy: ServingProxy) -> replies.Result:
    """Return 200 to show that the process is running."""
    return {'status': 200}


def page_copy(proxy: ServingProxy) -> replies.Result:
    """Return this proxy's replica of the state."""
    return recovery.export_replica(proxy)


def page_copy_brief(proxy: ServingProxy) -> replies.Result:
    """Return the metadata by which an operator compares replicas, without the tables."""
    return recovery.export_replica(proxy, with_tables=False)


def page_self(proxy: ServingProxy) -> replies.Result:
    """Return the status of this process."""
    return {'status': 200, 'state': proxy.status()}


PAGES: dict[str, typing.Callable[[ServingProxy], replies.Result]] = {
    '/v1/ready': page_ready,
    '/v1/live': page_live,
    '/v1/copy': page_copy,
    '/v1/copy/brief': page_copy_brief,
    '/v1/self': page_self,
}
