"""Steps of second_loss.feature: power is lost during a change of the voting set, and wiped nodes have no vote."""

import json

import behave

import features.support.random_core_faults as random_core_faults
import features.support.voting_world as voting_world
import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations
import zinctrail.simulation.world as world

ms = durations.ms
# The accepted version that a node with an empty disk reports.
NOTHING_ACCEPTED = (0, 0)


def change_has_reached(simulated: world.World, moment: str) -> bool:
    """True if a change of the voting set has reached a moment."""
    nodes = [node for node in simulated.of('core') if node.up]
    # For each node: (True if its committed voting set is joint, True if its accepted one is).
    joint = [
        (
            voting_world.is_joint(voting_world.committed_voting_set(node)),
            voting_world.is_joint(node.machine.voting_set()),
        )
        for node in nodes
    ]
    if moment == 'is accepted by one':
        return any(accepted for _, accepted in joint)
    if moment == 'is accepted by all':
        return sum(accepted for _, accepted in joint) >= 3
    if moment == 'is committed at one':
        return any(committed for committed, _ in joint)
    return any(committed and not accepted for committed, accepted in joint)


@behave.when('a voter leaves and all lose power as the joint change {moment}')
def power_is_lost_within_change(context, moment: str):
    context.committed_before, context.leaving_voters = {}, {}
    for simulated in context.worlds:
        leaving_voter = context.leaving_voters[simulated] = voting_world.voters_of(simulated)[1]
        leaving_voter.feed('stop')
        has_reached = simulated.run(ms(2000), lambda simulated=simulated: change_has_reached(simulated, moment))
        assert has_reached, simulated.seed
        context.committed_before[simulated] = voting_world.newest_commit(simulated)
        for node in simulated.of('core'):
            node.kill(power=True)


@behave.when('all but the leaving voter are back')
def all_but_leaving_voter_return(context):
    for simulated in context.worlds:
        simulated.run(ms(500))
        for node in simulated.of('core'):
            if node is not context.leaving_voters[simulated]:
                node.start()
        simulated.run(ms(8000))


@behave.then('one leads with all that was committed, under a settled voting set of three')
def one_leads_with_all(context):
    for simulated in context.worlds:
        leader = simulated.leader()
        assert leader, (simulated.seed, [node.name for node in simulated.leaders()])
        assert len(simulated.leaders()) == 1, (simulated.seed, [node.name for node in simulated.leaders()])
        assert leader.machine.replica.committed > context.committed_before[simulated], simulated.seed
        current = voting_world.committed_voting_set(leader)
        assert not voting_world.is_joint(current) and len(current['accepted']) == 3, (simulated.seed, current)


# -- wiped nodes --------------------------------------------------------------------


class VoteWatch:
    """Records votes that a wiped process must not cast, from frames as they are delivered."""

    def __init__(self, simulated: world.World, node):
        self.node, self.former_identity = node, node.machine.node
        self.invalid_votes: list[tuple[str, str]] = []
        simulated.on_deliver = self.check_frame

    def check_frame(self, source, target, text: str) -> None:
        """Check a frame that is delivered."""
        if source is not self.node or not source.up:
            return
        frame = json.loads(text)
        if frame['f'] == self.former_identity and source.incarnation > 1:
            self.invalid_votes.append(('under its old identity', frame['t']))
        if frame['t'] in ('vote', 'prevote_re') and tuple(frame['accepted']) == NOTHING_ACCEPTED:
            self.invalid_votes.append(('with nothing', frame['t']))


@behave.when('one is wiped, and the leader loses power {delay:d} ms after it is back')
def leader_is_lost_after_wipe(context, delay: int):
    context.watches, context.wiped_at, context.voting_sets = {}, {}, {}
    for simulated in context.worlds:
        wiped = voting_world.voters_of(simulated)[1]
        context.watches[simulated] = VoteWatch(simulated, wiped)
        context.wiped_at[simulated] = simulated.now
        voting_world.wipe(simulated, wiped)
        simulated.run(voting_world.WIPE_DOWNTIME + ms(delay))
        voting_world.assert_recovers(simulated, voting_world.voters_of(simulated)[0])
        context.voting_sets[simulated] = voting_world.committed_voting_set(simulated.leader())


@behave.then(
    'it votes neither under its old identity nor with an empty disk, and no leader counts a vote from outside its voting set'
)
def wiped_node_has_no_vote(context):
    for simulated in context.worlds:
        watch = context.watches[simulated]
        assert not watch.invalid_votes, (simulated.seed, watch.invalid_votes)
        records = [record for node in simulated.of('core') for record in node.log_records]
        for time, _, fields in records:
            if fields and fields['event'] == 'lead' and time >= context.wiped_at[simulated]:
                assert watch.former_identity not in fields['votes'], (simulated.seed, fields)
                # Only votes from the voting sets that the new leader itself had accepted may count.
                has_quorum = replica.joint_quorum(fields['votes'], context.voting_sets[simulated])
                assert has_quorum, (simulated.seed, fields)


# -- random faults --------------------------------------------------------------------


@behave.when('control nodes leave, are wiped, lose power and freeze at random for 60 s, under seeds 1 to {last:d}')
def random_faults(context, last: int):
    context.violations = {seed: random_core_faults.RandomCoreFaults(seed).run() for seed in range(1, last + 1)}


@behave.when('the same happens under seeds 1 to {last:d}, and two disks may be lost, also while others are down')
def random_faults_with_two_losses(context, last: int):
    context.violations = {
        seed: random_core_faults.RandomCoreFaults(seed, losses=2).run() for seed in range(1, last + 1)
    }


@behave.then('nothing committed was lost or duplicated, no voting set was below three, and each is complete again')
def no_rule_is_violated(context):
    assert not any(context.violations.values()), context.violations
