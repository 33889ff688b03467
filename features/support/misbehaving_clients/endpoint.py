"""An endpoint whose answers are as long as the path of a request asks."""

import socket
import time

import features.support.endpoint as endpoint

MIB = 1 << 20
PIECE = b'z' * 65536
HEADER_LINE = b'X-Long: ' + b'y' * 1000 + b'\r\n'
# How long a request to /hold stays unanswered at most.
HOLD_S = 60
POLL_S = 0.05


class SizedEndpoint(endpoint.Endpoint):
    """Answers /ROUTE/WHAT/NUMBER as follows, and every other path as its base class does.

    answer/N       N bytes, announced           chunked/N   N bytes without an announced length
    headers/N      N header lines of 1 KB       hold/0      nothing until the scenario ends
    """

    # The size of the body of answers to health checks, in bytes.
    health_body_bytes = 0
    # Whether it sends heartbeats only once, when it starts.
    is_mute = False

    def send_heartbeats(self) -> None:
        """Send heartbeats until the endpoint ends, unless it is mute."""
        if not self.is_mute:
            super().send_heartbeats()

    def respond(self, connection: socket.socket, request: endpoint.Request) -> bool:
        """Respond to one request; return True if the connection stays open."""
        parts = request['path'].split('/')
        if request['path'] == '/health' and self.health_body_bytes:
            self.health_checks += 1
            head = f'HTTP/1.1 200 X\r\nContent-Length: {self.health_body_bytes}\r\n'
            connection.sendall(f'{head}Zinctrail-Instance: {self.identifier}\r\n\r\n'.encode())
            send_pieces(connection, self.health_body_bytes)
            return True
        if len(parts) != 4 or parts[2] not in ANSWERS:
            return super().respond(connection, request)
        self.executed.append(request)
        seal = endpoint.seal_of(request['id'], b'')
        head = f'HTTP/1.1 200 X\r\nZinctrail-Attempt-Id: {request["id"]}\r\nZinctrail-Server-Seal: {seal}\r\n'
        return ANSWERS[parts[2]](self, connection, head.encode(), int(parts[3]))


def send_pieces(connection: socket.socket, size: int) -> None:
    """Send a body of `size` bytes."""
    while size > 0:
        connection.sendall(PIECE[:size])
        size -= len(PIECE)


def answer(self: SizedEndpoint, connection: socket.socket, head: bytes, size: int) -> bool:
    """Send an answer with an announced length."""
    # A header that leaves by itself would wait for its acknowledgement before the body follows.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sendall(head + b'Content-Length: %d\r\n\r\n' % size)
    send_pieces(connection, size)
    return True


def answer_in_chunks(self: SizedEndpoint, connection: socket.socket, head: bytes, size: int) -> bool:
    """Send an answer without an announced length."""
    connection.sendall(head + b'Transfer-Encoding: chunked\r\n\r\n')
    while size > 0:
        piece = PIECE[:size]
        connection.sendall(b'%x\r\n%s\r\n' % (len(piece), piece))
        size -= len(piece)
    connection.sendall(b'0\r\n\r\n')
    return True


def answer_with_headers(self: SizedEndpoint, connection: socket.socket, head: bytes, count: int) -> bool:
    """Send an answer with many header lines."""
    connection.sendall(head)
    for _ in range(count):
        connection.sendall(HEADER_LINE)
    connection.sendall(b'Content-Length: 0\r\n\r\n')
    return True


def hold(self: SizedEndpoint, connection: socket.socket, head: bytes, size: int) -> bool:
    """Answer nothing until the scenario ends."""
    limit = time.monotonic() + HOLD_S
    while not self.has_ended.wait(POLL_S) and time.monotonic() < limit:
        pass
    return False


ANSWERS = {'answer': answer, 'chunked': answer_in_chunks, 'headers': answer_with_headers, 'hold': hold}
