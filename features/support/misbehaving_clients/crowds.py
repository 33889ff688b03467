"""Each kind of misbehaviour: a function sends a crowd to the listener of a scenario."""

import collections.abc
import functools

import features.support.endpoint as endpoints
import features.support.misbehaving_clients.crowd as crowd
import features.support.misbehaving_clients.site as sites

MIB = 1 << 20
CONNECTIONS = 500
CONNECTIONS_WITH_LINES, HEADER_LINES = 1200, 480
# As much of a header as a client may send.
HEADER_BYTES = 15000
# Announced and sent bytes of unfinished bodies: open traffic allows 64 MiB, the API 2 MB.
LONG_BODY_BYTES, LONG_BODY_SENT_BYTES, LONG_BODIES = 5 * MIB, 4 * MIB, 30
SHORT_BODY_BYTES, SHORT_BODY_SENT_BYTES, SHORT_BODIES = 1_900_000, 1_500_000, 100
ANSWER_BYTES = 8 * MIB
ANSWERS = 24
WAITING_REQUESTS = 250
WAITING_BODIES, WAITING_BODY_BYTES = 12, 6_500_000
LEFT_BODIES, LEFT_BODY_BYTES = 15, 7_500_000
HEALTH_ANSWERS, HEALTH_ANSWER_BYTES = 8, 60 * MIB
# Requests in a row: connections, and requests on each.
ROWS_OF_OPEN_REQUESTS, OPEN_REQUESTS_IN_A_ROW = 3, 16
SHORT_ANSWER_BYTES, ROWS_OF_SHORT_REQUESTS, SHORT_REQUESTS_IN_A_ROW = 16000, 30, 400
ROWS_OF_API_REQUESTS, API_REQUESTS_IN_A_ROW = 48, 64
# Paths of long answers of the API.
CONFIGURATION_PATH, STATE_PATH = '/v1/configuration', '/v1/copy'
HEADER_NAMES = 4000
WATCHES = 600
WATCHES_AT_ONCE = 50
WATCH_MS = 50000
GROUP = 'g1'


def connect_many(site: sites.Site, count: int, payload: bytes) -> None:
    """Open connections that send a payload, and wait until the target has taken what it takes."""
    for _ in range(count):
        site.crowd.connect(site.address, payload)
    site.settle()


def stay(site: sites.Site) -> None:
    """Open connections and send nothing."""
    connect_many(site, CONNECTIONS, b'')


def unfinished_headers(site: sites.Site) -> None:
    """Send headers that don't end."""
    head = site.attempt_bytes(site.listener.path)[:-2] + b'X-Long: '
    connect_many(site, CONNECTIONS, head + b'y' * (HEADER_BYTES - len(head)))


def headers_of_many_lines(site: sites.Site) -> None:
    """Send headers of many short lines that don't end."""
    lines = b''.join(b'N%d: vvvvvvvvvvvvvvvvvvvvvv\r\n' % number for number in range(HEADER_LINES))
    head = site.attempt_bytes(site.listener.path, header=lines)[:-2]
    connect_many(site, CONNECTIONS_WITH_LINES, head)


def unfinished_bodies(site: sites.Site) -> None:
    """Send most of long bodies, and stay."""
    if site.listener.address == 'ingress':
        head = site.attempt_bytes(f'/{sites.LONG_ROUTE}/x', 'POST', LONG_BODY_BYTES)
        connect_many(site, LONG_BODIES, head + b'b' * LONG_BODY_SENT_BYTES)
    else:
        head = site.attempt_bytes(site.listener.path, 'POST', SHORT_BODY_BYTES)
        connect_many(site, SHORT_BODIES, head + b'b' * SHORT_BODY_SENT_BYTES)


def unread_answers(site: sites.Site, kind: str = 'answer') -> None:
    """Ask for long answers, one after the other, and read none of them."""
    for _ in range(ANSWERS):
        connection = site.crowd.connect(site.address, site.attempt_bytes(f'/{sites.ROUTE}/{kind}/{ANSWER_BYTES}'))
        if connection is not None:
            site.crowd.wait_for_answer(connection, 2 * sites.ROUTE_TIMEOUT_MS / 1000)


def unread_answers_without_length(site: sites.Site) -> None:
    """Ask for long answers that come without their length, and read none of them."""
    unread_answers(site, 'chunked')


def requests_in_a_row(site: sites.Site) -> None:
    """Send many requests on each connection without reading an answer."""
    if site.listener.address == 'ingress':
        path, count, rows = f'/{sites.ROUTE}/answer/{ANSWER_BYTES}', OPEN_REQUESTS_IN_A_ROW, ROWS_OF_OPEN_REQUESTS
    else:
        path = STATE_PATH if site.listener.address == 'internal' else CONFIGURATION_PATH
        count, rows = API_REQUESTS_IN_A_ROW, ROWS_OF_API_REQUESTS
    for _ in range(rows):
        site.crowd.connect(site.address, b''.join(site.attempt_bytes(path) for _ in range(count)))
    site.settle()


