"""Steps of control.feature: a control node's operations, endpoints, locks and elections."""

import datetime

import behave

import features.support.control_node as control_node
import features.support.machine_host as machine_host
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

ms = durations.ms


@behave.given('a control node that follows b')
def control_node_that_follows(context):
    context.node = control_node.ControlNode()
    context.node.follow('b', 3)
    assert context.node.machine.mode == 'follower'


@behave.given('a control node that leads')
def control_node_that_leads(context):
    context.node = control_node.ControlNode()
    context.node.serve()


def request_number(node: control_node.ControlNode, forwards: int) -> None:
    """Send a number request to the node, which forwards it to b `forwards` times; with 0 it has no leader."""
    if forwards == 0:
        node.machine.lose_leader('test')
    node.feed('http', 1, effects.HttpRequest('POST', '/v1/number/step', {}, b'{"name": "n"}'))
    for _ in range(forwards - 1):
        node.run(520)
        node.follow('b', 3)
        node.run(100)
    assert len(node.sent('ask')) >= forwards, node.sends


def accept_newest(node: control_node.ControlNode) -> None:
    """Let b acknowledge the node's newest version as accepted."""
    version = node.machine.replica.accepted
    node.recv('b', 'pub_re', term=node.machine.term, at=version, ok=True, accepted=version)


@behave.when('a caller requests a number, the request is forwarded to b {forwards:d} times and b responds {status:d}')
def number_request_is_forwarded(context, forwards: int, status: int):
    node = context.node
    request_number(node, forwards)
    node.recv('b', 'ask_re', key=node.sent('ask')[0]['key'], result={'status': status, 'number': 1})


@behave.when(
    'a caller requests a number, the request is forwarded to b {forwards:d} times and the node becomes leader but is deposed at once'
)
def number_request_meets_deposed_leader(context, forwards: int):
    node = context.node
    request_number(node, forwards)
    node.lead()
    accept_newest(node)
    assert node.machine.replica.committed[0] == node.machine.term
    node.recv('c', 'sjoin', term=node.machine.term + 1)
    assert node.machine.mode == 'candidate'


def result_of_caller(context) -> str:
    """Return the status of the caller's response, or `nothing` if it got none."""
    response = context.node.responses.get(1)
    return str(response[0]) if response else 'nothing'


@behave.then('the caller gets {result}')
def caller_gets_result(context, result: str):
    assert result_of_caller(context) == result, context.node.responses


@behave.when('a caller requests a number and disconnects')
def caller_hangs_up(context):
    request_number(context.node, 1)
    context.node.feed('hung_up', 1)


@behave.when('b is lost and c leads')
def leader_is_replaced(context):
    context.node.feed('lost', machine_host.address_of('b'))
    context.node.follow('c', 4)
    assert context.node.machine.leader['id'] == 'c'


@behave.then('no request is forwarded to c')
def nothing_is_forwarded(context):
    context.node.run(700)
    assert not context.node.sent('ask', 'c'), context.node.sent('ask', 'c')


@behave.when('b requests lock l twice under the same key')
def lock_request_comes_twice(context):
    node = context.node
    for _ in range(2):
        node.recv('b', 'ask', key='k.1', op='lock.hold', args={'name': 'l', 'holder': 'x', 'lease_ms': 1000})
        node.run(100)


@behave.then('both copies get the same fence')
def copies_get_one_fence(context):
    results = [frame['result'] for frame in context.node.sent('ask_re')]
    assert len(results) == 2 and results[0] == results[1], results
    assert results[0]['status'] == 200, results


@behave.then('its first request has another key than the first request of its previous run')
def request_key_is_new(context):
    other = control_node.ControlNode(seed=2)
    other.follow('b', 3)
    keys = set()
    for node in (context.node, other):
        request_number(node, 1)
        keys.add(node.sent('ask')[0]['key'])
    assert len(keys) == 2, keys


@behave.when('x holds lock l for {lease_ms:d} ms')
def lock_is_held(context, lease_ms: int):
    context.fence = hold(context.node, 'x', lease_ms)['fence']


def hold(node: control_node.ControlNode, holder: str, lease_ms: int) -> dict:
    """Request lock l for a holder; return the result."""
    return node.operate('lock.hold', name='l', holder=holder, lease_ms=lease_ms)


@behave.when('x renews lock l for {lease_ms:d} ms')
def lock_is_renewed(context, lease_ms: int):
    result = context.node.operate('lock.renew', name='l', holder='x', fence=context.fence, lease_ms=lease_ms)
    assert result['status'] == 200, result


@behave.when('x takes lock l for {lease_ms:d} ms')
def lock_is_taken(context, lease_ms: int):
    assert context.node.operate('lock.take', name='l', holder='x', lease_ms=lease_ms)['status'] == 200


