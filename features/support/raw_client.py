"""A client over a real socket that sends exactly the bytes that a scenario gives it."""

import socket

TIMEOUT_S = 10
READ_BYTES = 65536


class RawClient:
    """A connection to a port of this machine."""

    def __init__(self, port: int):
        self.socket = socket.create_connection(('127.0.0.1', port), timeout=TIMEOUT_S)

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.socket.sendall(data)

    def read(self, until: bytes | None = None) -> bytes:
        """Return all bytes received until the connection ends, or until they contain the given ones."""
        received = b''
        while until is None or until not in received:
            try:
                more = self.socket.recv(READ_BYTES)
            except ConnectionResetError:
                more = b''
            if not more:
                break
            received += more
        return received
