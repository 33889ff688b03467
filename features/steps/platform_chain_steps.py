"""Steps of platform_chain.feature: a deployment of real processes starts, and forwards requests unchanged."""

import os

import behave

import features.support.deployment as deployments
import features.support.deployment_client as deployment_client
import features.support.endpoint as endpoint
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents

CHUNK_BYTES = 70000
REMAINING_MS = 10000
CONNECTION_HEADERS = {'keep-alive', 'te', 'proxy-connection', 'x-hop'}


@behave.given('a deployment of {cores:d} control nodes and {edges:d} proxies')
def deployment_started(context, cores: int, edges: int):
    deployments.Deployment(cores, edges).start()


@behave.when('the operator sends the first configuration')
def first_configuration_sent(context):
    document = platform_documents.first_configuration()
    document['upserts']['route_list'] += [
        platform_documents.route('r4', kind='non_idempotent'),
        platform_documents.route('r5', service_name='sc'),
    ]
    for row in document['upserts']['route_list']:
        row.update(timeout_ms=deployment_client.ROUTE_TIMEOUT_MS, target_ms=deployment_client.ROUTE_TARGET_MS)
    deployment = deployment_client.running()
    context.response = deployment.call_control('PATCH', '/v1/configuration', document)
    deployment.items = document['upserts']


@behave.then("the operator's response status is {status:d}")
def operator_response_status_is(context, status: int):
    assert context.response.status == status, context.response


@behave.then('the configuration is read back as sent at each control node')
def configuration_is_read_back(context):
    for process in deployment_client.running().cores:
        response = http_calls.call(process.control, 'GET', '/v1/configuration')
        deployment_client.assert_configuration_in_force(response)


@behave.then('resolutions of each control node name both proxies')
def resolutions_name_both(context):
    deployment_client.wait_for_resolutions(deployment_client.running().edges, 'resolutions')


@behave.given('endpoints of {service}')
def endpoints_of_service(context, service: str):
    deployment = deployment_client.running()
    endpoints = [
        test_endpoint
        for test_endpoint in deployment.endpoints
        if test_endpoint.service_name == service and not test_endpoint.has_ended.is_set()
    ]
    endpoints += [deployment.start_endpoint(service) for _ in range(2 - len(endpoints))]
    for process in deployment.edges:
        deployment.wait_until(
            lambda process=process: all(deployment.knows(process, test_endpoint) for test_endpoint in endpoints),
            f'{process.name} to know both endpoints of {service}',
        )
    context.endpoints = endpoints
    context.ingress = deployment.edges[0].ingress


# -- requests as they were sent --------------------------------------------------


def parse_body(text: str) -> tuple[bytes, bool]:
    """Return (body, True if it is sent in chunks) for a text `none` or `of SIZE bytes [in chunks]`."""
    if text == 'none':
        return b'', False
    return os.urandom(int(text.split()[1])), text.endswith('chunks')


def send_in_chunks(ingress: str, method: str, path: str, attempt_id: str, body: bytes) -> http_calls.Response:
    """Send a request with a chunked body, and return the response."""
    parts = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {deployment_client.HOST}',
        'Transfer-Encoding: chunked',
        'Connection: close',
        f'Zinctrail-Attempt-Id: {attempt_id}',
        f'Zinctrail-Deadline-Remaining: {REMAINING_MS}',
    ]
    data = '\r\n'.join(lines).encode() + b'\r\n\r\n' + chunks + b'0\r\n\r\n'
    received = http_calls.exchange_bytes(
        ingress, data, timeout_s=deployment_client.RESPONSE_TIMEOUT_S, end_of_input=False
    )
    return http_calls.parse_response(received)[0]


@behave.when('a client of the deployment sends {method} {path} with a body {body}')
def client_sends_body(context, method: str, path: str, body: str):
    data, is_chunked = parse_body(body)

    def send(attempt_id):
        context.sent = {'id': attempt_id, 'method': method, 'path': path, 'body': data}
        if is_chunked:
            return send_in_chunks(context.ingress, method, path, attempt_id, data)
        return http_calls.send_attempt(
            context.ingress,
            deployment_client.HOST,
            path,
            attempt_id,
            method,
            data,
            remaining_ms=REMAINING_MS,
            timeout_s=deployment_client.RESPONSE_TIMEOUT_S,
        )

    context.response = deployment_client.retry_without_lease(send)


@behave.then("the client gets {status:d} with the endpoint's own seal and body, and the id of the request")
def client_gets_own_response(context, status: int):
    response, sent = context.response, context.sent
    response.attempt_id = sent['id']
    assert response.status == status, response
    test_endpoint, request = context.execution = deployment_client.execution_of(response)
    body = endpoint.response_body(test_endpoint, request)
    assert response.body == body, response
    assert response.headers['zinctrail-server-seal'] == endpoint.seal_of(request['id'], body), response
    assert response.headers['zinctrail-attempt-id'] == sent['id'], response
    assert 'content-encoding' not in response.headers


@behave.then('the endpoint executed the request as it was sent')
def endpoint_got_it_as_sent(context):
    _, request = context.execution
    received = {name: request[name] for name in ('id', 'method', 'path', 'body')}
    assert received == context.sent, (request['method'], request['path'])


@behave.when('a client of the deployment sends headers of its own and of its connection')
def client_sends_headers(context):
    headers = {
        'X-Own': 'a, b',
        'Accept': 'text/x',
        'Cookie': 'k=v',
        'Connection': 'keep-alive, X-Hop',
        'Keep-Alive': 'timeout=9',
        'X-Hop': '1',
        'TE': 'trailers',
        'Proxy-Connection': 'x',
    }

    def send(attempt_id):
        context.sent = {'id': attempt_id}
        return http_calls.send_attempt(
            context.ingress,
            deployment_client.HOST,
            '/r1/h',
            attempt_id,
            remaining_ms=9100,
            timeout_s=deployment_client.RESPONSE_TIMEOUT_S,
            headers=headers,
        )

    context.response = deployment_client.retry_without_lease(send)


@behave.then("the client's own headers reached the endpoint, and those of its connection did not")
def own_headers_arrived(context):
    _, request = context.execution
    headers = request['headers']
    own = (headers['x-own'], headers['accept'], headers['cookie'], headers['host'])
    assert own == ('a, b', 'text/x', 'k=v', deployment_client.HOST), headers
    assert not CONNECTION_HEADERS & set(headers), headers


@behave.then('the endpoint received the remaining deadline and the expected instance')
def endpoint_got_deadline(context):
    test_endpoint, request = context.execution
    assert 0 < int(request['headers']['zinctrail-deadline-remaining']) <= 9100, request
    assert request['headers']['zinctrail-expected-instance'] == test_endpoint.identifier, request


@behave.when('a client of the deployment asks {host} for {path}')
def client_asks_host(context, host: str, path: str):
    ingress = deployment_client.running().edges[0].ingress
    context.response = deployment_client.retry_without_lease(
        lambda attempt_id: http_calls.send_attempt(
            ingress, host, path, attempt_id, timeout_s=deployment_client.RESPONSE_TIMEOUT_S
        )
    )


@behave.then('the client gets {status:d}')
def client_gets_status(context, status: int):
    assert context.response.status == status, context.response
