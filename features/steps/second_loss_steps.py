"""Steps of second_loss.feature: a voter is lost, and soon after a second one, in the simulator."""

import behave

import features.support.voting_world as voting_world
import zinctrail.consensus.node_location as node_location
import zinctrail.runtime.durations as durations
import zinctrail.simulation.world as world

ms = durations.ms
RESTART_DOWNTIME = ms(1000)
# The time until a wiped process that has restarted is admitted again.
CATCH_UP = ms(300)
# How long voters are without power before others lose their disks, and how long all of them are down then.
DARK_MS = 4500
BACK_MS = 1000
# The time until the voting set consists of live nodes again.
WHOLE_AGAIN_LIMIT = ms(15000)


@behave.given('five voters under seeds 1 to 3')
def five_voters(context):
    context.worlds = [voting_world.form(seed, 5) for seed in voting_world.SEEDS]


@behave.given('three voters and a spare under seeds 1 to 3')
def three_voters_and_a_spare(context):
    context.worlds = [voting_world.form(seed, 3, 1) for seed in voting_world.SEEDS]


@behave.given('three voters and no spare under seeds 1 to 3')
def three_voters(context):
    context.worlds = [voting_world.form(seed, 3) for seed in voting_world.SEEDS]


# -- a first event, then a loss ---------------------------------------------------


def form_for(seed: int, event: str) -> world.World:
    """Form three voters, and a spare if the event is that one of them stops."""
    return voting_world.form(seed, 3, 1 if 'stops' in event else 0)


def victim_of(simulated: world.World, event: str):
    """Return the voter that an event affects: the leader or a follower."""
    return voting_world.voters_of(simulated)[0 if 'leader' in event else 1]


def cause_event(simulated: world.World, event: str, victim) -> None:
    """Stop a voter for good, or wipe it."""
    if 'stops' in event:
        voting_world.stop_for_good(victim)
    else:
        voting_world.wipe(simulated, victim)


def voters_without(simulated: world.World, victim) -> list:
    """Return the voters of the newest accepted set that are up, except the victim; the leader first if there is one."""
    others = [node for node in simulated.of('core') if node.up and node is not victim]
    newest = max((node.machine for node in others), key=lambda machine: machine.replica.accepted)
    voters = [node for node in others if node.machine.node in newest.voting_set()['accepted']]
    return sorted(voters, key=lambda node: (node is not simulated.leader(), node.name))


def recovery_after_event_ms(seed: int, event: str, delay_ms: int, second: str) -> int | None:
    """Return the ms from the second loss until a leader commits something, or None if none does."""
    simulated = form_for(seed, event)
    first_victim = victim_of(simulated, event)
    cause_event(simulated, event, first_victim)
    simulated.run(ms(delay_ms))
    voters = voters_without(simulated, first_victim)
    return voting_world.recovery_time_ms(simulated, [voters[0 if second == 'the leader' else -1]])


@behave.when('{event}, and {second} loses power {delay:d} ms later, under seeds 1 to 3')
def event_and_second_loss(context, event: str, second: str, delay: int):
    context.recoveries_ms = [recovery_after_event_ms(seed, event, delay, second) for seed in voting_world.SEEDS]


@behave.then('a leader has committed a version within 5 s of the second loss, under each seed')
def each_recovers(context):
    limit_ms = voting_world.RECOVERY_LIMIT_MS
    assert all(took is not None and took <= limit_ms for took in context.recoveries_ms), context.recoveries_ms


def time_to_tolerate_a_loss_ms(seed: int, event: str) -> int:
    """Return the ms from the leave's acknowledgement, or the wiped voter's restart, until one more loss is tolerated."""
    simulated = form_for(seed, event)
    victim = victim_of(simulated, event)
    identity = victim.machine.node
    cause_event(simulated, event, victim)
    if 'stops' in event:
        assert simulated.run(ms(8000), lambda: victim.machine.graceful_shutdown.released), seed
    else:
        simulated.run(voting_world.WIPE_DOWNTIME)
    start = simulated.now
    assert simulated.run(ms(20000), lambda: voting_world.tolerates_a_loss(simulated, identity)), seed
    return durations.to_ms(simulated.now - start)


@behave.when('{event}, under seeds 1 to {last:d}, until one more loss is tolerated')
def event_until_a_loss_is_tolerated(context, event: str, last: int):
    context.times_ms = sorted(time_to_tolerate_a_loss_ms(seed, event) for seed in range(1, last + 1))


