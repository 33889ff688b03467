"""Faults of disks and power: lost, corrupted, full and slow disks, and power losses right after a write."""

import datetime

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.scenario as simulated_scenario

ms = durations.ms
fault = registry.CLIENT.register


@fault
def die_confirming(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A machine loses power right after a write, before any message that depends on the write is sent."""
    writes_left = scenario.rng.randrange(1, 30)

    def die(node: simulated_node.Node, effect: effects.Write | effects.WriteChunk | effects.CommitChunks) -> bool:
        """Count down the writes, and cut the machine's power at the last; return whether it was cut."""
        nonlocal writes_left
        writes_left -= 1
        if writes_left == 0:
            scenario.log(f'power lost at {node.name} after {effect.name}')
            scenario.restart(node, ms(3000))
            return True
        return False

    scenario.world.power_loss_after_write = die
    scenario.later(ms(4000), setattr, scenario.world, 'power_loss_after_write', None)
    return ms(7000)


@fault
def lose_disk(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A control node loses its disk and comes back empty under its old address."""
    node = scenario.pick('core')
    node.kill()
    node.disk.files = {}
    node.disk.synced = {}
    scenario.restart(node, ms(2000))
    return ms(3000)


@fault
def damage_disk(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """One character of a control node's files is corrupted while the node is down."""
    node = scenario.pick('core')
    node.kill()
    names = sorted(node.disk.files)
    if names:
        name = scenario.rng.choice(names)
        text = node.disk.files[name]
        position = scenario.rng.randrange(len(text))
        node.disk.files[name] = text[:position] + chr(ord(text[position]) ^ 1) + text[position + 1 :]
    scenario.restart(node, ms(2000))
    return ms(3000)


def _leader_or_any(scenario: simulated_scenario.Scenario) -> simulated_node.Node | None:
    """Return the leader, if there is one, or a random control node, each with a probability of one half."""
    return scenario.world.leader() if scenario.rng.random() < 0.5 else scenario.pick('core')


@fault
def disk_full(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """A control node's disk is full for five seconds."""
    node = _leader_or_any(scenario)
    if node:
        node.disk.full = True
        scenario.later(ms(5000), setattr, node.disk, 'full', False)
    return ms(7000)


@fault
def disk_stalls(scenario: simulated_scenario.Scenario) -> datetime.timedelta:
    """Each write at a control node blocks its process for 20 ms to 2.5 s, for five seconds."""
    node = _leader_or_any(scenario)
    if node:
        node.disk.stall = ms(scenario.rng.choice((20, 200, 2500)))
        scenario.later(ms(5000), setattr, node.disk, 'stall', ms(0))
    return ms(9000)
