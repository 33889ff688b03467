"""Connections between our own processes: netstrings of JSON over TCP.

A process opens one connection to each peer that it sends to; frames travel
only from the side that opened it. A frame is plain JSON, JSON compressed by
itself (`PACKED`), or part of the connection's compressed stream (`STREAMED`).
"""

import collections
import json
import socket
import typing
import zlib

import twisted.internet.interfaces as interfaces
import twisted.internet.protocol as protocol
import twisted.protocols.basic as basic
import twisted.python.failure as failure
from absl import logging

import zinctrail.consensus.message_kinds as message_kinds
import zinctrail.transport.twisted_types as twisted_types

# Frames that wait for a connection. A peer that does not read must not fill our memory.
MAX_WAITING_FRAMES = 1000
# How many encoded frames are kept to be sent to others, of any kind and of chunks of state.
RECENT_FRAMES_KEPT = 4
RECENT_CHUNKS_KEPT = 64
# The kind of frame that carries a chunk of state.
CHUNK_KIND = 'piece'
# Smaller frames are not compressed: what is saved would not pay for the work.
PACK_FROM = 1024
# The first byte of a compressed frame, and of a part of a compressed stream. No JSON object begins like either.
PACKED = b'x'
STREAMED = b'z'
# The lowest wire level whose processes read streamed frames.
STREAM_LEVEL = 2
# A process keeps one stream for each peer, so the window is small; what repeats in frames, the envelope, is short.
WINDOW_BITS, MEMORY_LEVEL = 13, 6
COMPRESSION_LEVEL = 1
# The last bytes of every part of a stream that is flushed; they are not sent.
FLUSHED = b'\x00\x00\xff\xff'
# How long a peer may acknowledge nothing. One behind a partition does not answer, and TCP alone would wait minutes.
SILENT_MS = 1200
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 1
# How many peers' wire levels are remembered: strangers must not be able to fill memory.
MAX_WIRE_LEVELS = 10000
# A frame, whether it may be packed, and its bytes.
EncodedFrame = tuple[dict, bool, bytes]


def limit_silence(transport: typing.Any, silent_ms: int) -> None:
    """Make TCP give up on a peer that acknowledges nothing for this long."""
    sock = transport.getHandle()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silent_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def unpack(data: bytes, max_bytes: int) -> bytes:
    """The JSON of a packed frame; ValueError if it is damaged, or larger than a frame may be."""
    decompressor = zlib.decompressobj()
    try:
        out = decompressor.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    # A few compressed bytes may stand for more than memory holds.
    if len(out) > max_bytes or not decompressor.eof or decompressor.unused_data:
        raise ValueError('not whole, or above the bound')
    return out


class InboundConnection(basic.NetstringReceiver):
    """A connection that a peer opened, over which it sends frames."""

    # Twisted declares a type without the methods of TCP.
    transport: typing.Any

    def __init__(self, connections: 'PeerConnections') -> None:
        self.connections = connections
        self.MAX_LENGTH = connections.max_frame_bytes
        # The peer's address, as its first frame tells it.
        self.addr: str | None = None
        # When it was opened, by the reactor.
        self.opened_at = 0.0
        # Whether an older connection from its address was still open when it spoke.
        self.replaced_another = False
        # The decompressor of its stream, from the first streamed frame on.
        self.stream: typing.Any = None

    def next_of_stream(self, data: bytes) -> bytes:
        """The JSON of the next frame of this connection's stream; ValueError if it is damaged or too large."""
        if self.stream is None:
            self.stream = zlib.decompressobj(-WINDOW_BITS)
        try:
            out = self.stream.decompress(data[1:] + FLUSHED, self.MAX_LENGTH + 1)
        except zlib.error as error:
            raise ValueError(str(error)) from error
        # A few compressed bytes may stand for more than memory holds.
        if len(out) > self.MAX_LENGTH or self.stream.unconsumed_tail or self.stream.eof:
            raise ValueError('stream ended, or frame above the bound')
        return out

    def connectionMade(self) -> None:
        """Set the socket's options and register the connection."""
        self.transport.setTcpNoDelay(True)
        limit_silence(self.transport, SILENT_MS)
        self.connections.inbound.add(self)
        self.opened_at = self.connections.reactor.seconds()

    def stringReceived(self, data: bytes) -> None:
        """Decode a frame and hand it on; a connection with an unreadable frame is closed."""
        connections = self.connections
        connections.received_bytes += len(data)
        try:
            if data[:1] == PACKED:
                data = unpack(data, self.MAX_LENGTH)
            elif data[:1] == STREAMED:
                data = self.next_of_stream(data)
            frame = json.loads(data)
            if not isinstance(frame, dict):
                raise ValueError('not an object')
        except (ValueError, RecursionError) as error:
            # The frame boundaries after this one can't be trusted either.
            logging.warning('peers: frame from %s can not be read: %s.', self.transport.getPeer(), error)
            self.transport.loseConnection()
            return
        if isinstance(frame.get('a'), str):
            if self.addr is None:
                self.addr = frame['a']
                connections.identified(self)
            connections.note_level(self.addr, frame.get('v'))
        # Unknown kinds are counted together, so that strangers can't fill memory with names.
        kind = frame.get('t')
        connections.received_by_kind[kind if isinstance(kind, str) and kind in message_kinds.MESSAGES else '?'] += 1
        connections.on_frame(frame)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Forget the connection."""
        self.connections.inbound.discard(self)
        if self.addr is not None:
            self.connections.inbound_closed(self)


class InboundFactory(protocol.ServerFactory):
    """Makes the protocols of connections that peers open."""

    noisy = False

    def __init__(self, connections: 'PeerConnections') -> None:
        self.connections = connections

    def buildProtocol(self, addr: interfaces.IAddress | None) -> InboundConnection:
        """The protocol of a new connection."""
        return InboundConnection(self.connections)


class OutboundFactory(protocol.ReconnectingClientFactory):
    """Opens the connection to one peer and holds the frames that wait for it."""

    noisy = False

    def __init__(self, connections: 'PeerConnections', addr: str) -> None:
        self.connections = connections
        self.addr = addr
        self.created_at = connections.reactor.seconds()
        # Encoded frames that wait for the connection.
        self.waiting: collections.deque[bytes] = collections.deque()
        self.connection: OutboundConnection | None = None

    def buildProtocol(self, addr: interfaces.IAddress | None) -> 'OutboundConnection':
        """The protocol of the new connection."""
        self.connection = OutboundConnection(self)
        return self.connection

    def clientConnectionFailed(self, connector: typing.Any, reason: failure.Failure) -> None:
        """Report that the peer can't be reached; no reconnection is tried."""
        self.connections.outbound_closed(self)

    def clientConnectionLost(self, connector: typing.Any, reason: failure.Failure) -> None:
        """Report that the peer is lost; no reconnection is tried."""
        self.connections.outbound_closed(self)


