import json
import random
import zlib

import behave
import twisted.internet.task as task
import twisted.internet.testing as testing

import agree_steps
import zinctrail.agree.voter as voter
import zinctrail.bounds as bounds
import zinctrail.ctl.core as core
import zinctrail.edge.wire as wire
import zinctrail.seam as seam

MOST = 100000


def paddr(i):
    return f'10.1.0.{i}:1000'


def master(proxies, level):
    """A control node that leads alone, with `proxies` members that follow its routes."""
    rig = agree_steps.Rig(core.Core(agree_steps.place('a'), bounds.Bounds(), random.Random(1),
                                    agree_steps.files_of('a', ['a'], 1, (1, 1))))
    rig.feed('start')
    rig.have = {}
    rig.run(2000)
    assert rig.m.mode == 'leader', rig.m.mode
    for i in range(1, proxies + 1):
        row = {'role': 'prox', 'addr': paddr(i), 'http': '', 'cell': 'r0/c0', 'level': level}
        rig.feed('recv', {'t': 'join', 'v': level, 'c': agree_steps.CLUSTER, 'f': f'p{i}', 'a': paddr(i), 'member': row,
                          'accepted': [0, 0], 'term': rig.m.term})
    return rig


def run(rig, ms, silent=()):
    """Let time go on, with every proxy but the silent ones answering what it is sent."""
    def answer():
        for e in [e for e in rig.out if isinstance(e, seam.Send) and e.addr.startswith('10.1.')]:
            i, msg = int(e.addr.split(':')[0].split('.')[3]), e.msg
            if i in silent:
                continue
            if msg['t'] == 'pub':
                rig.have[i] = list(msg['at'])
                said(rig, i, 'pub_re', at=msg['at'], ok=True, accepted=msg['at'])
                answer()
            elif msg['t'] == 'com':
                said(rig, i, 'com_re', at=msg['at'])
                answer()
            elif msg['t'] == 'chk':
                said(rig, i, 'chk_re', round=msg['round'], accepted=rig.have.get(i, [0, 0]),
                     committed=rig.have.get(i, [0, 0]))
                answer()
    rig.run(ms, answer)


def said(rig, i, kind, **body):
    rig.feed('recv', dict(body, t=kind, v=2, c=agree_steps.CLUSTER, f=f'p{i}', a=paddr(i), term=rig.m.term))


@behave.given('{n:d} proxies that all have the same generation, and one that has none')
def _(context, n):
    context.n = n
    context.rig = rig = master(n + 1, 2)
    run(rig, 1000, silent={n + 1})
    assert len(rig.m.peers) == n + 1, len(rig.m.peers)


@behave.given('the proxies speak the wire level before')
def _(context):
    for p in context.rig.m.peers.values():
        p.level = 1


@behave.when('the master publishes a change of the routes')
def _(context):
    rig = context.rig
    assert not rig.m.flight
    rig.m.submit(lambda txn: txn.put('cells', 'r0/c9', {'labels': {'x': 'y' * 2000}}) or {'status': 200}, lambda res: None)
    context.pubs = [e for e in rig.feed('wake') if isinstance(e, seam.Send) and e.msg['t'] == 'pub']


@behave.then('those at the same generation are sent one and the same frame')
def _(context):
    rows = [e for e in context.pubs if 'rows' in e.msg]
    full = [e for e in context.pubs if 'full' in e.msg]
    assert len(rows) == context.n and len(full) == 1, (len(rows), len(full))
    assert len({id(e.msg) for e in rows}) == 1


@behave.then('the wire writes it out once, and packs it')
def _(context):
    links = wire.Links(task.Clock(), MOST, None, None)
    msg = next(e.msg for e in context.pubs if 'rows' in e.msg)
    first = links.encoded(msg, True)
    assert links.encoded(msg, True) is first
    assert first[:1] == wire.PACKED and len(first) < 1000
    assert json.loads(wire.unpacked(first, MOST)) == json.loads(json.dumps(msg))
    assert links.encoded(msg, False)[:1] == b'{'


@behave.then('none of the frames for them may be packed')
def _(context):
    assert len(context.pubs) == context.n + 1 and not any(e.packs for e in context.pubs)


@behave.given('the receiving end of a connection between two processes')
def _(context):
    context.read = []
    links = wire.Links(task.Clock(), MOST, context.read.append, lambda addr: None)
    context.end = wire.Frames(links)
    context.end.connectionMade = lambda: None
    context.transport = testing.StringTransport()
    context.end.makeConnection(context.transport)


@behave.when('a packed frame comes that is {state}')
def _(context, state):
    size = MOST + 10 if 'above' in state else 5000
    data = zlib.compress(json.dumps({'t': 'chk', 'x': 'y' * size}).encode(), 1)
    data = {'cut short': data[:-3], 'followed by more': data + b'more',
            'flipped in a byte': data[:9] + bytes([data[9] ^ 255]) + data[10:]}.get(state, data)
    context.end.dataReceived(b'%d:%s,' % (len(data), data))


@behave.then('it is {verdict}')
def _(context, verdict):
    if verdict == 'read':
        assert len(context.read) == 1 and len(context.read[0]['x']) == 5000
    else:
        assert not context.read and context.transport.disconnecting
