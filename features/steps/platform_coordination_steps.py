"""Steps of platform.feature: locks, number sequences, keys and watches through the adapter."""

import re

import behave

import features.support.platform_calls as platform_calls
import zinctrail.runtime.durations as durations

ms = durations.ms
LOCK_METHODS = {'take': 'POST', 'renew': 'PUT', 'free': 'DELETE'}
HOLD_MS = 3000
KEYS = ('g1.a', 'g1.b')
AT_ONCE = ms(500)


# -- locks -----------------------------------------------------------------------------


def lock_document(verb: str, holder: str, fence: int) -> dict:
    """Return the body of a lock call."""
    document = {'holder': holder}
    if verb != 'take':
        document['fence_number'] = fence
    if verb != 'free':
        document['hold_ms'] = HOLD_MS
    return document


@behave.when('these lock calls are made: {calls}')
def lock_calls_made(context, calls: str):
    platform = context.platform
    context.statuses, context.fences, newest_fences = [], [], {}
    for number, text in enumerate(calls.split(', ')):
        if text.startswith('after'):
            platform.world.run(ms(int(text.split()[1])))
            continue
        is_stale = text.startswith('stale ')
        verb, holder = text.removeprefix('stale ').split()
        fence = newest_fences.get(holder, 1) - (1 if is_stale else 0)
        response = platform.call(
            LOCK_METHODS[verb],
            '/v1/locks/l1',
            lock_document(verb, holder, fence),
            node=platform_calls.control_node(platform, number),
        )
        context.statuses.append(response.status)
        if verb == 'take' and response.status == 200:
            newest_fences[holder] = response.document['fence_number']
            context.fences.append(newest_fences[holder])


@behave.then('the statuses of the lock calls are {statuses}')
def lock_call_statuses_are(context, statuses: str):
    assert context.statuses == [int(status) for status in statuses.split(', ')], context.statuses


@behave.then('each fence number is higher than the previous one')
def fences_rise(context):
    assert len(context.fences) == 4 and sorted(set(context.fences)) == context.fences, context.fences


# -- numbers -----------------------------------------------------------------------------


@behave.when('{count:d} numbers are requested, from each control node in turn')
def numbers_requested(context, count: int):
    platform = context.platform
    responses = [
        platform.call('POST', '/v1/numbers/n1', {}, node=platform_calls.control_node(platform, index))
        for index in range(count)
    ]
    context.values = [response.document['value'] for response in responses]


@behave.then('each value is higher than the previous one')
def values_rise(context):
    assert sorted(set(context.values)) == context.values, context.values


# -- keys and watches --------------------------------------------------------------------


def put(platform, name: str, value: str, revision: int):
    """Put a value over a given revision of a key, and return the response."""
    return platform.call('PUT', f'/v1/cells/{name}', {'value': value, 'concerns': revision})


@behave.then('these puts and reads get these responses')
def puts_and_reads_get_responses(context):
    for row in context.table:
        verb, name, *value = row['call'].split()
        if verb == 'put':
            response = put(context.platform, name, value[0], int(row['concerns']))
        else:
            response = context.platform.call('GET', f'/v1/cells/{name}')
        assert response.status == int(row['status']), (row, response)
        if row['revision']:
            assert response.document['revision'] == int(row['revision']), (row, response)


def put_value(context, name: str, value: str):
    """Put a value over the newest revision of a key."""
    response = put(context.platform, name, value, context.revisions[name])
    assert response.status == 200, response
    context.revisions[name] = response.document['revision']


@behave.when('{count:d} values are put to g1.a and g1.b in turn')
def keys_get_values(context, count: int):
    context.revisions = dict.fromkeys(KEYS, 0)
    for index in range(count):
        put_value(context, KEYS[index % 2], f'v{index + 1}')


def watch(context, after: int, wait_ms: int = 2000):
    """Watch the changes after a revision; return (response, virtual time that it took)."""
    start = context.platform.world.now
    response = context.platform.call('GET', f'/v1/watch/g1.?after={after}&wait_ms={wait_ms}')
    return response, context.platform.world.now - start


def revisions_of(response) -> list[int]:
    """Return the revisions of the changes that a watch returns."""
    return [event['revision'] for event in response.document['events']]


@behave.then('a watch of g1. after 0 returns revision {revision:d} and no events, at once')
def first_watch_returns_revision(context, revision: int):
    response, took = watch(context, 0)
    assert response.document == {'events': [], 'revision': revision} and took < AT_ONCE, (response, took)


@behave.then('a watch of g1. after {after:d} returns revisions {revisions} at once')
def watch_returns_changes(context, after: int, revisions: str):
    response, took = watch(context, after)
    wanted = [int(revision) for revision in revisions.split(',')]
    events = response.document['events']
    assert revisions_of(response) == wanted and response.document['revision'] == wanted[-1], response
    assert [event['name'] for event in events] == [KEYS[(revision + 1) % 2] for revision in wanted], response
    assert [event['value'] for event in events] == [f'v{revision}' for revision in wanted], response
    assert took < AT_ONCE, took


@behave.then('a watch of g1. after {after:d} waiting {wait_ms:d} ms returns none after {took_ms:d} ms')
def watch_waits(context, after: int, wait_ms: int, took_ms: int):
    response, took = watch(context, after, wait_ms)
    assert response.document == {'events': [], 'revision': after}, (response, took)
    assert ms(wait_ms) <= took < ms(wait_ms + 700), (response, took)


@behave.then('a watch of g1. after {after:d} returns a put within {limit_ms:d} ms of its response')
def watch_returns_a_put(context, after: int, limit_ms: int):
    platform = context.platform
    path = f'/v1/watch/g1.?after={after}&wait_ms=5000'
    responses = platform.send('GET', path, node=platform_calls.control_node(platform, 1))
    platform.world.run(ms(300))
    assert not responses
    put_value(context, 'g1.a', f'v{after + 1}')
    assert platform.world.run(ms(limit_ms), lambda: bool(responses))
    assert revisions_of(responses[0]) == [after + 1], responses


@behave.then('a watch of g1. after {after:d} still returns all later changes after {seconds:d} s')
def watch_keeps_history(context, after: int, seconds: int):
    context.platform.world.run(ms(1000 * seconds))
    response, _ = watch(context, after)
    assert revisions_of(response) == [2, 3, 4, 5], response


@behave.then('a watch of g1. after {after:d} gets 410 once its history is removed')
def watch_is_too_old(context, after: int):
    context.platform.world.run(ms(120000))
    response, _ = watch(context, after)
    assert response.status == 410, response
    response, _ = watch(context, 5, 100)
    assert response.document == {'events': [], 'revision': 5}, response


@behave.then('the response status is 503 or 504, and a 503 has a numeric Retry-After')
def unavailable_with_retry_after(context):
    response = context.response
    assert response.status in (503, 504), response
    if response.status == 503:
        assert re.fullmatch(r'\d+(\.\d+)?', response.headers['retry-after']), response
        assert 0 < float(response.headers['retry-after']) <= 1, response
