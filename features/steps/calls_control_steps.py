"""Steps of calls_control.feature: a call to the leader takes effect once, however late its copies come."""

import json

import behave

import features.support.control_node as control_node
import features.support.machine_host as machine_host
import features.support.open_traffic_proxy as open_traffic_proxy
import features.support.operation_cases as operation_cases
import zinctrail.consensus.codec as codec
import zinctrail.consensus.messages as messages
import zinctrail.consensus.results as results
import zinctrail.control.coordination as coordination
import zinctrail.control.endpoint_health_checks as endpoint_health_checks
import zinctrail.control.leader_operations as leader_operations
import zinctrail.proxy.pipeline as pipeline
import zinctrail.proxy.request as request_record
import zinctrail.runtime.effects as effects

ZONE = operation_cases.ZONE
OUTCOME_PREFIX = 'the outcome of '

# -- one leader, and late copies of operations --------------------------------


@behave.given('a control node that leads, and operations of all kinds')
def leader_for_operations(context):
    context.leader = operation_cases.OperationLeader()


@behave.when('{operation} is requested of it and carried out, and then {event}')
def operation_is_done_and_followed(context, operation: str, event: str):
    leader, case = context.leader, operation_cases.CASES[operation]
    context.operation = operation
    context.arguments = case.prepare(leader)
    first = leader.request(operation, context.arguments, seen=leader.newest_round())
    assert first['status'] == 200, first
    context.term = leader.node.machine.term
    result = case.interfere(leader)
    assert result is None or not isinstance(result, dict) or result['status'] == 200, result


@behave.when('another leader is elected, and a copy of the request arrives')
def another_leader_gets_copy(context):
    leader = context.leader
    leader.node.lead_again()
    context.state = leader.state()
    context.copy_result = leader.request(
        context.operation, context.arguments, seen=leader.newest_round(), since=context.term
    )


@behave.then('the copy gets {status:d}, and changes nothing')
def copy_gets_status(context, status: int):
    assert context.copy_result['status'] == status, context.copy_result
    after, before = context.leader.state(), context.state
    if context.operation == 'number.step':
        # Numbers may have gaps; the copy only has to get a number above all earlier ones.
        assert context.copy_result['number'] == after['numbers'].pop('n') > before['numbers'].pop('n')
    assert after == before, (before, after)


def is_retryable(operation: str) -> bool:
    """True if an operation may be retried with any arguments."""
    return leader_operations.LeaderOperations.is_retryable(None, operation, {})


@behave.then('the rows above name every operation that changes the state')
def every_operation_has_a_case(context):
    operations = {*leader_operations.HANDLERS, *coordination.OPERATIONS} - {*leader_operations.READS}
    acting = operations | {'beat'}
    assert set(operation_cases.CASES) == acting, acting ^ set(operation_cases.CASES)
    recognized_by_id = [operation for operation in acting if not is_retryable(operation)]
    assert sorted(recognized_by_id) == sorted(leader_operations.RECOGNIZED_BY_ID)
    assert all(
        leader_operations.LeaderOperations.is_retryable(None, operation, {'id': 'i'})
        for operation in leader_operations.RECOGNIZED_BY_ID
    )


@behave.when('{operation} is requested of it by a frame that names {heartbeat_round}')
def operation_names_round(context, operation: str, heartbeat_round: str):
    leader = context.leader
    context.arguments = operation_cases.CASES[operation].prepare(leader)
    earlier_round = leader.newest_round()
    leader.node.run(2000)
    context.state = leader.state()
    term, newest = leader.newest_round()
    fields = {
        'its newest round': {'seen': [term, newest]},
        'a round of 2 s ago': {'seen': earlier_round},
        'a round of another leader': {'seen': [term - 1, newest]},
        'a round that never was': {'seen': [term, newest + 5]},
        'no round, as at the previous level': {},
    }
    context.result = leader.request(operation, context.arguments, **fields[heartbeat_round])


@behave.then('the operation is {outcome}')
def operation_has_outcome(context, outcome: str):
    state = context.leader.state()
    if outcome == 'done':
        assert context.result['status'] == 200 and state != context.state, context.result
    else:
        # The leader did nothing, and says so: only its own result may end the wait of the caller.
        assert context.result == results.TOO_LATE and state == context.state, context.result


# -- a follower whose leader changes ------------------------------------------


def requests_to(node: control_node.ControlNode, leader: str) -> list[messages.OperationRequest]:
    """Return a node's operation requests to a leader, decoded from JSON, which has lists in place of tuples."""
    return [codec.decode(json.loads(json.dumps(frame))) for frame in node.sent('ask', leader)]


