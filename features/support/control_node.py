"""A control node under test, with one other voter that responds to it."""

import json
import random
import typing

import features.support.machine_host as machine_host
import zinctrail.consensus.replica as replica
import zinctrail.control.controller as controller
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

VOTERS = ['a', 'b', 'c']
START_TERM = 3
START_VERSION = (3, 9)
FIRST_CALL = 1000


class ControlNode(machine_host.TimedMachine):
    """Control node a of the voters a, b and c; b responds at once to each frame, unless it is muted."""

    def __init__(self, seed: int = 1):
        files = machine_host.data_folder('a', VOTERS, START_TERM, START_VERSION)
        location = machine_host.location_of('a')
        machine = controller.Controller(location, settings.Settings(), random.Random(seed), files)
        super().__init__(machine, durations.ZERO)
        self.is_muted = True
        # The replicated state of b.
        self.replica = replica.Replica()
        # {number of a call: (status, document)}
        self.responses: dict[int, tuple[int, typing.Any]] = {}
        self.sends: list[effects.Send] = []
        self.feed('start')

    def feed(self, kind: str, *arguments) -> None:
        """Give the node an input, and then the responses of b to the frames it sends."""
        inputs = [(kind, arguments)]
        while inputs:
            kind, arguments = inputs.pop(0)
            for effect in self.machine.feed(kind, self.now, *arguments):
                if isinstance(effect, effects.Send):
                    self.sends.append(effect)
                    if not self.is_muted and effect.address == machine_host.address_of('b'):
                        inputs += self.response_of_b(effect.frame)
                elif isinstance(effect, effects.HttpResponse):
                    self.responses[effect.request_id] = (effect.status, json.loads(effect.body))

    def response_of_b(self, frame: dict[str, typing.Any]) -> list[tuple]:
        """Return b's response to a frame as inputs of the node: one, or none."""
        replica_of_b, term = self.replica, frame.get('term')
        if frame['t'] == 'pub':
            if frame['at'] > replica_of_b.accepted:
                replica_of_b.accept(frame['at'], rows=frame.get('rows'), tables=frame.get('full'))
            response = {'t': 'pub_re', 'term': term, 'at': frame['at'], 'ok': True, 'accepted': replica_of_b.accepted}
        elif frame['t'] == 'com':
            replica_of_b.commit(frame['at'])
            response = {'t': 'com_re', 'term': term, 'at': frame['at']}
        elif frame['t'] == 'chk':
            response = {
                't': 'chk_re',
                'term': term,
                'round': frame['round'],
                'accepted': replica_of_b.accepted,
                'committed': replica_of_b.committed,
            }
        else:
            return []
        return [('recv', (machine_host.frame_from('b', response['t'], response),))]

    def recv(self, sender: str, kind: str, **fields) -> None:
        """Give the node a frame."""
        self.feed('recv', machine_host.frame_from(sender, kind, fields))

    def sent(self, kind: str, to: str = 'b') -> list[dict[str, typing.Any]]:
        """Return all frames of a kind that were sent to a node."""
        address = machine_host.address_of(to)
        return [send.frame for send in self.sends if send.address == address and send.frame['t'] == kind]

    def follow(self, leader: str, term: int) -> None:
        """Receive a heartbeat of a leader."""
        self.recv(leader, 'chk', term=term, to='a', round=1, http='')

    def lead(self) -> None:
        """Become leader by the vote of b, which responds to nothing else."""
        self.is_muted = True
        if self.machine.mode == 'follower':
            self.machine.lose_leader('test')
        for voter in 'bc':
            row = machine_host.member_row(voter)
            self.recv(voter, 'probe_re', member=row, term=0, master=None, partners=[], seeds=[])
        self.machine.election.start(self.machine.term)
        self.recv('b', 'vote', term=self.machine.term, accepted=(0, 1), member=machine_host.member_row('b'))
        assert self.machine.mode == 'leader'

    def serve(self) -> None:
        """Become leader, and commit everything with the help of b."""
        self.lead()
        self.is_muted = False
        self.run(1500)
        committed = self.machine.replica.committed
        assert committed[0] == self.machine.term, committed

    def lead_again(self) -> None:
        """Step down and lead again with only the replicated state, like a newly elected node."""
        self.machine.step_down('test')
        registry = self.machine.endpoint_registry
        registry.heartbeat_sequences, registry.last_heartbeats = {}, {}
        self.machine.lock_expiry.stop()
        self.machine.operation_service.results.clear()
        self.serve()

    def call(self, path: str, **body) -> tuple[int, typing.Any] | None:
        """Return (status, document) of a call over HTTP, or None if there is no response yet."""
        number = len(self.responses) + FIRST_CALL
        self.feed('http', number, effects.HttpRequest('POST', path, {}, json.dumps(body).encode()))
        self.run(100)
        return self.responses.get(number)

    def operate(self, operation: str, **arguments) -> dict[str, typing.Any]:
        """Return the result of an operation on the replicated state."""
        results: list[dict[str, typing.Any]] = []
        self.machine.serve(operation, arguments, results.append)
        self.feed('wake')
        self.run(100)
        assert results, f'no result of {operation}'
        return results[0]
