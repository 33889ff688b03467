"""Steps of item_contents.feature: items with unusual contents, from the call that sets them to their removal."""

import json
import os
import shutil

import behave

import features.support.command_line as command_line
import features.support.deployment as deployments
import features.support.deployment_client as deployment_client
import features.support.http_calls as http_calls
import features.support.platform_documents as platform_documents
import features.support.stored_items as stored_items
import zinctrail.runtime.documents as documents

SERVICE = 'sa'
# The levels of a change around a field of a service: the document, `upserts`, the list, the service.
LEVELS_AROUND_FIELD = 4
DEEPEST = documents.MAX_DEPTH - LEVELS_AROUND_FIELD
# The largest body of a call, less what surrounds the note in it.
LARGEST_NOTE = (2 << 20) - 1000
SURROGATE = '\ud800'
MEGABYTE = 1 << 20
CONTENTS = {
    'a value nested 600 deep': lambda: {'notes': stored_items.nested(600)},
    'objects nested as deep as allowed': lambda: {'notes': stored_items.nested(DEEPEST)},
    'lists nested as deep as allowed': lambda: {'notes': stored_items.nested_lists(DEEPEST)},
    'a million characters that JSON escapes': lambda: {'notes': '\x7f' * 1000000},
    'a number of 4000 digits': lambda: {'notes': int('9' * 4000)},
    'a lone surrogate': lambda: {'notes': SURROGATE},
    'the largest body': lambda: {'notes': 'n' * LARGEST_NOTE},
    'a health path with a line break': lambda: {'health_path': '/health\r\nx: y'},
    'a health path with a space': lambda: {'health_path': '/health check'},
    'a health path with a lone surrogate': lambda: {'health_path': f'/{SURROGATE}'},
}
# Values that are refused, as JSON.
REFUSED_VALUES = {
    'a value nested one level too deep': stored_items.nested_text(DEEPEST + 1),
    'a value nested 4000 deep': stored_items.nested_text(4000),
    'a value nested 100000 deep': stored_items.nested_text(100000),
    'a number that is read as infinity': '1e400',
    'NaN': 'NaN',
}
PAGES = {
    'heartbeats': ('control', 'PUT', '/v1/instances/i1', '{"information":%s,"status_report":{}}'),
    'locks': ('control', 'POST', '/v1/locks/l1', '{"holder":%s,"hold_ms":1000}'),
    'keys': ('control', 'PUT', '/v1/cells/g.k', '{"value":%s,"concerns":0}'),
    'the document': ('internal', 'PUT', '/v1/config', '{"config":{"pools":%s},"base":0}'),
    'the recovery': ('internal', 'POST', '/v1/recover', '{"tables":%s}'),
}
WATCHED_VALUE_LENGTH = 8000
WATCHES = {
    'registers': ('cell.put', 'name', 'g.k', 'cell.watch', {'group': 'g.'}, 'rev'),
    'keys': ('key.put', 'key', 'k', 'key.watch', {'prefix': 'k'}, 'head'),
}


def change_body(row, value_text: str | None = None) -> bytes:
    """Return the body of a change that sets a service, whose notes are given as JSON if they are no Python value."""
    text = json.dumps({'upserts': {'service_list': [row]}, 'removals': {}}, ensure_ascii=False)
    # UTF-8 has no lone surrogates; JSON has, escaped.
    text = text.replace(SURROGATE, json.dumps(SURROGATE)[1:-1])
    return (text if value_text is None else text.replace('"NOTES"', value_text)).encode()


def send_change(body: bytes) -> http_calls.Response:
    """Send a change until it gets a conclusive response."""
    return deployment_client.running().call_control('PATCH', '/v1/configuration', raw=body, limit_s=60)


