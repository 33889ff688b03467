"""A control node out of touch with a majority: trials in the simulator, and single moments of one node."""

import contextlib
import types
import unittest.mock as mock

import behave

import zinctrail.consensus.fenced_reads as fenced_reads
import zinctrail.consensus.majority_contact as majority_contact
import zinctrail.consensus.member as member
import zinctrail.consensus.replica as replica
import zinctrail.consensus.replication as replication
import zinctrail.consensus.voter as voter
import zinctrail.control.controller as controller
import zinctrail.control.http_api as http_api
import zinctrail.control.lock_expiry as lock_expiry
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.cut_off.checkers as checkers
import zinctrail.simulation.cut_off.faults as faults
import zinctrail.simulation.cut_off.trial as cut_off_trial

ms = durations.ms


# -- trials, with one guard off or none ---------------------------------------


def respond_with_inner_status(request_id, result, headers=None, original=http_api.to_response):
    """A leader's refusal reaches its caller by its inner status."""
    if result['status'] in (421, 503):
        return effects.HttpResponse(request_id, 421, {}, b'{}')
    return original(request_id, result, headers)


def follow_at_once(self, message, pace=None):
    """A voter follows another leader without ending its own term first."""
    return member.Member.follow(self, message, pace)


ANY_QUORUM = types.SimpleNamespace(joint_quorum=lambda nodes, voting_set: True, routes_of=replica.routes_of)
NO_NOTICING = (majority_contact.MajorityContact, 'is_lost', lambda self: False)
NO_ROUND_OVERDUE = (majority_contact.MajorityContact, 'is_round_overdue', lambda self: False)
GUARDS = {
    'noticing': [NO_NOTICING, NO_ROUND_OVERDUE],
    "the election's bound": [(voter.Voter, 'election_wait', ms(600))],
    'ending a term': [(voter.Voter, 'follow', follow_at_once)],
    # A master that noticed refuses reads before their fence.
    'fences and noticing': [(fenced_reads.FencedReads, 'fence', lambda self, callback: callback(True)), NO_NOTICING],
    'quorums for commits': [(replication, 'replica', ANY_QUORUM)],
    'leases': [
        (controller.Controller, 'has_lease', lambda self: True),
        (controller.Controller, 'lease_remaining', lambda self: ms(2000)),
    ],
    'lock terms': [(lock_expiry.LockExpiry, 'expiry_delay', lambda self, lease_ms: ms(lease_ms / 4))],
    'refusals told as 503': [(http_api, 'to_response', respond_with_inner_status)],
}


def run_trials(context, names):
    """What the checkers of these names find in the trials of a scenario."""
    found = []
    for seed in context.seeds:
        trial = cut_off_trial.Trial(seed, faults.FAULTS[context.fault]).run()
        for name in names:
            found += [f'{name}, seed {seed}: {text}' for text in checkers.CHECKERS[name](trial)]
    return found


@behave.given('trials of a {fault} under seeds {seeds}')
def trials_of_fault(context, fault: str, seeds: str):
    context.fault, context.seeds = fault, [int(seed) for seed in seeds.split(',')]


@behave.then('no checker of the trials finds anything')
def trials_have_no_findings(context):
    found = run_trials(context, checkers.CHECKERS)
    assert not found, '\n'.join(found[:10])


@behave.then('with {guard} switched off in the trials, checker {checker} finds something')
def checker_finds_without_guard(context, guard: str, checker: str):
    with contextlib.ExitStack() as stack:
        for target in GUARDS[guard]:
            stack.enter_context(mock.patch.object(*target))
        found = run_trials(context, [checker])
    assert found, f'{checker} is silent without {guard}'


# -- single moments -----------------------------------------------------------


@behave.when('a caller reads a cell there, and its successor is heard at once')
def read_meets_successor(context):
    node = context.node
    node.is_muted = True
    node.feed('http', 1, effects.HttpRequest('POST', '/v1/cell/get', {}, b'{"name": "g.1"}'))
    node.sends.clear()
    context.successor_term = node.machine.term + 1
    node.recv('c', 'chk', term=context.successor_term, to='a', round=1, http='')
    node.run(1000)


@behave.then("that caller is refused, and the node sends no heartbeat in its successor's term")
def read_is_refused_without_heartbeat(context):
    node = context.node
    assert node.responses[1][0] == 503, node.responses
    heartbeats = [send.frame for send in node.sends if send.frame['t'] == 'chk']
    late = [frame for frame in heartbeats if frame['term'] == context.successor_term]
    assert not late, late
    assert node.machine.mode == 'follower', node.machine.mode


@behave.given('a control node that leads, and hears nobody for {duration_ms:d} ms')
def leader_without_contact(context, duration_ms: int):
    context.execute_steps('given a control node that leads')
    context.node.is_muted = True
    context.node.run(duration_ms)


@behave.when('a {role} asks it for a number')
def number_request_at_leader(context, role: str):
    node = context.node
    node.sends.clear()
    node.machine.peers['b'].role = 'prox' if role == 'proxy' else 'core'
    node.recv('b', 'ask', key='k1', op='number.step', args={'name': 'n'})
    node.run(20)


@behave.then('{answer} is what that asker is told within 20 ms')
def request_is_answered_at_once(context, answer: str):
    results = [frame['result']['status'] for frame in context.node.sent('ask_re')]
    assert results == ([] if answer == 'nothing' else [int(answer)]), results


@behave.when('a caller asks for a number, and the node stands still for {duration_ms:d} ms while b went on')
def leader_stands_still_during_request(context, duration_ms: int):
    node = context.node
    node.run(1)
    node.feed('http', 1, effects.HttpRequest('POST', '/v1/number/step', {}, b'{"name": "n"}'))
    node.now += ms(duration_ms)
    # Its timers fire first, and then it reads what came meanwhile.
    node.feed('wake')
    node.recv('b', 'chk', term=node.machine.term, to='a', round=2, http='')
    node.recv('b', 'grant', term=node.machine.term, ack=2)
    node.run(50)


@behave.then('that caller is still waiting')
def caller_still_waits(context):
    assert not context.node.responses, context.node.responses
