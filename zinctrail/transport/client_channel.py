"""One HTTP connection of a client: time limits, what it holds, and responses that leave only as fast as they are read."""

import socket
import typing

import twisted.internet.protocol as protocol
import twisted.python.failure as failure
import twisted.web.http as http

import zinctrail.runtime.effects as effects
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.client_connections as client_connections
import zinctrail.transport.payload as payload

# How long the connection of a refused client stays open after the response. Closing it with unread bytes would reset
# it, and the response would be lost.
LINGER_S = 1.0
# How long a connection may take to send its remaining data after an orderly close; then it is aborted.
MAX_CLOSE_S = 10.0
# The Retry-After, in seconds, for a client that is refused because a limit of the process is reached.
RETRY_AFTER = b'0.5'
# A client that moves less than this many bytes within this time is stalled; it is closed once its memory is needed.
STALL_S = 1.0
STALL_BYTES = 16384
# What a header costs in memory until its request has its response: so much for each byte, and for each line.
HEADER_COST = 4
HEADER_LINE_BYTES = 500
# The order in which connections are closed to make room for others: a slow header before an idle connection.
REFUSED_RANK, SLOW_HEADER_RANK, IDLE_RANK, HEADER_RANK, STALLED_RANK, BODY_RANK = range(6)

# A rank, and the time or the rate by which connections of the same rank are ordered.
EvictionRank = tuple[int, float]


class ChannelFactory(typing.Protocol):
    """What a connection requires of its listener."""

    clients: client_connections.ClientConnections
    limits: effects.Limits


