"""A control node that leads as the only voter, and the proxies that follow it."""

import random
import typing

import features.support.machine_host as machine_host
import zinctrail.control.controller as controller
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

WIRE_LEVEL = 2
PROXY_NETWORK = '10.1.'


def proxy_address(number: int) -> str:
    """Return the address of a proxy."""
    return f'{PROXY_NETWORK}0.{number}:1000'


class LeadingControlNode(machine_host.MachineHost):
    """A leader without other voters, with proxies 1 to `proxies` that speak a wire level."""

    def __init__(self, proxies: int, level: int = WIRE_LEVEL):
        files = machine_host.data_folder('a', ['a'], 1, (1, 1))
        location = machine_host.location_of('a')
        super().__init__(controller.Controller(location, settings.Settings(), random.Random(1), files))
        # {proxy: the version it has accepted}
        self.accepted: dict[int, list[int]] = {}
        # (time, proxy) of each heartbeat.
        self.heartbeats: list[tuple] = []
        # Lease grants: (time, proxy, time at which the granted heartbeat was sent, True if sent within a heartbeat).
        self.grants: list[tuple] = []
        # {(proxy, round): time at which its heartbeat was first sent}
        self.round_started: dict[tuple, typing.Any] = {}
        self.feed('start')
        self.run(2000)
        assert self.machine.mode == 'leader', self.machine.mode
        for number in range(1, proxies + 1):
            self.join(number, level)

    def join(self, number: int, level: int) -> None:
        """Let a proxy join."""
        address = proxy_address(number)
        row = {'role': 'prox', 'addr': address, 'http': '', 'cell': 'r0/c0', 'level': level}
        frame = {
            't': 'join',
            'v': level,
            'c': machine_host.CLUSTER,
            'f': f'p{number}',
            'a': address,
            'member': row,
            'accepted': [0, 0],
            'term': self.machine.term,
        }
        self.feed('recv', frame)

    def recv_from_proxy(self, number: int, kind: str, **fields) -> None:
        """Receive a frame of a proxy."""
        envelope = {
            't': kind,
            'v': WIRE_LEVEL,
            'c': machine_host.CLUSTER,
            'f': f'p{number}',
            'a': proxy_address(number),
            'term': self.machine.term,
        }
        self.feed('recv', {**fields, **envelope})

    def run_with_proxies(self, duration_ms: float, silent=(), stale=()) -> None:
        """Advance the clock while the proxies respond.

        The silent ones respond to nothing, and the stale ones only to heartbeats.
        """
        self.run(duration_ms, lambda: self.respond_as_proxies(silent, stale))

    def respond_as_proxies(self, silent=(), stale=()) -> None:
        """Respond to each frame of the last input as its proxy does, and to the frames sent in turn."""
        for effect in list(self.effects):
            if not isinstance(effect, effects.Send) or not effect.address.startswith(PROXY_NETWORK):
                continue
            number, frame = int(effect.address.split(':')[0].split('.')[3]), effect.frame
            self.record_frame(number, frame)
            if number in silent or (number in stale and frame['t'] != 'chk'):
                continue
            if self.respond_as_proxy(number, frame):
                self.respond_as_proxies(silent, stale)

    def respond_as_proxy(self, number: int, frame: dict[str, typing.Any]) -> bool:
        """Respond to a frame as a proxy does; return False if the proxy sends no response."""
        if frame['t'] == 'pub':
            self.accepted[number] = list(frame['at'])
            self.recv_from_proxy(number, 'pub_re', at=frame['at'], ok=True, accepted=frame['at'])
        elif frame['t'] == 'com':
            self.recv_from_proxy(number, 'com_re', at=frame['at'])
        elif frame['t'] == 'chk':
            accepted = self.accepted.get(number, [0, 0])
            self.recv_from_proxy(number, 'chk_re', round=frame['round'], accepted=accepted, committed=accepted)
        else:
            return False
        return True

    def record_frame(self, number: int, frame: dict[str, typing.Any]) -> None:
        """Record a frame that is sent to a proxy if it is a heartbeat or grants a lease."""
        if frame['t'] == 'chk':
            self.heartbeats.append((self.now, number))
            self.round_started.setdefault((number, frame['round']), self.now)
            if 'ack' in frame:
                self.grants.append((self.now, number, self.round_started[number, frame['ack']], True))
        elif frame['t'] == 'grant':
            self.grants.append((self.now, number, self.round_started[number, frame['ack']], False))
