"""Steps of recover_real.feature: all control nodes of a real fleet are lost with their disks."""

import os
import shutil

import behave

import features.support.fleet_under_load as fleet_under_load
import zinctrail.fleet.processes as processes
import zinctrail.transport.blocking_client as blocking_client

# How many characters of the cluster's id an operator gives to confirm its replacement.
CONFIRMATION_CHARACTERS = 8
NEW_CONTROL_NODES = 3


def lose_control_nodes(fleet):
    """Kill all control nodes, and remove their disks."""
    for process in fleet.of('core'):
        process.kill()
        shutil.rmtree(os.path.join(fleet.folder, process.name))
        del fleet.processes[process.name]


def has_lost_leader(process) -> bool:
    """Return True if a process knows no leader."""
    return blocking_client.try_call(process.http, 'GET', '/v1/copy/brief')[1].get('master', 1) is None


@behave.when('every control node and its disk is lost, and three empty ones start with other seeds')
def control_nodes_are_lost(context):
    fleet = context.fleet
    context.configuration = fleet.call('GET', '/v1/config')[1]
    lose_control_nodes(fleet)
    seeds = [process.addr for process in fleet.of('dir')[:2] + fleet.of('prox')[:1]]
    for index in range(NEW_CONTROL_NODES):
        process = fleet.processes[f'new{index}'] = processes.FleetProcess(fleet, f'new{index}', 'core', f'r{index}/c0')
        process.seeds = seeds
        process.start()
    fleet.until(
        lambda: all(
            blocking_client.try_call(process.http, 'GET', '/v1/live')[0] == 200 for process in fleet.of('core')
        ),
        'the new control nodes',
    )
    # The other processes follow the old leader until its lease and their timeout have expired.
    fleet.until(
        lambda: all(has_lost_leader(process) for process in fleet.of('dir') + fleet.of('prox')),
        'the other processes to lose the old leader',
    )


@behave.then('zinctrailctl recover shows the remaining state, and refuses a missing or wrong confirmation')
def recover_is_refused(context):
    fleet = context.fleet
    target, directory = fleet.of('core')[0].http, fleet.of('dir')[0].http
    shown = fleet_under_load.command(fleet, 'recover')
    assert shown.code == 0, shown
    for text in ('taken for lost', 'keys: all lost', 'nothing was changed'):
        assert text in shown.output, shown
    cluster = shown.output.split('cluster ')[1].split()[0]
    context.confirmation = f'--confirm={cluster[:CONFIRMATION_CHARACTERS]}'
    for arguments, code in (
        (('recover', target), 2),
        (('--confirm=wrongword', 'recover', target), 2),
        ((context.confirmation, 'recover', directory), 1),
    ):
        refused = fleet_under_load.command(fleet, *arguments)
        assert refused.code == code and 'nothing was changed' in refused.errors, (arguments, refused)


@behave.when('zinctrailctl recover gets an empty control node and the confirmation')
def recover_is_confirmed(context):
    target = context.fleet.of('core')[0].http
    done = fleet_under_load.command(context.fleet, context.confirmation, 'recover', target)
    assert done.code == 0 and 'begins at generation' in done.output, done


@behave.then('another process leads, and the configuration is the one of before')
def configuration_is_recovered(context):
    fleet = context.fleet
    fleet_under_load.leader(fleet)
    recovered, before = fleet_under_load.configuration(fleet), context.configuration
    assert recovered['config'] == before['config'] and recovered['generation'] > before['generation'], recovered
    fleet.until(lambda: len(fleet_under_load.state(fleet)['voters']['committed']) == 3, 'three voters')


@behave.when('{count:d} more are executed, and no request from before is still in progress')
def more_have_run(context, count: int):
    fleet = context.fleet
    target = fleet.counts['ran'] + count
    # At 20 requests a second this takes longer than any earlier request may wait.
    fleet.until(lambda: fleet.counts['ran'] >= target, f'{count} more to run', fleet_under_load.LONG_WAIT_S)