def services_at(process) -> dict:
    """Return the services that a control node returns, by name, once it serves reads."""

    def read():
        try:
            response = http_calls.call(process.control, 'GET', '/v1/configuration')
        except (OSError, http_calls.http.client.HTTPException):
            return None
        return response if response.status == 200 else None

    response = deployment_client.running().wait_until(read, f'{process.name} to return the configuration')
    return {row['name']: row for row in response.document['service_list']}


@behave.given('a deployment of three control nodes and a proxy, with a service')
def deployment_with_service(context):
    documents.raise_recursion_limit()
    if not deployments.RUNNING:
        deployments.Deployment(3, 1).start().next_version = 1
    deployment = deployment_client.running()
    context.row = platform_documents.service(SERVICE, deployment.next_version)
    deployment.next_version += 1
    response = send_change(change_body(context.row))
    assert response.status == 200, response


@behave.when('a version of the service with {content} is acknowledged')
def version_is_acknowledged(context, content: str):
    deployment = deployment_client.running()
    context.row = platform_documents.service(SERVICE, deployment.next_version, **CONTENTS[content]())
    deployment.next_version += 1
    response = send_change(change_body(context.row))
    assert response.status == 200, response


@behave.when('a version of the service with {content} is sent')
def version_is_sent(context, content: str):
    version = deployment_client.running().next_version
    if content in REFUSED_VALUES:
        body = change_body(platform_documents.service(SERVICE, version, notes='NOTES'), REFUSED_VALUES[content])
    else:
        body = change_body(platform_documents.service(SERVICE, version, **CONTENTS[content]()))
    context.response = send_change(body)


@behave.then('it gets {status:d}, with a text that says {text}')
def response_says(context, status: int, text: str):
    assert context.response.status == status, context.response
    assert text in context.response.document['error_message'], context.response


@behave.then('each control node returns the service as it was sent')
def service_is_returned(context):
    for process in deployment_client.running().cores:
        assert services_at(process).get(SERVICE) == context.row, process.name


@behave.then('each control node returns no such service')
def service_is_gone(context):
    for process in deployment_client.running().cores:
        assert SERVICE not in services_at(process), process.name


@behave.when('a control node is killed, and its disk is lost')
def disk_is_lost(context):
    process = deployment_client.running().cores[-1]
    process.process.kill()
    process.wait()
    shutil.rmtree(process.settings['data_directory'])
    os.makedirs(process.settings['data_directory'])
    process.settings['first_start'] = False
    process.start()


@behave.when('all control nodes are killed, and return')
def all_are_killed(context):
    cores = deployment_client.running().cores
    for process in cores:
        process.process.kill()
    for process in cores:
        process.wait()
        process.settings['first_start'] = False
        process.start()


@behave.then('zinctrailctl prints the service as it was sent')
def command_prints_service(context):
    done = command_line.run([process.internal for process in deployment_client.running().cores], 'items', 'get')
    assert done.code == 0, done.errors
    rows = [row for row in json.loads(done.output)['pools'] if row['name'] == SERVICE]
    assert [row.get('notes') for row in rows] == [context.row.get('notes')]


@behave.when('the service is removed')
def service_is_removed(context):
    deployment = deployment_client.running()
    reference = {'name': SERVICE, 'version_number': deployment.next_version}
    deployment.next_version += 1
    document = {'upserts': {}, 'removals': {'service_list': [reference]}}
    response = send_change(json.dumps(document).encode())
    assert response.status == 200, response


@behave.then('no process has ended by itself')
def none_has_ended(context):
    for process in deployment_client.running().processes:
        assert process.process.poll() is None, process.name


@behave.then('no process has used more memory than its machine has')
def memory_is_enough(context):
    for process in deployment_client.running().processes:
        with open(f'/proc/{process.process.pid}/status', encoding='ascii') as lines:
            peak_kb = next(int(line.split()[1]) for line in lines if line.startswith('VmHWM'))
        assert peak_kb <= process.settings['limits']['memory_mb'] * MEGABYTE // 1024, (process.name, peak_kb)


