"""Steps of request_accounts.feature: odd requests and answers, planted exceptions, and what is counted afterwards."""

import re
import unittest.mock as mock

import behave
import twisted.internet.protocol as protocol

import features.support.endpoint_actions as endpoint_actions
import features.support.open_traffic_proxy as open_traffic_proxy
import features.support.raw_client as raw_client
import features.support.reactor_thread as reactor_thread
import zinctrail.proxy.admission as admission
import zinctrail.proxy.open_responses as open_responses
import zinctrail.runtime.effects as effects
import zinctrail.transport.endpoint_connection as endpoint_connection
import zinctrail.transport.open_traffic_server as open_traffic_server

FORBIDDEN = re.compile(rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]')
# A request with the parts that scenarios replace.
PARTS = {'method': b'GET', 'path': b'/a', 'host': b'often', 'header': b'x-note: fine'}
ODD_PARTS = {
    'DEL in its path': ('path', b'/a\x7fb'),
    'a high byte in its path': ('path', b'/a\xe9b'),
    'a tab in its query': ('path', b'/a?b\tc'),
    'NUL in its path': ('path', b'/a\x00b'),
    'DEL in its method': ('method', b'GE\x7fT'),
    'a colon in its method': ('method', b'GET:'),
    'a slash in its Host': ('host', b'often/x'),
    'DEL in its Host': ('host', b'of\x7ften'),
    'a blank in its Host': ('host', b'often x'),
    'DEL in a header': ('header', b'x-note: a\x7fb'),
    'an escape character in a header': ('header', b'x-note: a\x1bb'),
    'a blank in the name of a header': ('header', b'x note: a'),
    'a line break within a header': ('header', b'x-note: a\rb: c'),
}
# Each returns the bytes of an answer to the request with an id.
ODD_ANSWERS = {
    'DEL in a header': lambda request_id: endpoint_actions.response_to(request_id, headers=b'x-note: a\x7fb\r\n'),
    'an escape character in a header': lambda request_id: endpoint_actions.response_to(
        request_id, headers=b'x-note: a\x1bb\r\n'
    ),
    'a blank in the name of a header': lambda request_id: endpoint_actions.response_to(
        request_id, headers=b'x note: a\r\n'
    ),
    'a status of 999': lambda request_id: endpoint_actions.response_to(request_id, 999),
    'a status that is no number': lambda request_id: endpoint_actions.response_to(request_id).replace(
        b' 200 ', b' two ', 1
    ),
    'a length that is no number': lambda request_id: endpoint_actions.response_to(request_id).replace(
        b'Content-Length: ', b'Content-Length: x', 1
    ),
}
# The owner and the name of the function that raises an exception once, given the proxy on loopback.
LOOPBACK_PLANTS = {
    'the translation of the request': lambda loopback: (loopback.host.open_server.dialect, 'request_in'),
    'the choice of a connection': lambda loopback: (loopback.host.endpoint_client, 'take_idle'),
    'the opening of a connection': lambda loopback: (protocol.ClientCreator, 'connectTCP'),
    'the making of the request': lambda loopback: (loopback.host.endpoint_client, 'new_request'),
    'the sending of the request': lambda loopback: (endpoint_connection.EndpointConnection, 'request'),
    'the reading of the answer': lambda loopback: (loopback.host.endpoint_client, 'read'),
    'the translation of the answer': lambda loopback: (loopback.host.dialect, 'endpoint_response_in'),
    'the writing of the response': lambda loopback: (open_traffic_server, 'write_response'),
}
# The same, given the state machine of a proxy.
STAGE_PLANTS = {
    'accept': lambda proxy: (admission, 'remaining_time_ms'),
    'match_route': lambda proxy: (proxy.routes, 'rule_for_path'),
    'choose_endpoint': lambda proxy: (proxy.endpoint_selection, 'choose_endpoint'),
    'send': lambda proxy: (proxy.open_upstream, 'is_too_late'),
    'the making of the fetch': lambda proxy: (proxy.open_upstream, 'new_fetch'),
    'the load that is reported': lambda proxy: (proxy.outlier_reports, 'observe_load'),
    'the observation of a result': lambda proxy: (proxy.outlier_reports, 'observe_response'),
    'check_response': lambda proxy: (open_responses, 'response_error'),
    'respond': lambda proxy: (proxy.open_responses, 'respond_result'),
    'the hedge': lambda proxy: (proxy.hedging, 'hedge'),
    'the deadline': lambda proxy: (proxy.open_responses, 'handle_deadline'),
}
# Stages for which the endpoint does not answer.
WITHOUT_ANSWER = ('the hedge', 'the deadline')
AFTER_DEADLINE_MS = 2500


class PlantedError(Exception):
    """The exception that a scenario plants."""


def plant(owner, name: str):
    """Let a function raise PlantedError at its first call; return (the patch, the calls)."""
    original = getattr(owner, name)
    calls: list[str] = []

    def raise_once(*args, **kwargs):
        calls.append(name)
        if len(calls) == 1:
            raise PlantedError(name)
        return original(*args, **kwargs)

    return mock.patch.object(owner, name, raise_once), calls


def request_bytes(request_id: bytes, parts: dict[str, bytes], closes: bool = True) -> bytes:
    """Return the bytes of a request."""
    close = b'Connection: close\r\n' if closes else b''
    head = b'%(method)s %(path)s HTTP/1.1\r\nHost: %(host)s\r\n%(header)s\r\n' % {
        name.encode(): value for name, value in parts.items()
    }
    return head + b'zt-id: %s\r\nzt-left-ms: 500\r\n%s\r\n' % (request_id, close)


