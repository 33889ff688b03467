"""Each operation that changes the replicated state, with an event between it and a late copy of its request."""

import collections.abc
import typing

import features.support.control_node as control_node

ZONE = 'r0/c0'
LOCK = {'name': 'l', 'holder': 'x', 'lease_ms': 5000}
CLAIM = {'attempt': 1, 'proxy': 'p', 'at': '10.2.0.1:1'}
# Tables that the leader changes without a caller's operation.
OWN_TABLES = ('meta', 'members', 'duties')

Arguments = dict[str, typing.Any]


class OperationLeader:
    """A control node that leads, and the operations that b requests of it."""

    def __init__(self):
        self.node = control_node.ControlNode()
        self.node.serve()
        self.epoch = self.node.machine.replica.get('meta', 'epoch')

    def operate(self, operation: str, **arguments) -> dict[str, typing.Any]:
        """Carry out an operation at the node itself; return its result."""
        return self.node.operate(operation, **arguments)

    def newest_round(self) -> list[int]:
        """Return the node's [term, heartbeat round]."""
        return [self.node.machine.term, self.node.machine.heartbeat_round]

    def request(self, operation: str, arguments: Arguments, **fields) -> dict[str, typing.Any] | None:
        """Request an operation by a frame of b; return the result that b gets, None if it gets none."""
        before = len(self.node.sent('ask_re'))
        self.node.recv('b', 'ask', key='k.1', op=operation, args=arguments, **fields)
        self.node.run(200)
        responses = self.node.sent('ask_re')[before:]
        return responses[-1]['result'] if responses else None

    def state(self) -> dict[str, dict[str, typing.Any]]:
        """Return the replicated state without the tables that the leader changes by itself."""
        tables = self.node.machine.replica.tables
        return {table: dict(rows) for table, rows in tables.items() if table not in OWN_TABLES}

    # -- arguments --------------------------------------------------------

    def heartbeat(self, incarnation: str, sequence: int, state: str = 'ready') -> Arguments:
        """Return the arguments of an endpoint's heartbeat."""
        return {
            'inc': incarnation,
            'addr': '10.1.0.1:80',
            'service': 's',
            'cell': ZONE,
            'slots': 4,
            'seq': sequence,
            'state': state,
        }

    def configuration(self, label: str) -> Arguments:
        """Return the arguments that apply a configuration with a label of an endpoint."""
        document = {'pools': {}, 'rules': {}, 'cells': {}, 'labels': {'10.9.9.9:1': {'a': label}}}
        return {
            'config': document,
            'base': self.node.machine.replica.get('meta', 'conf') or 0,
            'id': f'{self.epoch}.c{label}',
        }

    def key_put(self, value: str) -> Arguments:
        """Return the arguments that put a value of key k."""
        return {'key': 'k', 'value': value, 'id': f'{self.epoch}.k{value}'}

    def claim(self, nonce: str, attempt: int = 1) -> Arguments:
        """Return the arguments of a proxy's claim of a request."""
        return dict(CLAIM, id=f'{self.epoch}.r', nonce=nonce, attempt=attempt)

    def close(self, nonce: str) -> Arguments:
        """Return the arguments that close that claim."""
        return {'id': f'{self.epoch}.r', 'nonce': nonce}

    # -- operations on lock l ---------------------------------------------

    def take_lock(self, holder: str) -> str:
        """Take the lock; return the id of its taking."""
        return self.operate('lock.take', name='l', holder=holder, lease_ms=5000)['take']

    def hold_lock(self, holder: str) -> int:
        """Hold the lock; return its fence."""
        return self.operate('lock.hold', name='l', holder=holder, lease_ms=5000)['fence']

    def pass_lock_on(self) -> int:
        """Have x yield the lock and y hold it; return the new fence."""
        fence = self.node.machine.replica.get('locks', 'l')['fence']
        assert self.operate('lock.yield', name='l', holder='x', fence=fence)['freed']
        return self.hold_lock('y')


