"""Control nodes whose frames with operations are copied late, and callers whose acknowledged orders must stand."""

import collections.abc
import functools
import json
import random
import typing

import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations
import zinctrail.simulation.world as world

ms = durations.ms
CELL = 'r0/c0'
CALL_TIMEOUT = ms(1000)
# What a caller may be answered that ends its order; after all else it calls again.
FINAL_STATUSES = (200, 409, 410)


class LateCopiesWorld(world.World):
    """Frames with operations are copied late to every control node; their responses get lost."""

    hang_ups = True
    COPIED_SHARE = 0.4
    LOST_SHARE = 0.25
    MAX_DELAY = ms(9000)

    def carry(self, src, addr, msg, may_compress=False):
        """As World.carry; a copy goes to whatever control node lives at an address by then."""
        if msg['t'] == 'ask_re' and self.rng.random() < self.LOST_SHARE:
            return
        if msg['t'] == 'ask':
            text = json.dumps(msg)
            for node in self.of('core'):
                if node is not src and self.rng.random() < self.COPIED_SHARE:
                    self.after(self.MAX_DELAY * self.rng.random(), self.deliver_copy, node, text)
        super().carry(src, addr, msg, may_compress)

    def deliver_copy(self, node, text: str) -> None:
        """Give a node the late copy of a frame."""
        node.feed('recv', json.loads(text))


class Order(typing.NamedTuple):
    """A call over HTTP, and whether its effect is in a state."""

    path: str
    body: dict[str, typing.Any]
    stands: collections.abc.Callable[[replica.Replica], bool]


class Caller:
    """Gives one order after the other, each to any node until it is acknowledged; then its effect must stand."""

    def __init__(self, simulated: LateCopiesWorld, orders: collections.abc.Callable):
        self.world = simulated
        self.rng = random.Random(f'{simulated.seed}/{orders.__name__}')
        # The order that was acknowledged last, as long as no other is given.
        self.acknowledged: Order | None = None
        self.answer: dict[str, typing.Any] = {}
        self.wrong: list[tuple] = []
        self.done = 0
        self.orders: collections.abc.Iterator[Order] = orders(self)
        self.give_next()

    def give_next(self) -> None:
        """Give the next order."""
        self.acknowledged = None
        self.order = next(self.orders)
        self.send()

    def send(self) -> None:
        """Send the order to any control node."""
        node = self.rng.choice(self.world.of('core'))
        body = json.dumps(self.order.body).encode()
        result = self.world.fetch('caller', node.location.http, 'POST', self.order.path, {}, body, CALL_TIMEOUT)
        result.addCallback(self.receive)

    def receive(self, response) -> None:
        """Go on to the next order after an acknowledgement, else send the same again."""
        if response.fault or response.status not in FINAL_STATUSES:
            self.world.after(ms(self.rng.uniform(20, 200)), self.send)
            return
        self.done += 1
        self.answer = json.loads(response.body)
        self.acknowledged = self.order
        self.watch()
        # Longer than a frame may be under way and still act.
        self.world.after(ms(self.rng.uniform(2200, 4000)), self.give_next)

    def watch(self) -> None:
        """While nothing else is ordered, whatever leader there is holds what was acknowledged."""
        if self.acknowledged is None:
            return
        leader = self.world.leader()
        if leader is not None and not self.acknowledged.stands(leader.machine.replica):
            self.wrong.append((self.world.now, self.order.path, self.order.body))
            self.acknowledged = None
            return
        self.world.after(ms(20), self.watch)


# -- orders ------------------------------------------------------------------


def evacuations(caller: Caller) -> collections.abc.Iterator[Order]:
    """A zone is evacuated and taken back, again and again."""
    while True:
        for is_on in (True, False):
            yield Order('/v1/cell/empty', {'cell': CELL, 'on': is_on}, functools.partial(is_emptied_as, is_on))


def is_emptied_as(is_on: bool, state: replica.Replica) -> bool:
    """Whether the zone is evacuated, or is not."""
    return bool((state.get('cells', CELL) or {}).get('emptied')) == is_on


def locks(caller: Caller) -> collections.abc.Iterator[Order]:
    """A lock is held and yielded, again and again."""
    while True:
        body = {'name': 'l', 'holder': 'x', 'lease_ms': 60000}
        yield Order('/v1/lock/hold', body, lambda state: (state.get('locks', 'l') or {}).get('holder') == 'x')
        body = {'name': 'l', 'holder': 'x', 'fence': caller.answer['fence']}
        # A call given up on may have held it anew beside the one that was answered, so that the yield frees nothing;
        # but none may hold it anew after the yield's acknowledgement.
        fences: list[int] = []
        yield Order('/v1/lock/yield', body, functools.partial(nobody_holds_anew, fences))


def nobody_holds_anew(fences: list[int], state: replica.Replica) -> bool:
    """Whether the lock is free, or under the fence that it had when this was first asked, kept in `fences`."""
    fence = (state.get('locks', 'l') or {'fence': 0})['fence']
    if not fences:
        fences.append(fence)
    return fence in (0, fences[0])


def numbers(caller: Caller) -> collections.abc.Iterator[Order]:
    """A counter is advanced; each number must be above the one before."""
    last = 0
    while True:
        yield Order('/v1/number/step', {'name': 'n'}, lambda state: True)
        if caller.answer['number'] <= last:
            caller.wrong.append((caller.world.now, last, caller.answer))
        last = caller.answer['number']


def values(caller: Caller) -> collections.abc.Iterator[Order]:
    """A value is replaced, again and again."""
    for number in range(10**6):
        value = f'v{number}'
        yield Order('/v1/cell/put', {'name': 'g.a', 'value': value}, functools.partial(has_value, value))


def has_value(value: str, state: replica.Replica) -> bool:
    """Whether the value is the one that was put."""
    return (state.get('values', 'g.a') or {}).get('value') == value


def beats(caller: Caller) -> collections.abc.Iterator[Order]:
    """An endpoint is ready, drains and leaves; then the next one."""
    for life in range(10**6):
        incarnation = f'i{life}'
        row = {'addr': '10.1.0.1:80', 'service': 's', 'cell': CELL, 'slots': 4}
        for sequence, state_name in ((1, 'ready'), (2, 'draining')):
            body = dict(row, inc=incarnation, seq=sequence, state=state_name)
            yield Order('/v1/beat', body, functools.partial(is_in_state, incarnation, state_name))
        yield Order('/v1/leave', {'inc': incarnation}, functools.partial(is_gone, incarnation))


def is_in_state(incarnation: str, wanted: str, state: replica.Replica) -> bool:
    """Whether an endpoint is in a state, or is not known any more."""
    return (state.get('endpoints', incarnation) or {'state': wanted})['state'] == wanted


def is_gone(incarnation: str, state: replica.Replica) -> bool:
    """Whether an endpoint is not known."""
    return state.get('endpoints', incarnation) is None


ALL_ORDERS = (evacuations, locks, numbers, values, beats)
