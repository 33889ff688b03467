"""Faults of processes: kills, restarts, pauses, and control nodes that are replaced."""

import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.day as simulated_day
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node

ms = durations.ms
fault = registry.CLIENT.register


@fault
def kill_master(day: simulated_day.Day) -> datetime.timedelta:
    """The leader is killed."""
    leader = day.world.leader()
    if leader:
        leader.kill()
        day.restart(leader, ms(5000))
    else:
        day.miss('kill_master')
    return ms(5000)


def strike_leader(day: simulated_day.Day, strike: typing.Callable[[simulated_node.Node], typing.Any]) -> None:
    """Do something to whoever leads a moment after the other faults began."""

    def hit() -> None:
        """Strike the leader, or note a miss if there is none."""
        leader = day.world.leader()
        if leader:
            strike(leader)
        else:
            day.miss('at_master')

    day.later(ms(day.rng.uniform(20, 1500)), hit)


@fault
def kill_master_amid(day: simulated_day.Day) -> datetime.timedelta:
    """The leader is killed while other faults are under way."""
    strike_leader(day, lambda leader: day.kill_for(leader, ms(5000)))
    return ms(7000)


@fault
def freeze_master_amid(day: simulated_day.Day) -> datetime.timedelta:
    """The leader stands still while other faults are under way."""
    strike_leader(day, lambda leader: leader.pause(ms(day.rng.uniform(500, 5000))))
    return ms(7000)


@fault
def one_way_amid(day: simulated_day.Day) -> datetime.timedelta:
    """The leader is heard and hears nobody, or the other way round."""
    is_outward = day.rng.random() < 0.5

    def cut(leader: simulated_node.Node) -> None:
        """Cut all links of the leader in one direction."""
        for other in day.world.nodes:
            if other != leader.name:
                link = (leader.name, other) if is_outward else (other, leader.name)
                day.world.cut(*link, both=False)
        day.later(ms(5000), day.world.heal)

    strike_leader(day, cut)
    return ms(7000)


@fault
def masters_in_turn(day: simulated_day.Day) -> datetime.timedelta:
    """Whoever leads is killed, four times over."""
    day.repeat(4, ms(1800), strike_leader, day, lambda leader: day.kill_for(leader, ms(2500)))
    return ms(11000)


@fault
def kill_one_each(day: simulated_day.Day) -> datetime.timedelta:
    """One process of each role is killed."""
    for role in ('core', 'dir', 'prox'):
        node = day.pick(role)
        node.kill()
        day.restart(node, ms(day.rng.uniform(500, 6000)))
    return ms(6000)


@fault
def kill_many(day: simulated_day.Day) -> datetime.timedelta:
    """Half of all processes are killed, some of them by a power loss."""
    nodes = list(day.world.nodes.values())
    for node in day.rng.sample(nodes, len(nodes) // 2):
        node.kill(power=day.rng.random() < 0.5)
        day.restart(node, ms(day.rng.uniform(500, 5000)))
    return ms(5000)


@fault
def kill_all(day: simulated_day.Day) -> datetime.timedelta:
    """All machines lose power."""
    for node in day.world.nodes.values():
        node.kill(power=True)
        day.restart(node, ms(day.rng.uniform(1000, 3000)))
    return ms(3000)


@fault
def rolling_restart(day: simulated_day.Day) -> datetime.timedelta:
    """All processes are stopped and started, one after another."""
    gap = ms(1500)
    for number, node in enumerate(day.world.nodes.values()):
        day.later(gap * number, lambda node=node: node.feed('stop'))
        day.later(gap * number + ms(1200), lambda node=node: node.kill())
        day.restart(node, gap * number + ms(1300))
    return gap * len(day.world.nodes) + ms(2000)


@fault
def graceful_proxy(day: simulated_day.Day) -> datetime.timedelta:
    """A proxy shuts down gracefully."""
    node = day.pick('prox')
    node.feed('stop')
    day.restart(node, ms(14000))
    return ms(14000)


@fault
def graceful_keeper(day: simulated_day.Day) -> datetime.timedelta:
    """A directory, which owns credit ledgers, shuts down gracefully."""
    node = day.pick('dir')
    node.feed('stop')
    day.restart(node, ms(5000))
    return ms(5000)


@fault
def freeze_proxy(day: simulated_day.Day) -> datetime.timedelta:
    """A proxy stands still."""
    day.pick('prox').pause(ms(day.rng.uniform(1000, 9000)))
    return ms(9000)


@fault
def freeze_dirs(day: simulated_day.Day) -> datetime.timedelta:
    """Every directory stands still for a while, one after another; it serves what was asked when it resumes."""
    directories = day.world.of('dir')
    for number, node in enumerate(directories):
        day.later(ms(2600) * number, lambda node=node: node.up and node.pause(ms(day.rng.uniform(2100, 2500))))
    return ms(2600) * len(directories)


@fault
def freeze_master(day: simulated_day.Day) -> datetime.timedelta:
    """The leader stands still."""
    leader = day.world.leader()
    if leader:
        leader.pause(ms(day.rng.uniform(500, 6000)))
    return ms(6000)


@fault
def replace_core(day: simulated_day.Day) -> datetime.timedelta:
    """A control node is lost for good; an empty one comes at a new address."""
    world = day.world
    old = day.pick('core')
    old.kill()
    name = f'core{10 + world.sequence}'
    new = world.add(name, 'core', old.location.cell, old.location.seeds, first_start=False)
    day.later(ms(2000), new.start)
    # Removed from the world, so that no other fault starts it again.
    day.later(ms(2000), lambda: world.nodes.pop(old.name))
    return ms(4000)
