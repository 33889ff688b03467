"""The faults of trials: functions of the trial, the affected control node, and the unaffected control nodes."""

import datetime

import zinctrail.runtime.durations as durations
import zinctrail.simulation.cut_off.trial as cut_off_trial
import zinctrail.simulation.node as simulated_node

ms = durations.ms

Trial = cut_off_trial.Trial
Fault = cut_off_trial.Fault
Node = simulated_node.Node

# Longer than any trial: callers of a frozen node wait until it resumes.
UNLIMITED_CALL_TIMEOUT = cut_off_trial.FAULT_DURATION * 2
FREEZES, FREEZE_EVERY_MS, FREEZE_DURATION = 8, 2500, ms(1000)
DISK_STALL = ms(800)
CLOCK_STEPS, CLOCK_STEP_EVERY_MS = 20, 1000
LONGEST_CLOCK_STEP_MS = 50


def cut_from_control_nodes(trial: Trial, node: Node, others: list[Node]) -> None:
    """Cut the node off from the unaffected control nodes; proxies and callers still reach it."""
    for other in others:
        trial.world.cut(node.name, other.name)


def cut_alone(trial: Trial, node: Node, others: list[Node]) -> None:
    """Cut the node off from all other processes; callers still reach it."""
    for other in trial.world.nodes.values():
        if other is not node:
            trial.world.cut(node.name, other.name)


def cut_with_zone(trial: Trial, node: Node, others: list[Node]) -> None:
    """Cut the node off together with the proxies and endpoints of its own zone."""
    world, endpoints = trial.world, trial.deployment.endpoints
    zone = node.location.cell
    side = {node.name}
    side |= {proxy.name for proxy in world.of('prox') if proxy.location.cell == zone}
    side |= {endpoint.name for endpoint in endpoints if endpoint.zone == zone}
    for name in side:
        for other in [*world.nodes, *(endpoint.name for endpoint in endpoints)]:
            if other not in side:
                world.cut(name, other)


def cut_with_follower(trial: Trial, node: Node, others: list[Node]) -> None:
    """Cut the leader off together with one of its followers, which still reaches it."""
    for inside in trial.world.of('core'):
        if inside not in others:
            cut_from_control_nodes(trial, inside, others)


def cut_outwards(trial: Trial, node: Node, others: list[Node]) -> None:
    """Drop all that the node sends to the other control nodes."""
    trial.is_cut_off = False
    for other in others:
        trial.world.cut(node.name, other.name, both=False)


def cut_inwards(trial: Trial, node: Node, others: list[Node]) -> None:
    """Drop all that the other control nodes send to the node."""
    trial.is_cut_off = False
    for other in others:
        trial.world.cut(other.name, node.name, both=False)


def freeze(trial: Trial, node: Node, others: list[Node]) -> None:
    """Pause the node for the whole fault; callers time out."""
    trial.node_responds = False
    node.pause(cut_off_trial.FAULT_DURATION)


def freeze_while_callers_wait(trial: Trial, node: Node, others: list[Node]) -> None:
    """Pause the node while callers wait: it responds to all queued calls when it resumes."""
    freeze_for(trial, node, cut_off_trial.FAULT_DURATION)


def freeze_and_cut(trial: Trial, node: Node, others: list[Node]) -> None:
    """Pause the node, which resumes while it is cut off, so that it cannot learn of its successor."""
    cut_alone(trial, node, others)
    freeze_for(trial, node, cut_off_trial.FAULT_DURATION / 2)


def freeze_for(trial: Trial, node: Node, length: datetime.timedelta) -> None:
    """Pause the node for `length`, and let callers wait."""
    trial.call_timeout = UNLIMITED_CALL_TIMEOUT
    trial.resumes_at = trial.world.now + length
    node.pause(length)


def freeze_often(trial: Trial, node: Node, others: list[Node]) -> None:
    """Pause the node for one second of every two and a half."""
    trial.node_responds = False
    for count in range(FREEZES):
        trial.world.after(ms(FREEZE_EVERY_MS * count), node.pause, FREEZE_DURATION)


def stall_disk(trial: Trial, node: Node, others: list[Node]) -> None:
    """Make each write of the node take 800 ms."""
    trial.node_responds = False
    node.disk.stall = DISK_STALL


def step_clock(trial: Trial, node: Node, others: list[Node]) -> None:
    """Step the wall clock: state machines never see it, so that their clock only pauses for up to 50 ms."""
    trial.node_responds = trial.is_cut_off = False
    for count in range(CLOCK_STEPS):
        length = ms(trial.world.rng.uniform(1, LONGEST_CLOCK_STEP_MS))
        trial.world.after(ms(CLOCK_STEP_EVERY_MS * count), node.pause, length)


# The names of faults in cut_off.feature.
FAULTS = {
    'master cut from cores': Fault(cut_from_control_nodes),
    'master cut alone': Fault(cut_alone),
    'master cut with a side': Fault(cut_with_zone),
    'master cut with a follower': Fault(cut_with_follower, with_second=True),
    'master cut outwards': Fault(cut_outwards),
    'master cut inwards': Fault(cut_inwards),
    'master frozen': Fault(freeze),
    'master frozen, callers wait': Fault(freeze_while_callers_wait),
    'master frozen and cut': Fault(freeze_and_cut),
    'master frozen often': Fault(freeze_often),
    'master with disk stalls': Fault(stall_disk),
    'master with clock steps': Fault(step_clock),
    'follower cut alone': Fault(cut_alone, at_follower=True),
    'follower cut outwards': Fault(cut_outwards, at_follower=True),
    'follower cut inwards': Fault(cut_inwards, at_follower=True),
    'follower frozen': Fault(freeze, at_follower=True),
}
