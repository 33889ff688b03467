"""Steps of refusals_control.feature: what the leader refuses of its callers, and that it then changes nothing."""

import behave

import features.support.control_node as control_node
import zinctrail.runtime.effects as effects

ENDPOINT_ADDRESS = '10.9.9.9:1'
ZONE = 'r0/c0'
INCARNATION = 'e1'


def put_row(node: control_node.ControlNode, *row) -> None:
    """Commit one row of the replicated state: table, key, value."""
    node.machine.submit(lambda txn: txn.put(*row) or {'status': 200}, lambda result: None)
    node.feed('wake')
    node.run(100)
    assert node.machine.replica.get(*row[:2]) == row[2]


def begin_epoch(node: control_node.ControlNode, epoch: int) -> None:
    """Make an epoch the current one."""
    put_row(node, 'meta', 'epoch', epoch)


@behave.given('a control node that leads in epoch {epoch:d}')
def control_node_that_leads_in_epoch(context, epoch: int):
    context.node = control_node.ControlNode()
    context.node.serve()
    begin_epoch(context.node, epoch)


# -- configuration --------------------------------------------------------------


def current_version(context) -> int:
    """Return the version of the configuration that is in force."""
    return context.node.machine.replica.get('meta', 'conf') or 0


def apply_configuration(context, document: dict, base: int) -> None:
    """Apply a configuration as a change of version `base`, under a new id."""
    epoch = context.node.machine.replica.get('meta', 'epoch')
    context.number = getattr(context, 'number', 0) + 1
    context.base = current_version(context)
    arguments = {'config': document, 'base': base, 'id': f'{epoch}.c{context.number}'}
    context.result = context.node.operate('config.apply', **arguments)


def document_with_label(label: str) -> dict:
    """Return a configuration that gives one endpoint a label."""
    return {'labels': {ENDPOINT_ADDRESS: {'a': label}}}


@behave.when('a configuration with the label "{label}" is applied to the current one')
def configuration_is_applied_to_current(context, label: str):
    apply_configuration(context, document_with_label(label), current_version(context))
    assert context.result['status'] == 200, context.result


@behave.when('a configuration with the label "{label}" is applied to the one before')
def configuration_is_applied_to_earlier(context, label: str):
    apply_configuration(context, document_with_label(label), context.base)


@behave.when('an invalid configuration is applied to the current one')
def invalid_configuration_is_applied(context):
    apply_configuration(context, {'pools': {'x': {'service': 's', 'unknown': 1}}}, current_version(context))


@behave.then('the last operation got status {status:d}, and the label is "{label}"')
def operation_got_status_and_label_is(context, status: int, label: str):
    assert context.result['status'] == status, context.result
    assert context.node.machine.replica.get('conf') == {f'labels/{ENDPOINT_ADDRESS}': {'a': label}}


@behave.when('pool s of version {version:d} with {connections:d} connections is set')
def pool_is_set(context, version: int, connections: int):
    pool = {'name': 's', 'version': version, 'health': '/h', 'connections': connections, 'cold_s': 1.0}
    pool['cold_per_s'] = 1.0
    context.result = context.node.operate('items.apply', change={'set': {'pools': [pool]}})


@behave.then('the last operation got status {status:d}, and pool s has {connections:d} connections')
def operation_got_status_and_pool_has(context, status: int, connections: int):
    assert context.result['status'] == status, context.result
    assert context.node.machine.replica.get('items', 'pools/s')['row']['connections'] == connections


# -- ids ------------------------------------------------------------------------


@behave.when('id {request_id} is claimed')
def id_is_claimed(context, request_id: str):
    arguments = {'id': request_id, 'attempt': 1, 'nonce': 'n', 'proxy': 'p', 'at': '10.2.0.1:1'}
    context.result = context.node.operate('claim', **arguments)


@behave.then('the claim is "{outcome}", and nothing is stored of it')
def claim_has_result(context, outcome: str):
    assert context.result['got'] == outcome, context.result
    assert not context.node.machine.replica.get('claims')


@behave.when('key k is put with id {call_id}')
def key_is_put(context, call_id: str):
    context.result = context.node.operate('key.put', key='k', value='v', id=call_id)


@behave.then('the last operation got status {status:d}, and key k {exists}')
def operation_got_status_and_key_exists(context, status: int, exists: str):
    assert context.result['status'] == status, context.result
    assert bool(context.node.machine.replica.get('keys', 'k')) == (exists == 'exists')


