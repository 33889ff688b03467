"""Frames from peers to a control node that leads, one that follows, and a proxy."""

import json
import os
import typing

import hypothesis.strategies as st
import twisted.internet.reactor as reactor

import features.support.control_node as control_node
import features.support.following_proxy as following_proxy
import features.support.machine_host as machine_host
import features.support.net.documents as documents
import features.support.net.strategies as strategies
import features.support.raw_client as raw_client
import features.support.reactor_thread as reactor_thread
import features.support.repository as repository
import zinctrail.runtime.effects as effects
import zinctrail.transport.peer_connections as peer_connections

SAMPLES_FILE = os.path.join(repository.ROOT, 'features', 'data', 'frames.json')
MACHINES = ('leader', 'follower', 'proxy')


def samples() -> list[dict]:
    """Return a frame of each form that a fleet sends."""
    with open(SAMPLES_FILE, encoding='utf-8') as file:
        return [json.loads(text) for text in json.load(file)]


class Drawn(typing.NamedTuple):
    """A frame like one of a fleet, with some fields replaced or left out, and who receives it."""

    sample: dict
    replaced: dict[int, str]
    left_out: set[int]
    is_of_our_cluster: bool
    receiver: str

    def frame(self) -> dict:
        """Return the frame."""
        fields = list(self.sample)
        frame = dict(self.sample)
        for place, text in self.replaced.items():
            frame[fields[place % len(fields)]] = parsed(text)
        for place in self.left_out:
            frame.pop(fields[place % len(fields)], None)
        if self.is_of_our_cluster:
            frame['c'] = machine_host.CLUSTER
        return frame


def parsed(text: str) -> typing.Any:
    """Return the value of a JSON text as the transport reads it; the text itself where it is none."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return text


def frames() -> st.SearchStrategy[Drawn]:
    """Draw a frame."""
    places = st.integers(0, 20)
    return st.builds(
        Drawn,
        st.sampled_from(samples()),
        st.dictionaries(places, strategies.JSON_TEXTS, max_size=2),
        st.sets(places, max_size=1),
        st.booleans(),
        st.sampled_from(MACHINES),
    )


# -- the port of frames -------------------------------------------------------------

PREFIXES = st.sampled_from([b'', b'\x01', b'\x02', b'Z', b'S'])
PIECES = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(
        [b'5:hello,', b'2:[],', b'2:{},', b'999999999999:x', b'-1:', b'0:,', b'3:abc;', b':', b'00000001:a,']
    ),
    st.tuples(PREFIXES, strategies.JSON_TEXTS).map(lambda parts: netstring(parts[0] + parts[1].encode())),
)
PORT_BYTES = st.lists(PIECES, min_size=1, max_size=4).map(b''.join)


def netstring(data: bytes) -> bytes:
    """Return the bytes of a frame on a connection."""
    return b'%d:%s,' % (len(data), data)


class FramePort:
    """A port of frames on loopback, and the frames that arrived."""

    def __init__(self) -> None:
        self.arrived: list[dict] = []
        self.connections = peer_connections.PeerConnections(reactor, 1 << 20, self.arrived.append, lambda address: None)
        self.port = reactor_thread.call(self.connections.listen, '127.0.0.1:0').getHost().port
        self.count = 0


def check_port(port: FramePort, data: bytes) -> None:
    """Somebody sends bytes to the port of frames: a frame on another connection still arrives."""
    client = raw_client.RawClient(port.port)
    client.send(data)
    port.count += 1
    ordinary = raw_client.RawClient(port.port)
    ordinary.send(netstring(json.dumps({'t': 'net', 'number': port.count, 'a': '127.0.0.1:1'}).encode()))
    reactor_thread.wait_for(lambda: any(frame.get('number') == port.count for frame in port.arrived))
    for each in (client, ordinary):
        each.socket.close()
    reactor_thread.wait_for(lambda: not port.connections.inbound)
    port.arrived.clear()


def receive(machine: typing.Any, feed: typing.Callable, frame: dict) -> None:
    """Let a machine receive a frame, pass on what it raises, and run on."""
    guard = getattr(machine, 'guard', None)
    if guard is not None:
        guard.passes_on = True
    feed('recv', frame)


def check_frame(drawn: Drawn) -> None:
    """A machine receives a frame: it raises nothing, runs on, and answers a page."""
    frame = drawn.frame()
    if drawn.receiver == 'leader':
        leader = documents.Leader()
        receive(leader.node.machine, leader.node.feed, frame)
        leader.node.run(3000)
        response = leader.send('GET', '/v1/live', '')
        assert response is not None and response.status == 200
        return
    host = control_node.ControlNode() if drawn.receiver == 'follower' else following_proxy.FollowingProxy()
    receive(host.machine, host.feed, frame)
    host.run(3000)
    host.feed('http', 99, effects.HttpRequest('GET', '/v1/live', {}, b''))
    assert host.responses[99][0] == 200, host.responses[99]
