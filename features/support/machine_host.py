"""A single state machine under test: its clock, its effects, and the data folder it starts with.

Nodes of the tests are named by one letter; 'a' is usually the machine under test.
"""

import collections.abc
import datetime
import typing

import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.storage as storage
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

CLUSTER = 'c1'
WIRE_LEVEL = 1


def address_of(node: str) -> str:
    """Return the address of a node."""
    return f'10.0.0.{number_of(node)}:1000'


def number_of(node: str) -> int:
    """Return 1 for 'a', 2 for 'b' and so on."""
    return ord(node) - ord('a') + 1


def location_of(node: str) -> node_location.NodeLocation:
    """Return the location of a node whose only seed is b."""
    return node_location.NodeLocation(address_of(node), f'10.0.0.{number_of(node)}:80', 'r0/c0', [address_of('b')])


def member_row(node: str, cell: str = 'r0/c0') -> dict[str, typing.Any]:
    """Return a node's row in the membership table."""
    return {'role': 'core', 'addr': address_of(node), 'http': '', 'cell': cell, 'level': WIRE_LEVEL}


def data_folder(node: str, voters: list[str], term: int, version: tuple[int, int]) -> dict[str, str]:
    """Return the files of a node that has reached a term, with a snapshot of an otherwise empty state at a version."""
    voting_set = {'committed': voters, 'accepted': voters}
    meta = {'cluster': CLUSTER, 'vc': voting_set, 'boot': voters, 'routes': list(version)}
    tables = {'meta': meta, 'members': {voter: member_row(voter) for voter in voters}}
    return {
        'node': storage.encode({'id': node}),
        'term': storage.encode({'term': term, 'vote': None}),
        storage.snapshot_name(version): storage.encode({'term': version[0], 'gen': version[1], 'tables': tables}),
    }


def frame_from(node: str, kind: str, fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a frame of a kind from a node."""
    return dict(fields, t=kind, v=WIRE_LEVEL, c=CLUSTER, f=node, a=address_of(node))


class TimedMachine:
    """One machine and its clock; subclasses apply its effects."""

    def __init__(self, machine: typing.Any, now: datetime.timedelta):
        self.machine = machine
        self.now = now

    def feed(self, kind: str, *arguments: typing.Any) -> typing.Any:
        """Give the machine an input."""
        raise NotImplementedError

    def run(self, duration_ms: float, after_each: collections.abc.Callable[[], None] | None = None) -> None:
        """Advance the clock; `after_each` is called each time that timers have fired."""
        end = self.now + durations.ms(duration_ms)
        timer = self.machine.next_timer()
        while timer is not None and timer <= end:
            self.now = max(self.now, timer)
            self.feed('wake')
            if after_each:
                after_each()
            timer = self.machine.next_timer()
        self.now = end


class MachineHost(TimedMachine):
    """Runs one machine and stores the effects of the last input; its disk may be full."""

    def __init__(self, machine: typing.Any):
        super().__init__(machine, durations.ZERO)
        self.is_disk_full = False
        self.effects: list = []

    def feed(self, kind: str, *arguments) -> list:
        """Give the machine an input, and a disk error if one of its writes fails; return the effects."""
        self.effects = []
        inputs = [(kind, arguments)]
        while inputs:
            kind, arguments = inputs.pop(0)
            for effect in self.machine.feed(kind, self.now, *arguments):
                if isinstance(effect, effects.Write) and self.is_disk_full:
                    inputs.append(('disk_fault', ('full',)))
                    break
                self.effects.append(effect)
        return self.effects

    def recv(self, sender: str, kind: str, **fields) -> list:
        """Give the machine a frame from a node."""
        return self.feed('recv', frame_from(sender, kind, fields))

    def sent(self, kind: str) -> list[dict[str, typing.Any]]:
        """Return the frames of a kind that the machine sent in response to the last input."""
        return [
            effect.frame for effect in self.effects if isinstance(effect, effects.Send) and effect.frame['t'] == kind
        ]

    def written_before(self, kind: str) -> bool:
        """True if the machine wrote to its disk before it sent a frame of a kind, in response to the last input."""
        for effect in self.effects:
            if isinstance(effect, effects.Write):
                return True
            if isinstance(effect, effects.Send) and effect.frame['t'] == kind:
                return False
        return False
