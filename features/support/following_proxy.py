"""A proxy under test that follows b: it has a lease, a pool of two endpoints, and a ledger of the pool's credit at d."""

import json
import random
import typing

import features.support.machine_host as machine_host
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

POOL = 's'
INCARNATION = 'e1'
# An endpoint of another region than the proxy's.
FAR_INCARNATION = 'e2'
EPOCH = 20
# The fencing token of the ledger.
FENCE = 5
VERSION = (3, 10)
ENDPOINT = {
    'addr': '10.0.9.1:80',
    'service': POOL,
    'cell': 'r0/c0',
    'labels': {},
    'slots': 4,
    'state': 'ready',
    'cold': 0,
}


def tables(runs_once: bool = True) -> dict[str, dict]:
    """Return the replicated state; p is another proxy. One rule routes all requests to the pool, to run once or not."""
    far = dict(ENDPOINT, addr='10.0.9.2:80', cell='r1/c0')
    members = {'b': machine_host.member_row('b'), 'p': dict(machine_host.member_row('p'), role='prox')}
    return {
        'meta': {'cluster': machine_host.CLUSTER, 'epoch': EPOCH, 'routes': list(VERSION)},
        'conf': {f'pools/{POOL}': {'service': POOL}, 'rules/all': {'match': {}, 'pool': POOL, 'run_once': runs_once}},
        'cells': {'r0/c0': {'region': 'r0'}, 'r1/c0': {'region': 'r1'}},
        'endpoints': {INCARNATION: ENDPOINT, FAR_INCARNATION: far},
        'members': members,
        'duties': {f'keeper/{POOL}': {'holder': 'd', 'addr': machine_host.address_of('d'), 'fence': FENCE, 'was': ''}},
    }


class FollowingProxy(machine_host.MachineHost):
    """The proxy, and all its frames, fetches and responses."""

    def __init__(self, runs_once: bool = True):
        location = machine_host.location_of('a')
        super().__init__(proxy_node.Proxy(location, settings.Settings(), random.Random(1)))
        self.sends: list[effects.Send] = []
        self.fetches: list[effects.HttpFetch] = []
        # {number of a call: (status, document)}
        self.responses: dict[int, tuple[int, typing.Any]] = {}
        # The calls that got a response, in order; a call that got two is listed twice.
        self.answered: list[int] = []
        self.calls = 0
        self.round = 0
        self.feed('start')
        self.renew_lease()
        self.recv('b', 'pub', term=3, at=VERSION, full=tables(runs_once), http='')
        self.recv('b', 'com', term=3, at=VERSION, http='')
        assert self.machine.has_lease()

    def feed(self, kind: str, *arguments) -> list:
        """Give the machine an input, and store its sends, fetches and responses."""
        found = super().feed(kind, *arguments)
        self.sends += [effect for effect in found if isinstance(effect, effects.Send)]
        self.fetches += [effect for effect in found if isinstance(effect, effects.HttpFetch)]
        for effect in found:
            if isinstance(effect, effects.HttpResponse):
                self.answered.append(effect.request_id)
                self.responses[effect.request_id] = (effect.status, json.loads(effect.body or b'null'))
        return found

    def renew_lease(self) -> None:
        """Receive a heartbeat of the leader, and a lease for it."""
        self.round += 1
        self.recv('b', 'chk', term=3, to=self.machine.node, round=self.round, http='')
        self.recv('b', 'grant', term=3, ack=self.round)

    def pass_time(self, duration_ms: int) -> None:
        """Advance the clock while the leader renews the lease."""
        for _ in range(0, duration_ms, 100):
            self.run(100)
            self.renew_lease()

    def sent_all(self, kind: str) -> list[dict[str, typing.Any]]:
        """Return all frames of a kind that were sent since the start."""
        return [send.frame for send in self.sends if send.frame['t'] == kind]

    def request(self, request_id: str, left_ms: int = 2000, **more: str) -> int:
        """Send a request of a client, with more headers; return the number of its call."""
        self.calls += 1
        headers = {'zt-id': request_id, 'zt-attempt': '1', 'zt-left-ms': str(left_ms), **more}
        self.feed('http', self.calls, effects.HttpRequest('POST', f'/r/{POOL}/x', headers, b''))
        return self.calls

    def respond_to_claim(self, **result) -> None:
        """Let the leader respond to the newest claim."""
        key = self.sent_all('ask')[-1]['key']
        self.recv('b', 'ask_re', key=key, result={'status': 200, **result})

    def grant_credit(self, fence: int = FENCE, number: int | None = None, incarnation: str = INCARNATION) -> None:
        """Let the ledger grant two requests at an endpoint, in response to the newest request for credit."""
        asked = self.sent_all('want')[-1]['no']
        fields = {'pool': POOL, 'fence': fence, 'grants': {incarnation: 2}, 'seq': 1}
        self.recv('d', 'credit', no=asked if number is None else number, **fields)