@behave.then('that took 300 ms at most, under each seed')
def took_at_most(context):
    assert context.times_ms[-1] <= 300, context.times_ms


# -- disks that are lost while others are dark ------------------------------------------


@behave.given('{cores:d} control nodes that must tolerate the loss of {losses:d} disks, under seeds 1 to 3')
def control_nodes_that_tolerate(context, cores: int, losses: int):
    context.worlds = [voting_world.form(seed, cores, losses=losses) for seed in voting_world.SEEDS]


def lose_disks_while_dark(simulated: world.World, dark: int, lost: int, gap_ms: int) -> voting_world.Committed:
    """Cut the power of some voters, wipe others, and start all again; return what was committed before the wipes."""
    dark_nodes = voting_world.voters_of(simulated)[-dark:]
    for node in dark_nodes:
        node.kill(power=True)
    simulated.run(ms(DARK_MS))
    committed = voting_world.Committed.of(simulated)
    # The nodes that vote now, whoever did before; the leader is among them.
    for node in voting_world.voters_of(simulated)[:lost]:
        voting_world.wipe(simulated, node)
        simulated.run(ms(gap_ms))
    simulated.run(ms(BACK_MS))
    for node in dark_nodes:
        node.start()
    return committed


@behave.when(
    '{dark:d} voters have lost power for 4500 ms, {lost:d} others lose their disks {gap:d} ms apart, and all are back'
)
def disks_are_lost(context, dark: int, lost: int, gap: int):
    context.committed = [lose_disks_while_dark(simulated, dark, lost, gap) for simulated in context.worlds]


@behave.then('one leads with all that was committed, under a voting set of {size:d} that is whole again')
def leads_with_all_committed(context, size: int):
    for simulated, committed in zip(context.worlds, context.committed, strict=True):
        is_whole = simulated.run(WHOLE_AGAIN_LIMIT, lambda s=simulated: voting_world.is_whole(s, size))
        assert is_whole, (simulated.seed, voting_world.voting_set(simulated))
        assert committed.is_held_by(simulated.leader()), (simulated.seed, committed)


def commits_after_loss(simulated: world.World, victims: list) -> bool:
    """Cut the power of nodes; return whether a leader commits something within the limit."""
    before = voting_world.newest_commit(simulated)
    for node in victims:
        node.kill(power=True)

    def has_committed() -> bool:
        leader = simulated.leader()
        return leader is not None and tuple(leader.machine.replica.committed) > before

    return simulated.run(ms(voting_world.RECOVERY_LIMIT_MS), has_committed)


@behave.when('{first:d} voters lose power at once, and 5 s later one more')
def losses_one_after_another(context, first: int):
    context.outcomes, context.committed = [], []
    for simulated in context.worlds:
        outcomes = [commits_after_loss(simulated, voting_world.voters_of(simulated)[:first])]
        simulated.run(ms(5000))
        context.committed.append(voting_world.Committed.of(simulated))
        outcomes.append(commits_after_loss(simulated, voting_world.voters_of(simulated)[:1]))
        context.outcomes.append(['serves on' if is_served else 'rests' for is_served in outcomes])


@behave.then('the cluster {outcome} after the first loss, and {then} after the second')
def cluster_serves_or_rests(context, outcome: str, then: str):
    assert all(outcomes == [outcome, then] for outcomes in context.outcomes), context.outcomes


@behave.then('once all are back, one leads with all that was committed')
def leads_once_all_are_back(context):
    for simulated, committed in zip(context.worlds, context.committed, strict=True):
        for node in simulated.of('core'):
            if not node.up:
                node.start()
        has_leader = simulated.run(WHOLE_AGAIN_LIMIT, lambda s=simulated: s.leader() is not None)
        assert has_leader and committed.is_held_by(simulated.leader()), (simulated.seed, committed)


# -- restarts in turn ----------------------------------------------------------------


class VotingSetSteps:
    """Counts committed steps of the voting set: each change has two, the joint set and the new set."""

    def __init__(self, simulated: world.World):
        self.world, self.count, self.last = simulated, 0, voting_world.voting_set(simulated)

    def count_step(self) -> bool:
        """Count a step that was committed since the last call; always False, as a condition that never ends a run."""
        newest = max(
            (node for node in self.world.of('core') if node.up), key=lambda node: node.machine.replica.committed
        )
        current = voting_world.committed_voting_set(newest)
        if newest.machine.replica.committed > (0, 0) and current != self.last:
            self.count, self.last = self.count + 1, current
        return False


