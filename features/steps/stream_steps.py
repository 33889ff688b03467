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
# Flips bits of the first byte, so that the compressed stream can not be read.
BROKEN_BITS = 0x06
# What a sync flush ends with, which the sender leaves out.
FLUSH_TRAILER_BYTES = 4


class Wire(testing.StringTransport):
    """A transport that keeps what is written, and takes the options of a socket."""

    def setTcpNoDelay(self, enabled):
        """Take the option."""

    def getHandle(self):
        """The socket, which this is as well."""
        return self

    def setsockopt(self, *arguments):
        """Take the option."""


class Connection:
    """One side's outgoing connection and the other side's end of it, with the bytes carried by hand."""

    def __init__(self, level):
        self.received = []
        self.here, self.there = new_links([]), new_links(self.received)
        self.level = level
        self.outgoing = peer_connections.OutboundFactory(self.here, ADDRESS)
        self.here.outbound[ADDRESS] = self.outgoing
        self.carried_bytes = 0

    def connect(self):
        """Bring both ends up; the level of the other side is known where it has told it."""
        if self.level is not None:
            self.here.record_wire_level(ADDRESS, self.level)
        self.transport, self.end, self.end_transport = Wire(), peer_connections.InboundConnection(self.there), Wire()
        self.end.makeConnection(self.end_transport)
        self.outgoing.buildProtocol(None).makeConnection(self.transport)

    def reconnect(self):
        """Lose the connection and make the next one."""
        self.here.outbound_closed(self.outgoing)
        self.here.outbound[ADDRESS] = self.outgoing
        self.connect()

    def carry(self):
        """Hand what was written to the other side, in segments."""
        data = self.transport.value()
        self.transport.clear()
        self.carried_bytes += len(data)
        while data:
            self.end.dataReceived(data[:SEGMENT_BYTES])
            data = data[SEGMENT_BYTES:]


def new_links(received):
    """The connections of a process that appends each frame it gets to `received`."""
    return peer_connections.PeerConnections(task.Clock(), FRAME_LIMIT_BYTES, received.append, lambda addr: None)


def heartbeat_responses():
    """200 frames, most of them small and some large."""
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


@behave.then('they arrive whole and in order')
def frames_arrive(context):
    received = context.connection.received
    assert received == context.sent, (len(received), len(context.sent))


@behave.then('what went out is {size} of them')
def carried_bytes_are(context, size: str):
    connection = context.connection
    is_compressed = connection.carried_bytes < connection.here.sent_bytes * 0.6
    assert is_compressed == (size != 'all'), (connection.carried_bytes, connection.here.sent_bytes)
    assert connection.here.wire_bytes <= connection.carried_bytes


def netstring(data):
    """Bytes with their length before them."""
    return b'%d:%s,' % (len(data), data)


@behave.when('the other side is sent {what}')
def malformed_stream_sent(context, what: str):
    compressor = zlib.compressobj(1, zlib.DEFLATED, -peer_connections.WINDOW_BITS, peer_connections.MEMORY_LEVEL)
    if 'unfolds' in what:
        too_long = b'{"t": "' + b'x' * (FRAME_LIMIT_BYTES + 10) + b'"}'
        body = compressor.compress(too_long) + compressor.flush(zlib.Z_SYNC_FLUSH)
    elif 'over' in what:
        body = compressor.compress(b'{"t": "leave"}') + compressor.flush(zlib.Z_FINISH) + peer_connections.FLUSH_TRAILER
    else:
        frame = b'{"t": "leave", "f": "b", "a": "10.0.0.1:1000"}'
        body = compressor.compress(frame) + compressor.flush(zlib.Z_SYNC_FLUSH)
        body = bytes([body[0] ^ BROKEN_BITS]) + body[1:]
    context.connection.end.dataReceived(netstring(peer_connections.STREAMED + body[:-FLUSH_TRAILER_BYTES]))


@behave.then('it closes the connection without a frame')
def connection_closed(context):
    connection = context.connection
    assert connection.end_transport.disconnecting and not connection.received, connection.received
