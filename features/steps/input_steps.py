"""Steps of input.feature: malformed frames, calls and requests change nothing and break nobody."""

import copy
import json

import behave

import zinctrail.consensus.message_kinds as message_kinds
import zinctrail.control.http_api as http_api
import zinctrail.errors as errors
import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as world

ms = durations.ms
DEEPLY_NESTED = json.loads('[' * 200 + ']' * 200)
WRONG_VALUES = (None, -1, 1.5, True, 'x', 'x' * 5000, [], [[]], {}, {'x': {'y': []}}, DEEPLY_NESTED, 1 << 80)
# The only attributes of a machine that may change when a frame is rejected.
VOLATILE_ATTRIBUTES = ('now', 'bad_frames', 'out', 'rng')
CALL_TIMEOUT = ms(9000)


# -- frames between processes -----------------------------------------------------


@behave.given('a small world with traffic whose frames are recorded')
def world_with_recorded_frames(context):
    """Run a world with many faults, and record one frame of each kind to each role.

    context.frames is {(kind, role): (node, frame)}.
    """
    context.frames = {}
    small_world = context.world = world.World(5)

    def record(source, target, text):
        frame = json.loads(text)
        context.frames.setdefault((frame['t'], target.role), (target, frame))

    small_world.on_deliver = record
    deployment = context.deployment = client_deployment.Deployment(small_world, deployments.PRESETS['small'])
    deployment.start()
    deployment.start_callers(60, storm=1.0)
    deployment.start_applications()
    small_world.run(ms(3000))
    deployment.endpoints[1].kill()
    deployment.operator.evacuate(deployment.zones[0])
    small_world.run(ms(4000))
    small_world.leader().kill()
    small_world.run(ms(4000))
    small_world.of('dir')[0].feed('stop')
    small_world.of('prox')[0].feed('stop')
    small_world.run(ms(8000))
    for node in small_world.of('core'):
        if not node.up:
            node.start()
    small_world.run(ms(3000))
    small_world.leader().feed('stop')
    small_world.run(ms(3000))
    small_world.on_deliver = None


def state_of(machine):
    """Return the state of a machine as text, except for attributes that may change with any input."""
    replica = machine.replica
    attributes = {name: value for name, value in sorted(vars(machine).items()) if name not in VOLATILE_ATTRIBUTES}
    return repr(attributes | {'replica': (replica.tables, replica.pending, replica.accepted, replica.committed)})


def is_well_formed(frame):
    """True if a frame is well-formed."""
    try:
        message_kinds.decode(frame)
    except errors.FrameError:
        return False
    return True


def recorded_frames(context):
    """Yield (kind, machine, frame) of the recorded frames, each with a running node of its role."""
    for (kind, role), (node, frame) in sorted(context.frames.items(), key=lambda item: item[0]):
        if not node.up:
            node = next(other for other in context.world.of(role) if other.up)
        yield kind, node.machine, frame


@behave.when('each kind of frame is sent again with each field missing, of a wrong type, over-long or deeply nested')
def send_malformed_frames(context):
    context.kinds_tried, context.rejected = set(), 0
    for kind, machine, frame in recorded_frames(context):
        reject_malformed(context, kind, machine, dict(frame, c=machine.cluster))
    # Well-formed frames come last, because a machine may act on them; it must only not raise an exception.
    for _, machine, frame in recorded_frames(context):
        for field in sorted(frame):
            for wrong in WRONG_VALUES:
                changed = dict(frame, c=machine.cluster, **{field: wrong}) if field != 'c' else dict(frame)
                if is_well_formed(changed):
                    machine.feed('recv', context.world.now, json.loads(json.dumps(changed)))


def reject_malformed(context, kind, machine, frame):
    """Feed the frame with each field wrong or missing: each malformed one is counted and changes nothing."""
    for field in sorted(set(frame) | {'nonsense'}):
        without_field = {name: value for name, value in frame.items() if name != field}
        changed = [dict(frame, **{field: wrong}) for wrong in WRONG_VALUES]
        for malformed in [*changed, without_field]:
            if not is_well_formed(malformed):
                before, count = state_of(machine), machine.bad_frames
                machine.feed('recv', context.world.now, json.loads(json.dumps(malformed)))
                assert state_of(machine) == before and machine.bad_frames == count + 1, (kind, field, malformed)
                context.rejected += 1
        context.kinds_tried.add(kind)