def rolling_restart(seed: int, voters: int, spares: int) -> tuple[int, int]:
    """Restart each control node with its disk; return (steps of the voting set, restarts)."""
    simulated = voting_world.form(seed, voters, spares)
    steps = VotingSetSteps(simulated)
    nodes = list(simulated.of('core'))
    for node in nodes:
        node.feed('stop')
        assert simulated.run(ms(10000), lambda node=node: steps.count_step() or not node.up), node.name
        simulated.run(RESTART_DOWNTIME, steps.count_step)
        node.start()
        simulated.run(ms(6000), steps.count_step)
    return steps.count, len(nodes)


@behave.when('{cores:d} control nodes, {voters:d} of them voters, are restarted in turn under seeds 1 to 3')
def control_nodes_are_restarted(context, cores: int, voters: int):
    context.restarts = [rolling_restart(seed, voters, cores - voters) for seed in voting_world.SEEDS]


@behave.then('the voting set took at most {most:d} steps for each restart')
def steps_for_each_restart(context, most: int):
    assert all(steps <= most * restarts for steps, restarts in context.restarts), context.restarts


# -- losses of a running cluster -------------------------------------------------------


@behave.when('two followers are wiped at once and return empty after 800 ms')
def two_are_wiped(context):
    context.wiped = {}
    for simulated in context.worlds:
        context.wiped[simulated] = voting_world.voters_of(simulated)[1:3]
        for node in context.wiped[simulated]:
            voting_world.wipe(simulated, node)
        simulated.run(voting_world.WIPE_DOWNTIME + CATCH_UP)


@behave.then('the cluster survives the power loss of two more that were never wiped, 3 s apart')
def two_more_may_be_lost(context):
    for simulated in context.worlds:
        for _ in range(2):
            voters = voting_world.voters_of(simulated)
            victim = next(node for node in voters if node not in context.wiped[simulated])
            voting_world.assert_recovers(simulated, victim)
            simulated.run(voting_world.BETWEEN_LOSSES)


def change_seeds(simulated: world.World, seeds: list[str]) -> None:
    """Give each process new settings with other seeds."""
    for node in simulated.nodes.values():
        old = node.location
        location = node_location.NodeLocation(old.addr, old.http, old.cell, seeds, old.front, old.directory)
        node.feed('settings', location, simulated.settings)


@behave.when('the seeds of all are replaced while a voter stops for good and a new control node starts')
def voter_is_replaced_and_seeds_change(context):
    for simulated in context.worlds:
        leaving_voter = voting_world.voters_of(simulated)[1]
        seeds = [node.location.addr for node in simulated.of('core') if node is not leaving_voter]
        change_seeds(simulated, seeds)
        voting_world.stop_for_good(leaving_voter)
        simulated.add('late', 'core', leaving_voter.location.cell, seeds).start()
        simulated.run(ms(1500))


@behave.then('the cluster survives the power loss of a second voter and, 3 s later, of a third')
def two_leaders_may_be_lost(context):
    for simulated in context.worlds:
        for _ in range(2):
            voting_world.assert_recovers(simulated, voting_world.voters_of(simulated)[0])
            simulated.run(voting_world.BETWEEN_LOSSES)


@behave.when('a voter stops for good and the spare loses power {delay:d} ms later')
def spare_is_lost_as_it_joins(context, delay: int):
    for simulated in context.worlds:
        voting_world.stop_for_good(voting_world.voters_of(simulated)[1])
        simulated.run(ms(delay))
        voting_world.lose_power_for_good(simulated.nodes['spare0'])


@behave.then('a leader remains, three vote, and a new control node becomes a voter')
def new_node_becomes_voter(context):
    for simulated in context.worlds:
        simulated.run(ms(3000))
        current = voting_world.voting_set(simulated)
        assert simulated.leader() and len(current['accepted']) == 3, (simulated.seed, current)
        late = simulated.add('late', 'core', 'r0/c0', simulated.nodes['dir0'].location.seeds)
        late.start()
        has_recovered = simulated.run(
            ms(6000), lambda simulated=simulated: voting_world.tolerates_a_loss(simulated, without='')
        )
        assert has_recovered, (simulated.seed, voting_world.voting_set(simulated))
        assert late.machine.node in voting_world.voting_set(simulated)['accepted']
