"""JSON to a control node that leads: operators' items through their whole life, and calls of everybody else."""

import json

import hypothesis.strategies as st

import features.support.net.strategies as strategies
import features.support.platform_documents as platform_documents
import features.support.repository as repository
import features.support.stored_items as stored_items
import zinctrail.control.http_api as http_api
import zinctrail.runtime.documents as runtime_documents
import zinctrail.runtime.effects as effects

POOL = 'drawn'
KEPT = 'kept'
# Fields that calls have; a drawn call has some of them, with drawn values.
FIELDS = (
    *('id', 'key', 'value', 'rev', 'prefix', 'since', 'wait_ms', 'owner', 'name', 'lease_ms', 'take', 'cell', 'on'),
    *('inc', 'addr', 'service', 'slots', 'state', 'labels', 'seq', 'cold', 'config', 'base', 'wait', 'set', 'drop'),
    *('cluster', 'tables', 'term', 'generation'),
)
FIELD_VALUES = st.one_of(strategies.JSON_TEXTS, st.sampled_from(['"a"', '1', '"r0/c0"', '"1.a"', '{}', '[]', 'true']))
BODIES = st.one_of(
    strategies.JSON_TEXTS,
    st.dictionaries(st.sampled_from(FIELDS), FIELD_VALUES, max_size=6).map(
        lambda fields: '{' + ','.join(f'{json.dumps(name)}:{text}' for name, text in fields.items()) + '}'
    ),
)
# Calls that end the cluster of the node, which they may.
LEFT_OUT = ('/v1/recover',)
CALLS = st.tuples(st.sampled_from(sorted(key for key in http_api.PAGES if key[1] not in LEFT_OUT)), BODIES)


class Leader:
    """A control node that leads, with a pool that was acknowledged; what it raises is passed on."""

    def __init__(self) -> None:
        self.node = stored_items.StoringNode({})
        self.version = 1
        self.pass_on()
        assert self.node.set_pools({'name': KEPT, 'version': 1}) == 200

    def pass_on(self) -> None:
        """Let the machine pass on what its handlers raise, where it has a guard."""
        guard = getattr(self.node.machine, 'guard', None)
        if guard is not None:
            guard.passes_on = True

    def restart(self) -> None:
        """Restart the node from its disk."""
        self.node.restart()
        self.pass_on()

    def send(self, method: str, path: str, text: str) -> effects.HttpResponse | None:
        """Send a call; return its response, or None if the call waits, and its client leaves."""
        node = self.node
        node.calls += 1
        node.feed('http', node.calls, effects.HttpRequest(method, path, {}, text.encode('utf-8', 'surrogatepass')))
        node.run(100)
        response = node.responses.pop(node.calls, None)
        if response is None:
            node.feed('hung_up', node.calls)
        return response

    def next_version(self) -> int:
        """Return a version above all earlier ones."""
        self.version += 1
        return self.version


def pool_text(version: int, field_text: str) -> str:
    """Return the text of a change that sets a pool with a field of any JSON text."""
    return f'{{"set":{{"pools":[{{"name":"{POOL}","version":{version},"notes":{field_text}}}]}}}}'


def check_operator(leader: Leader, texts: tuple[str, str]) -> None:
    """An operator sends an item; if it is acknowledged, so is its second version or a clear refusal, and its removal."""
    # Hypothesis sets a lower limit than the programs have.
    runtime_documents.raise_recursion_limit()
    acknowledged: list = []
    for text in texts:
        response = leader.send('PATCH', '/v1/items', pool_text(leader.next_version(), text))
        assert response is not None
        assert response.status == 200 or 400 <= response.status < 500, (response.status, response.body[:300])
        if response.status == 200:
            acknowledged = [json.loads(text)]
        assert_carried(leader, acknowledged)
    if acknowledged:
        assert leader.node.drop_pool(POOL, leader.next_version()) == 200
    leader.restart()
    assert set(leader.node.pools()) == {KEPT}, set(leader.node.pools())


def assert_carried(leader: Leader, acknowledged: list) -> None:
    """Assert that a value, if one was acknowledged, is read back before and after a restart, and passes through a frame."""
    for _ in range(2):
        pools = leader.node.pools()
        assert KEPT in pools
        if acknowledged:
            assert pools[POOL]['notes'] == acknowledged[0]
        leader.restart()
    tables = leader.node.machine.replica.full_state()
    assert json.loads(json.dumps(tables)) == tables


def check_caller(leader: Leader, call: tuple[tuple[str, str], str]) -> None:
    """Anybody calls a page with any JSON: it gets an answer or waits, and the next ordinary call is served."""
    (method, path), text = call
    response = leader.send(method, path, text)
    if response is not None:
        assert response.status < 500 or response.status in (503, 504), (response.status, response.body[:300])
    machine = leader.node.machine
    assert not machine.http_api.calls, machine.http_api.calls
    assert leader.node.machine.mode == 'leader'
    status, _ = leader.node.call('GET', '/v1/items')
    assert status == 200, status
    assert KEPT in leader.node.pools()


# -- the platform's calls ---------------------------------------------------------

PLATFORM_FIELDS = (
    *('address', 'information', 'service_name', 'zone', 'slot_count', 'status_report', 'state', 'call_sequence'),
    *('upserts', 'removals', 'route_list', 'service_list', 'limits', 'name', 'version_number', 'host_name'),
    *(
        'path_prefix',
        'home_regions',
        'weighted_split',
        'weight',
        'holder',
        'hold_ms',
        'fence_number',
        'value',
        'concerns',
    ),
)


def with_known_fields(inner: st.SearchStrategy) -> st.SearchStrategy:
    """Draw objects that have some of the fields that the platform's calls have, and lists."""
    return st.one_of(st.dictionaries(st.sampled_from(PLATFORM_FIELDS), inner, max_size=5), st.lists(inner, max_size=3))


PLATFORM_BODIES = st.one_of(
    strategies.JSON_TEXTS, st.recursive(strategies.SCALARS, with_known_fields, max_leaves=12).map(json.dumps)
)
NAMES = st.sampled_from(['', '/a', '/z1', '/%ff', '/a%2fb', '/' + 'n' * 300, '/a/b', '/\u00e9'])
QUERIES = st.sampled_from(
    ['', '?name=a&zone=z1', '?after=x&wait_ms=1', '?after=99999999999999999999', '?&&=', '?a=%ff']
)
PLATFORM_CALLS = st.tuples(
    st.sampled_from(sorted({(method, resource) for method, resource, _ in repository.translation.CALLS})),
    NAMES,
    QUERIES,
    PLATFORM_BODIES,
)


def check_platform(leader: Leader, call: tuple[tuple[str, str], str, str, str]) -> None:
    """Somebody makes a call of the platform with any JSON: it gets an answer or waits, and the next one is served."""
    (method, resource), name, query, text = call
    dialect = repository.translation.PlatformDialect(platform_documents.ZONES)
    body = text.encode('utf-8', 'surrogatepass')
    request = effects.HttpRequest(method, f'/v1/{resource}{name}{query}', {}, body)
    translated = dialect.api_request_in(request)
    if not isinstance(translated, effects.HttpResponse):
        own_call, context = translated
        response = leader.send(own_call.method, own_call.path, own_call.body.decode())
        if response is None:
            return
        translated = dialect.api_response_out(context, response)
    assert translated.status < 500 or translated.status in (503, 504), (translated.status, translated.body[:300])
    status, _ = leader.node.call('GET', '/v1/items')
    assert status == 200, status
    assert KEPT in leader.node.pools()