# -- evacuations, heartbeats, locks ---------------------------------------------


@behave.when('a zone is evacuated by command {command} based on number {number:d}')
def zone_is_evacuated(context, command: str, number: int):
    context.result = context.node.operate('cell.empty', cell=ZONE, on=True, id=command, number=number)


@behave.when('the evacuation is withdrawn by command {command} based on number {number:d}')
def evacuation_is_withdrawn(context, command: str, number: int):
    context.result = context.node.operate('cell.empty', cell=ZONE, on=False, id=command, number=number)
    assert context.result['status'] == 200, context.result


@behave.then('the last operation got status {status:d}, and the zone serves requests, under number {number:d}')
def zone_takes_requests(context, status: int, number: int):
    assert context.result['status'] == status, context.result
    replica = context.node.machine.replica
    assert not (replica.get('cells', ZONE) or {}).get('emptied')
    assert replica.get('cell_orders', ZONE)['number'] == number, replica.get('cell_orders', ZONE)


@behave.when('an endpoint sends heartbeat {sequence:d}, which says {state}')
def endpoint_sends_heartbeat(context, sequence: int, state: str):
    heartbeat = {'inc': INCARNATION, 'addr': '10.1.0.1:80', 'service': 's', 'cell': ZONE, 'slots': 4}
    result = context.node.operate('beat', **heartbeat, seq=sequence, state=state)
    assert result['status'] == 200, result


@behave.then("the endpoint's row says {state}")
def endpoint_has_state(context, state: str):
    assert context.node.machine.replica.get('endpoints', INCARNATION)['state'] == state


@behave.when('no locks are granted until epoch {epoch:d}, and x requests a lock')
def lock_is_requested_too_early(context, epoch: int):
    put_row(context.node, 'meta', 'locks_from', epoch)
    context.result = context.node.operate('lock.hold', name='l', holder='x', lease_ms=1000)


@behave.when('epoch {epoch:d} has begun, and x requests a lock')
def lock_is_requested_in_epoch(context, epoch: int):
    begin_epoch(context.node, epoch)
    context.result = context.node.operate('lock.hold', name='l', holder='x', lease_ms=1000)


@behave.then('x got no lock')
def lock_is_refused(context):
    assert context.result['status'] != 200 and not context.node.machine.replica.get('locks'), context.result


@behave.then('x got the lock')
def lock_is_granted(context):
    assert context.result['status'] == 200, context.result


# -- a follower without heartbeats ----------------------------------------------


@behave.given('a control node that gets a commit from b, but no heartbeat')
def control_node_without_heartbeats(context):
    context.node = node = control_node.ControlNode()
    node.recv('b', 'com', term=control_node.START_TERM, at=control_node.START_VERSION, http='')
    assert node.machine.mode == 'follower' and not node.machine.heartbeats_received


@behave.when('a caller of the node requests a number')
def caller_requests_number(context):
    context.node.feed('http', 1, effects.HttpRequest('POST', '/v1/number/step', {}, b'{"name": "n"}'))


@behave.then('it is refused within {duration:d} ms')
def request_is_refused_within(context, duration):
    context.node.run(duration)
    status, document = context.node.responses[1]
    assert status == 503 and document['unknown'] is False, (status, document)


@behave.then('b gets no request')
def leader_gets_no_request(context):
    assert not context.node.sent('ask'), context.node.sent('ask')


# -- documents of the wrong shape -----------------------------------------------

# {the part that is a list: (operation, its arguments)}
WRONG_DOCUMENTS = {
    'a configuration': ('config.check', {'config': []}),
    'a rule': ('config.check', {'config': {'rules': {'x': ['pool']}}}),
    "a pool's selector": ('config.check', {'config': {'pools': {'x': {'service': 's', 'selector': []}}}}),
    'a change of items': ('items.apply', {'change': []}),
}


@behave.when('{part} is a list')
def document_is_list(context, part):
    operation, arguments = WRONG_DOCUMENTS[part]
    context.result = context.node.operate(operation, **arguments)


@behave.then('the call is refused with status {status:d}, for "{path}"')
def refused_for_path(context, status, path):
    result = context.result
    assert result['status'] == status and f"'{path}'" in repr(result), result
