"""Measures the cost of lost, restarted or partitioned processes and the time until the cluster has settled."""

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

# The expected duration of an event, kept free of epoch changes, and the timeout of the wait for it to settle.
EVENT_LENGTH = ms(4000)
SETTLED_LIMIT = ms(60000)
# The cluster never settles sooner than this, so the first poll is after it; later polls are POLL_INTERVAL apart at least.
FIRST_POLL_AFTER = ms(20)
POLL_INTERVAL = ms(10)

RESTART_TAKES = ms(500)
SUCCESSOR_LIMIT = ms(20000)

# The time that members get to detect a partition, and the time measured after that.
PARTITION_NOTICED = ms(3000)
PARTITION_MEASURED_S = 4
PARTITION_MEASURED = ms(1000 * PARTITION_MEASURED_S)


class RoleCost(typing.TypedDict):
    """The cost of an event for one process of a role."""

    messages: float
    bytes: float
    cpu_ms: float


class EventCost(typing.TypedDict):
    """The cost of an event beyond the quiet rates of the roles."""

    # The time until the cluster had settled.
    ms: int
    master: RoleCost
    prox: RoleCost


class SettledCheck:
    """Polls `is_settled` at most once per POLL_INTERVAL, because each poll iterates over all processes."""

    def __init__(self, rig: scale_rig.Rig, lost: list[str]):
        self.rig, self.lost = rig, lost
        self.polled_at = rig.now

    def __call__(self) -> bool:
        """True if the cluster has settled; False without a poll if the last one was less than POLL_INTERVAL ago."""
        if self.rig.now - self.polled_at < POLL_INTERVAL:
            return False
        self.polled_at = self.rig.now
        return is_settled(self.rig, self.lost)


def is_settled(rig: scale_rig.Rig, lost: list[str]) -> bool:
    """True if every member is up with a lease and has the newest routes, and no lost node is a member.

    :param lost: the ids of the lost nodes.
    """
    leader = rig.leader()
    if leader is None or leader.machine.replica.accepted != leader.machine.replica.committed:
        return False
    rows = leader.machine.replica.get('members')
    if any(node in rows for node in lost):
        return False
    return all(is_current(process, leader) for process in rig.members())


def is_current(process: scale_process.Process, leader: scale_process.Process) -> bool:
    """True if a member has a lease from the leader and the newest routes in force."""
    machine = process.machine
    if not process.is_up or machine.node not in leader.machine.replica.get('members'):
        return False
    if machine.replica.committed[1] < machine.replica.accepted[1] or not machine.has_lease():
        return False
    routes = consensus_member.as_version(leader.machine.replica.get('meta', 'routes'))
    return leader.machine.peers[machine.node].committed[1] >= routes[1]


def measure_event(rig: scale_rig.Rig, quiet: rates.Rates, event: collections.abc.Callable[[], list[str]]) -> EventCost:
    """Trigger an event, run until the cluster has settled, and return the cost.

    :param quiet: the rates without the event, which are subtracted.
    :param event: triggers the event and returns the ids of the nodes that are lost for good.
    :raises AssertionError: if the cluster does not settle within SETTLED_LIMIT.
    """
    rates.avoid_epoch(rig, EVENT_LENGTH)
    before, began = rates.snapshot(rig), rig.now
    lost = event()
    rig.run(FIRST_POLL_AFTER)
    if not rig.run(SETTLED_LIMIT, SettledCheck(rig, lost)):
        raise AssertionError(f'cluster not settled within {SETTLED_LIMIT} of virtual time')
    took_ms = durations.to_ms(rig.now - began)
    # Run to a multiple of two heartbeat rounds, because the quiet rate that is subtracted comes in rounds, and many
    # members take part only in every second one.
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
    """Return the cost for one process of a role beyond its quiet rates."""
    return {
        'messages': (found['messages'] - quiet['messages']) * seconds,
        'bytes': (found['bytes'] - quiet['bytes']) * seconds,
        'cpu_ms': (found['cpu_ms'] - quiet['cpu_ms']) * seconds,
    }


def kill_proxies(rig: scale_rig.Rig, count: int) -> list[str]:
    """Kill hollow proxies of as few zones as possible at once and return their ids.

    Their kernels close their connections.
    """
    hollow_proxies = [process for process in rig.with_role('prox') if process.is_up and not process.is_complete]
    killed = sorted(hollow_proxies, key=lambda process: (process.zone, process.address))[:count]
    for process in killed:
        rig.remove(process)
        rig.close_connections(process, rig.with_role('core'))
    return [process.machine.node for process in killed]


def restart_proxies(rig: scale_rig.Rig, count: int) -> list[str]:
    """Kill proxies and restart each under a new id; returns the ids of the killed ones."""
    locations = {process.machine.node: process.machine.location for process in rig.with_role('prox')}
    killed = kill_proxies(rig, count)
    for node in killed:
        rng = random.Random(f'{rig.seed}/{node}/2')
        restarted = rig.add('prox', hollow.HollowProxy(locations[node], rig.settings, rng), False)
        rig.at(rig.now + RESTART_TAKES, rig.start_process, restarted)
    return killed


def kill_leader(rig: scale_rig.Rig) -> list[str]:
    """Kill the leader and run until another is elected; returns the id of the killed one."""
    leader = rig.require_leader()
    rig.remove(leader)
    rig.close_connections(leader, rig.processes)
    rig.run(SUCCESSOR_LIMIT, lambda: rig.leader() is not None)
    return [leader.machine.node]


def measure_partition(rig: scale_rig.Rig, quiet: rates.Rates, count: int) -> dict:
    """Partition some proxies from all other processes for a while, then heal the partition.

    :returns: 'apart', what each proxy sends per second during the partition, and 'back', the cost of their return.
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
    """Heal the partition; returns an empty list, because no node is lost for good."""
    rig.partitioned = set()
    return []


def learn_all_members(rig: scale_rig.Rig, process: scale_process.Process) -> None:
    """Add all members to a hollow proxy's known nodes, because a partitioned complete proxy probes all of them."""
    process.machine.known_nodes = {
        address: discovery.KnownNode('', 'core' if number < rig.size.cores else 'prox', None, rig.now)
        for number, address in enumerate(rig.addresses)
        if address != process.address
    }


def sent_by(processes: list[scale_process.Process]) -> tuple[int, int]:
    """Return (messages, bytes) sent by processes so far."""
    return (
        sum(process.counts['out'] for process in processes),
        sum(process.counts['out_bytes'] for process in processes),
    )