@behave.when('nothing happens')
def nothing_happens(context):
    pass


@behave.when('the leader changes')
def leader_changes(context):
    context.node.lead_again()


@behave.when('{duration_ms:d} ms go by')
def time_passes(context, duration_ms: int):
    context.node.run(duration_ms)


@behave.then('y requesting lock l gets {status:d}')
def lock_request_gets_status(context, status: int):
    result = hold(context.node, 'y', 1000)
    assert result['status'] == status, result


@behave.then('{delay_ms:d} ms later y requesting lock l gets {status:d}')
def later_lock_request_gets_status(context, delay_ms: int, status: int):
    context.node.run(delay_ms)
    result = hold(context.node, 'y', 1000)
    assert result['status'] == status, result


ADDRESSES = {'p': '10.1.0.1:80', 'q': '10.1.0.2:80'}


def send_heartbeat(node: control_node.ControlNode, incarnation: str, sequence: int, words: list[str]) -> None:
    """Send a heartbeat; `words` may hold the state, `cold`, and `at` with the endpoint whose address it has."""
    address = ADDRESSES[words[2]] if 'at' in words else ADDRESSES[incarnation]
    result = node.operate(
        'beat',
        inc=incarnation,
        addr=address,
        service='s',
        cell='r0/c0',
        slots=4,
        seq=sequence,
        state='draining' if 'draining' in words else 'ready',
        cold_ms=500 if 'cold' in words else 0,
    )
    assert result['status'] == 200, result


def remove_endpoint(node: control_node.ControlNode, incarnation: str) -> None:
    """Have the leader remove an endpoint, as after a health check that it failed."""
    registry = node.machine.endpoint_registry
    results = []
    node.machine.submit(
        lambda transaction: registry.remove_endpoint(transaction, incarnation) or {'status': 200}, results.append
    )
    node.feed('wake')
    node.run(100)
    assert results, 'no result'


@behave.when('the heartbeats {events} of endpoints arrive, each as ID:NUMBER STATE')
def heartbeats_come_out_of_order(context, events: str):
    node = context.node
    for text in events.split(', '):
        words = text.split()
        if text == 'new leader':
            node.lead_again()
        elif text in ('evacuated', 'restored'):
            assert node.operate('cell.empty', cell='r0/c0', on=text == 'evacuated')['status'] == 200
        elif words[1:] == ['removed']:
            remove_endpoint(node, words[0])
        elif words[1:] == ['leaves']:
            assert node.operate('leave', inc=words[0])['status'] == 200
        else:
            incarnation, sequence = words[0].split(':')
            send_heartbeat(node, incarnation, int(sequence), words[1:])


@behave.then('the endpoints are {endpoints}')
def remaining_endpoints_are(context, endpoints: str):
    rows = context.node.machine.replica.get('endpoints')
    states = sorted(f'{incarnation} {row["state"]}' for incarnation, row in rows.items())
    assert (', '.join(states) or 'none') == endpoints, states


@behave.then('p counts as {warmth}')
def endpoint_is_warm_or_cold(context, warmth: str):
    row = context.node.machine.replica.get('endpoints', 'p')
    assert ('cold' if row['chill'] else 'warm') == warmth, row


@behave.when("the leader changes, and y requests lock l before the new one's first generation is in force")
def lock_request_before_first_version(context):
    node = context.node
    context.results = []
    node.machine.step_down('test')
    node.machine.lock_expiry.deadlines = {}
    node.lead()
    node.machine.serve('lock.hold', {'name': 'l', 'holder': 'y', 'lease_ms': 1000}, context.results.append)
    node.run(20)
    assert node.machine.replica.committed[0] != node.machine.term
    node.is_muted = False
    accept_newest(node)
    node.run(400)


@behave.then('y gets {status:d}')
def lock_caller_gets_status(context, status: int):
    assert [result['status'] for result in context.results] == [status], context.results


@behave.when('the disk of the node fails')
def disk_of_node_fails(context):
    context.node.sends.clear()
    context.node.feed('disk_fault', 'full')
    assert context.node.machine.mode == 'candidate'


@behave.then('the node asks {nodes} to succeed it')
def successor_is_named(context, nodes: str):
    assert context.node.sent('succeed', nodes), context.node.sends


@behave.then('the node tells {nodes} that it steps down')
def stepping_down_is_announced(context, nodes: str):
    assert context.node.sent('down', nodes), context.node.sends


@behave.when('the node is told that {node} steps down from term {term:d}')
def stepping_down_is_announced_to_node(context, node: str, term: int):
    context.node.recv(node, 'down', term=term)


@behave.then('the node is then a {mode}')
def node_has_mode(context, mode: str):
    assert context.node.machine.mode == mode, context.node.machine.mode