class OutboundConnection(basic.NetstringReceiver):
    """A connection that we opened, over which we send frames."""

    # Twisted declares types without the methods of TCP, and without the fields of our factory.
    transport: typing.Any
    factory: typing.Any

    def __init__(self, factory: OutboundFactory) -> None:
        self.factory = factory
        # The compressor of its stream, from the first streamed frame on.
        self.stream: typing.Any = None

    def connectionMade(self) -> None:
        """Set the socket's options and send the frames that waited."""
        self.transport.setTcpNoDelay(True)
        limit_silence(self.transport, SILENT_MS)
        waiting = self.factory.waiting
        while waiting:
            self.put(waiting.popleft())

    def put(self, data: bytes) -> None:
        """Send an encoded frame, as a part of the stream where the peer reads streams.

        It is added to the stream only now, not while it waits: a stream holds
        exactly what its connection carries. One stream serves the whole
        connection because most of a frame repeats the frame before it; packed
        frames stay out of it, since they were compressed once for many peers.
        """
        connections = self.factory.connections
        if data[:1] != PACKED and connections.wire_levels.get(self.factory.addr, 0) >= STREAM_LEVEL:
            if self.stream is None:
                self.stream = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)
            data = STREAMED + (self.stream.compress(data) + self.stream.flush(zlib.Z_SYNC_FLUSH))[: -len(FLUSHED)]
        connections.wire_bytes += len(data)
        self.sendString(data)

    def stringReceived(self, data: bytes) -> None:
        """Close the connection: the other side of it sends nothing."""
        self.transport.loseConnection()


