"""Steps of size.feature: what a leader sends to many followers, and how often."""

import json
import zlib

import behave
import twisted.internet.task as task
import twisted.internet.testing as testing

import features.support.leading_control_node as leading_control_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.days as days
import zinctrail.transport.peer_connections as peer_connections

FRAME_LIMIT_BYTES = 100000
NORMAL_INTERVAL_MS = 400


@behave.given('{count:d} proxies that all have the same version, and one that has none')
def proxies_at_one_version(context, count: int):
    context.proxy_count = count
    context.host = host = leading_control_node.LeadingControlNode(count + 1)
    host.run_with_proxies(1000, silent={count + 1})
    assert len(host.machine.peers) == count + 1, len(host.machine.peers)
    # A leader assumes that what it sent has arrived until it learns otherwise.
    host.machine.peers[f'p{count + 1}'].sent_version = None


@behave.given('the proxies use the previous wire level')
def proxies_speak_earlier_level(context):
    for peer in context.host.machine.peers.values():
        peer.level = 1


def change_routes(host, labels):
    """Submit a change of a zone's labels to the leader."""

    def step(transaction):
        transaction.put('cells', 'r0/c9', {'labels': labels})
        return {'status': 200}

    host.machine.submit(step, lambda result: None)


@behave.when('the leader publishes a change of the routes')
def routes_are_published(context):
    host = context.host
    assert not host.machine.leadership.replication.in_flight
    change_routes(host, {'x': 'y' * 2000})
    sends = [effect for effect in host.feed('wake') if isinstance(effect, effects.Send)]
    context.publications = [send for send in sends if send.frame['t'] == 'pub']


@behave.then('those at the same version are sent one and the same frame')
def same_version_gets_same_frame(context):
    rows = [send for send in context.publications if 'rows' in send.frame]
    full = [send for send in context.publications if 'full' in send.frame]
    assert len(rows) == context.proxy_count and len(full) == 1, (len(rows), len(full))
    assert len({id(send.frame) for send in rows}) == 1


@behave.then('the connections encode it once, and compress it')
def frame_is_compressed_once(context):
    connections = peer_connections.PeerConnections(task.Clock(), FRAME_LIMIT_BYTES, None, None)
    frame = next(send.frame for send in context.publications if 'rows' in send.frame)
    first = connections.encoded(frame, True)
    assert connections.encoded(frame, True) is first
    assert first[:1] == peer_connections.COMPRESSED and len(first) < 1000
    assert json.loads(peer_connections.decompress_frame(first, FRAME_LIMIT_BYTES)) == json.loads(json.dumps(frame))
    assert connections.encoded(frame, False)[:1] == b'{'


@behave.then('none of the frames for them may be compressed')
def frames_are_not_compressed(context):
    assert len(context.publications) == context.proxy_count + 1 and not any(
        send.may_compress for send in context.publications
    )


@behave.given('the receiving end of a connection between two processes')
def receiving_end_of_connection(context):
    context.read = []
    connections = peer_connections.PeerConnections(
        task.Clock(), FRAME_LIMIT_BYTES, context.read.append, lambda address: None
    )
    context.end = peer_connections.InboundConnection(connections)
    context.end.connectionMade = lambda: None
    context.transport = testing.StringTransport()
    context.end.makeConnection(context.transport)


@behave.when('a compressed frame arrives that is {state}')
def compressed_frame_arrives(context, state: str):
    size = FRAME_LIMIT_BYTES + 10 if 'above' in state else 5000
    data = zlib.compress(json.dumps({'t': 'chk', 'x': 'y' * size}).encode(), 1)
    data = {
        'cut short': data[:-3],
        'followed by more bytes': data + b'more',
        'altered in a byte': data[:9] + bytes([data[9] ^ 255]) + data[10:],
    }.get(state, data)
    context.end.dataReceived(b'%d:%s,' % (len(data), data))


@behave.then('the frame is {verdict}')
def frame_is_accepted_or_refused(context, verdict: str):
    if verdict == 'read':
        assert len(context.read) == 1 and len(context.read[0]['x']) == 5000
    else:
        assert not context.read and context.transport.disconnecting


@behave.given('a leader with {count:d} proxies that follow it')
def leader_with_followers(context, count: int):
    context.proxy_count = count
    context.host = leading_control_node.LeadingControlNode(count)
    context.host.run_with_proxies(3000)


@behave.when('{seconds:d} s go by')
def seconds_pass(context, seconds: int):
    context.since = context.host.now
    context.host.heartbeats, context.host.grants = [], []
    context.host.run_with_proxies(1000 * seconds)