def status_of(response: bytes) -> int:
    """Return the status of a response."""
    return int(response.split()[1])


@behave.when('30 requests with {what} are sent on {connection}')
def odd_requests_are_sent(context, what: str, connection: str):
    loopback, (part, value) = context.loopback, ODD_PARTS[what]
    context.responses = []
    for number in range(30):
        client = raw_client.RawClient(loopback.port)
        if connection == 'a kept connection':
            client.send(request_bytes(b'first%d' % number, PARTS, closes=False))
            client.read(b'body of first%d' % number)
        client.send(request_bytes(b'odd%d' % number, {**PARTS, part: value}))
        context.responses.append(client.read())
        client.socket.close()


@behave.then('each gets 400, and none reaches an endpoint')
def all_are_refused(context):
    assert [status_of(response) for response in context.responses] == [400] * 30, context.responses
    assert not [request_id for request_id in context.loopback.arrived if request_id.startswith(b'odd')]


@behave.when('an endpoint answers a request with {what}')
def endpoint_answers_oddly(context, what: str):
    context.loopback.script = [
        lambda request_id: endpoint_actions.EndpointAction(True, ODD_ANSWERS[what](request_id), status=200)
    ]
    client = raw_client.RawClient(context.loopback.port)
    client.send(request_bytes(b'odd', {**PARTS, 'host': b'once'}))
    context.response = client.read()
    client.socket.close()


@behave.then("the client gets {status:d}, without any header that HTTP doesn't allow")
def client_gets_clean_response(context, status: int):
    assert status_of(context.response) == status, context.response
    assert not FORBIDDEN.search(context.response.partition(b'\r\n\r\n')[0]), context.response


@behave.when('an exception is planted in {where}, and a request that {kind} is sent')
def request_meets_exception(context, where: str, kind: str):
    host = b'once' if kind == 'may run once' else b'often'
    patch, context.calls = plant(*LOOPBACK_PLANTS[where](context.loopback))
    with patch:
        client = raw_client.RawClient(context.loopback.port)
        client.send(request_bytes(b'planted', {**PARTS, 'host': host}))
        context.response = client.read()
        client.socket.close()


@behave.then('it is answered within its deadline, or its connection is closed')
def request_has_ended(context):
    # The client has read until the end of its connection; its time limit is longer than the deadline.
    assert not context.response or status_of(context.response), context.response


@behave.then('the exception was raised')
def exception_was_raised(context):
    assert context.calls


def counted(loopback) -> dict:
    """Return what a proxy on loopback counts for requests; empty if it counts nothing."""
    machine, host = loopback.machine, loopback.host
    client, server = host.endpoint_client, host.open_server
    idle = sum(map(len, client.idle.values()))
    found = {
        'requests': len(machine.runner.requests),
        'pending in pools': sum(machine.runner.pending_in_pool.values()),
        'fetches of the machine': len(machine.open_upstream.fetches),
        'requests in use': sum(view.in_use for view in machine.endpoint_selection.endpoint_views.values()),
        'queued': len(machine.open_queue.queued),
        'fetches of the host': len(host.fetches),
        'bytes for endpoints': client.account.held_bytes,
        'connections to endpoints in use': client.open_connections - idle,
        'requests of the server': len(server.pending),
        'connections of clients': len(server.connections),
        'bytes for clients': server.clients.account.held_bytes,
    }
    return {name: value for name, value in found.items() if value}


@behave.then('nothing is counted any more, and an ordinary request is served')
def nothing_is_counted(context):
    loopback = context.loopback
    try:
        reactor_thread.wait_for(lambda: not counted(loopback))
    except AssertionError as error:
        raise AssertionError(f'still counted: {reactor_thread.call(counted, loopback)}') from error
    request_id = loopback.request('often')
    assert loopback.responses[request_id].status == 200, loopback.responses[request_id].body
    assert loopback.ran[request_id]


# -- the pipeline, in virtual time ---------------------------------------------------------


@behave.given('a proxy in virtual time, with two endpoints')
def proxy_in_virtual_time(context):
    context.proxy = open_traffic_proxy.OpenTrafficProxy(2)


@behave.when('an exception is planted in {stage}, and a request is served until it is answered')
def request_meets_exception_in_stage(context, stage: str):
    proxy = context.proxy
    patch, context.calls = plant(*STAGE_PLANTS[stage](proxy.machine))
    with patch:
        context.request_id = proxy.request()
        if stage in WITHOUT_ANSWER:
            proxy.run(AFTER_DEADLINE_MS)
        for fetch in proxy.fetches():
            proxy.reply(fetch)
    assert context.calls


@behave.then('it gets {status:d}')
def request_gets_status(context, status: int):
    assert context.proxy.response(context.request_id).status == status, context.proxy.response(context.request_id)


@behave.then('the metric of internal errors counts 1')
def metric_counts(context):
    values = {row.name: row for row in context.proxy.machine.request_metrics.rows()}
    assert context.proxy.machine.counts['internal_errors'] == 1
    assert 'internal_errors' in values, sorted(values)


@behave.then('nothing is counted for it after its fetches, and an ordinary request is served')
def nothing_is_counted_in_machine(context):
    proxy = context.proxy
    machine = proxy.machine
    assert not machine.runner.requests
    assert not machine.open_upstream.fetches
    assert not sum(machine.runner.pending_in_pool.values())
    assert not any(view.in_use for view in machine.endpoint_selection.endpoint_views.values())
    proxy.effects.clear()
    request_id = proxy.request()
    (fetch,) = proxy.fetches()
    proxy.reply(fetch)
    response = proxy.response(request_id)
    assert isinstance(response, effects.HttpResponse)
    assert response.status == 200, response