@behave.then('malformed frames are counted and change nothing, and well-formed ones break no process')
def malformed_are_rejected(context):
    assert context.rejected > 3000, context.rejected


@behave.then('at least {count:d} kinds of frames were tried')
def enough_kinds_tried(context, count: int):
    missing = sorted(set(message_kinds.MESSAGES) - context.kinds_tried)
    assert len(context.kinds_tried) >= count, (len(context.kinds_tried), missing)


# -- HTTP API of control nodes and directories ---------------------------------------

MALFORMED_BODIES = [b'{', b'[]', b'null', b'7', b'"x"', b'\xff\xfe', b'[' * 50000, b'{"a":' * 50000]
FIELDS = (
    'name',
    'key',
    'holder',
    'id',
    'config',
    'base',
    'inc',
    'addr',
    'prefix',
    'since',
    'home',
    'cell',
    'most',
    'lease_ms',
    'by',
    'value',
    'rev',
    'wait_ms',
    'take',
)
WRONG_DOCUMENTS = [{'nonsense': 1}] + [
    dict.fromkeys(FIELDS, value) for value in (None, -1, 1.5, [], {}, 'x' * 5000, '/ours', DEEPLY_NESTED)
]
UNKNOWN_PAGES = [('POST', '/v1/answer'), ('POST', '/v1/nothing'), ('DELETE', '/v1/config')]
# Paths whose fields are all optional.
OPTIONAL_FIELDS = ('/v1/answer', '/v1/key/watch')
WRITABLE_TABLES = ('keys', 'locks', 'numbers', 'conf', 'cells', 'done', 'endpoints', 'goners', 'claims')


def writable_tables(context):
    """Return a copy of the replicated tables that calls may write."""
    replica = context.world.leader().machine.replica
    return {table: copy.deepcopy(replica.get(table)) for table in WRITABLE_TABLES}


@behave.when('every page is called with garbage, over-long, deeply nested and wrong-typed bodies')
def call_pages(context):
    small_world = context.world
    context.deployment.stop_load(ms(2000))
    context.tables_before = writable_tables(context)
    context.responses = []
    pages = [page for page in [*sorted(http_api.PAGES), *UNKNOWN_PAGES] if page[0] != 'GET']
    bodies = MALFORMED_BODIES + [json.dumps(document).encode() for document in WRONG_DOCUMENTS]
    for node in (small_world.of('dir')[0], small_world.of('core')[0], small_world.of('core')[1]):
        for method, path in pages:
            for body in bodies:
                response = fetch(context, node, method, path, {}, body, CALL_TIMEOUT)
                context.responses.append((method, path, body, response))
    context.tables_after = writable_tables(context)


def fetch(context, node, method, path, headers, body, timeout):
    """Return the response of a node to a call."""
    responses = []
    call = context.world.fetch('someone', node.location.http, method, path, headers, body, timeout)
    call.addCallback(responses.append)
    assert context.world.run(timeout, lambda: bool(responses)), (method, path, body[:60])
    return responses[0]


@behave.then('each call gets an error response, and the replicated state is unchanged')
def calls_are_refused(context):
    for method, path, body, response in context.responses:
        is_fine = path in OPTIONAL_FIELDS and response.status == 200
        assert is_fine or 400 <= response.status < 500, (method, path, body[:200], response)
        assert is_fine or json.loads(response.body)['fault'], (path, response)
    before, after = context.tables_before, context.tables_after
    changed = {table: (before[table], after[table]) for table in WRITABLE_TABLES if before[table] != after[table]}
    assert not changed, changed


# -- requests at a proxy ----------------------------------------------------------


@behave.when('a request comes with {header} "{value}"')
def request_with_header(context, header: str, value: str):
    send_request(context, header, value)


@behave.when('a request comes with {header} ""')
def request_with_empty_header(context, header: str):
    send_request(context, header, '')


def send_request(context, header, value):
    """Send a request that is well-formed except for one header."""
    proxy = context.world.of('prox')[0]
    epoch = proxy.machine.replica.get('meta', 'epoch')
    headers = {'zt-id': f'{epoch}.in', 'zt-left-ms': '2000', header: value}
    context.response = fetch(context, proxy, 'POST', '/r/loans/x', headers, b'{}', ms(4000))


@behave.then('it gets outcome not-run with status {status:d}')
def refused_as_not_run(context, status: int):
    response = context.response
    assert response.status == status and json.loads(response.body)['outcome'] == 'not-run', response
