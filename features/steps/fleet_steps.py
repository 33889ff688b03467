"""Steps of fleet.feature, ill.feature and recover_real.feature: a fleet of real processes through kills, restarts and changes."""

import json
import signal
import threading

import behave

import features.support.fleet_under_load as fleet_under_load
import features.support.reactor_thread as reactor_thread
import zinctrail.fleet.processes as processes

ENDPOINT_ADDRESS = '127.0.0.1:1'
# The minimum share of requests that must be executed: the outcome of requests in flight may be unknown when a process
# dies.
MIN_EXECUTED_SHARE = 0.8


@behave.given('a small fleet under load')
def fleet_started(context):
    fleet_under_load.start(context, injects_faults=False)


@behave.given('a small fleet under load with fault injection')
def fleet_with_faults_started(context):
    fleet_under_load.start(context, injects_faults=True)


@behave.then('{count:d} further requests get their outcome, and nearly all are executed')
def nearly_all_are_executed(context, count: int):
    outcomes = fleet_under_load.next_outcomes(context.fleet, count)
    assert outcomes.get('ran', 0) >= MIN_EXECUTED_SHARE * sum(outcomes.values()), outcomes


@behave.then('no request was executed twice, no response was wrong and no request reported as not run was executed')
def all_outcomes_are_right(context):
    report = context.fleet.report()
    assert report['ran'] > 100, report
    assert not report['ran_twice'] and not report.get('wrong') and not report.get('false-not-run'), report


# -- control nodes that are killed and replaced ---------------------------------------


@behave.when('the leader is killed')
def leader_is_killed(context):
    context.stopped = fleet_under_load.leader(context.fleet)
    context.configuration = context.fleet.call('GET', '/v1/config')[1]
    context.stopped.kill()


@behave.then('another process leads, and the configuration is unchanged')
def another_leads(context):
    fleet_under_load.leader(context.fleet)
    configuration = fleet_under_load.configuration(context.fleet)
    assert configuration == context.configuration, configuration


@behave.when('the killed control node starts again')
def killed_process_starts(context):
    context.stopped.start()


@behave.then('it is a member again')
def killed_process_is_member(context):
    def is_member():
        members = fleet_under_load.state(context.fleet)['members'].values()
        return any(member['addr'] == context.stopped.addr and 0 <= member['ack_ms'] < 1000 for member in members)

    context.fleet.until(is_member, 'the killed control node to be a member again')


@behave.when('all control nodes are killed and start again')
def control_nodes_restart(context):
    fleet = context.fleet
    context.configuration = fleet.until(lambda: fleet.call('GET', '/v1/config'), 'the configuration')[1]
    for process in fleet.of('core'):
        process.kill()
    for process in fleet.of('core'):
        process.start()


@behave.when('a control node is replaced by an empty one at a new address')
def control_node_is_replaced(context):
    fleet = context.fleet
    leader = fleet_under_load.leader(fleet)
    old = next(process for process in fleet.of('core') if process is not leader)
    old.kill()
    del fleet.processes[old.name]
    context.new = fleet.processes['core9'] = processes.FleetProcess(fleet, 'core9', 'core', old.zone)
    context.new.seeds = old.seeds
    context.new.start()


@behave.then('the new control node becomes a voter')
def new_control_node_votes(context):
    def is_voter():
        state = fleet_under_load.state(context.fleet)
        identities = [name for name, member in state['members'].items() if member['addr'] == context.new.addr]
        voters = state['voters']
        return identities and identities[0] in voters['committed'] and voters['committed'] == voters['accepted']

    context.fleet.until(is_voter, 'the new control node to become a voter')


@behave.then('the leader transfers leadership on SIGTERM and exits with code 0')
def leader_hands_over(context):
    fleet = context.fleet
    old = fleet_under_load.leader(fleet)
    term = fleet_under_load.state(fleet)['term']
    old.signal(signal.SIGTERM)
    assert old.child.wait(60) == 0
    new = fleet.until(fleet.leader, 'another leader')
    assert new is not old and fleet_under_load.state(fleet)['term'] > term
    old.start()

    def is_back():
        members = fleet_under_load.state(fleet)['members'].values()
        return any(member['addr'] == old.addr for member in members)

    fleet.until(is_back, 'the former leader to be a member again')


# -- endpoints that drain and zones that are evacuated ---------------------------------


@behave.when('an endpoint drains')
def endpoint_drains(context):
    fleet = context.fleet
    context.draining = next(iter(fleet.endpoints.values()))
    reactor_thread.call(context.draining.set_state, 'draining')

    def is_applied_by_proxies():
        state = fleet_under_load.state(fleet)
        row = state['endpoints'].get(context.draining.admission.incarnation)
        applied = {tuple(member['generation']) for member in state['members'].values() if member['role'] == 'prox'}
        return row and row['state'] == 'draining' and len(applied) == 1

    fleet.until(is_applied_by_proxies, 'the drain to be in force')


@behave.then('none of {count:d} further requests reaches it')
def draining_endpoint_gets_no_request(context, count: int):
    fleet_under_load.next_outcomes(context.fleet, 10)
    before = len(context.draining.admission.executed_ids)
    fleet_under_load.next_outcomes(context.fleet, count)
    assert len(context.draining.admission.executed_ids) == before


def executed_in_zone(fleet, zone: str) -> int:
    """Return how many requests the endpoints of a zone have executed."""
    admissions = [endpoint.admission for endpoint in fleet.endpoints.values()]
    return sum(len(admission.executed_ids) for admission in admissions if admission.zone == zone)


@behave.when('zinctrailctl {verb} the zone {zone}')
def command_moves_traffic(context, verb: str, zone: str):
    context.zone = zone
    done = fleet_under_load.command(context.fleet, {'evacuates': 'evacuate', 'returns': 'return'}[verb], zone)
    assert done.code == 0 and 'in force' in done.output, done


@behave.then('none of {count:d} further requests reaches that zone')
def evacuated_zone_gets_no_request(context, count: int):
    fleet_under_load.next_outcomes(context.fleet, 20)
    before = executed_in_zone(context.fleet, context.zone)
    fleet_under_load.next_outcomes(context.fleet, count)
    assert executed_in_zone(context.fleet, context.zone) == before


@behave.then('that zone is used again')
def zone_is_used_again(context):
    before = executed_in_zone(context.fleet, context.zone)
    context.fleet.until(
        lambda: executed_in_zone(context.fleet, context.zone) > before, f'zone {context.zone} to be used'
    )


# -- concurrent changes-----------------------------------------------------------------


@behave.then('one of two concurrent changes is accepted and the other gets a conflict')
def concurrent_changes_conflict(context):
    fleet = context.fleet
    document = fleet.call('GET', '/v1/config')[1]
    responses = []

    def apply(region):
        config = json.loads(json.dumps(document['config']))
        config['labels'][ENDPOINT_ADDRESS] = {'by': region}
        change = {'config': config, 'base': document['generation']}
        responses.append(fleet.call('PUT', '/v1/config', change, wait=20))

    changes = [threading.Thread(target=apply, args=(region,)) for region in ('x', 'y')]
    for change in changes:
        change.start()
    for change in changes:
        change.join()
    assert sorted(status for status, _ in responses) == [200, 409], responses
    by_status = dict(responses)
    assert by_status[409]['generation'] == by_status[200]['generation'], responses
