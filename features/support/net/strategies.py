"""How the inputs are drawn: mostly well-formed, with something odd in one place."""

import json
import typing

import hypothesis.strategies as st

# Deeper than any document may be, and than the parser of the release before could carry.
MAX_DEPTH = 1300
# A character that HTTP forbids, or that ends a part of a message, among others.
ODD_BYTES = st.sampled_from([bytes([code]) for code in (127, 0, 9, 10, 13, 27, 32, 47, 58, 64, 128, 233)])
TOKENS = st.sampled_from([b'GET', b'POST', b'PUT', b'HEAD', b'DELETE', b'OPTIONS', b'CONNECT', b'get'])
PATHS = st.sampled_from([b'/a', b'/', b'/a?b=c', b'*', b'http://often/a', b'/%00', b'/a/../b', b'//'])
LENGTHS = st.sampled_from([b'0', b'3', b'5', b'-1', b'+3', b'3,3', b'x', b'99999999999999999999', b''])


def with_odd_byte(text: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Draw a text with one odd byte somewhere."""

    def insert(parts: tuple[bytes, bytes, int]) -> bytes:
        whole, odd, place = parts
        place %= len(whole) + 1
        return whole[:place] + odd + whole[place:]

    return st.tuples(text, ODD_BYTES, st.integers(0, 11)).map(insert)


def maybe_odd(text: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    """Draw a text, at times with one odd byte."""
    return st.one_of(text, text, with_odd_byte(text))


NAMES = maybe_odd(
    st.sampled_from([b'x-note', b'Host', b'zt-id', b'zt-left-ms', b'Cookie', b'Connection', b'Expect', b'TE'])
)
VALUES = maybe_odd(st.sampled_from([b'a', b'', b'often', b'1', b'close', b'keep-alive', b'100-continue', b'a' * 300]))
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=4)


class RequestParts(typing.NamedTuple):
    """The parts of a request."""

    method: bytes = b'GET'
    path: bytes = b'/a'
    version: bytes = b'HTTP/1.1'
    host: bytes = b'often'
    headers: tuple[tuple[bytes, bytes], ...] = ()
    framing: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''


FRAMINGS = st.one_of(
    st.just(()),
    st.tuples(st.just(b'Content-Length'), LENGTHS).map(lambda header: (header,)),
    st.just(((b'Transfer-Encoding', b'chunked'),)),
    st.just(((b'Transfer-Encoding', b'chunked'), (b'Content-Length', b'3'))),
)
BODIES = st.one_of(
    st.just(b''),
    st.just(b'abc'),
    st.just(b'3\r\nabc\r\n0\r\n\r\n'),
    st.just(b'ffffffffff\r\na'),
    st.binary(max_size=40),
)
# One or two parts of a request, so that what is odd is seldom hidden by something else.
CHANGES = st.one_of(
    st.fixed_dictionaries({'method': maybe_odd(TOKENS)}),
    st.fixed_dictionaries({'path': maybe_odd(PATHS)}),
    st.fixed_dictionaries({'path': with_odd_byte(st.just(b'/a/b?c=d'))}),
    st.fixed_dictionaries({'version': st.sampled_from([b'HTTP/1.0', b'HTTP/2.0', b'HTTP', b''])}),
    st.fixed_dictionaries(
        {'host': maybe_odd(st.sampled_from([b'often', b'once', b'', b'often:80', b'[::1]', b'none']))}
    ),
    st.fixed_dictionaries({'headers': HEADERS.map(tuple)}),
    st.fixed_dictionaries({'framing': FRAMINGS, 'body': BODIES}),
)
REQUESTS = st.lists(CHANGES, min_size=1, max_size=2).map(
    lambda changes: RequestParts(**{name: value for change in changes for name, value in change.items()})
)
STATUS_LINES = maybe_odd(
    st.sampled_from([b'HTTP/1.1 200 OK', b'HTTP/1.1 503 X', b'HTTP/1.0 200 OK', b'HTTP/1.1 99 X', b'HTTP/1.1', b'x'])
)

# -- JSON -------------------------------------------------------------------

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([0, -1, 1 << 53, 1 << 63, 1 << 70, 10**400, 0.5, -0.0, 1e308, 5e-324]),
    st.text(max_size=12),
    st.sampled_from(['', '\x00', '\ud800', '\udfff\ud800', '\u2028', '￿', 'a' * 3000, '../..', 'r0/c0']),
)
VALUES_JSON = st.recursive(
    SCALARS,
    lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=4), inner, max_size=3)),
    max_leaves=8,
)


def nested(depth: int, opening: str = '{"a":') -> str:
    """Return the JSON text of values nested so deep."""
    closing = '}' if opening.startswith('{') else ']'
    return opening * depth + '1' + closing * depth


DEEP_TEXTS = st.builds(nested, st.integers(1, MAX_DEPTH), st.sampled_from(['{"a":', '[']))
ODD_TEXTS = st.sampled_from(
    ['NaN', 'Infinity', '-Infinity', '1e999', '-1e999', '1' * 5000, '"\\ud800"', '"\\u0000"', '01', '', '"', '{', '[1,']
)
JSON_TEXTS = st.one_of(VALUES_JSON.map(json.dumps), DEEP_TEXTS, ODD_TEXTS)
