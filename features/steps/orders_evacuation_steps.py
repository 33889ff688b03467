"""Steps of orders.feature: evacuation commands that are delayed, retried or in conflict."""

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
ZONE = 'r0/c0'
# How long an operator waits for a response.
RESPONSE_TIMEOUT = ms(1000)
NO_RESPONSE = 0
CONCURRENT_COMMANDS = 16


def followers(context):
    """Return the control nodes that do not lead."""
    return [node for node in context.world.of('core') if node is not context.world.leader()]


def send_evacuation(context, node, is_on, wait=RESPONSE_TIMEOUT):
    """Request an evacuation, or its withdrawal, from a node; return a list to which the status will be added."""
    statuses = []
    body = json.dumps({'cell': ZONE, 'on': is_on}).encode()
    response = context.world.fetch('operator', node.location.http, 'POST', '/v1/cell/empty', {}, body, wait)
    response.addCallback(lambda result: statuses.append(NO_RESPONSE if result.fault else result.status))
    return statuses


def is_evacuated(context, zone=ZONE):
    """True if a zone is evacuated in the leader's state."""
    return bool((context.world.leader().machine.replica.get('cells', zone) or {}).get('emptied'))


def retry_until_acknowledged(context, node, is_on):
    """Request an evacuation, or its withdrawal; retry after each refusal for lack of a leader, as an operator does."""
    until = context.world.now + ms(5000)
    statuses = []
    while statuses in ([], [503]) and context.world.now < until:
        statuses = send_evacuation(context, node, is_on, until - context.world.now)
        open_core.run_until(context, lambda statuses=statuses: bool(statuses))
        if statuses == [503]:
            context.world.run(ms(300))
    assert statuses == [200], statuses
    assert is_evacuated(context) == is_on


@behave.given('a control node that serves evacuation commands')
def serving_control_node(context):
    context.node = control_node.ControlNode()
    context.node.serve()


@behave.when('its zone gets the commands {commands}')
def zone_gets_commands(context, commands: str):
    context.statuses = []
    for words in (text.split() for text in commands.split(', ')):
        if words == ['new', 'master']:
            context.node.lead_again()
            continue
        arguments = {'cell': ZONE, 'on': words[0] == 'on'}
        if len(words) == 2:
            name, number = words[1].split(':')
            arguments.update(id=name, number=int(number))
        context.statuses.append(context.node.operate('cell.empty', **arguments)['status'])


@behave.then('the zone is {state} and the responses were {responses}')
def zone_has_state_after_responses(context, state: str, responses: str):
    assert ', '.join(str(status) for status in context.statuses) == responses, context.statuses
    row = context.node.machine.replica.latest('cells', ZONE) or {}
    assert bool(row.get('emptied')) == (state == 'evacuated'), row


def delay_evacuations(context, node, delay):
    """Delay the evacuations that a node requests from the leader, as a stalled connection does."""
    carry = context.world.carry

    def carry_late(source, address, frame, *options):
        if source is node and frame['t'] == 'ask' and frame['op'] == 'cell.empty':
            context.delayed += 1
            context.world.after(delay, carry, source, address, frame, *options)
        else:
            carry(source, address, frame, *options)

    context.delayed = 0
    context.world.carry = carry_late


@behave.when('an evacuation is delayed {where}, its caller disconnects, and {after} is acknowledged by another node')
def evacuation_is_delayed(context, where: str, after: str):
    node, other = followers(context)[:2]
    if where == 'at the leader, frozen':
        node = context.world.leader()
    if 'frozen' in where:
        node.pause(ms(6000))
    else:
        delay_evacuations(context, node, ms(3000))
    statuses = send_evacuation(context, node, True, ms(600))
    open_core.run_until(context, lambda: bool(statuses))
    assert statuses == [NO_RESPONSE], statuses
    if after == 'an evacuation and withdrawal':
        retry_until_acknowledged(context, other, True)
    retry_until_acknowledged(context, other, False)
    context.world.run(ms(8000))
    assert 'frozen' in where or context.delayed, 'no evacuation was delayed'


