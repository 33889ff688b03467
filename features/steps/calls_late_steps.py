"""Steps of calls_control.feature: three control nodes, which get copies of requests late and lose responses."""

import random

import behave

import features.support.late_calls as late_calls
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

ms = durations.ms


@behave.given(
    'three control nodes, with requests copied to all of them up to 9 s late and responses lost, under seed {seed:d}'
)
def core_with_late_copies(context, seed: int):
    world = context.world = late_calls.LateCopiesWorld(seed, settings.Settings())
    for index in range(3):
        world.add(f'k{index}', 'core', f'r0/c{index}')
    for node in world.of('core'):
        node.location.seeds = [other.location.addr for other in world.of('core')]
        node.start()
    assert world.run(ms(20000), lambda: world.leader() is not None)


def fail_leaders(world, rng: random.Random) -> None:
    """Crash, freeze or cut off the leader for a while, and then each later leader."""
    leader = world.leader()
    all_run = all(node.up and node.paused is None for node in world.of('core'))
    if leader is not None and all_run and not world.cuts:
        fault = rng.choice(('kill', 'freeze', 'cut'))
        length = ms(rng.uniform(1500, 3500))
        if fault == 'kill':
            leader.kill(power=True)
            world.after(length, leader.start)
        elif fault == 'freeze':
            leader.pause(length)
        else:
            world.isolate(leader.name)
            world.after(length, world.heal)
    world.after(ms(rng.uniform(3000, 8000)), fail_leaders, world, rng)


@behave.when(
    'callers request evacuations, locks, numbers, values and heartbeats for {seconds:d} s while leaders crash, freeze and are cut off'
)
def callers_send_commands_under_faults(context, seconds: int):
    world = context.world
    context.callers = [late_calls.Caller(world, commands) for commands in late_calls.ALL_COMMANDS]
    fail_leaders(world, random.Random(f'{world.seed}/trouble'))
    world.run(ms(1000 * seconds))


@behave.then("each acknowledged effect stays in the state until the caller's next command")
def acknowledged_effects_remain(context):
    violations = [violation for caller in context.callers for violation in caller.violations]
    assert not violations, violations
    assert all(caller.acknowledged_count >= 5 for caller in context.callers), [
        caller.acknowledged_count for caller in context.callers
    ]
