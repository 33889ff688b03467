"""A control node a under test; the scenario sends the frames of the other voters, b and c."""

import random

import features.support.machine_host as machine_host
import zinctrail.control.controller as controller
import zinctrail.runtime.settings as settings

SEED = 1
VOTERS = ['a', 'b', 'c']
TERM = 3
VERSION = (3, 9)


def parse_version(text: str) -> tuple[int, ...]:
    """Parse a version that is written TERM.NUMBER."""
    return tuple(int(number) for number in text.split('.'))


def new_host(files: dict[str, str], node: str = 'a') -> machine_host.MachineHost:
    """Return a host whose control node starts with the files of its data folder."""
    machine = controller.Controller(machine_host.location_of(node), settings.Settings(), random.Random(SEED), files)
    host = machine_host.MachineHost(machine)
    host.feed('start')
    return host


def introduce(host: machine_host.MachineHost, *nodes: str) -> None:
    """Let nodes respond to a probe, so that the machine knows them."""
    for node in nodes:
        row = machine_host.member_row(node, 'c')
        host.recv(node, 'probe_re', member=row, term=0, master=None, partners=[], seeds=[])


def vote(host: machine_host.MachineHost, voter: str, accepted: tuple[int, int]) -> None:
    """Let a voter that has accepted a version vote for the machine."""
    host.recv(voter, 'vote', term=host.machine.term, accepted=accepted, member=machine_host.member_row(voter))


def lead(host: machine_host.MachineHost) -> None:
    """Let the machine become leader by the vote of b."""
    introduce(host, 'b', 'c')
    host.machine.election.start(host.machine.term)
    vote(host, 'b', (0, 1))
    assert host.machine.mode == 'leader'


def in_flight(host: machine_host.MachineHost) -> list:
    """Return the publications of the leader that are not committed yet."""
    return host.machine.leadership.replication.in_flight


def newest_publication(host: machine_host.MachineHost) -> tuple[int, int]:
    """Return the version of the leader's newest publication, which is not committed yet."""
    return in_flight(host)[-1].version


def accept(host: machine_host.MachineHost, version: tuple[int, int]) -> None:
    """Let b accept a version."""
    host.recv('b', 'pub_re', term=host.machine.term, at=version, ok=True, accepted=version)


def respond_to_heartbeats(host: machine_host.MachineHost, accepted: tuple[int, int] | None = None) -> None:
    """Let b respond to the heartbeats of the last input with its accepted version, by default the newest."""
    for frame in host.sent('chk'):
        host.recv(
            'b',
            'chk_re',
            term=frame['term'],
            round=frame['round'],
            accepted=accepted or host.machine.replica.accepted,
            committed=host.machine.replica.committed,
        )
