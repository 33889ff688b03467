"""Steps of orders.feature: evacuations of zones, in every order."""

import json
import signal
import socket

import behave

import features.support.control_node as control_node
import features.support.deployment as deployment
import features.support.http_calls as http_calls
import features.support.open_core as open_core
import zinctrail.control.leader_operations as leader_operations
import zinctrail.runtime.durations as durations

ms = durations.ms
CELL = 'r0/c0'
# How long an operator waits for an answer.
PATIENCE = ms(1000)
NO_ANSWER = 0
ORDERS_AT_ONCE = 16


def followers(context):
    """The control nodes that do not lead."""
    return [node for node in context.world.of('core') if node is not context.world.leader()]


def order_evacuation(context, node, is_on, wait=PATIENCE):
    """Evacuate the zone, or take it back, through a node; a list to which the status will be added."""
    statuses = []
    body = json.dumps({'cell': CELL, 'on': is_on}).encode()
    response = context.world.fetch('operator', node.location.http, 'POST', '/v1/cell/empty', {}, body, wait)
    response.addCallback(lambda result: statuses.append(NO_ANSWER if result.fault else result.status))
    return statuses


def is_evacuated(context, cell=CELL):
    """Whether a zone is evacuated in the leader's state."""
    return bool((context.world.leader().machine.replica.get('cells', cell) or {}).get('emptied'))


def order_until_acknowledged(context, node, is_on):
    """Order an evacuation, or its end, again after each refusal for want of a leader, as an operator does."""
    until = context.world.now + ms(5000)
    statuses = []
    while statuses in ([], [503]) and context.world.now < until:
        statuses = order_evacuation(context, node, is_on, until - context.world.now)
        open_core.run_until(context, lambda statuses=statuses: bool(statuses))
        if statuses == [503]:
            context.world.run(ms(300))
    assert statuses == [200], statuses
    assert is_evacuated(context) == is_on


@behave.given('a serving control node with cell orders')
def serving_control_node(context):
    context.node = control_node.ControlNode()
    context.node.serve()


@behave.when('its cell gets {orders}')
def zone_gets_orders(context, orders: str):
    context.answers = []
    for words in (text.split() for text in orders.split(', ')):
        if words == ['new', 'master']:
            context.node.lead_again()
            continue
        arguments = {'cell': CELL, 'on': words[0] == 'on'}
        if len(words) == 2:
            name, number = words[1].split(':')
            arguments.update(id=name, number=int(number))
        context.answers.append(context.node.operate('cell.empty', **arguments)['status'])


@behave.then('the cell is {state} and the answers were {answers}')
def zone_has_state_after_answers(context, state: str, answers: str):
    assert ', '.join(str(status) for status in context.answers) == answers, context.answers
    row = context.node.machine.replica.latest('cells', CELL) or {}
    assert bool(row.get('emptied')) == (state == 'emptied'), row


def delay_evacuations(context, node, delay):
    """Let the evacuations that a node requests of the leader come later, as over a connection that stalls."""
    carry = context.world.carry

    def carry_late(source, address, frame, *options):
        if source is node and frame['t'] == 'ask' and frame['op'] == 'cell.empty':
            context.delayed += 1
            context.world.after(delay, carry, source, address, frame, *options)
        else:
            carry(source, address, frame, *options)

    context.delayed = 0
    context.world.carry = carry_late


@behave.when('an evacuation is held up {where}, its caller goes, and {after} is acknowledged elsewhere')
def evacuation_is_held_up(context, where: str, after: str):
    node, other = followers(context)[:2]
    if where == 'at the master, frozen':
        node = context.world.leader()
    if 'frozen' in where:
        node.pause(ms(6000))
    else:
        delay_evacuations(context, node, ms(3000))
    statuses = order_evacuation(context, node, True, ms(600))
    open_core.run_until(context, lambda: bool(statuses))
    assert statuses == [NO_ANSWER], statuses
    if after == 'an evacuation and withdrawal':
        order_until_acknowledged(context, other, True)
    order_until_acknowledged(context, other, False)
    context.world.run(ms(8000))
    assert 'frozen' in where or context.delayed, 'nothing was held up'


