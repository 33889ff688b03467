"""The HTTP API that control nodes and directories share, for operators, endpoints and applications.

PAGES is the registry: {(method, path): page(member, call, body, respond)}. A
page either raises CallError or calls `respond(result)` once, now or later, with
a result of zinctrail/control/replies.py.
"""

import collections.abc
import datetime
import json
import random
import typing

import zinctrail
import zinctrail.consensus.internal_errors as internal_errors
import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.results as results
import zinctrail.control.coordination as coordination
import zinctrail.control.evacuations as evacuations
import zinctrail.control.recovery as recovery
import zinctrail.control.replies as replies
import zinctrail.control.watch_calls as watch_calls
import zinctrail.errors as errors
import zinctrail.runtime.documents as documents
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

if typing.TYPE_CHECKING:
    import zinctrail.control.proxy_lookup as proxy_lookup

# How long a call may wait for the leader: a change of the configuration, and a watch without events.
CONFIGURATION_TIMEOUT = durations.ms(10000)
WATCH_TIMEOUT = durations.ms(25000)
# How long a refused caller should wait before a retry, unless the refusal says otherwise.
RETRY_DEFAULT_MS = 300
RETRY_BUSY_MS = 200
# The status of an operation that a member did not carry out because it is not the leader (consensus/results.py).
NOT_LEADER_STATUS = results.NO_LEADER['status']
# The statuses of refusals after which a retry may succeed.
RETRY_STATUSES = (409, 503, 504)

# The page whose body is the state of a lost cluster.
RECOVER_PATH = '/v1/recover'

# The id by which the host identifies a call.
CallId = typing.Hashable
# A page is called with the member that serves it, the call, its body, and the callback for the result.
Page = collections.abc.Callable[['ServingMember', effects.HttpRequest, dict, replies.Callback], None]

PAGES: dict[tuple[str, str], Page] = {}


def page(method: str, path: str) -> collections.abc.Callable[[Page], Page]:
    """Register the decorated function as a page."""

    def register(function: Page) -> Page:
        PAGES[method, path] = function
        return function

    return register


class ServingMember(recovery.ExportingMember, typing.Protocol):
    """The interface of the member that serves the HTTP API."""

    now: datetime.timedelta
    node: str
    settings: settings.Settings
    rng: random.Random
    out: list
    http_api: 'HttpApi'
    proxy_lookup: 'proxy_lookup.ProxyLookup'
    # Whether the member is shutting down.
    stopping: bool
    # Records the unforeseen exceptions of calls.
    guard: internal_errors.Guard

    def pages(self) -> dict[tuple[str, str], Page]:
        """Return the pages of the member's role, in addition to PAGES."""

    def ready(self) -> tuple[bool, str]:
        """Return (is ready, reason): whether calls should be sent to this process, and if not, why."""

    def status(self) -> dict[str, typing.Any]:
        """Return the status of this process from its own view."""

    def receive_heartbeat(self, body: dict, respond: replies.Callback) -> None:
        """Handle an endpoint's heartbeat that was sent to this node."""

    def request_operation(
        self,
        operation: str,
        arguments: dict[str, typing.Any],
        callback: replies.Callback,
        wait: datetime.timedelta | None = None,
    ) -> None:
        """Have the leader carry out an operation; callback(result) is called exactly once."""

    def cancel_operation(self, callback: replies.Callback) -> None:
        """Cancel an operation whose caller no longer waits for the result."""