def requests_for_short_answers_in_a_row(site: sites.Site) -> None:
    """Send many requests for answers of 16 KB on each connection without reading an answer."""
    path = f'/{sites.ROUTE}/answer/{SHORT_ANSWER_BYTES}'
    for _ in range(ROWS_OF_SHORT_REQUESTS):
        site.crowd.connect(site.address, b''.join(site.attempt_bytes(path) for _ in range(SHORT_REQUESTS_IN_A_ROW)))
    site.settle_requests()


def waiting_requests(site: sites.Site) -> None:
    """Send requests to an endpoint that doesn't answer."""
    site.start_wide_endpoint()
    for _ in range(WAITING_REQUESTS):
        site.crowd.connect(site.address, site.attempt_bytes(f'/{sites.WIDE_ROUTE}/hold/0', 'POST'))
    site.settle()


def waiting_bodies(site: sites.Site) -> None:
    """Send whole bodies to an endpoint that doesn't answer."""
    for _ in range(WAITING_BODIES):
        head = site.attempt_bytes(f'/{sites.ONCE_ROUTE}/hold/0', 'POST', WAITING_BODY_BYTES)
        site.crowd.connect(site.address, head + b'b' * WAITING_BODY_BYTES)
    site.settle()


def bodies_of_clients_that_left(site: sites.Site) -> None:
    """Send whole bodies to an endpoint that doesn't answer, and leave once it has them."""
    endpoint = site.endpoints[-1]
    for _ in range(LEFT_BODIES):
        known = len(endpoint.executed)
        head = site.attempt_bytes(f'/{sites.ONCE_ROUTE}/hold/0', 'POST', LEFT_BODY_BYTES)
        connection = site.crowd.connect(site.address, head + b'b' * LEFT_BODY_BYTES)
        if connection is not None:
            site.wait_until_settled(functools.partial(is_taken_or_refused, connection, endpoint, known))
            connection.close()
    site.settle()


def is_taken_or_refused(connection: crowd.CrowdConnection, endpoint: endpoints.Endpoint, known: int) -> bool:
    """Send on; return True if the endpoint has got one more request than it had, or the connection has its answer."""
    connection.send_more()
    return len(endpoint.executed) > known or connection.has_answer_or_end()


def health_answers(site: sites.Site) -> None:
    """Answer health checks at length, from several endpoints at a time."""
    mute = [site.start_mute_endpoint(HEALTH_ANSWER_BYTES) for _ in range(HEALTH_ANSWERS)]
    site.wait_until_settled(lambda: all(endpoint.health_checks for endpoint in mute))
    site.settle()


def long_header_names(site: sites.Site) -> None:
    """Send requests, each with another long name of a header, and leave."""
    for number in range(HEADER_NAMES):
        name = b'N%d' % number
        header = name + b'n' * (HEADER_BYTES - len(name)) + b': v\r\n'
        connection = site.crowd.connect(site.address, site.attempt_bytes('/none/x', header=header))
        if connection is not None:
            site.crowd.wait_for_answer(connection, sites.LIMIT_S)
            site.crowd.close()


def endless_headers(site: sites.Site) -> None:
    """Ask for an answer whose headers have 150 MB."""
    site.request(f'/{sites.LONG_ROUTE}/headers/150000')


def watch_path(site: sites.Site, wait_ms: int) -> str:
    """Return the path of a watch of a group that has had one put."""
    return f'/v1/watch/{GROUP}.?after={site.revision}&wait_ms={wait_ms}'


def first_watch(site: sites.Site) -> crowd.CrowdConnection:
    """Open a watch that stays, from before the crowd to the end of a scenario; return its connection."""
    connection = site.bystanders.connect(site.address, site.attempt_bytes(watch_path(site, WATCH_MS)))
    assert connection is not None
    return connection


def watches(site: sites.Site) -> None:
    """Watch, many at a time."""
    for _ in range(WATCHES):
        site.crowd.connect(site.address, site.attempt_bytes(watch_path(site, WATCH_MS)))
    site.settle()


def abandoned_watches(site: sites.Site) -> None:
    """Watch and leave, again and again."""
    for number in range(WATCHES):
        site.crowd.connect(site.address, site.attempt_bytes(watch_path(site, WATCH_MS)))
        if number % WATCHES_AT_ONCE == WATCHES_AT_ONCE - 1:
            site.settle()
            site.crowd.close()


ALL: dict[str, collections.abc.Callable[[sites.Site], None]] = {
    'connections that stay': stay,
    'unfinished headers': unfinished_headers,
    'headers of many lines': headers_of_many_lines,
    'unfinished bodies': unfinished_bodies,
    'unread answers': unread_answers,
    'unread answers without a length': unread_answers_without_length,
    'requests in a row': requests_in_a_row,
    'requests for short answers in a row': requests_for_short_answers_in_a_row,
    'requests that wait at an endpoint': waiting_requests,
    'bodies that wait at an endpoint': waiting_bodies,
    'bodies of clients that left': bodies_of_clients_that_left,
    'health answers without end': health_answers,
    'long names of headers': long_header_names,
    'an answer with endless headers': endless_headers,
    'watches': watches,
    'abandoned watches': abandoned_watches,
}
