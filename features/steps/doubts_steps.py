import types

import behave
import twisted.internet.defer as defer
import twisted.internet.task as task

import size_steps
import zinctrail.edge.dialect as dialect
import zinctrail.edge.host as host
import zinctrail.seam as seam

ms = seam.ms
ROW = {'addr': '10.0.9.1:80', 'service': 's', 'cell': 'r0/c0', 'labels': {}, 'slots': 4, 'state': 'ready', 'cold': 0,
       'plain': True, 'chill': False}


@behave.given('a master with an endpoint that beat {beat:d} ms ago')
def _(context, beat):
    context.rig = rig = size_steps.master(1, 2)
    size_steps.run(rig, 1000)
    rig.m.submit(lambda txn: txn.put('endpoints', 'e1', dict(ROW)) or {'status': 200}, lambda res: None)
    size_steps.run(rig, 500)
    assert rig.m.rep.get('endpoints', 'e1')
    rig.m.beats['e1'] = rig.at - ms(beat)


@behave.when('a proxy suspects it, and the probe {finds}')
def _(context, finds):
    rig = context.rig
    rig.feed('recv', {'t': 'suspect', 'v': 2, 'c': rig.m.cluster, 'f': 'p1', 'a': size_steps.paddr(1), 'inc': 'e1'})
    fetch = next(e for e in rig.out if isinstance(e, seam.Fetch))
    if 'answered' in finds:
        who = {'itself': 'e1', 'another': 'e2'}.get(finds.rsplit(' by ')[1], '')
        res = seam.Fetched(int(finds.split()[2]), {'zt-inc': who})
    elif finds == 'is refused':
        res = seam.Fetched(sent=False, fault='ConnectionRefusedError')
    else:
        res = seam.Fetched(sent=True, fault='CancelledError')
    rig.feed('fetched', fetch.fid, res)
    # Why at once: what is asked is this probe's verdict.
    size_steps.run(rig, 200)


@behave.then('the endpoint is {verdict}')
def _(context, verdict):
    assert (context.rig.m.rep.get('endpoints', 'e1') is not None) == (verdict == 'there')


class Own(dialect.Plain):
    """Who answers stands in a header of its own in answers to probes only."""

    def health_in(self, headers):
        return dict(headers, **{'zt-inc': headers.get('own-name', '')})


@behave.given("a control node's host whose dialect names who answers to a probe in a header of its own")
def _(context):
    context.got = []
    machine = size_steps.master(0, 2).m
    context.host = host.Host(machine, task.Clock(), None, Own())
    context.host.feed = lambda kind, *args: context.got.append((kind, args))


@behave.when('it probes an endpoint over a connection')
def _(context):
    def fetch(inc, addr, method, path, headers, body, wait, once, ours):
        assert ours({}) and not ours({'zt-id': 'of a request'})
        return defer.succeed(seam.Fetched(503, {'own-name': 'e1'}))
    context.host.relay = types.SimpleNamespace(fetch=fetch)
    context.host.fetch(seam.Fetch(1, '10.0.9.1:80', 'e1', 'GET', '/health', {'host': 'x'}, b'', ms(600), plain=True))


@behave.then('the machine is told who answered')
def _(context):
    (kind, (fid, res)), = context.got
    assert kind == 'fetched' and res.headers['zt-inc'] == 'e1', res
