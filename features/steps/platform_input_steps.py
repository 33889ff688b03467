"""Steps of platform.feature: malformed bodies and fields with wrong values, for each call of the adapter."""

import collections.abc
import json
import typing

import behave

import features.support.platform_calls as platform_calls
import features.support.platform_documents as platform_documents
import zinctrail.runtime.durations as durations

ms = durations.ms
DEEP = '[' * 100000
BODIES = {
    'cut short': b'{"upserts": {"route_list": [{"name": "r1", "ver',
    'no JSON': b'route_list=r1',
    'bytes of no text': b'\xff\xfe\x00{}',
    'a list': b'[]',
    'a number': b'7',
    'null': b'null',
    'nested very deeply': b'{"a":' + DEEP.encode(),
    'NaN': b'{"upserts": {"limits": {"version_number": 9, "x": NaN}}, "holder": "a", "hold_ms": NaN, "value": NaN}',
    'a number of 9000 digits': b'{"upserts": {"limits": {"version_number": ' + b'9' * 9000 + b'}}}',
}
CALLS_WITH_BODY = [
    ('PUT', '/v1/instances/i-1'),
    ('PATCH', '/v1/configuration'),
    ('POST', '/v1/locks/l1'),
    ('PUT', '/v1/locks/l1'),
    ('DELETE', '/v1/locks/l1'),
    ('POST', '/v1/numbers/n1'),
    ('PUT', '/v1/cells/g1.a'),
]
WRONG_VALUES = (
    platform_documents.MISSING,
    None,
    -1,
    1.5,
    True,
    'x' * 5000,
    [],
    [[]],
    {},
    {'x': {'y': []}},
    json.loads('[' * 200 + ']' * 200),
    1 << 80,
    '\ud800',
    '/ours',
    '',
)
# A malformed call is refused before it needs a quorum, so the response comes at once.
AT_ONCE = ms(200)


@behave.when('each call that takes a body is sent with {body}')
def bad_bodies_sent(context, body: str):
    context.state_before, context.responses = context.platform.state(), []
    for method, path in CALLS_WITH_BODY:
        start = context.platform.world.now
        context.responses.append(context.platform.call(method, path, raw=BODIES[body]))
        took = context.platform.world.now - start
        assert took < AT_ONCE, (method, path, took)


@behave.then('each response is 400 at once, and the state is unchanged')
def bad_bodies_are_refused(context):
    assert all(response.status == 400 for response in context.responses), context.responses
    assert context.platform.state() == context.state_before


def paths_of(document: dict[str, typing.Any], prefix: str = '') -> collections.abc.Iterator[str]:
    """Yield the dotted path of each field of a document, including nested fields."""
    for name, value in document.items():
        yield prefix + name
        if isinstance(value, dict):
            yield from paths_of(value, f'{prefix}{name}.')


@behave.when('each field of {call} in turn is given each wrong value')
def wrong_fields_sent(context, call: str):
    method, path, document = platform_calls.CALLS[call]
    context.tried = 0
    for field in paths_of(document):
        for wrong in WRONG_VALUES:
            before = context.platform.state()
            response = context.platform.call(method, path, platform_documents.with_value(document, field, wrong))
            context.tried += 1
            # Some are accepted: a field may be optional, or allow a value that is wrong elsewhere.
            assert response.status in (200, 400, 404, 409, 412), (call, field, wrong, response)
            if response.status != 200:
                assert context.platform.state() == before, (call, field, wrong)
                assert response.status == 412 or response.document['error_message'], response


@behave.then('each call is accepted or refused with a 4xx status, and a refused call changes nothing')
def wrong_fields_were_tried(context):
    assert context.tried > 10


@behave.then('valid calls are still accepted')
def valid_calls_are_accepted(context):
    document = platform_documents.with_higher_versions(platform_documents.first_configuration(), 3)
    platform_calls.send_configuration(context, document)
    assert context.response.status == 200, context.response
    for method, path, good in (
        ('PUT', '/v1/instances/i-1', platform_documents.heartbeat(sequence=9)),
        ('POST', '/v1/locks/l7', {'holder': 'a', 'hold_ms': 3000}),
        ('POST', '/v1/numbers/n1', {}),
        ('PUT', '/v1/cells/g7.a', {'value': 'v9', 'concerns': 0}),
    ):
        response = context.platform.call(method, path, good)
        assert response.status == 200, (path, response)


@behave.when('a client calls {method} {path}')
def call_without_body(context, method: str, path: str):
    context.response = context.platform.call(method, path)


@behave.when('all control nodes but one are down, and the remaining one gets the call {method} {path}')
def call_without_quorum(context, method: str, path: str):
    for node in context.platform.world.of('core')[1:]:
        node.kill()
    context.platform.world.run(ms(4000))
    document = platform_calls.document_for(method, path)
    context.response = context.platform.call(method, path, document, timeout_ms=15000)