class PeerConnections:
    """All connections between this process and its peers.

    :param on_frame: called with every frame received.
    :param on_lost: called with the address of a peer whose connection was lost.
    """

    def __init__(
        self,
        reactor: twisted_types.Reactor,
        max_frame_bytes: int,
        on_frame: typing.Callable[[dict], typing.Any],
        on_lost: typing.Callable[[str], typing.Any],
    ) -> None:
        self.reactor = reactor
        self.max_frame_bytes = max_frame_bytes
        self.on_frame = on_frame
        self.on_lost = on_lost
        # Connections that we opened, by address, and those that peers opened.
        self.outbound: dict[str, OutboundFactory] = {}
        self.inbound: set[InboundConnection] = set()
        # The newest inbound connection of each address.
        self.newest_inbound: dict[str, InboundConnection] = {}
        self.is_closing = False
        # The frames encoded last. Each entry keeps its message alive, so that no other object can get its identity.
        self.recent_frames: collections.deque[EncodedFrame] = collections.deque(maxlen=RECENT_FRAMES_KEPT)
        # The same for chunks of state: members that catch up at the same time are at different chunks.
        self.recent_chunks: collections.deque[EncodedFrame] = collections.deque(maxlen=RECENT_CHUNKS_KEPT)
        self.sent_frames = 0
        self.sent_bytes = 0
        # Bytes of those frames after the streams compressed them.
        self.wire_bytes = 0
        # The wire levels of peers that sent us something.
        self.wire_levels: dict[str, int] = {}
        self.sent_bytes_by_kind: collections.Counter[str] = collections.Counter()
        self.sent_by_kind: collections.Counter[str] = collections.Counter()
        self.received_by_kind: collections.Counter[str] = collections.Counter()
        self.received_bytes = 0

    def listen(self, addr: str) -> interfaces.IListeningPort:
        """Accept connections of peers, and return the listening port."""
        host, port = split_address(addr)
        return self.reactor.listenTCP(port, InboundFactory(self), interface=host)

    def encoded(self, frame: dict, may_compress: bool) -> bytes:
        """The bytes of a frame, kept for a while because a publication goes to many peers."""
        recent = self.recent_chunks if frame.get('t') == CHUNK_KIND else self.recent_frames
        for kept, packed, data in recent:
            if kept is frame and packed == may_compress:
                return data
        data = json.dumps(frame, separators=(',', ':')).encode()
        if may_compress and PACK_FROM < len(data) <= self.max_frame_bytes:
            data = zlib.compress(data, COMPRESSION_LEVEL)
        recent.append((frame, may_compress, data))
        return data

    def send(self, addr: str, frame: dict, may_compress: bool = False) -> None:
        """Send a frame to a peer, over a new connection where none is open.

        A frame above the limit is logged as an error, because it must not vanish silently.
        """
        data = self.encoded(frame, may_compress)
        if len(data) > self.max_frame_bytes:
            logging.error(
                'peers: frame %s of %d bytes is above the limit of %d, not sent.',
                frame.get('t'),
                len(data),
                self.max_frame_bytes,
            )
            return
        kind: typing.Any = frame.get('t')
        self.sent_frames += 1
        self.sent_bytes += len(data)
        self.sent_bytes_by_kind[kind] += len(data)
        self.sent_by_kind[kind] += 1
        peer = self.outbound.get(addr)
        if peer is None:
            peer = self._connect(addr)
        connection = peer.connection
        if connection is not None and connection.transport is not None and connection.connected:
            connection.put(data)
        elif len(peer.waiting) < MAX_WAITING_FRAMES:
            peer.waiting.append(data)

    def _connect(self, addr: str) -> OutboundFactory:
        peer = self.outbound[addr] = OutboundFactory(self, addr)
        host, port = split_address(addr)
        self.reactor.connectTCP(host, port, peer, timeout=CONNECT_TIMEOUT_S)
        return peer

    def note_level(self, addr: str, level: typing.Any) -> None:
        """Remember the wire level that a peer's frame tells."""
        if self.wire_levels.get(addr) != level and isinstance(level, int):
            if len(self.wire_levels) > MAX_WIRE_LEVELS:
                self.wire_levels.clear()
            self.wire_levels[addr] = level

    def outbound_closed(self, peer: OutboundFactory) -> None:
        """Forget a connection that we opened, and report its peer as lost unless a newer process is there."""
        if self.outbound.get(peer.addr) is peer:
            del self.outbound[peer.addr]
        # Whoever listens there next may run an older program.
        self.wire_levels.pop(peer.addr, None)
        # A connection to the process that was there before says nothing about the one that is there now.
        newest = self.newest_inbound.get(peer.addr)
        is_stale = (
            newest is not None
            and newest.opened_at > peer.created_at
            and (newest.replaced_another or peer.connection is None)
        )
        if not self.is_closing and not is_stale:
            self.on_lost(peer.addr)

    def identified(self, connection: InboundConnection) -> None:
        """The first frame of an inbound connection has told its peer's address."""
        assert connection.addr is not None
        connection.replaced_another = connection.addr in self.newest_inbound
        self.newest_inbound[connection.addr] = connection

    def inbound_closed(self, connection: InboundConnection) -> None:
        """Report a peer as lost whose newest connection to us has closed.

        Older ones don't count: TCP may notice their end seconds after the next process there has connected.
        """
        assert connection.addr is not None
        if self.newest_inbound.get(connection.addr) is connection:
            del self.newest_inbound[connection.addr]
            if not self.is_closing:
                self.on_lost(connection.addr)

    def close(self) -> None:
        """Close all connections without reporting any peer as lost."""
        self.is_closing = True
        for peer in list(self.outbound.values()):
            if peer.connection is not None and peer.connection.transport is not None:
                peer.connection.transport.loseConnection()
        for connection in list(self.inbound):
            connection.transport.loseConnection()


def split_address(addr: str) -> tuple[str, int]:
    """The host and the port of an IP:PORT."""
    host, _, port = addr.rpartition(':')
    return host, int(port)