class OperationCase(typing.NamedTuple):
    """Prepares an operation and returns its arguments; interferes before the late copy of its request arrives."""

    prepare: collections.abc.Callable[[OperationLeader], Arguments]
    interfere: collections.abc.Callable[[OperationLeader], typing.Any]


def items_of(version: int) -> Arguments:
    """Return the arguments that change one pool among the configuration items."""
    pool = {'name': 's', 'version': version, 'health': '/h', 'connections': version, 'cold_s': 1.0, 'cold_per_s': 1.0}
    return {'change': {'set': {'pools': [pool]}}}


def prepare_key_drop(leader: OperationLeader) -> Arguments:
    """Put the key that is to be dropped."""
    assert leader.operate('key.put', **leader.key_put('v1'))['status'] == 200
    return {'key': 'k', 'id': f'{leader.epoch}.kd'}


def prepare_close(leader: OperationLeader) -> Arguments:
    """Make the claim that is to be closed."""
    assert leader.operate('claim', **leader.claim('n1'))['status'] == 200
    return leader.close('n1')


def prepare_leave(leader: OperationLeader) -> Arguments:
    """Register the endpoint that is to leave."""
    assert leader.operate('beat', **leader.heartbeat('e', 4))['status'] == 200
    return {'inc': 'e'}


CASES = {
    'cell.empty': OperationCase(
        lambda leader: {'cell': ZONE, 'on': True},
        lambda leader: leader.operate('cell.empty', cell=ZONE, on=False),
    ),
    'lock.hold': OperationCase(lambda leader: LOCK, OperationLeader.pass_lock_on),
    'lock.take': OperationCase(lambda leader: dict(LOCK, id='t1'), OperationLeader.pass_lock_on),
    'lock.renew': OperationCase(
        lambda leader: dict(LOCK, fence=leader.hold_lock('x')),
        OperationLeader.pass_lock_on,
    ),
    'lock.yield': OperationCase(
        lambda leader: {'name': 'l', 'holder': 'x', 'fence': leader.hold_lock('x')},
        lambda leader: leader.hold_lock('x'),
    ),
    'lock.free': OperationCase(
        lambda leader: {'name': 'l', 'holder': 'x', 'take': leader.take_lock('x')},
        lambda leader: leader.take_lock('x'),
    ),
    'number.next': OperationCase(
        lambda leader: {'name': 'n', 'id': f'{leader.epoch}.n1'},
        lambda leader: leader.operate('number.next', name='n', id=f'{leader.epoch}.n2'),
    ),
    'number.step': OperationCase(
        lambda leader: {'name': 'n'},
        lambda leader: leader.operate('number.step', name='n'),
    ),
    'cell.put': OperationCase(
        lambda leader: {'name': 'g.a', 'value': 'v1'},
        lambda leader: leader.operate('cell.put', name='g.a', value='v2'),
    ),
    'key.put': OperationCase(
        lambda leader: leader.key_put('v1'),
        lambda leader: leader.operate('key.put', **leader.key_put('v2')),
    ),
    'key.drop': OperationCase(
        prepare_key_drop,
        lambda leader: leader.operate('key.put', **leader.key_put('v2')),
    ),
    'items.apply': OperationCase(
        lambda leader: items_of(1),
        lambda leader: leader.operate('items.apply', **items_of(2)),
    ),
    'config.apply': OperationCase(
        lambda leader: leader.configuration('1'),
        lambda leader: leader.operate('config.apply', **leader.configuration('2')),
    ),
    'claim': OperationCase(
        lambda leader: leader.claim('n1'),
        lambda leader: leader.operate('close', **leader.close('n1')),
    ),
    'close': OperationCase(
        prepare_close,
        lambda leader: leader.operate('claim', **leader.claim('n2', attempt=2)),
    ),
    'beat': OperationCase(
        lambda leader: leader.heartbeat('e', 4),
        lambda leader: leader.operate('beat', **leader.heartbeat('e', 5, 'draining')),
    ),
    'leave': OperationCase(
        prepare_leave,
        lambda leader: leader.operate('beat', **leader.heartbeat('f', 1)),
    ),
}
