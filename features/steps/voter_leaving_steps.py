"""Steps of second_loss.feature: a voter leaves, and the leader and zinctrailctl report the losses tolerated."""

import contextlib
import io
import json
import unittest.mock as mock

import behave

import features.support.voting_world as voting_world
import zinctrail.cli.commands.session as session
import zinctrail.cli.commands.status as status_command
import zinctrail.consensus.messages as messages
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.world as world

ms = durations.ms
EXIT_LIMIT = ms(1000)


@behave.when('a voter is told to stop')
def voter_is_stopped(context):
    # By world: the leaving voter, and the identity that it had.
    context.leaving_voters, context.identities = {}, {}
    for simulated in context.worlds:
        leaving_voter = context.leaving_voters[simulated] = voting_world.voters_of(simulated)[1]
        context.identities[simulated] = leaving_voter.machine.node
        leaving_voter.feed('stop')
        assert simulated.run(ms(8000), lambda leaving_voter=leaving_voter: not leaving_voter.up), simulated.seed


def assert_exited_soon(simulated: world.World, leaving_voter) -> None:
    """Fail unless the last event of a process is its exit, at most EXIT_LIMIT after it was told to stop."""
    events = [(time, event) for time, name, event, _ in simulated.process_events if name == leaving_voter.name]
    assert events[-1][1] == 'exit' and events[-1][0] - events[-2][0] <= EXIT_LIMIT, events


@behave.then('it has exited within a second, and a voting set without it was committed before')
def leaving_voter_was_replaced(context):
    for simulated in context.worlds:
        identity = context.identities[simulated]
        current = voting_world.committed_voting_set(simulated.leader())
        assert identity not in current['committed'], (simulated.seed, current)
        assert identity not in current['accepted'] and len(current['accepted']) == 3, (simulated.seed, current)
        assert_exited_soon(simulated, context.leaving_voters[simulated])


@behave.then('it has exited within a second, and is still a voter')
def leaving_voter_is_still_a_voter(context):
    for simulated in context.worlds:
        accepted = voting_world.voting_set(simulated)['accepted']
        assert context.identities[simulated] in accepted and len(accepted) == 3
        assert_exited_soon(simulated, context.leaving_voters[simulated])


@behave.then('the leader reports that it tolerates {count:d} more losses, and lists as voting_set_waits: {what}')
def leader_reports_losses_tolerated(context, count: int, what: str):
    for simulated in context.worlds:
        machine = simulated.leader().machine
        status = machine.status()
        waits = status['voting_set_waits']
        assert status['losses_borne'] == count, (simulated.seed, status['losses_borne'], waits)
        if what == 'nothing':
            assert waits == [], (simulated.seed, waits)
        else:
            assert any(what in text for text in waits), (simulated.seed, waits)
        measures = {row[1]: row[3] for row in machine.measures()}
        assert measures['losses_borne'] == [({}, count)], measures['losses_borne']


@behave.when('the leader receives a leave without a wait from a voter')
def leader_gets_old_leave(context):
    context.identities, context.delivered = {}, []
    for simulated in context.worlds:
        leader, voter = voting_world.voters_of(simulated)[:2]
        context.identities[simulated] = voter.machine.node
        simulated.on_deliver = lambda source, target, text: context.delivered.append(json.loads(text)['t'])
        # The frame of an older release; the process itself is isolated, so that it does not join again.
        simulated.isolate(voter.name)
        frame = voter.machine.frame(messages.Leave())
        assert 'waits' not in frame
        leader.feed('recv', frame)
        simulated.run(ms(100))


@behave.then('it removes that member, sends no response, and keeps it as a voter')
def member_is_dropped_without_answer(context):
    assert 'leave_re' not in context.delivered
    for simulated in context.worlds:
        leader, identity = simulated.leader(), context.identities[simulated]
        assert identity not in leader.machine.replica.get('members'), simulated.seed
        assert identity in voting_world.committed_voting_set(leader)['accepted'], simulated.seed


@behave.when('a voter is told to stop and every response to it is lost')
def leaving_voter_gets_no_responses(context):
    context.leaving_voters = {}
    for simulated in context.worlds:
        leaving_voter = context.leaving_voters[simulated] = voting_world.voters_of(simulated)[1]
        for other in simulated.nodes:
            if other != leaving_voter.name:
                simulated.cut(other, leaving_voter.name, both=False)
        leaving_voter.feed('stop')
        simulated.run(simulated.settings.grace / 2 + ms(10), lambda leaving_voter=leaving_voter: not leaving_voter.up)


@behave.then('it has exited within half of its grace period')
def leaving_voter_has_exited(context):
    for simulated in context.worlds:
        assert not context.leaving_voters[simulated].up, simulated.seed


@behave.when('the spare has left and a voter loses power')
def spare_leaves_and_voter_is_lost(context):
    for simulated in context.worlds:
        voting_world.stop_for_good(simulated.nodes['spare0'])
        simulated.run(ms(1000))
        voter = voting_world.voters_of(simulated)[1]
        voter.destroyed = True
        voter.kill(power=True)
        simulated.run(ms(3000))


def status_document(simulated: world.World) -> dict:
    """Return the leader's status page."""
    responses = []
    simulated.leader().call(effects.HttpRequest('GET', '/v1/status', {}, b''), responses.append)
    assert simulated.run(ms(2000), lambda: bool(responses)), simulated.seed
    return json.loads(responses[0].body)


@behave.then('zinctrailctl status prints "{text}"')
def status_command_prints(context, text: str):
    for simulated in context.worlds:
        document = status_document(simulated)
        command_session = session.Session(session.Options(addresses=['127.0.0.1:1']))
        output = io.StringIO()
        with (
            mock.patch.object(
                command_session, 'call', lambda *args, document=document: session.Response(200, document)
            ),
            contextlib.redirect_stdout(output),
        ):
            status_command.status(command_session, [])
        assert text in output.getvalue(), output.getvalue()