class HttpApi:
    """Maps HTTP calls to a member to operations that the leader carries out."""

    def __init__(self, member: ServingMember):
        self.member = member
        # The pending calls: {call id: respond}.
        self.calls: dict[CallId, replies.Callback] = {}
        # The pending calls that take several operations in sequence: {respond: callback of the operation in progress}.
        self.call_steps: dict[replies.Callback, replies.Callback] = {}
        # The pending calls that are watches.
        self.watch_calls = watch_calls.WatchCalls(member)

    def serve(self, call_id: CallId, call: effects.HttpRequest) -> None:
        """Serve an HTTP call; it gets exactly one response."""

        def respond(result: replies.Result) -> None:
            # The result of an operation may come after its caller got a response or disconnected.
            self.call_steps.pop(respond, None)
            self.watch_calls.end(respond)
            if self.calls.pop(call_id, None):
                self.member.out.append(self._response(call_id, result))

        self.calls[call_id] = respond
        failure = self.member.guard.run(f'call {call.method} {call.path:.100}', self._serve_page, call, respond)
        if failure is not None:
            respond(failure)

    def _serve_page(self, call: effects.HttpRequest, respond: replies.Callback) -> None:
        try:
            if len(self.calls) > self.member.settings.queue_most:
                raise errors.UnavailableError('busy', retry_ms=RETRY_BUSY_MS)
            self._page_for(call)(self.member, call, read_body(call), respond)
        except errors.CallError as error:
            respond(error.to_result())

    def _response(self, call_id: CallId, result: replies.Result) -> effects.HttpResponse:
        """Return the response with a result; 500 if the result can't be written."""
        try:
            return to_response(call_id, result)
        except Exception:
            if self.member.guard.passes_on:
                raise
            # What the call asked for may be in force.
            return to_response(call_id, {**self.member.guard.record('a response'), 'unknown': True})

    def _page_for(self, call: effects.HttpRequest) -> Page:
        key = (call.method, call.path)
        found = PAGES.get(key) or self.member.pages().get(key)
        if found is None:
            paths = {path for _, path in [*PAGES, *self.member.pages()]}
            raise errors.CallError(405 if call.path in paths else 404, 'no such page')
        return found

    def client_disconnected(self, call_id: CallId) -> None:
        """Handle the caller's disconnection: its operation may still be carried out, but is not sent again."""
        respond = self.calls.pop(call_id, None)
        if respond is not None:
            self.member.cancel_operation(self.call_steps.pop(respond, respond))
            self.watch_calls.abandon(respond)

    def request_step(
        self,
        respond: replies.Callback,
        operation: str,
        args: dict,
        callback: replies.Callback,
        timeout: datetime.timedelta,
    ) -> None:
        """Have the leader carry out one operation of a call that takes several; `callback` gets its result."""
        self.call_steps[respond] = callback
        self.member.request_operation(operation, args, callback, timeout)

    def is_waiting(self, respond: replies.Callback) -> bool:
        """True if the caller of a call that takes several operations is still waiting."""
        return respond in self.call_steps

    def readiness(self) -> tuple[bool, str]:
        """Return (is ready, reason): whether calls should be sent to this process, and if not, why."""
        if self.member.stopping:
            return False, 'leaving'
        if not self.member.leader:
            return False, 'no master'
        return True, ''


def read_body(call: effects.HttpRequest) -> dict:
    """Parse the JSON object in a call's body; raises CallError 400 for anything else."""
    if not call.body:
        return {}
    # The state to recover from holds what calls brought, some levels deeper.
    envelope_depth = documents.ENVELOPE_DEPTH if call.path == RECOVER_PATH else 0
    try:
        body = documents.parse(call.body, documents.MAX_DEPTH + envelope_depth)
    except errors.DocumentError as error:
        raise errors.BadRequestError(f'body {error}') from error
    if not isinstance(body, dict):
        raise errors.BadRequestError('body must be a JSON object')
    return body


def check_fields(body: dict, *known: str) -> None:
    """Raise CallError 400 for a field that the page does not define."""
    for name in body:
        if name not in known:
            raise errors.BadRequestError(f'{name:.40} is not a known field')


def to_response(call_id: CallId, result: replies.Result, headers: dict | None = None) -> effects.HttpResponse:
    """Convert a result to an HTTP response."""
    body = dict(result)
    status = body.pop('status')
    headers = dict(headers or {}, **{'content-type': 'application/json'})
    if status == NOT_LEADER_STATUS:
        # 503 promises that nothing was done; that is not certain if an earlier attempt may have reached a leader.
        status = 504 if body.get('unknown') else 503
    is_final = body.pop('final', False)
    if status in RETRY_STATUSES and not is_final:
        # The caller gets a response at once, with the time after which to retry, instead of waiting.
        body.setdefault('retry_ms', RETRY_DEFAULT_MS)
        headers['retry-after'] = str(max(1, round(body['retry_ms'] / 1000)))
    return effects.HttpResponse(call_id, status, headers, json.dumps(body).encode())


