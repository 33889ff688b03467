"""Steps of fleet.feature: real processes refuse invalid input and keep serving."""

import behave

import features.support.fleet_under_load as fleet_under_load
import zinctrail.transport.blocking_client as blocking_client

# Above the body size limit of a proxy.
LARGE_BODY = b'x' * (3 << 20)
INVALID_FRAMES = (
    b'garbage',
    b'5:hello,',
    b'2:[],',
    b'999999999999:x',
    b'13:{"t":"pub"}..,',
    b'2:{},',
    b'%d:%s,' % (62, b'{"t":"pub","v":1,"c":"","f":"x","a":"10.0.0.1:1","term":[],"at":1}'),
)
INVALID_CONFIGURATIONS = (b'{', b'[]', b'{"x": 1}', b'[' * 100000)


def send_request(proxy, headers: dict[str, str], path: str = '/r/loans/x', body: bytes = b'{}') -> bytes:
    """Send a request to a proxy, and return the raw response."""
    lines = [f'POST {path} HTTP/1.1', 'host: x', 'connection: close', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return fleet_under_load.send_raw(proxy.http, '\r\n'.join(lines).encode() + b'\r\n\r\n' + body)


def assert_requests_refused(proxy, epoch: int) -> None:
    """Assert that a proxy refuses invalid requests as not run."""
    valid = {'zt-id': f'{epoch}.bad', 'zt-left-ms': '1000'}
    for headers, path, status in (
        ({}, '/r/loans/x', b' 400 '),
        ({'zt-id': 'x' * 300}, '/r/loans/x', b' 400 '),
        ({**valid, 'zt-left-ms': 'soon'}, '/r/loans/x', b' 400 '),
        ({**valid, 'zt-left-ms': '0'}, '/r/loans/x', b' 504 '),
        ({**valid, 'zt-attempt': '0'}, '/r/loans/x', b' 400 '),
        ({**valid, 'zt-home': 'nowhere'}, '/r/loans/x', b' 403 '),
        ({**valid, 'zt-labels': 'nonsense'}, '/r/loans/x', b' 400 '),
        (valid, '/r/nobody/x', b' 404 '),
        (valid, '/elsewhere', b' 404 '),
    ):
        response = send_request(proxy, headers, path)
        assert status in fleet_under_load.status_line(response), (headers, path, response)
        assert b'zt-outcome: not-run' in response.lower(), (headers, path, response)
    assert b' 413 ' in fleet_under_load.status_line(send_request(proxy, valid, body=LARGE_BODY))
    long_header = b'GET / HTTP/1.1\r\nx: ' + b'y' * 100000 + b'\r\n\r\n'
    assert not fleet_under_load.send_raw(proxy.http, long_header).startswith(b'HTTP/1.1 200')


def assert_calls_refused(directory) -> None:
    """Assert that a directory refuses invalid calls."""
    for body in INVALID_CONFIGURATIONS:
        head = b'PUT /v1/config HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: %d\r\n\r\n' % len(body)
        response = fleet_under_load.send_raw(directory.http, head + body)
        assert b' 400 ' in fleet_under_load.status_line(response), (body[:20], response)
    assert blocking_client.try_call(directory.http, 'POST', '/v1/beat', {'inc': 'x'})[0] == 400
    assert blocking_client.try_call(directory.http, 'GET', '/v1/nothing')[0] == 404
    assert blocking_client.try_call(directory.http, 'DELETE', '/v1/config')[0] == 405


@behave.then('invalid input is refused, and all processes keep serving')
def invalid_input_is_refused(context):
    fleet = context.fleet
    proxy, control_node, directory = fleet.of('prox')[0], fleet.of('core')[0], fleet.of('dir')[0]

    def epoch():
        status, document = blocking_client.try_call(directory.http, 'POST', '/v1/answer', {})
        return document['epoch'] if status == 200 else None

    # Right after a leader has left, a directory may still refuse lookups, as it has no lease.
    assert_requests_refused(proxy, fleet.until(epoch, 'an answer to a lookup'))
    assert_calls_refused(directory)
    for frame in INVALID_FRAMES:
        for process in (control_node, directory, proxy):
            fleet_under_load.send_raw(process.addr, frame)
    # Checked after all of the input: every process must still run.
    for process in fleet.processes.values():
        assert process.child.poll() is None, process.name
    fleet.until(lambda: all(fleet_under_load.is_ready(process) for process in fleet.processes.values()), 'all ready')
