"""Steps of ill.feature: clock jumps, partitions and frozen processes in a real fleet."""

import signal

import behave

import features.support.fleet_under_load as fleet_under_load
import zinctrail.transport.blocking_client as blocking_client

CLOCK_JUMP_S = 3600.0
ENDPOINT_ADDRESS = '127.0.0.1:1'


@behave.when("every process's wall clock jumps {direction}")
def wall_clocks_jump(context, direction: str):
    for process in context.fleet.processes.values():
        process.set_faults(wall_s=-CLOCK_JUMP_S if direction.startswith('back') else CLOCK_JUMP_S)
    # Each log line carries the wall clock, so that a jump that did not reach a process would show in its log.
    fleet_under_load.state(context.fleet)


@behave.then('a change is in force')
def change_is_in_force(context):
    fleet = context.fleet

    def change():
        # Called at directories, because the partitioned control node would be called first and has no result.
        status, document = fleet.call('GET', '/v1/config', role='dir')
        if status != 200:
            return False
        document['config']['labels'][ENDPOINT_ADDRESS] = {'n': str(len(fleet.ran))}
        body = {'config': document['config'], 'base': document['generation'], 'wait': True}
        status, result = fleet.call('PUT', '/v1/config', body, role='dir', wait=20)
        return status == 200 and result['in_force']

    fleet.until(change, 'a change to be in force')


def partition(context, process, others):
    """Drop all frames between a process and others."""
    context.partitioned = [process, *others]
    process.set_faults(cut=others)
    for other in others:
        other.set_faults(cut=[process])


def record_leader(context):
    """Store the current leader, which is about to be cut off or frozen, and the configuration."""
    context.stopped = fleet_under_load.leader(context.fleet)
    context.configuration = context.fleet.call('GET', '/v1/config')[1]


def wait_for_another_leader(context):
    """Wait until another process is the leader."""
    fleet, old = context.fleet, context.stopped
    fleet.until(lambda: (fleet.leader() or old) is not old, 'another leader')


@behave.when('the leader is partitioned from the other control nodes')
def leader_is_partitioned(context):
    record_leader(context)
    followers = [process for process in context.fleet.of('core') if process is not context.stopped]
    partition(context, context.stopped, followers)
    wait_for_another_leader(context)


@behave.when('a proxy is partitioned from all other processes of the fleet')
def proxy_is_partitioned(context):
    proxy = context.fleet.of('prox')[0]
    partition(context, proxy, [process for process in context.fleet.processes.values() if process is not proxy])


@behave.when('the partition is healed')
def partition_is_healed(context):
    for process in context.partitioned:
        process.set_faults()


@behave.then('all are members again, under one leader')
def all_are_members(context):
    fleet = context.fleet

    def have_one_leader():
        state = fleet_under_load.state(fleet)
        views = [
            blocking_client.try_call(process.http, 'GET', '/v1/self')[1].get('state')
            for process in fleet.processes.values()
        ]
        return (
            len(state['members']) == len(fleet.processes)
            and all(view and view['master'] for view in views)
            and {view['master']['id'] for view in views} == {state['id']}
        )

    fleet.until(have_one_leader, 'one leader known to all', fleet_under_load.LONG_WAIT_S)


@behave.when('the leader is frozen')
def leader_is_frozen(context):
    record_leader(context)
    context.stopped.signal(signal.SIGSTOP)
    wait_for_another_leader(context)


@behave.when('the frozen process resumes')
def frozen_process_resumes(context):
    context.stopped.signal(signal.SIGCONT)


@behave.then('it is not ready, and refuses requests as not run with the addresses of other proxies')
def proxy_refuses_requests(context):
    fleet = context.fleet
    proxy, other_proxy = fleet.of('prox')[:2]
    fleet.until(lambda: blocking_client.try_call(proxy.http, 'GET', '/v1/ready')[0] == 503, 'the proxy not to be ready')
    epoch = fleet.call('GET', '/v1/epoch')[1]['epoch']
    lines = [
        'POST /r/loans/x HTTP/1.1',
        'host: x',
        'connection: close',
        f'zt-id: {epoch}.cut',
        'content-length: 2',
    ]
    response = fleet_under_load.send_raw(proxy.http, '\r\n'.join(lines).encode() + b'\r\n\r\n{}')
    assert b' 503 ' in fleet_under_load.status_line(response) and b'"not-run"' in response, response
    assert other_proxy.http.encode() in response, response