@behave.given('a control node that follows b, and requests an evacuation from it')
def follower_requests_evacuation(context):
    node = context.node = control_node.ControlNode()
    node.follow('b', 3)
    node.recv('b', 'chk', term=3, to='a', round=2, http='')
    # Without an id, as a member of an earlier release requests it.
    node.machine.request_operation(
        'cell.empty',
        {'cell': ZONE, 'on': True},
        lambda result: node.responses.update({1: (result['status'], result)}),
    )
    node.feed('wake')
    requests = requests_to(node, 'b')
    assert [(request.last_round, request.first_term) for request in requests] == [([3, 2], None)], requests


@behave.when('c leads in the next term instead')
def next_leader_is_c(context):
    node = context.node
    node.feed('lost', machine_host.address_of('b'))
    rows = [['numbers', 'n', 1]]
    node.recv('c', 'pub', term=4, at=[4, 10], base=list(node.machine.replica.accepted), rows=rows, http='')
    assert node.machine.leader['id'] == 'c'


@behave.then('c gets the request only after its heartbeat, with the earlier term')
def next_leader_is_asked_after_heartbeat(context):
    node = context.node
    assert not node.sent('ask', 'c')
    node.recv('c', 'chk', term=4, to='a', round=7, http='')
    requests = requests_to(node, 'c')
    assert [(request.last_round, request.first_term) for request in requests] == [([4, 7], 3)], requests


@behave.when('the node itself leads in the next term')
def node_leads_next_term(context):
    context.node.serve()


@behave.then('the call gets {status:d} and no zone is evacuated')
def call_is_refused_without_effect(context, status: int):
    node = context.node
    assert node.responses[1][0] == status, node.responses
    assert not node.machine.replica.get('cells'), node.machine.replica.get('cells')


# -- heartbeats and health checks of endpoints --------------------------------


@behave.when('an endpoint sends a heartbeat, its zone is evacuated and restored, and one late heartbeat arrives twice')
def late_heartbeat_comes_twice(context):
    leader = context.leader
    leader.operate('beat', **leader.heartbeat('e', 4))
    for is_emptied in (True, False):
        leader.operate('cell.empty', cell=ZONE, on=is_emptied)
    for _ in range(2):
        leader.node.lead_again()
        leader.operate('beat', **leader.heartbeat('e', 5))


@behave.then('the endpoint still counts as cold')
def endpoint_is_cold(context):
    assert context.leader.node.machine.replica.get('endpoints', 'e')['chill']


@behave.then('the second heartbeat after that makes it warm')
def endpoint_warms_up(context):
    leader = context.leader
    for sequence in (6, 7):
        leader.operate('beat', **leader.heartbeat('e', sequence))
    assert not leader.node.machine.replica.get('endpoints', 'e')['chill']


@behave.when('a probe of an endpoint is in progress and {sender} reports it as gone')
def health_check_reports_gone(context, sender: str):
    leader = context.leader
    machine = leader.node.machine
    leader.operate('beat', **leader.heartbeat('e', 4))
    # Two health checks by b: the first, number 7, was abandoned.
    machine.health_checks.checks['e'] = endpoint_health_checks.HealthCheck(8, machine.now, 'b', [])
    fields = {'inc': 'e', 'ok': False, 'refused': True, 'no': 8}
    if sender == 'the prober, for an earlier probe':
        fields['no'] = 7
    elif sender == 'the prober, at the previous level':
        del fields['no']
    leader.node.recv('c' if sender == 'another node' else 'b', 'probe_ep_re', **fields)
    leader.node.run(200)


@behave.then('that endpoint is {outcome}')
def endpoint_is_registered_or_removed(context, outcome: str):
    is_registered = context.leader.node.machine.replica.get('endpoints', 'e') is not None
    assert is_registered == (outcome == 'registered')


# -- results that one proxy asks of another -----------------------------------


@behave.given('a proxy that asks another for the outcome of request 5.a')
def proxy_that_queries_result(context):
    proxy = context.proxy = open_traffic_proxy.OpenTrafficProxy(1)
    call = effects.HttpRequest('GET', '/r/s/', {}, b'')
    request = request_record.Request(1, call, proxy.now, pipeline.STAGES)
    request.id = '5.a'
    request.waiting_for = request_record.Waiting.OWNER
    proxy.machine.runner.requests[1] = request
    proxy.machine.at_most_once.result_queries[7] = request


@behave.when('its response is {response}')
def result_query_gets_response(context, response: str):
    proxy = context.proxy
    frame = {'t': 'kept_re', 'v': proxy.machine.level, 'c': '', 'f': 'q', 'a': '10.0.1.9:1', 'key': 7, 'cell': ''}
    frame['outcome'] = [200, {'zt-outcome': 'ran'}, 'eA==']
    if response.startswith(OUTCOME_PREFIX):
        frame['id'] = response.removeprefix(OUTCOME_PREFIX)
    proxy.feed('recv', frame)


@behave.then('the caller of 5.a gets {status}')
def caller_gets_result(context, status: str):
    response = context.proxy.response(1)
    assert (str(response.status) if response else 'nothing') == status, response
