"""Actions of scripted endpoints: full, partial or misdirected responses, and ends of the connection."""

import collections.abc
import dataclasses
import random

# The statuses by which a proxy says that the request was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def response_to(
    request_id: bytes | None, status: int = 200, headers: bytes = b'', body: bytes | None = None, stamp: bool = True
) -> bytes:
    """Return the bytes of an endpoint's response; with `request_id` None it has no id."""
    owner = request_id or b'nobody'
    if body is None:
        body = b'body of %s' % owner
    id_header = b'zt-id: %s\r\n' % request_id if request_id is not None else b''
    stamp_header = b'zt-stamp: stamp-%s\r\n' % owner if stamp else b''
    length_header = b'Content-Length: %d\r\n' % len(body)
    return b'HTTP/1.1 %d X\r\n%s%s%s%s\r\n%s' % (
        status,
        id_header,
        stamp_header,
        headers,
        length_header,
        body,
    )


NOT_RUN = b'zt-not-run: 1\r\n'


def refusal(request_id: bytes | None, status: int) -> bytes:
    """Return the bytes of an endpoint's refusal; a 421 means by itself that the request was not run."""
    return response_to(request_id, status, NOT_RUN if status != 421 else b'', b'', stamp=False)


@dataclasses.dataclass
class EndpointAction:
    """What an endpoint does with one request: whether it runs it, the bytes it writes, how it ends the connection."""

    runs: bool
    writes: bytes = b''
    ends: str = ''
    # The status of its response to this request, complete or cut off; 0 without one.
    status: int = 0


def serve(request_id: bytes, status: int = 200, headers: bytes = b'', ends: str = '') -> EndpointAction:
    """Run a request and write the full response."""
    return EndpointAction(True, response_to(request_id, status, headers), ends, status)


def serve_partially(request_id: bytes, where: str, ends: str) -> EndpointAction:
    """Run a request and write its response up to a place in the headers, their end, or a place in the body."""
    response = response_to(request_id)
    body_start = response.index(b'\r\n\r\n') + 4
    length = {'headers': 20, 'body start': body_start, 'body': body_start + 3}[where]
    return EndpointAction(True, response[:length], ends, 200)


# The id of a request that was never sent, and the id of the first request of a scenario.
OTHER = b'another'
FIRST = b'id1'
ACTIONS: dict[str, collections.abc.Callable[[bytes], EndpointAction]] = {
    'serves': serve,
    'is silent': lambda request_id: EndpointAction(True),
    'resets before it reads': lambda request_id: EndpointAction(False, ends='reset'),
    'closes before it reads': lambda request_id: EndpointAction(False, ends='close'),
    'resets after it reads': lambda request_id: EndpointAction(True, ends='reset'),
    'closes after it reads': lambda request_id: EndpointAction(True, ends='close'),
    'resets within the headers': lambda request_id: serve_partially(request_id, 'headers', 'reset'),
    'closes within the headers': lambda request_id: serve_partially(request_id, 'headers', 'close'),
    'is silent within the headers': lambda request_id: serve_partially(request_id, 'headers', ''),
    'resets after the headers': lambda request_id: serve_partially(request_id, 'body start', 'reset'),
    'closes after the headers': lambda request_id: serve_partially(request_id, 'body start', 'close'),
    'resets within the body': lambda request_id: serve_partially(request_id, 'body', 'reset'),
    'closes within the body': lambda request_id: serve_partially(request_id, 'body', 'close'),
    'is silent within the body': lambda request_id: serve_partially(request_id, 'body', ''),
    'closes after the answer': lambda request_id: serve(request_id, ends='close'),
    'refuses with 421': lambda request_id: EndpointAction(False, refusal(request_id, 421)),
    'refuses with 503': lambda request_id: EndpointAction(False, refusal(request_id, 503)),
    'refuses with 421 and cuts that off': lambda request_id: EndpointAction(
        False, refusal(request_id, 421)[:-2], 'close'
    ),
    'runs it and says 421 without an id': lambda request_id: EndpointAction(True, refusal(None, 421)),
    'runs it and says 503 not run without an id': lambda request_id: EndpointAction(True, refusal(None, 503)),
    'runs it and says 421 to another': lambda request_id: EndpointAction(True, refusal(OTHER, 421), 'close'),
    'runs it and says 421 to three others': lambda request_id: EndpointAction(True, refusal(OTHER, 421) * 3),
    'runs it and says 421 to two ids at once': lambda request_id: EndpointAction(
        True, refusal(OTHER, 421).replace(b'Content', b'zt-id: %s\r\nContent' % request_id) * 3
    ),
    'runs it and says 503 and nothing else': lambda request_id: EndpointAction(
        True, response_to(request_id, 503, b'', b'', stamp=False)
    ),
    'runs it and refuses the last one again': lambda request_id: EndpointAction(True, refusal(FIRST, 421), 'close'),
    'answers twice': lambda request_id: EndpointAction(True, response_to(request_id) * 2, '', 200),
    "answers another's first": lambda request_id: EndpointAction(
        True, response_to(OTHER) + response_to(request_id), '', 200
    ),
    "answers another's 421 first": lambda request_id: EndpointAction(
        True, refusal(OTHER, 421) + response_to(request_id), '', 200
    ),
    "answers another's only": lambda request_id: EndpointAction(True, response_to(OTHER), 'close'),
    'answers the last one again': lambda request_id: EndpointAction(True, response_to(FIRST), 'close'),
    'answers the last one again, and then this': lambda request_id: EndpointAction(
        True, response_to(FIRST) + response_to(request_id), '', 200
    ),
    'answers without an id': lambda request_id: EndpointAction(True, response_to(None)),
    'fails with 500': lambda request_id: serve(request_id, 500),
    'fails with 504': lambda request_id: serve(request_id, 504),
    'fails with 404': lambda request_id: serve(request_id, 404),
}


def random_responses(rng: random.Random, request_id: bytes, kinds: collections.abc.Iterable[bytes]) -> list[bytes]:
    """Return a random mixture of responses to this request, to another and to none."""
    responses = [
        response_to(OTHER),
        response_to(rng.choice(sorted(kinds))),
        refusal(OTHER, rng.choice(NOT_RUN_STATUSES)),
        refusal(None, rng.choice(NOT_RUN_STATUSES)),
        response_to(request_id, rng.choice((500, 502, 504, 404)), stamp=True),
        response_to(request_id),
        response_to(None),
    ]
    return [rng.choice(responses) for _ in range(rng.randint(1, 4))]


def statuses_in(responses: collections.abc.Iterable[bytes], request_id: bytes) -> set[int]:
    """Return the statuses of the responses to a request."""
    return {int(response.split()[1]) for response in responses if b'zt-id: %s\r\n' % request_id in response}