class ClientChannel(http.HTTPChannel):
    """A connection of a client to any listener. Its time limits are enforced by the sweep; it has no timers of its own."""

    # What an open connection costs, in bytes.
    BASE_BYTES = 16384

    # The type that Twisted declares lacks the methods of TCP.
    transport: typing.Any
    # The ChannelFactory; twisted.web reads this attribute too.
    site: typing.Any = None
    # The bytes that are held for this connection: its buffers, and what was written and has not left the process.
    holding: byte_account.Holding
    unsent: byte_account.Holding
    # When the header that is being received began; None if none is.
    header_since: float | None = None
    # When data of a request was last received, or a response completed.
    idle_since = 0.0
    is_in_body = False
    # What the header of the pending request costs, in bytes.
    header_bytes = 0
    # True if the client was refused: everything that still arrives is ignored.
    is_refused = False
    # When the connection is aborted if the client has not closed it by then.
    abort_at: float | None = None
    # A request whose response is complete; the next request waits until it has left the process, and for others.
    finished_request: typing.Any = None
    # The response that is being written from a payload, and what writes it; None if none is.
    outgoing: payload.Payload | None = None
    producer: payload.PieceProducer | None = None
    # The bytes received and written so far, and the state of both when they last rose by `STALL_BYTES`.
    received_total = 0
    written_total = 0
    progress_bytes = 0
    progress_at = 0.0
    # When any byte was last moved, and how many had been moved then.
    moved_bytes = 0
    moved_at = 0.0

    def connectionMade(self) -> None:
        """Register the connection, and make room for it if there are too many."""
        super().connectionMade()
        now = self.site.clients.now()
        self.idle_since = self.progress_at = self.moved_at = now
        account = self.site.clients.account
        self.holding, self.unsent = byte_account.Holding(account), byte_account.Holding(account)
        sock = self.transport.getHandle()
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * MAX_CLOSE_S))
        self.site.clients.admit(self)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Unregister the connection, and give back what it held."""
        self.site.clients.remove(self)
        self.drop_outgoing()
        super().connectionLost(reason)
        self.finished_request = None
        self.holding.release()
        self.unsent.release()

    # -- receiving ----------------------------------------------------------------

    def is_idle(self) -> bool:
        """True if the connection has no pending request and no partially received one."""
        return not self.requests and not self._receivedHeaderSize and not self._buffer

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, record when a header begins, and hold what is buffered."""
        if self.is_refused:
            return
        self.received_total += len(data)
        if not self._handlingRequest:
            self.idle_since = self.site.clients.now()
            if self.header_since is None and not self.is_in_body:
                self.header_since = self.idle_since
        super().dataReceived(data)
        self.clear_header_time()
        self.hold_input()

    def hold_input(self) -> None:
        """Hold the bytes of a header, and of requests that wait for the response to an earlier one."""
        if self.is_refused or not self.holding.size:
            return
        waiting = sum(map(len, self._dataBuffer)) if self._dataBuffer else 0
        size = self.BASE_BYTES + self.header_bytes + self.partial_header_bytes() + len(self._buffer) + waiting
        if size <= self.holding.size:
            self.holding.resize(size)
        elif not self.holding.grow(size - self.holding.size):
            self.refuse_or_abort()

    def partial_header_bytes(self) -> int:
        """Return what the header that is being received costs so far, in bytes."""
        return HEADER_COST * self._receivedHeaderSize + HEADER_LINE_BYTES * self._receivedHeaderCount

    def refuse_or_abort(self) -> None:
        """Refuse a client for whose input there is no room; abort its connection if a response is outstanding."""
        if self._handlingRequest:
            self.transport.abortConnection()
        else:
            self.refuse(503)

    def clear_header_time(self) -> None:
        """Reset the header timeout if no header has begun: some clients send an empty line after a request."""
        if self.header_since is not None and self.is_idle():
            self.header_since = None

    def lineReceived(self, line: bytes) -> None:
        """Parse a line, unless the client was refused: lines may still follow in the data that was just received."""
        if not self.is_refused:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Parse a chunk of a body, unless the client was refused."""
        if not self.is_refused:
            super().rawDataReceived(data)

    def allHeadersReceived(self) -> None:
        """Handle the end of the header: the body begins, if there is room for the request."""
        self.header_since, self.is_in_body = None, True
        self.header_bytes = self.partial_header_bytes()
        self._receivedHeaderSize = self._receivedHeaderCount = 0
        # Before the request is passed on: later it could not be refused.
        self.hold_input()
        if not self.is_refused:
            super().allHeadersReceived()

    def allContentReceived(self) -> None:
        """Handle the end of the body."""
        self.is_in_body = False
        super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a client that sent a header line above the limit."""
        self.refuse(431)

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.refuse(431 if self._receivedHeaderSize > self.totalHeadersSize else 400)

    # -- responding ---------------------------------------------------------------

    def send_payload(self, request: http.Request, body: payload.Payload) -> None:
        """Write the body of a response as fast as the client reads it, then end the response."""
        self.outgoing = body

        def finish() -> None:
            self.outgoing = self.producer = None
            request.unregisterProducer()
            request.finish()

        self.producer = payload.PieceProducer(payload.consuming(body), request.write, finish)
        request.registerProducer(self.producer, True)
        self.producer.resumeProducing()

    def drop_outgoing(self) -> None:
        """Give back the response that is not going to be written."""
        if self.outgoing is not None and self.producer is not None:
            self.producer.stopProducing()
            self.outgoing.release()
            self.outgoing = self.producer = None

    def write(self, data: bytes) -> None:
        """Write a part of a response, and hold it until it has left the process."""
        super().write(data)
        self.written_total += len(data)
        self.hold_output()

    def pending_output(self) -> int:
        """Return how many bytes were written and have not left the process."""
        transport = self.transport
        return len(transport.dataBuffer) - transport.offset + transport._tempDataLen

    def is_sending(self) -> bool:
        """True if a part of a response has not left the process."""
        return self.outgoing is not None or bool(self.pending_output())

    def hold_output(self) -> None:
        """Hold what has not left the process."""
        self.unsent.resize(self.pending_output())

    def requestDone(self, request: http.Request) -> None:
        """Handle the end of a response. A request that follows it in the same input waits for other connections.

        It also waits until most of the response has left the process: the next one may be large as well.
        """
        self.hold_output()
        has_more_input = bool(self._dataBuffer or self._buffer)
        if self.is_refused or not self.persistent or not (self._waitingForTransport or has_more_input):
            self.complete_request(request)
            return
        self.finished_request = request
        self.site.clients.reactor.callLater(0, self.complete_finished_request)

    def complete_finished_request(self) -> None:
        """Go on with the next request, unless the last response still has to leave the process."""
        if self.finished_request is None or self._waitingForTransport:
            return
        request, self.finished_request = self.finished_request, None
        self.complete_request(request)

    def complete_request(self, request: http.Request) -> None:
        """Begin with the next request, of which a part may have been received."""
        self.idle_since = self.site.clients.now()
        self.header_since = self.idle_since if self._dataBuffer else None
        self.header_bytes = 0
        super().requestDone(request)
        self.clear_header_time()
        self.hold_input()

    def resumeProducing(self) -> None:
        """Handle the room in the transport: go on with the response, or with the request after it."""
        super().resumeProducing()
        self.complete_finished_request()

    def refuse(self, status: int) -> None:
        """Send an error response before the request is complete, and end the connection."""
        if self.is_refused:
            return
        self.is_refused, self.persistent = True, False
        if status == 503:
            self.site.clients.refused += 1
        retry_after = b'Retry-After: %s\r\n' % RETRY_AFTER if status == 503 else b''
        self.transport.write(
            b'HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n'
            % (status, http.RESPONSES.get(status, b'Refused'), retry_after)
        )
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        self.abort_at = self.site.clients.now() + LINGER_S
        self.release_requests()

    def release_requests(self) -> None:
        """Give back what is held for requests that are not going to be served."""
        for request in self.requests:
            request.release_body()
        self.holding.resize(self.BASE_BYTES)

    def loseConnection(self) -> None:
        """Close the connection after its pending data is sent; it is aborted if that takes over `MAX_CLOSE_S`."""
        self.abort_at = self.site.clients.now() + MAX_CLOSE_S
        super().loseConnection()

    # -- time limits, and making room ----------------------------------------------

    def observe_progress(self, now: float) -> None:
        """Record how many bytes the client has moved, in either direction."""
        if self.unsent.size:
            self.hold_output()
        moved = self.received_total + self.written_total - self.unsent.size
        if moved != self.moved_bytes:
            self.moved_bytes, self.moved_at = moved, now
        if moved - self.progress_bytes >= STALL_BYTES or not self.is_moving():
            self.progress_bytes, self.progress_at = moved, now

    def is_moving(self) -> bool:
        """True if the client has to send the rest of a request, or to read the rest of a response."""
        return bool(self.unsent.size) or self.outgoing is not None or self.is_in_body

    def is_stalled(self, now: float) -> bool:
        """True if the client should move bytes, and moved few within `STALL_S`."""
        return self.is_refused or self.is_moving() and now - self.progress_at >= STALL_S

    def held_bytes(self) -> int:
        """Return how many bytes are held for this connection."""
        outgoing = self.outgoing.holding.size if self.outgoing is not None else 0
        bodies = sum(request.held_bytes() for request in self.requests)
        return self.holding.size + self.unsent.size + outgoing + bodies

    def eviction_rank(self) -> EvictionRank | None:
        """Return how soon this connection is closed to make room for others, the lowest first; None for never."""
        now = self.site.clients.now()
        self.observe_progress(now)
        if self.is_refused:
            return REFUSED_RANK, self.idle_since
        if self.header_since is not None:
            is_slow = now - self.header_since >= STALL_S
            return SLOW_HEADER_RANK if is_slow else HEADER_RANK, self.header_since
        if self.is_stalled(now):
            return STALLED_RANK, self.progress_at
        if self.is_in_body:
            return BODY_RANK, self.received_total
        if self._handlingRequest or self.is_moving():
            return None
        return IDLE_RANK, self.idle_since

    def has_unread_input(self) -> bool:
        """True if the client has sent bytes that were not read yet."""
        try:
            return bool(self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def evict(self) -> None:
        """Close the connection to make room; at once, unless it is idle."""
        is_idle = self.is_idle() and self.abort_at is None and not self.unsent.size
        self.drop_outgoing()
        self.release_requests()
        if is_idle:
            self.loseConnection()
        else:
            self.transport.abortConnection()
            # At once, so that no more connections are closed than have to be.
            self.holding.release()
            self.unsent.release()

    def enforce_time_limits(self, now: float) -> None:
        """Abort, refuse or close the connection if it exceeded a time limit."""
        limits = self.site.limits
        idle_s = limits.idle_ms / 1000
        if self.abort_at is not None:
            if now >= self.abort_at:
                self.transport.abortConnection()
        elif self.header_since is not None:
            if now - self.header_since >= limits.header_ms / 1000:
                self.refuse(408)
        elif self.unsent.size or self.outgoing is not None:
            if now - self.moved_at >= idle_s:
                self.transport.abortConnection()
        elif not self._handlingRequest and now - self.idle_since >= idle_s:
            if self.is_in_body:
                self.refuse(408)
            else:
                self.loseConnection()