@behave.then('each proxy is sent a heartbeat about every {interval_ms:d} ms')
def heartbeat_interval_is_kept(context, interval_ms: int):
    host = context.host
    expected = durations.to_ms(host.now - context.since) / interval_ms
    for index in range(1, context.proxy_count + 1):
        count = sum(1 for _, proxy in host.heartbeats if proxy == index)
        assert abs(count - expected) <= 1.5, (index, count, expected)


@behave.then('none of them is ever without a lease')
def leases_are_never_missing(context):
    host = context.host
    for index in range(1, context.proxy_count + 1):
        until = None
        for time, _, heartbeat_sent_at, _ in (grant for grant in host.grants if grant[1] == index):
            assert until is None or time < until, (index, time, until)
            until = max(until or durations.ZERO, heartbeat_sent_at + host.machine.settings.lease)
        assert until > host.now, (index, until)


@behave.then('separate lease grants are {expected}')
def separate_grants_are(context, expected: str):
    separate = [is_piggybacked for _, _, _, is_piggybacked in context.host.grants if not is_piggybacked]
    assert (len(separate) > 0) == (expected == 'sent'), len(separate)


@behave.when('proxy {index:d} stops responding')
def proxy_falls_silent(context, index: int):
    context.since = context.host.now
    context.silent_proxy = index


@behave.then('within {limit_ms:d} ms it is removed from the members')
def silent_proxy_is_removed(context, limit_ms: int):
    context.host.run_with_proxies(limit_ms, silent={context.silent_proxy})
    members = context.host.machine.replica.get('members')
    assert f'p{context.silent_proxy}' not in members and len(members) == context.proxy_count, len(members)


@behave.then('no lease granted to proxy {index:d} outlasts its last response by more than {limit_ms:d} ms')
def leases_are_for_earlier_heartbeats(context, index: int, limit_ms: int):
    times = [time for time, proxy in context.host.heartbeats if proxy == index]
    last = max(time for time in times if time <= context.since)
    assert all(heartbeat_sent_at <= last for _, proxy, heartbeat_sent_at, _ in context.host.grants if proxy == index)


@behave.when('the routes change and proxy {index:d} never reports that it applied them')
def proxy_never_applies_change(context, index: int):
    host = context.host
    context.silent_proxy, context.since = index, host.now
    change_routes(host, {})
    host.feed('wake')
    host.grants = []
    host.run_with_proxies(6000, stale={index})


@behave.then('no grant to proxy {index:d} is based on a response from after the change')
def grants_are_for_earlier_responses(context, index: int):
    # A lease runs from the time of the response, so that the last one ends at most one lease after the change.
    grants = context.host.grants
    assert any(proxy != index and heartbeat_sent_at > context.since for _, proxy, heartbeat_sent_at, _ in grants)
    latest = context.since + durations.ms(1)
    late = [
        (proxy, heartbeat_sent_at)
        for _, proxy, heartbeat_sent_at, _ in grants
        if proxy == index and heartbeat_sent_at > latest
    ]
    assert not late, late[:3]


@behave.when(
    'it responds to heartbeat 7, and b leads again in the next term and grants a lease for heartbeat 7 without having sent it'
)
def grant_comes_from_next_term(context):
    host = context.host
    host.recv('b', 'chk', to=host.machine.node, term=host.machine.term, round=7)
    host.now += durations.ms(100)
    host.recv('b', 'chk', to=host.machine.node, term=host.machine.term + 1, round=1)
    host.recv('b', 'grant', term=host.machine.term, ack=7)


@behave.then('it is granted no lease')
def proxy_has_no_lease_from_grant(context):
    assert not context.host.machine.has_lease()


@behave.when('a scenario of {faults} with the shape of many runs under seed {seed:d}')
def scenario_of_shape_runs(context, faults: str, seed: int):
    context.finished_run = days.Scenario(seed, faults.split(','), 'many', durations.ms(15000)).run()


@behave.then('no checker found a violation in it')
def scenario_has_no_violation(context):
    machines = [node.machine for node in context.finished_run.world.of('core')]
    intervals = [
        machine.leadership.heartbeats.interval_for(peer) for machine in machines for peer in machine.peers.values()
    ]
    assert any(durations.to_ms(interval) > NORMAL_INTERVAL_MS for interval in intervals), (
        'no member was at the slower heartbeat interval'
    )
    assert not context.finished_run.verdicts(), context.finished_run.verdicts()