# -- the process itself -------------------------------------------------------


@page('GET', '/v1/ready')
def page_ready(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Respond 200 if calls should be sent to this process, else 503."""
    is_ready, reason = member.ready()
    respond({'status': 200 if is_ready else 503, 'ready': is_ready, 'why': reason})


@page('GET', '/v1/live')
def page_live(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Respond that the process is alive, with its release."""
    respond(replies.ok(release=zinctrail.__version__))


@page('GET', '/v1/self')
def page_self(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Return the status of this process from its own view."""
    respond(replies.ok(state=member.status()))


@page('GET', '/v1/epoch')
def page_epoch(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Return the epoch that ids must begin with; a slightly old one is valid too, so the leader is not asked."""
    epoch = member.replica.get('meta', 'epoch')
    respond(replies.ok(epoch=epoch) if epoch else replies.refused(503, 'no epoch yet'))


# -- the cluster --------------------------------------------------------------


@page('GET', '/v1/status')
def page_status(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Return the status of the cluster from the leader's view."""
    member.request_operation('status', {}, respond)


@page('GET', '/v1/copy')
def page_replica(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Export this process's copy of the replicated state, for a recovery."""
    respond(recovery.export_replica(member))


@page('GET', '/v1/copy/brief')
def page_replica_summary(
    member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback
) -> None:
    """Export the same as /v1/copy, without the tables."""
    respond(recovery.export_replica(member, with_tables=False))


@page('POST', RECOVER_PATH)
def page_recover(member: typing.Any, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Start a new cluster from replicas of a lost one, on an empty control node."""
    if member.role != member_roles.CONTROL_NODE:
        raise errors.ConflictError('is no control node')
    recovery.check(body)
    respond(member.start_recovery(body))


# -- configuration ------------------------------------------------------------


@page('GET', '/v1/config')
def page_get_config(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Return the operators' document."""
    member.request_operation('config.get', {}, respond)


@page('PUT', '/v1/config')
def page_put_config(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Replace the operators' document if it is still of the generation `base`."""
    check_fields(body, 'config', 'base', 'wait', 'id')
    # With an id, a retry after a lost result gets that result instead of a conflict.
    default_id = f'{member.replica.get("meta", "epoch") or 0}.{member.rng.getrandbits(64):x}'
    member.request_operation('config.apply', {'id': default_id, **body}, respond, CONFIGURATION_TIMEOUT)


@page('POST', '/v1/config/check')
def page_check_config(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Validate a document without applying it."""
    check_fields(body, 'config')
    member.request_operation('config.check', body, respond)


@page('PATCH', '/v1/items')
def page_patch_items(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Set and drop configuration items for open traffic."""
    member.request_operation('items.apply', {'change': body}, respond, CONFIGURATION_TIMEOUT)


@page('GET', '/v1/items')
def page_get_items(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Return the configuration items for open traffic."""
    member.request_operation('items.get', {}, respond)


@page('POST', '/v1/cell/empty')
def page_evacuate(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Evacuate a zone's endpoints, or end the evacuation."""
    check_fields(body, 'cell', 'on')
    evacuations.EvacuationCall(member, member.http_api, body, respond).start()


# -- endpoints ----------------------------------------------------------------


@page('POST', '/v1/beat')
def page_heartbeat(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Handle an endpoint's heartbeat."""
    member.receive_heartbeat(body, respond)


@page('POST', '/v1/leave')
def page_leave(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
    """Deregister an endpoint."""
    check_fields(body, 'inc')
    member.request_operation('leave', body, respond)


# -- coordination for applications --------------------------------------------


def _coordination_page(operation: str) -> Page:
    def relay(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
        member.request_operation(operation, body, respond)

    def watch(member: ServingMember, call: effects.HttpRequest, body: dict, respond: replies.Callback) -> None:
        watcher = member.http_api.watch_calls.begin(respond)
        member.request_operation(operation, {**body, watch_calls.WATCHER: watcher}, respond, WATCH_TIMEOUT)

    return watch if operation.endswith('.watch') else relay


for _operation in coordination.OPERATIONS:
    PAGES['POST', f'/v1/{_operation.replace(".", "/")}'] = _coordination_page(_operation)
