"""Connections between our own processes: frames of JSON in netstrings over TCP.

A process opens one connection to each peer that it sends to; frames are sent
only by the side that opened it. A frame is plain JSON, separately compressed
JSON (`COMPRESSED`), or part of the connection's compressed stream (`STREAMED`).
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

# How many frames to one peer are queued until its connection is open. An unreachable peer must not fill our memory.
MAX_WAITING_FRAMES = 1000
# How many encoded frames are cached for sending to further peers: frames with chunks of state, and all others.
MAX_RECENT_FRAMES = 4
MAX_RECENT_CHUNKS = 64
# The kind of frame that carries a chunk of state.
CHUNK_KIND = 'piece'
# Smaller frames are not compressed: the bytes saved would not justify the processor time.
COMPRESSION_THRESHOLD_BYTES = 1024
# The first byte of a separately compressed frame, and of a streamed frame. No JSON object begins with either.
COMPRESSED = b'x'
STREAMED = b'z'
# The lowest wire level at which a process can read streamed frames.
STREAM_LEVEL = 2
# A process has one stream per peer, so the window is small; it suffices for the envelope, the part of frames that
# repeats, which is short.
WINDOW_BITS, MEMORY_LEVEL = 13, 6
COMPRESSION_LEVEL = 1
# The bytes with which zlib ends every flushed block; they are not sent, and the receiver appends them again.
FLUSH_TRAILER = b'\x00\x00\xff\xff'
# How long a peer may leave sent bytes unacknowledged. One behind a partition does not respond, and TCP's default
# timeout is minutes.
DEAD_PEER_TIMEOUT_MS = 1200
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 1
# How many peers' wire levels are stored: unknown senders must not be able to fill memory.
MAX_WIRE_LEVELS = 10000
# (frame, whether it may be compressed, its encoded bytes).
EncodedFrame = tuple[dict, bool, bytes]


def set_dead_peer_timeout(transport: typing.Any, timeout_ms: int) -> None:
    """Make TCP close the connection if the peer acknowledges nothing for `timeout_ms`; also enable keepalives."""
    sock = transport.getHandle()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def decompress_frame(data: bytes, max_bytes: int) -> bytes:
    """Return the JSON of a separately compressed frame; raises ValueError if it is damaged, or above `max_bytes`."""
    decompressor = zlib.decompressobj()
    try:
        out = decompressor.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    # A few compressed bytes may expand to more than fits into memory.
    if len(out) > max_bytes or not decompressor.eof or decompressor.unused_data:
        raise ValueError(f'compressed frame is incomplete, has trailing bytes, or is larger than {max_bytes} bytes')
    return out


class InboundConnection(basic.NetstringReceiver):
    """A connection that a peer opened and sends frames over."""

    # The type that Twisted declares lacks the methods of TCP.
    transport: typing.Any

    def __init__(self, connections: 'PeerConnections') -> None:
        self.connections = connections
        self.MAX_LENGTH = connections.max_frame_bytes
        # The peer's address, which its first frame contains.
        self.addr: str | None = None
        # The reactor's time at which the connection was opened.
        self.opened_at = 0.0
        # True if an older connection from the same address was still open when the first frame arrived.
        self.replaced_another = False
        # The decompressor of the stream, created with the first streamed frame.
        self.stream: typing.Any = None

    def next_stream_frame(self, data: bytes) -> bytes:
        """Return the JSON of the stream's next frame; raises ValueError if it is damaged or too large."""
        if self.stream is None:
            self.stream = zlib.decompressobj(-WINDOW_BITS)
        try:
            out = self.stream.decompress(data[1:] + FLUSH_TRAILER, self.MAX_LENGTH + 1)
        except zlib.error as error:
            raise ValueError(str(error)) from error
        # A few compressed bytes may expand to more than fits into memory.
        if len(out) > self.MAX_LENGTH or self.stream.unconsumed_tail or self.stream.eof:
            raise ValueError(f'compressed stream ended, or a streamed frame is larger than {self.MAX_LENGTH} bytes')
        return out

    def connectionMade(self) -> None:
        """Set the socket options and register the connection."""
        self.transport.setTcpNoDelay(True)
        set_dead_peer_timeout(self.transport, DEAD_PEER_TIMEOUT_MS)
        self.connections.inbound.add(self)
        self.opened_at = self.connections.reactor.seconds()

    def stringReceived(self, data: bytes) -> None:
        """Decode a frame and pass it on; a connection with an undecodable frame is closed."""
        connections = self.connections
        connections.received_bytes += len(data)
        try:
            if data[:1] == COMPRESSED:
                data = decompress_frame(data, self.MAX_LENGTH)
            elif data[:1] == STREAMED:
                data = self.next_stream_frame(data)
            frame = json.loads(data)
            if not isinstance(frame, dict):
                raise ValueError('not a JSON object')
        except (ValueError, RecursionError) as error:
            # The boundaries of the frames after this one can't be trusted either.
            logging.warning(
                'peers: closing connection from %s: undecodable frame: %s.', self.transport.getPeer(), error
            )
            self.transport.loseConnection()
            return
        if isinstance(frame.get('a'), str):
            if self.addr is None:
                self.addr = frame['a']
                connections.identified(self)
            connections.record_wire_level(self.addr, frame.get('v'))
        # Unknown kinds are counted together, so that unknown senders can't fill memory with names.
        kind = frame.get('t')
        connections.received_by_kind[kind if isinstance(kind, str) and kind in message_kinds.MESSAGES else '?'] += 1
        connections.on_frame(frame)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Unregister the connection."""
        self.connections.inbound.discard(self)
        if self.addr is not None:
            self.connections.inbound_closed(self)


class InboundFactory(protocol.ServerFactory):
    """Creates the protocols of connections that peers open."""

    noisy = False

    def __init__(self, connections: 'PeerConnections') -> None:
        self.connections = connections

    def buildProtocol(self, addr: interfaces.IAddress | None) -> InboundConnection:
        """Return the protocol of a new connection."""
        return InboundConnection(self.connections)


class OutboundFactory(protocol.ReconnectingClientFactory):
    """Opens the connection to one peer, and queues frames until it is open."""

    noisy = False

    def __init__(self, connections: 'PeerConnections', addr: str) -> None:
        self.connections = connections
        self.addr = addr
        self.created_at = connections.reactor.seconds()
        # Encoded frames, queued until the connection is open.
        self.waiting: collections.deque[bytes] = collections.deque()
        self.connection: OutboundConnection | None = None

    def buildProtocol(self, addr: interfaces.IAddress | None) -> 'OutboundConnection':
        """Create and return the protocol of the new connection."""
        self.connection = OutboundConnection(self)
        return self.connection

    def clientConnectionFailed(self, connector: typing.Any, reason: failure.Failure) -> None:
        """Report the peer as unreachable; no reconnection is tried."""
        self.connections.outbound_closed(self)

    def clientConnectionLost(self, connector: typing.Any, reason: failure.Failure) -> None:
        """Report the peer as lost; no reconnection is tried."""
        self.connections.outbound_closed(self)


class OutboundConnection(basic.NetstringReceiver):
    """A connection that this process opened and sends frames over."""

    # The types that Twisted declares lack the methods of TCP and the fields of our factory.
    transport: typing.Any
    factory: typing.Any

    def __init__(self, factory: OutboundFactory) -> None:
        self.factory = factory
        # The compressor of the stream, created with the first streamed frame.
        self.stream: typing.Any = None

    def connectionMade(self) -> None:
        """Set the socket options and send the queued frames."""
        self.transport.setTcpNoDelay(True)
        set_dead_peer_timeout(self.transport, DEAD_PEER_TIMEOUT_MS)
        waiting = self.factory.waiting
        while waiting:
            self.put(waiting.popleft())

    def put(self, data: bytes) -> None:
        """Send an encoded frame, as part of the compressed stream if the peer can read streams.

        A frame is compressed only when it is sent, not while it is queued: the
        stream must contain exactly what its connection carries. One stream
        serves the whole connection because most of a frame repeats the frame
        before it. Separately compressed frames are not added to the stream,
        since they were compressed once for many peers.
        """
        connections = self.factory.connections
        if data[:1] != COMPRESSED and connections.wire_levels.get(self.factory.addr, 0) >= STREAM_LEVEL:
            if self.stream is None:
                self.stream = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)
            data = STREAMED + (self.stream.compress(data) + self.stream.flush(zlib.Z_SYNC_FLUSH))[: -len(FLUSH_TRAILER)]
        connections.wire_bytes += len(data)
        self.sendString(data)

    def stringReceived(self, data: bytes) -> None:
        """Close the connection: the peer must not send anything over it."""
        self.transport.loseConnection()


class PeerConnections:
    """All connections between this process and its peers.

    :param on_frame: called with every received frame.
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
        # {address: a connection that this process opened}, and the connections that peers opened.
        self.outbound: dict[str, OutboundFactory] = {}
        self.inbound: set[InboundConnection] = set()
        # The newest inbound connection of each address.
        self.newest_inbound: dict[str, InboundConnection] = {}
        self.is_closing = False
        # The most recently encoded frames, found by object identity. Each entry references its frame, so that no other
        # object can get the same identity.
        self.recent_frames: collections.deque[EncodedFrame] = collections.deque(maxlen=MAX_RECENT_FRAMES)
        # The same for chunks of state: members that catch up at the same time receive different chunks.
        self.recent_chunks: collections.deque[EncodedFrame] = collections.deque(maxlen=MAX_RECENT_CHUNKS)
        self.sent_frames = 0
        self.sent_bytes = 0
        # Bytes of the sent frames after stream compression.
        self.wire_bytes = 0
        # {address: the wire level in the last frame of that peer}.
        self.wire_levels: dict[str, int] = {}
        self.sent_bytes_by_kind: collections.Counter[str] = collections.Counter()
        self.sent_by_kind: collections.Counter[str] = collections.Counter()
        self.received_by_kind: collections.Counter[str] = collections.Counter()
        self.received_bytes = 0

    def listen(self, addr: str) -> interfaces.IListeningPort:
        """Listen for connections of peers, and return the listening port."""
        host, port = split_address(addr)
        return self.reactor.listenTCP(port, InboundFactory(self), interface=host)

    def encoded(self, frame: dict, may_compress: bool) -> bytes:
        """Return the bytes of a frame, cached for a short time because a publication is sent to many peers."""
        recent = self.recent_chunks if frame.get('t') == CHUNK_KIND else self.recent_frames
        for cached, cached_may_compress, data in recent:
            if cached is frame and cached_may_compress == may_compress:
                return data
        data = json.dumps(frame, separators=(',', ':')).encode()
        if may_compress and COMPRESSION_THRESHOLD_BYTES < len(data) <= self.max_frame_bytes:
            data = zlib.compress(data, COMPRESSION_LEVEL)
        recent.append((frame, may_compress, data))
        return data

    def send(self, addr: str, frame: dict, may_compress: bool = False) -> None:
        """Send a frame to a peer, over a new connection if none is open.

        A frame above the size limit is not sent, and logged as an error, because it must not vanish silently.
        """
        data = self.encoded(frame, may_compress)
        if len(data) > self.max_frame_bytes:
            logging.error(
                'peers: frame of kind %s not sent: its %d bytes are above the limit of %d.',
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

    def record_wire_level(self, addr: str, level: typing.Any) -> None:
        """Store the wire level that a peer's frame contains."""
        if self.wire_levels.get(addr) != level and isinstance(level, int):
            if len(self.wire_levels) > MAX_WIRE_LEVELS:
                self.wire_levels.clear()
            self.wire_levels[addr] = level

    def outbound_closed(self, peer: OutboundFactory) -> None:
        """Remove an outbound connection, and report its peer as lost unless a newer process listens at its address."""
        if self.outbound.get(peer.addr) is peer:
            del self.outbound[peer.addr]
        # The next process at this address may run an older release.
        self.wire_levels.pop(peer.addr, None)
        # The loss of a connection to an earlier process at this address does not concern the process there now.
        newest = self.newest_inbound.get(peer.addr)
        is_stale = (
            newest is not None
            and newest.opened_at > peer.created_at
            and (newest.replaced_another or peer.connection is None)
        )
        if not self.is_closing and not is_stale:
            self.on_lost(peer.addr)

    def identified(self, connection: InboundConnection) -> None:
        """Register an inbound connection under its peer's address, which its first frame contained."""
        assert connection.addr is not None
        connection.replaced_another = connection.addr in self.newest_inbound
        self.newest_inbound[connection.addr] = connection

    def inbound_closed(self, connection: InboundConnection) -> None:
        """Report a peer as lost if its newest connection to this process has closed.

        Older connections are ignored: TCP may detect their end seconds after the next process there has connected.
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
    """Return the host and the port of an IP:PORT."""
    host, _, port = addr.rpartition(':')
    return host, int(port)