@behave.then('the cell is as {after} left it once the copy has come')
def zone_is_as_last_acknowledged(context, after: str):
    assert not is_evacuated(context)


@behave.when('eight evacuations of a cell and eight of another are asked for at once, at all nodes')
def evacuations_are_requested_at_once(context):
    nodes = context.world.of('core')
    context.statuses = []
    context.cells = context.deployment.cells[:2]
    for number in range(ORDERS_AT_ONCE):
        body = json.dumps({'cell': context.cells[number % 2], 'on': True}).encode()
        address = nodes[number % len(nodes)].location.http
        response = context.world.fetch(f'operator{number}', address, 'POST', '/v1/cell/empty', {}, body, PATIENCE)
        response.addCallback(lambda result: context.statuses.append(result.status))
    open_core.run_until(context, lambda: len(context.statuses) == ORDERS_AT_ONCE)


@behave.then('each is acknowledged and both cells are emptied')
def evacuations_are_acknowledged(context):
    assert context.statuses == [200] * ORDERS_AT_ONCE, context.statuses
    assert all(is_evacuated(context, cell) for cell in context.cells)


@behave.given('a small core of open traffic whose master knows no cell orders')
def core_without_evacuation_operation(context):
    open_core.start(context)
    serve = leader_operations.HANDLERS.pop('cell.order')
    context.add_cleanup(leader_operations.HANDLERS.__setitem__, 'cell.order', serve)


@behave.when('a cell is evacuated through another node')
def zone_is_evacuated_through_follower(context):
    context.statuses = order_evacuation(context, followers(context)[0], True)
    open_core.run_until(context, lambda: bool(context.statuses))


@behave.then('it is acknowledged and the cell is emptied')
def evacuation_is_acknowledged(context):
    assert context.statuses == [200], context.statuses
    assert is_evacuated(context)


# -- over real sockets -----------------------------------------------------------

ZONE = 'z1'


def mode_of(node):
    """Whether a control node leads, follows or stands for election."""
    return http_calls.call(node.internal, 'GET', '/v1/self').document['state']['mode']


@behave.given('a deployment of three control nodes')
def deployment_of_three_control_nodes(context):
    context.deployment = deployment.Deployment(cores=3, edges=1).start()
    context.add_cleanup(context.deployment.stop)


@behave.when(
    'the {process} is stopped, an evacuation is left in its socket by a caller who goes, and one is withdrawn elsewhere'
)
def stopped_process_keeps_evacuation(context, process: str):
    processes = context.deployment
    wanted = {'follower': 'follower', 'master': 'leader'}[process]
    context.stopped = next(node for node in processes.cores if mode_of(node) == wanted)
    others = [node for node in processes.cores if node is not context.stopped]
    context.stopped.signal(signal.SIGSTOP)
    host, _, port = context.stopped.control.rpartition(':')
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(f'POST /v1/evacuation/{ZONE} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'.encode())

    def is_withdrawn():
        return http_calls.call(others[0].control, 'DELETE', f'/v1/evacuation/{ZONE}').status == 200

    processes.wait_until(is_withdrawn, 'the withdrawal')


@behave.then('once it goes on and answers again, the zone is not evacuated')
def withdrawal_stands_after_continuing(context):
    context.stopped.signal(signal.SIGCONT)
    for node in [context.stopped, *context.deployment.cores]:
        context.deployment.wait_until(
            lambda node=node: http_calls.call(node.control, 'GET', '/v1/configuration').status == 200, 'a read'
        )
    # A change through the node that went on comes after all that it had been left.
    assert context.deployment.call_control('POST', '/v1/numbers/n1').status == 200
    cells = http_calls.call(context.stopped.internal, 'GET', '/v1/copy').document['tables'].get('cells', {})
    assert not any(row.get('emptied') for row in cells.values()), cells
