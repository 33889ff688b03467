"""Steps of stream.feature: frames on a connection between processes, compressed as one stream."""

import random
import zlib

import behave
import twisted.internet.task as task
import twisted.internet.testing as testing

import zinctrail.transport.peer_connections as peer_connections

ADDRESS = '10.0.0.2:1000'
FRAME_LIMIT_BYTES = 200000
# How many bytes arrive at once: an odd number, because a connection carries bytes and not frames.
SEGMENT_BYTES = 997
# The bits to flip in the first byte, so that the stream can not be decompressed.
BROKEN_BITS = 0x06
# The trailer of a sync flush, which the sender leaves out.
FLUSH_TRAILER_BYTES = 4


class Wire(testing.StringTransport):
    """A transport that records written bytes, and accepts the options of a socket."""

    def setTcpNoDelay(self, enabled):
        """Ignore the option."""

    def getHandle(self):
        """Return the socket, which this object stands in for."""
        return self

    def setsockopt(self, *arguments):
        """Ignore the option."""


class Connection:
    """An outbound connection and the peer's end of it; `carry` moves the bytes between them."""

    def __init__(self, level):
        self.received = []
        self.here, self.there = new_connections([]), new_connections(self.received)
        self.level = level
        self.outgoing = peer_connections.OutboundFactory(self.here, ADDRESS)
        self.here.outbound[ADDRESS] = self.outgoing
        self.carried_bytes = 0

    def connect(self):
        """Connect both ends; the level of the other side is known if it has sent it."""
        if self.level is not None:
            self.here.record_wire_level(ADDRESS, self.level)
        self.transport, self.end, self.end_transport = Wire(), peer_connections.InboundConnection(self.there), Wire()
        self.end.makeConnection(self.end_transport)
        self.outgoing.buildProtocol(None).makeConnection(self.transport)

    def reconnect(self):
        """Lose the connection and make another one."""
        self.here.outbound_closed(self.outgoing)
        self.here.outbound[ADDRESS] = self.outgoing
        self.connect()

    def carry(self):
        """Deliver the written bytes to the other side, in segments."""
        data = self.transport.value()
        self.transport.clear()
        self.carried_bytes += len(data)
        while data:
            self.end.dataReceived(data[:SEGMENT_BYTES])
            data = data[SEGMENT_BYTES:]


def new_connections(received):
    """Return the connections of a process, which append each received frame to `received`."""
    return peer_connections.PeerConnections(task.Clock(), FRAME_LIMIT_BYTES, received.append, lambda addr: None)


def heartbeat_responses():
    """Return 200 frames, most of them small and some large."""
    rng = random.Random(5)
    sizes = [0] * 190 + [3000] * 8 + [90000] * 2
    rng.shuffle(sizes)
    return [
        {
            't': 'chk_re',
            'v': 2,
            'c': 'c' * 32,
            'f': 'node-a',
            'a': '10.0.0.1:1000',
            'term': 3,
            'round': number,
            'accepted': [3, 1000 + number],
            'committed': [3, 990 + number],
            'beats': [f'{rng.getrandbits(40):x}' for _ in range(size // 13)],
        }
        for number, size in enumerate(sizes)
    ]


@behave.given('a connection to a process of level {level}')
def connection_to_level(context, level: str):
    context.is_late = level.endswith(' that comes up late')
    level = level.split(' ')[0]
    context.connection = Connection(None if level == 'unknown' else int(level))
    if not context.is_late:
        context.connection.connect()


def send_frames(context):
    """Send the frames and carry them to the other side."""
    connection, context.sent = context.connection, getattr(context, 'sent', [])
    for frame in heartbeat_responses():
        connection.here.send(ADDRESS, frame)
        context.sent.append(frame)
    if context.is_late:
        connection.connect()
    connection.carry()


@behave.when('200 frames of all sizes are sent')
def frames_sent(context):
    send_frames(context)


@behave.when('the connection breaks and 200 more are sent over the next')
def frames_sent_over_next(context):
    context.connection.reconnect()
    send_frames(context)


@behave.then('they arrive complete and in order')
def frames_arrive(context):
    received = context.connection.received
    assert received == context.sent, (len(received), len(context.sent))


@behave.then('the connection carries {size} of their bytes')
def carried_bytes_are(context, size: str):
    connection = context.connection
    is_compressed = connection.carried_bytes < connection.here.sent_bytes * 0.6
    assert is_compressed == (size != 'all'), (connection.carried_bytes, connection.here.sent_bytes)
    assert connection.here.wire_bytes <= connection.carried_bytes


def netstring(data):
    """Return bytes with their length before them."""
    return b'%d:%s,' % (len(data), data)


@behave.when('the other side receives {content}')
def malformed_stream_sent(context, content: str):
    compressor = zlib.compressobj(1, zlib.DEFLATED, -peer_connections.WINDOW_BITS, peer_connections.MEMORY_LEVEL)
    if 'decompresses' in content:
        too_long = b'{"t": "' + b'x' * (FRAME_LIMIT_BYTES + 10) + b'"}'
        body = compressor.compress(too_long) + compressor.flush(zlib.Z_SYNC_FLUSH)
    elif 'ends' in content:
        body = compressor.compress(b'{"t": "leave"}') + compressor.flush(zlib.Z_FINISH) + peer_connections.FLUSH_TRAILER
    else:
        frame = b'{"t": "leave", "f": "b", "a": "10.0.0.1:1000"}'
        body = compressor.compress(frame) + compressor.flush(zlib.Z_SYNC_FLUSH)
        body = bytes([body[0] ^ BROKEN_BITS]) + body[1:]
    context.connection.end.dataReceived(netstring(peer_connections.STREAMED + body[:-FLUSH_TRAILER_BYTES]))


@behave.then('it closes the connection and delivers no frame')
def connection_closed(context):
    connection = context.connection
    assert connection.end_transport.disconnecting and not connection.received, connection.received
