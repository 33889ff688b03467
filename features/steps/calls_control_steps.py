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

CELL = operation_cases.CELL
OUTCOME_PREFIX = 'the outcome of '

# -- one leader, and late copies of operations --------------------------------


@behave.given('a core node that leads, for asks of all kinds')
def leader_for_operations(context):
    context.leader = operation_cases.OperationLeader()


@behave.when('{operation} is asked of it and done, and then {event}')
def operation_is_done_and_followed(context, operation: str, event: str):
    leader, case = context.leader, operation_cases.CASES[operation]
    context.operation = operation
    context.arguments = case.prepare(leader)
    first = leader.request(operation, context.arguments, seen=leader.newest_round())
    assert first['status'] == 200, first
    context.term = leader.node.machine.term
    result = case.interfere(leader)
    assert result is None or not isinstance(result, dict) or result['status'] == 200, result


@behave.when('another master leads, and the same ask comes again')
def another_leader_gets_copy(context):
    leader = context.leader
    leader.node.lead_again()
    context.state = leader.state()
    context.copy_result = leader.request(
        context.operation, context.arguments, seen=leader.newest_round(), since=context.term
    )


@behave.then('the copy is told {status:d}, and changes nothing')
def copy_is_answered(context, status: int):
    assert context.copy_result['status'] == status, context.copy_result
    after, before = context.leader.state(), context.state
    if context.operation == 'number.step':
        # A gap in the numbers is nobody's concern; the copy's number is above all before it.
        assert context.copy_result['number'] == after['numbers'].pop('n') > before['numbers'].pop('n')
    assert after == before, (before, after)


def is_retryable(operation: str) -> bool:
    """Whether an operation may be repeated whatever its arguments are."""
    return leader_operations.LeaderOperations.is_retryable(None, operation, {})


@behave.then('the rows of asks name every operation that acts')
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


@behave.when('{operation} is asked of it by a frame that names {heartbeat_round}')
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
        'a round of another master': {'seen': [term - 1, newest]},
        'a round that never was': {'seen': [term, newest + 5]},
        'no round, as the level before': {},
    }
    context.result = leader.request(operation, context.arguments, **fields[heartbeat_round])


@behave.then('the ask is {handling}')
def operation_is_handled(context, handling: str):
    state = context.leader.state()
    if handling == 'done':
        assert context.result['status'] == 200 and state != context.state, context.result
    else:
        # Refused as not done; only the leader's own word counts for who still waits.
        assert context.result == results.TOO_LATE and state == context.state, context.result


# -- a follower whose leader changes ------------------------------------------


def requests_to(node: control_node.ControlNode, leader: str) -> list[messages.OperationRequest]:
    """The operations that a node requested of a leader, as that one reads them: JSON has lists in place of tuples."""
    return [codec.decode(json.loads(json.dumps(frame))) for frame in node.sent('ask', leader)]


@behave.given('a core node that follows, and asks b to empty a cell')
def follower_requests_evacuation(context):
    node = context.node = control_node.ControlNode()
    node.follow('b', 3)
    node.recv('b', 'chk', term=3, to='a', round=2, http='')
    # As a member of an earlier release asks: without an id.
    node.machine.request_operation(
        'cell.empty',
        {'cell': CELL, 'on': True},
        lambda result: node.responses.update({1: (result['status'], result)}),
    )
    node.feed('wake')
    requests = requests_to(node, 'b')
    assert [(request.last_round, request.first_term) for request in requests] == [([3, 2], None)], requests


@behave.when('c leads the next term instead')
def next_leader_is_c(context):
    node = context.node
    node.feed('lost', machine_host.address_of('b'))
    rows = [['numbers', 'n', 1]]
    node.recv('c', 'pub', term=4, at=[4, 10], base=list(node.machine.replica.accepted), rows=rows, http='')
    assert node.machine.leader['id'] == 'c'


@behave.then('c is asked only once it has checked the node, and told of the earlier term')
def next_leader_is_asked_after_heartbeat(context):
    node = context.node
    assert not node.sent('ask', 'c')
    node.recv('c', 'chk', term=4, to='a', round=7, http='')
    requests = requests_to(node, 'c')
    assert [(request.last_round, request.first_term) for request in requests] == [([4, 7], 3)], requests


@behave.when('the node itself leads the next term')
def node_leads_next_term(context):
    context.node.serve()


@behave.then('the call is told {status:d} and nothing is emptied')
def call_is_refused_without_effect(context, status: int):
    node = context.node
    assert node.responses[1][0] == status, node.responses
    assert not node.machine.replica.get('cells'), node.machine.replica.get('cells')


# -- heartbeats and health checks of endpoints --------------------------------


@behave.when('an endpoint beats, its cell is emptied and taken back, and one late beat comes twice')
def late_heartbeat_comes_twice(context):
    leader = context.leader
    leader.operate('beat', **leader.heartbeat('e', 4))
    for is_emptied in (True, False):
        leader.operate('cell.empty', cell=CELL, on=is_emptied)
    for _ in range(2):
        leader.node.lead_again()
        leader.operate('beat', **leader.heartbeat('e', 5))


@behave.then('the endpoint is still taken for cold')
def endpoint_is_cold(context):
    assert context.leader.node.machine.replica.get('endpoints', 'e')['chill']


@behave.then('the next beat but one warms it')
def endpoint_warms_up(context):
    leader = context.leader
    for sequence in (6, 7):
        leader.operate('beat', **leader.heartbeat('e', sequence))
    assert not leader.node.machine.replica.get('endpoints', 'e')['chill']


@behave.when('a probe of an endpoint is under way and {sender} answers that it is gone')
def health_check_reports_gone(context, sender: str):
    leader = context.leader
    machine = leader.node.machine
    leader.operate('beat', **leader.heartbeat('e', 4))
    # Two health checks by b: the first was given up.
    machine.health_checks.checks['e'] = endpoint_health_checks.HealthCheck(8, machine.now, 'b', [])
    fields = {'inc': 'e', 'ok': False, 'refused': True, 'no': 8}
    if sender == 'the prober, to an earlier asking':
        fields['no'] = 7
    elif sender == 'the prober, as the level before':
        del fields['no']
    leader.node.recv('c' if sender == 'another node' else 'b', 'probe_ep_re', **fields)
    leader.node.run(200)


@behave.then('that endpoint is {outcome}')
def endpoint_is_kept_or_dropped(context, outcome: str):
    is_there = context.leader.node.machine.replica.get('endpoints', 'e') is not None
    assert is_there == (outcome == 'kept')


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


@behave.when('it is answered {answer}')
def result_query_is_answered(context, answer: str):
    proxy = context.proxy
    frame = {'t': 'kept_re', 'v': proxy.machine.level, 'c': '', 'f': 'q', 'a': '10.0.1.9:1', 'key': 7, 'cell': ''}
    frame['outcome'] = [200, {'zt-outcome': 'ran'}, 'eA==']
    if answer.startswith(OUTCOME_PREFIX):
        frame['id'] = answer.removeprefix(OUTCOME_PREFIX)
    proxy.feed('recv', frame)


@behave.then('the caller of 5.a is told {status}')
def caller_gets_result(context, status: str):
    response = context.proxy.response(1)
    assert (str(response.status) if response else 'nothing') == status, response
