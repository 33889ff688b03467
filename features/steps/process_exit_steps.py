"""Steps of process_exit.feature: processes get SIGTERM while clients read long answers."""

import http.client
import signal
import subprocess
import time

import behave

import features.support.deployment as deployments
import features.support.deployment_client as deployment_client
import features.support.endpoint as endpoint
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents
import features.support.slow_reader as slow_reader

PADDING_BYTES = 12_000_000
NOTES = 6
NOTE_CHARACTERS = 600_000
GRACE_S = 6
# A control node would exit within a second of its SIGTERM, a proxy within 3.4 s.
STILL_RUNS_S = 4
EXIT_WAIT_S = 30


def start_deployment() -> deployments.Deployment:
    """Start control nodes, proxies and an endpoint, and fill the configuration."""
    deployment = deployments.Deployment(3, 2).start()
    assert deployment.call_control('PATCH', '/v1/configuration', platform_documents.first_configuration()).status == 200
    for number in range(NOTES):
        row = platform_documents.service(f'long{number}', notes='n' * NOTE_CHARACTERS)
        change = {'upserts': {'service_list': [row]}, 'removals': {}}
        assert deployment.call_control('PATCH', '/v1/configuration', change, limit_s=60).status == 200
    route = platform_documents.route('long', timeout_ms=60000, target_ms=60000)
    change = {'upserts': {'route_list': [route]}, 'removals': {}}
    assert deployment.call_control('PATCH', '/v1/configuration', change).status == 200
    test_endpoint = endpoint.Endpoint(deployment, f'{deployment.network}.{deployments.FIRST_ENDPOINT}', 'sa', 'z1')
    deployment.endpoints.append(test_endpoint)
    test_endpoint.start()
    test_endpoint.padding_bytes['/long/x'] = PADDING_BYTES
    return deployment


@behave.given('a deployment of the platform whose answers are long')
def deployment_with_long_answers(context):
    if not deployments.RUNNING:
        start_deployment()
    deployment = deployment_client.running()
    for process in deployment.processes:
        if process.process.poll() is not None:
            process.start()
    for process in deployment.cores:
        deployment.wait_until(lambda p=process: is_serving(p), f'{process.name} to serve')
    for process in deployment.edges:
        deployment_client.wait_for_good_response(process.ingress)


def is_serving(process: deployments.AdapterProcess) -> bool:
    """Return True if a control node returns the configuration."""
    try:
        return http_calls.call(process.control, 'GET', '/v1/configuration').status == 200
    except (OSError, http.client.HTTPException):
        return False


def process_of(role: str) -> deployments.AdapterProcess:
    """Return a proxy, or a control node."""
    deployment = deployment_client.running()
    return deployment.edges[0] if role == 'proxy' else deployment.cores[0]


def open_answer(answer: str, process: deployments.AdapterProcess) -> slow_reader.SlowReader:
    """Ask a process for an answer; return its reader."""
    if answer == "an endpoint's answer":
        headers = {
            'host': deployment_client.HOST,
            'zinctrail-attempt-id': deployment_client.running().new_attempt_id(),
            'zinctrail-deadline-remaining': '60000',
        }
        return slow_reader.SlowReader(process.ingress, '/long/x', headers)
    if answer == 'the configuration':
        return slow_reader.SlowReader(process.control, '/v1/configuration')
    return slow_reader.SlowReader(process.internal, '/v1/copy')


@behave.when('a client has read the first byte of {answer}, and the {role} gets SIGTERM')
def process_stops_while_answering(context, answer: str, role: str):
    context.process = process_of(role)
    context.reader = open_answer(answer, context.process)
    context.reader.read_head()
    context.stopped_at = time.monotonic()
    context.process.signal(signal.SIGTERM)


@behave.when('a client has read the whole configuration and keeps its connection, and the control node gets SIGTERM')
def process_stops_beside_idle_client(context):
    context.process = process_of('control node')
    context.reader = open_answer('the configuration', context.process)
    context.reader.read_head()
    assert context.reader.read_rest()
    context.stopped_at = time.monotonic()
    context.process.signal(signal.SIGTERM)


@behave.then('the {role} still runs {seconds:d} s later')
def process_still_runs(context, role: str, seconds: int):
    try:
        context.process.wait(seconds)
    except subprocess.TimeoutExpired:
        return
    raise AssertionError(f'the {role} has ended {time.monotonic() - context.stopped_at:.1f} s after its SIGTERM')


@behave.then('the client reads the rest of it, and the {role} exits with 0')
def client_reads_the_rest(context, role: str):
    is_whole = context.reader.read_rest()
    assert is_whole, f'{context.reader.received} of {context.reader.length} bytes'
    assert context.process.wait(EXIT_WAIT_S) == 0


@behave.then('it exits with 0 by the end of its grace period, with the answer cut')
def process_exits_by_grace(context):
    assert context.process.wait(EXIT_WAIT_S) == 0
    took = time.monotonic() - context.stopped_at
    assert took <= GRACE_S * deployment_client.contention(), took
    assert not context.reader.read_rest()


@behave.then('the control node exits with 0 within half of its grace period')
def process_exits_soon(context):
    assert context.process.wait(EXIT_WAIT_S) == 0
    took = time.monotonic() - context.stopped_at
    assert took <= GRACE_S / 2 * deployment_client.contention(), took