@behave.when('each control node gets a call of {page} with a value nested {depth:d} deep')
def call_with_nested_value(context, page: str, depth: int):
    listener, method, path, body = PAGES[page]
    context.statuses = [
        http_calls.call(
            getattr(process, listener), method, path, raw=(body % stored_items.nested_text(depth)).encode()
        ).status
        for process in deployment_client.running().cores
    ]


@behave.then('each gets a status of 4xx')
def statuses_are_refusals(context):
    assert all(400 <= status < 500 for status in context.statuses), context.statuses


# -- a single node -----------------------------------------------------------------------


def pool(version: int, name: str = SERVICE, **fields) -> dict:
    """Return a pool."""
    return {'name': name, 'version': version, **fields}


@behave.given('a control node with the disk of an earlier release, which holds a service nested {depth:d} deep')
def node_with_stored_item(context, depth: int):
    documents.raise_recursion_limit()
    context.depth = depth
    context.stored = pool(2, notes=stored_items.nested(depth))
    context.node = stored_items.StoringNode({f'pools/{SERVICE}': {'v': 2, 'row': context.stored}})


@behave.then('the service is returned as it was stored')
def stored_item_is_returned(context):
    assert context.node.pools() == {SERVICE: context.stored}


@behave.then('the same version is acknowledged again, and another content for it is refused')
def same_version_is_acknowledged(context):
    assert context.node.set_pools(context.stored) == 200
    assert context.node.set_pools(pool(2, notes=stored_items.nested(context.depth, 'other'))) == 409
    assert context.node.pools() == {SERVICE: context.stored}


@behave.then('a version that differs at the deepest place is acknowledged, and read back')
def next_version_is_acknowledged(context):
    row = pool(3, notes=stored_items.nested(context.depth, 'other'))
    assert context.node.set_pools(row) == 200
    # The digest of the stored version is known from now on.
    assert context.node.set_pools(context.stored) == 200
    assert context.node.set_pools(pool(2, notes=stored_items.nested(context.depth, 'third'))) == 409
    context.node.restart()
    assert context.node.pools() == {SERVICE: row}


@behave.then('the service is removed, and gone after a restart')
def stored_item_is_removed(context):
    assert context.node.drop_pool(SERVICE, 4) == 200
    context.node.restart()
    assert context.node.pools() == {}


@behave.when('its state is exported, and an empty control node recovers from it')
def state_is_recovered(context):
    status, copy = context.node.call('GET', '/v1/copy')
    assert status == 200, status
    body = {
        'cluster': copy['cluster'],
        'term': copy['term'],
        'generation': copy['accepted'][1],
        'tables': copy['tables'],
    }
    context.recovered = stored_items.StoringNode(None)
    status, document = context.recovered.call('POST', '/v1/recover', body)
    assert status == 200, document


@behave.then('the empty control node holds the service as it was stored')
def recovered_item_is_held(context):
    status, copy = context.recovered.call('GET', '/v1/copy')
    assert status == 200, status
    assert copy['tables']['items'][f'pools/{SERVICE}']['row'] == context.stored


# -- the size of the configuration -------------------------------------------------------


@behave.given('control nodes whose configuration may have {size:d} bytes')
def nodes_with_bound(context, size: int):
    context.bound = size
    context.world = stored_items.BoundedWorld(size)


@behave.when('services of {size:d} bytes are added until one is refused')
def services_are_added(context, size: int):
    context.accepted = []
    while True:
        row = pool(1, f's{len(context.accepted)}', notes='n' * size)
        status, _ = context.world.call('PATCH', '/v1/items', {'set': {'pools': [row]}})
        if status != 200:
            context.refused, context.status = row, status
            return
        context.accepted.append(row)
        assert len(context.accepted) * size <= context.bound


