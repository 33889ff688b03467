"""What it costs that processes are lost, restarted or partitioned, and how long it takes until all is settled."""

import collections.abc
import functools
import random
import typing

import zinctrail.consensus.discovery as discovery
import zinctrail.consensus.member as consensus_member
import zinctrail.runtime.durations as durations
import zinctrail.simulation.scale.hollow as hollow
import zinctrail.simulation.scale.process as scale_process
import zinctrail.simulation.scale.rates as rates
import zinctrail.simulation.scale.rig as scale_rig

ms = durations.ms

# A length of time in which an event is expected to be over, and the longest that is waited for it.
EVENT_LENGTH = ms(4000)
SETTLED_LIMIT = ms(60000)
# Nothing is settled sooner, and it is looked no more often than this.
FIRST_LOOK = ms(20)
LOOK_EVERY = ms(10)

RESTART_TAKES = ms(500)
SUCCESSOR_LIMIT = ms(20000)

# A partition: the time in which members notice it, and the time that is measured after that.
PARTITION_NOTICED = ms(3000)
PARTITION_MEASURED_S = 4
PARTITION_MEASURED = ms(1000 * PARTITION_MEASURED_S)


class RoleCost(typing.TypedDict):
    """What an event cost one process of a role."""

    messages: float
    bytes: float
    cpu_ms: float


class EventCost(typing.TypedDict):
    """What an event cost beyond what the roles spend anyway."""

    # Until all was settled.
    ms: int
    master: RoleCost
    prox: RoleCost


class SettledCheck:
    """Whether all is settled, looked at no more often than LOOK_EVERY, because it takes a pass over all processes."""

    def __init__(self, rig: scale_rig.Rig, lost: list[str]):
        self.rig, self.lost = rig, lost
        self.looked_at = rig.now

    def __call__(self) -> bool:
        """Look, unless it was looked a moment ago."""
        if self.rig.now - self.looked_at < LOOK_EVERY:
            return False
        self.looked_at = self.rig.now
        return is_settled(self.rig, self.lost)


def is_settled(rig: scale_rig.Rig, lost: list[str]) -> bool:
    """Whether every member is up with a lease, on routes that no lost node is in.

    :param lost: the ids of the nodes that are gone.
    """
    leader = rig.leader()
    if leader is None or leader.machine.replica.accepted != leader.machine.replica.committed:
        return False
    rows = leader.machine.replica.get('members')
    if any(node in rows for node in lost):
        return False
    return all(follows(process, leader) for process in rig.members())


def follows(process: scale_process.Process, leader: scale_process.Process) -> bool:
    """Whether a member has a lease from the leader, and the newest routes in force."""
    machine = process.machine
    if not process.is_up or machine.node not in leader.machine.replica.get('members'):
        return False
    if machine.replica.committed[1] < machine.replica.accepted[1] or not machine.has_lease():
        return False
    routes = consensus_member.as_version(leader.machine.replica.get('meta', 'routes'))
    return leader.machine.peers[machine.node].committed[1] >= routes[1]