@behave.given('a control node that has just won an election')
def newly_elected_control_node(context):
    node = context.node = control_node.ControlNode()
    node.lead()
    node.is_muted = False
    node.replica.accept(node.machine.replica.accepted, tables=node.machine.replica.full_state())
    accept_newest(node)


@behave.then('b has been granted a lease, for its response to a round before the newest one with a quorum')
def lease_is_granted_for_earlier_response(context):
    grants = context.node.sent('grant')
    quorum_round = context.node.machine.leadership.heartbeats.quorum_round
    assert grants and grants[0]['ack'] < quorum_round, (grants, quorum_round)


def respond_to_newest_frames(node: control_node.ControlNode, count: int) -> None:
    """Let b respond to the last `count` publications and heartbeats that it was sent."""
    address = machine_host.address_of('b')
    frames = [send.frame for send in node.sends if send.address == address and send.frame['t'] in ('pub', 'chk')]
    for frame in frames[-count:]:
        for kind, arguments in node.response_of_b(frame):
            node.feed(kind, *arguments)


@behave.when('the node receives a read and {event} within the gathering time')
def read_and_event_within_gathering_time(context, event: str):
    node = context.node
    context.results = []
    node.run(50)
    node.is_muted = True
    first_round = node.machine.heartbeat_round
    node.machine.serve('cell.get', {'name': 'g.1'}, context.results.append)
    if event == 'a write':
        node.machine.serve('number.step', {'name': 'n'}, lambda result: None)
    node.run(20)
    assert not context.results
    context.rounds = node.machine.heartbeat_round - first_round
    node.is_muted = False
    respond_to_newest_frames(node, 3)
    node.run(20)


@behave.then('the node responds to the read after {rounds:d} further heartbeat rounds')
def read_gets_response_after_rounds(context, rounds: int):
    assert [result['status'] for result in context.results] == [404], context.results
    assert context.rounds == rounds, context.rounds


@behave.given('voters a, b, c, d and e that lost their leader at the same moment')
def voters_that_lost_their_leader(context):
    context.voters = list('abcde')


def election_time(voters: list[str], index: int, term: int) -> datetime.timedelta:
    """Return when a voter that has just lost its leader in a term starts an election."""
    machine = control_node.ControlNode(seed=index).machine
    machine.node = voters[index]
    machine.term = term
    voting_set = {'committed': voters, 'accepted': voters}
    machine.replica.tables['meta'] = dict(machine.replica.tables['meta'], vc=voting_set)
    for other in voters:
        if other != machine.node:
            # The machine under test already has the address of a.
            address = machine_host.address_of(other) if other != 'a' else '10.0.0.9:1000'
            machine.record_node(address, other, 'core', seen=True)
    machine.timers.pop('election', None)
    machine.election.plan()
    return machine.timers['election']


@behave.then('the first two of them start elections at least {least_ms:d} ms apart, in every term')
def first_candidates_stand_apart(context, least_ms: int):
    gaps = []
    for term in range(1, 60):
        times = [election_time(context.voters, index, term) for index in range(len(context.voters))]
        first, second = sorted(times)[:2]
        gaps.append(second - first)
    assert min(gaps) >= ms(least_ms), min(gaps)


@behave.when('its leader is lost, and {delay_ms:d} ms later a caller requests a number and {wait_ms:d} ms pass')
def leader_is_lost_before_number_request(context, delay_ms: int, wait_ms: int):
    node = context.node
    node.feed('lost', machine_host.address_of('b'))
    assert node.machine.mode == 'candidate'
    node.run(delay_ms)
    node.feed('http', 1, effects.HttpRequest('POST', '/v1/number/step', {}, b'{"name": "n"}'))
    node.run(wait_ms)


@behave.when('a caller requests a number, b is lost, and {duration_ms:d} ms pass')
def leader_is_lost_after_number_request(context, duration_ms: int):
    request_number(context.node, 1)
    context.node.feed('lost', machine_host.address_of('b'))
    context.node.run(duration_ms)


@behave.then('{delay_ms:d} ms later the caller gets {result}')
def later_caller_gets_result(context, delay_ms: int, result: str):
    context.node.run(delay_ms)
    assert result_of_caller(context) == result, context.node.responses


@behave.when('b is started again from its disk and {duration_ms:d} ms go by')
def member_restarts_from_disk(context, duration_ms: int):
    node = context.node
    # Run on first, because the leader commits a version when c does not respond, too.
    node.run(4000)
    node.replica.apply_pending()
    node.replica.committed = (0, 0)
    context.generation = node.machine.replica.accepted
    node.run(duration_ms)


@behave.then('b knows the committed version')
def member_knows_committed_version(context):
    assert context.node.machine.replica.accepted == context.generation, 'a new version was published'
    assert context.node.replica.committed == context.generation, context.node.replica.committed
