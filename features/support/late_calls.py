"""Control nodes that get late copies of requests, and callers whose acknowledged commands must stay in force."""

import collections.abc
import functools
import json
import random
import typing

import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations
import zinctrail.simulation.world as world

ms = durations.ms
ZONE = 'r0/c0'
CALL_TIMEOUT = ms(1000)
# The statuses that complete a command; after any other a caller retries it.
FINAL_STATUSES = (200, 409, 410)


class LateCopiesWorld(world.World):
    """A simulation that delivers copies of operation requests late to control nodes, and loses responses to them."""

    hang_ups = True
    COPIED_SHARE = 0.4
    LOST_SHARE = 0.25
    MAX_DELAY = ms(9000)

    def carry(self, src, addr, msg, may_compress=False):
        """Carry a frame; copies of requests go to other control nodes, even to one that has restarted by then."""
        if msg['t'] == 'ask_re' and self.rng.random() < self.LOST_SHARE:
            return
        if msg['t'] == 'ask':
            text = json.dumps(msg)
            for node in self.of('core'):
                if node is not src and self.rng.random() < self.COPIED_SHARE:
                    self.after(self.MAX_DELAY * self.rng.random(), self.deliver_copy, node, text)
        super().carry(src, addr, msg, may_compress)

    def deliver_copy(self, node, text: str) -> None:
        """Deliver the late copy of a frame to a node."""
        node.feed('recv', json.loads(text))


class Command(typing.NamedTuple):
    """A call over HTTP, and a predicate: true if a state has its effect."""

    path: str
    body: dict[str, typing.Any]
    is_in_force: collections.abc.Callable[[replica.Replica], bool]


class Caller:
    """Sends one command after another, each to random nodes until it is acknowledged; then checks its effect."""

    def __init__(self, simulated: LateCopiesWorld, commands: collections.abc.Callable):
        self.world = simulated
        self.rng = random.Random(f'{simulated.seed}/{commands.__name__}')
        # The last acknowledged command, until the next one is sent.
        self.acknowledged: Command | None = None
        self.response: dict[str, typing.Any] = {}
        self.violations: list[tuple] = []
        self.acknowledged_count = 0
        self.commands: collections.abc.Iterator[Command] = commands(self)
        self.send_next()

    def send_next(self) -> None:
        """Send the next command."""
        self.acknowledged = None
        self.command = next(self.commands)
        self.send()

    def send(self) -> None:
        """Send the command to a random control node."""
        node = self.rng.choice(self.world.of('core'))
        body = json.dumps(self.command.body).encode()
        result = self.world.fetch('caller', node.location.http, 'POST', self.command.path, {}, body, CALL_TIMEOUT)
        result.addCallback(self.receive)

    def receive(self, response) -> None:
        """Schedule the next command after an acknowledgement; retry this one after any other response."""
        if response.fault or response.status not in FINAL_STATUSES:
            self.world.after(ms(self.rng.uniform(20, 200)), self.send)
            return
        self.acknowledged_count += 1
        self.response = json.loads(response.body)
        self.acknowledged = self.command
        self.check_effect()
        # Longer than the time for which a delayed frame is still accepted.
        self.world.after(ms(self.rng.uniform(2200, 4000)), self.send_next)

    def check_effect(self) -> None:
        """Check, until the next command is sent, that any leader's state has the effect of the acknowledged one."""
        if self.acknowledged is None:
            return
        leader = self.world.leader()
        if leader is not None and not self.acknowledged.is_in_force(leader.machine.replica):
            self.violations.append((self.world.now, self.command.path, self.command.body))
            self.acknowledged = None
            return
        self.world.after(ms(20), self.check_effect)


# -- commands; the name of each function is part of the seed of its caller -----


def evacuations(caller: Caller) -> collections.abc.Iterator[Command]:
    """Yield commands that evacuate a zone and withdraw that, in turn."""
    while True:
        for is_on in (True, False):
            yield Command('/v1/cell/empty', {'cell': ZONE, 'on': is_on}, functools.partial(is_evacuated_as, is_on))


def is_evacuated_as(is_on: bool, state: replica.Replica) -> bool:
    """True if the zone is evacuated, or with `is_on` false, if it is not."""
    return bool((state.get('cells', ZONE) or {}).get('emptied')) == is_on


def locks(caller: Caller) -> collections.abc.Iterator[Command]:
    """Yield commands that hold a lock and yield it, in turn."""
    while True:
        body = {'name': 'l', 'holder': 'x', 'lease_ms': 60000}
        yield Command('/v1/lock/hold', body, lambda state: (state.get('locks', 'l') or {}).get('holder') == 'x')
        body = {'name': 'l', 'holder': 'x', 'fence': caller.response['fence']}
        # A call that timed out may have acquired the lock again after the acknowledged one, so that the yield frees
        # nothing; but no call may acquire it after the yield's acknowledgement.
        fences: list[int] = []
        yield Command('/v1/lock/yield', body, functools.partial(is_not_reacquired, fences))


def is_not_reacquired(fences: list[int], state: replica.Replica) -> bool:
    """True if the lock is free, or still has the fence that the first call of this check recorded in `fences`."""
    fence = (state.get('locks', 'l') or {'fence': 0})['fence']
    if not fences:
        fences.append(fence)
    return fence in (0, fences[0])


def numbers(caller: Caller) -> collections.abc.Iterator[Command]:
    """Yield commands that advance a counter; each number must be above the one before."""
    last = 0
    while True:
        yield Command('/v1/number/step', {'name': 'n'}, lambda state: True)
        if caller.response['number'] <= last:
            caller.violations.append((caller.world.now, last, caller.response))
        last = caller.response['number']


def values(caller: Caller) -> collections.abc.Iterator[Command]:
    """Yield commands that replace a value."""
    for number in range(10**6):
        value = f'v{number}'
        yield Command('/v1/cell/put', {'name': 'g.a', 'value': value}, functools.partial(has_value, value))


def has_value(value: str, state: replica.Replica) -> bool:
    """True if the value is the one that was put."""
    return (state.get('values', 'g.a') or {}).get('value') == value


def beats(caller: Caller) -> collections.abc.Iterator[Command]:
    """Yield heartbeats of an endpoint that is ready, drains and leaves, and then of the next one."""
    for life in range(10**6):
        incarnation = f'i{life}'
        row = {'addr': '10.1.0.1:80', 'service': 's', 'cell': ZONE, 'slots': 4}
        for sequence, state_name in ((1, 'ready'), (2, 'draining')):
            body = dict(row, inc=incarnation, seq=sequence, state=state_name)
            yield Command('/v1/beat', body, functools.partial(is_in_state, incarnation, state_name))
        yield Command('/v1/leave', {'inc': incarnation}, functools.partial(is_removed, incarnation))


def is_in_state(incarnation: str, wanted: str, state: replica.Replica) -> bool:
    """True if an endpoint is in a state, or is not registered any more."""
    return (state.get('endpoints', incarnation) or {'state': wanted})['state'] == wanted


def is_removed(incarnation: str, state: replica.Replica) -> bool:
    """True if an endpoint is not registered."""
    return state.get('endpoints', incarnation) is None


ALL_COMMANDS = (evacuations, locks, numbers, values, beats)