def measure_event(rig: scale_rig.Rig, quiet: rates.Rates, event: collections.abc.Callable[[], list[str]]) -> EventCost:
    """Bring an event about and run until all is settled.

    :param quiet: what the roles spend anyway, which is subtracted.
    :param event: returns the ids of the nodes that are gone for good.
    :raises AssertionError: if nothing is settled in time.
    """
    rates.avoid_epoch(rig, EVENT_LENGTH)
    before, began = rates.snapshot(rig), rig.now
    lost = event()
    rig.run(FIRST_LOOK)
    if not rig.run(SETTLED_LIMIT, SettledCheck(rig, lost)):
        raise AssertionError('not settled')
    took_ms = durations.to_ms(rig.now - began)
    # Until whole rounds of heartbeats are over, because the quiet rate that is subtracted comes in rounds, for many
    # members in every second.
    rounds = rig.settings.check * 2
    rig.run(rounds * (1 + (rig.now - began) // rounds) - (rig.now - began))
    seconds = (rig.now - began).total_seconds()
    found = rates.rates_since(rig, before, seconds)
    return {
        'ms': took_ms,
        'master': extra_cost(found['master'], quiet['master'], seconds),
        'prox': extra_cost(found['prox'], quiet['prox'], seconds),
    }


def extra_cost(found: rates.RoleRates, quiet: rates.RoleRates, seconds: float) -> RoleCost:
    """What one process of a role spent beyond what it spends anyway."""
    return {
        'messages': (found['messages'] - quiet['messages']) * seconds,
        'bytes': (found['bytes'] - quiet['bytes']) * seconds,
        'cpu_ms': (found['cpu_ms'] - quiet['cpu_ms']) * seconds,
    }


def kill_proxies(rig: scale_rig.Rig, count: int) -> list[str]:
    """End proxies of as few zones as may be at once; returns their ids. Their kernels close their connections."""
    hollow_proxies = [process for process in rig.with_role('prox') if process.is_up and not process.is_complete]
    killed = sorted(hollow_proxies, key=lambda process: (process.zone, process.address))[:count]
    for process in killed:
        rig.remove(process)
        rig.close_connections(process, rig.with_role('core'))
    return [process.machine.node for process in killed]


def restart_proxies(rig: scale_rig.Rig, count: int) -> list[str]:
    """End proxies that come back, as somebody new each; returns the ids that are gone."""
    locations = {process.machine.node: process.machine.location for process in rig.with_role('prox')}
    killed = kill_proxies(rig, count)
    for node in killed:
        rng = random.Random(f'{rig.seed}/{node}/2')
        restarted = rig.add('prox', hollow.HollowProxy(locations[node], rig.settings, rng), False)
        rig.at(rig.now + RESTART_TAKES, rig.start_process, restarted)
    return killed


def kill_leader(rig: scale_rig.Rig) -> list[str]:
    """End the leader and run until another leads; returns the id of the one that is gone."""
    leader = rig.require_leader()
    rig.remove(leader)
    rig.close_connections(leader, rig.processes)
    rig.run(SUCCESSOR_LIMIT, lambda: rig.leader() is not None)
    return [leader.machine.node]


def measure_partition(rig: scale_rig.Rig, quiet: rates.Rates, count: int) -> dict:
    """Partition proxies from everybody but each other for a while, then heal.

    :returns: 'apart', what each sends a second meanwhile, and 'back', the cost of their return.
    """
    partitioned = [process for process in rig.with_role('prox') if not process.is_complete][-count:]
    for process in partitioned:
        learn_all_members(rig, process)
    rig.partitioned = {process.address for process in partitioned}
    rig.run(PARTITION_NOTICED)
    messages, sent_bytes = sent_by(partitioned)
    rig.run(PARTITION_MEASURED)
    messages_after, bytes_after = sent_by(partitioned)
    apart = {
        'messages': (messages_after - messages) / PARTITION_MEASURED_S / count,
        'bytes': (bytes_after - sent_bytes) / PARTITION_MEASURED_S / count,
    }
    return {'apart': apart, 'back': measure_event(rig, quiet, functools.partial(heal, rig))}


def heal(rig: scale_rig.Rig) -> list[str]:
    """End a partition; no node is gone for good."""
    rig.partitioned = set()
    return []


def learn_all_members(rig: scale_rig.Rig, process: scale_process.Process) -> None:
    """Let a hollow proxy know all members: partitioned, it looks for everybody that a complete one knows."""
    process.machine.known_nodes = {
        address: discovery.KnownNode('', 'core' if number < rig.size.cores else 'prox', None, rig.now)
        for number, address in enumerate(rig.addresses)
        if address != process.address
    }


def sent_by(processes: list[scale_process.Process]) -> tuple[int, int]:
    """(messages, bytes) that processes have sent."""
    return (
        sum(process.counts['out'] for process in processes),
        sum(process.counts['out_bytes'] for process in processes),
    )