@behave.then('the zone is as {after} left it after the copy has arrived')
def zone_is_as_last_acknowledged(context, after: str):
    assert not is_evacuated(context)


@behave.when('eight evacuations of a zone and eight of another are requested at once, at all nodes')
def evacuations_are_requested_at_once(context):
    nodes = context.world.of('core')
    context.statuses = []
    context.zones = context.deployment.zones[:2]
    for number in range(CONCURRENT_COMMANDS):
        body = json.dumps({'cell': context.zones[number % 2], 'on': True}).encode()
        address = nodes[number % len(nodes)].location.http
        response = context.world.fetch(
            f'operator{number}', address, 'POST', '/v1/cell/empty', {}, body, RESPONSE_TIMEOUT
        )
        response.addCallback(lambda result: context.statuses.append(result.status))
    open_core.run_until(context, lambda: len(context.statuses) == CONCURRENT_COMMANDS)


@behave.then('each is acknowledged and both zones are evacuated')
def evacuations_are_acknowledged(context):
    assert context.statuses == [200] * CONCURRENT_COMMANDS, context.statuses
    assert all(is_evacuated(context, zone) for zone in context.zones)


@behave.given('a small core of open traffic whose leader does not know evacuation commands')
def core_without_evacuation_operation(context):
    open_core.start(context)
    serve = leader_operations.HANDLERS.pop('cell.order')
    context.add_cleanup(leader_operations.HANDLERS.__setitem__, 'cell.order', serve)


@behave.when('a zone is evacuated through another node')
def zone_is_evacuated_through_follower(context):
    context.statuses = send_evacuation(context, followers(context)[0], True)
    open_core.run_until(context, lambda: bool(context.statuses))


@behave.then('it is acknowledged and the zone is evacuated')
def evacuation_is_acknowledged(context):
    assert context.statuses == [200], context.statuses
    assert is_evacuated(context)


# -- over real sockets -----------------------------------------------------------

EDGE_ZONE = 'z1'


def mode_of(node):
    """Return the mode of a control node: leader, follower or candidate."""
    return http_calls.call(node.internal, 'GET', '/v1/self').document['state']['mode']


@behave.given('a deployment of three control nodes')
def deployment_of_three_control_nodes(context):
    context.deployment = deployment.Deployment(cores=3, edges=1).start()
    context.add_cleanup(context.deployment.stop)


@behave.when(
    'the {process} is stopped, an evacuation is left in its socket by a caller that disconnects, and one is withdrawn elsewhere'
)
def stopped_process_keeps_evacuation(context, process: str):
    processes = context.deployment
    wanted_mode = {'follower': 'follower', 'master': 'leader'}[process]
    context.stopped = next(node for node in processes.cores if mode_of(node) == wanted_mode)
    others = [node for node in processes.cores if node is not context.stopped]
    context.stopped.signal(signal.SIGSTOP)
    host, _, port = context.stopped.control.rpartition(':')
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(f'POST /v1/evacuation/{EDGE_ZONE} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'.encode())

    def is_withdrawn():
        return http_calls.call(others[0].control, 'DELETE', f'/v1/evacuation/{EDGE_ZONE}').status == 200

    processes.wait_until(is_withdrawn, 'the withdrawal')


@behave.then('once it continues and responds again, the zone is not evacuated')
def withdrawal_remains_after_continuing(context):
    context.stopped.signal(signal.SIGCONT)
    for node in [context.stopped, *context.deployment.cores]:
        context.deployment.wait_until(
            lambda node=node: http_calls.call(node.control, 'GET', '/v1/configuration').status == 200, 'a read'
        )
    # A change through the node that continued is applied after every request that waited in its sockets.
    assert context.deployment.call_control('POST', '/v1/numbers/n1').status == 200
    zones = http_calls.call(context.stopped.internal, 'GET', '/v1/copy').document['tables'].get('cells', {})
    assert not any(row.get('emptied') for row in zones.values()), zones
