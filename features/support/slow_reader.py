"""A client with a small window, that reads a response only when a scenario says so."""

import socket

WINDOW_BYTES = 4096
TIMEOUT_S = 30
READ_BYTES = 65536


class SlowReader:
    """One GET whose response is read in two steps: its header, and the rest."""

    def __init__(self, address: str, path: str, headers: dict[str, str] | None = None):
        host, _, port = address.rpartition(':')
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.socket.settimeout(TIMEOUT_S)
        self.socket.connect((host, int(port)))
        lines = [f'GET {path} HTTP/1.1', *(f'{name}: {value}' for name, value in (headers or {'host': 'x'}).items())]
        self.socket.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')
        # The bytes of the body: announced, and received so far.
        self.length = self.received = 0

    def read_head(self) -> None:
        """Read until the header is complete; raises AssertionError if the response is no success."""
        head = b''
        while b'\r\n\r\n' not in head:
            data = self.socket.recv(1)
            assert data, head
            head += data
        assert b' 200 ' in head.split(b'\r\n')[0], head
        fields = dict(line.lower().split(b': ', 1) for line in head.split(b'\r\n')[1:] if line)
        self.length = int(fields[b'content-length'])

    def read_rest(self) -> bool:
        """Read on until the response is complete or the connection ends; return whether it is complete."""
        while self.received < self.length:
            try:
                data = self.socket.recv(READ_BYTES)
            except ConnectionError:
                return False
            if not data:
                return False
            self.received += len(data)
        return True