@behave.then('it was refused with {status:d}, and the services before it are read at each node')
def refused_with_rest_readable(context, status: int):
    assert context.status == status, context.status
    assert context.accepted
    for number in range(context.world.nodes):
        read_status, document = context.world.call('GET', '/v1/items', node=number)
        assert read_status == 200, read_status
        assert sorted(row['name'] for row in document['items']['pools']) == sorted(r['name'] for r in context.accepted)


@behave.then('a smaller version of a service and a removal are acknowledged, and then the refused service')
def room_is_made(context):
    first, second, *_ = context.accepted
    for change in (
        {'set': {'pools': [pool(2, first['name'], notes='n')]}},
        {'drop': {'pools': [{'name': second['name'], 'version': 2}]}},
        {'set': {'pools': [context.refused]}},
    ):
        status, document = context.world.call('PATCH', '/v1/items', change)
        assert status == 200, document


@behave.then('the configuration stays within the bound, read by a frame of a follower')
def configuration_is_within_bound(context):
    for number in range(context.world.nodes):
        status, document = context.world.call('GET', '/v1/items', node=number)
        assert status == 200, status
        assert len(json.dumps(document['items'])) <= context.bound + 1000


@behave.given('a control node with the disk of an earlier release, whose configuration is twice the bound')
def node_above_bound(context):
    context.bound = 400000
    rows = {
        f'pools/s{number}': {'v': 1, 'row': pool(1, f's{number}', notes='n' * (context.bound // 4))}
        for number in range(8)
    }
    context.node = stored_items.StoringNode(rows, memory_mb=stored_items.memory_mb_for(context.bound))
    assert context.node.configuration_bytes() > 2 * context.bound


@behave.then('a change that makes it no larger is acknowledged, and one that adds a service gets {status:d}')
def shrinking_is_acknowledged(context, status: int):
    assert context.node.set_pools(pool(1, 'new', notes='n' * 100)) == status
    assert context.node.set_pools(pool(2, 's0', notes='m' * (context.bound // 4))) == 200
    assert context.node.set_pools(pool(3, 's0', notes='m')) == 200
    assert context.node.drop_pool('s1', 2) == 200
    assert len(context.node.pools()) == 7


# -- watches -----------------------------------------------------------------------------


@behave.given('a control node that leads, and {count:d} writes of 8000 characters to {kind}')
def node_with_writes(context, count: int, kind: str):
    context.node = stored_items.StoringNode({})
    put, field, name, _, _, _ = context.watch = WATCHES[kind]
    epoch = context.node.machine.replica.get('meta', 'epoch')
    context.values = []
    for number in range(count):
        value = f'{number:04d}'.ljust(WATCHED_VALUE_LENGTH, '\x7f')
        arguments = {field: name, 'value': value}
        if put == 'key.put':
            arguments['id'] = f'{epoch}.{number}'
        status, document = context.node.call('POST', f'/v1/{put.replace(".", "/")}', arguments)
        assert status == 200, document
        context.values.append(value)
        context.first_revision = document['rev'] if number == 0 else context.first_revision


@behave.when('a watcher reads from before them, and on from where each response ends')
def watcher_reads(context):
    _, _, _, watch, arguments, end = context.watch
    since, context.events, context.sizes = context.first_revision, [], []
    while True:
        status, document = context.node.call(
            'POST', f'/v1/{watch.replace(".", "/")}', {**arguments, 'since': since, 'wait_ms': 0}
        )
        assert status == 200, document
        if not document['events']:
            return
        context.events += document['events']
        context.sizes.append(sum(len(event['value']) for event in document['events']))
        assert document[end] == document['events'][-1]['rev'], document[end]
        since = document[end]


@behave.then('it gets each event once, in order, in responses of at most {most:d} characters')
def watcher_got_all(context, most: int):
    # The first write itself is the revision from which it watched.
    assert [event['value'] for event in context.events] == context.values[1:]
    assert len(context.sizes) > 1
    assert max(context.sizes) <= most, context.sizes
