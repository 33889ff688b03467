"""A crowd: many connections to one address that send bytes, and read nothing unless a scenario says so."""

import collections.abc
import select
import socket
import time

# Small, so that what a client doesn't read stays in the process and not in the kernel.
RECEIVE_BUFFER_BYTES = 4096
CONNECT_TIMEOUT_S = 5
# The crowd is settled once no connection has taken bytes for this long, and the process has used few clock ticks.
QUIET_S = 0.5
RESTING_TICKS = 8
# Guards against hanging only.
SETTLE_LIMIT_S = 60
POLL_S = 0.05


class CrowdConnection:
    """One connection of a crowd, and the bytes that it still has to send."""

    def __init__(self, address: str, payload: bytes) -> None:
        host, _, port = address.rpartition(':')
        self.unsent = memoryview(payload)
        self.is_closed = False
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.settimeout(CONNECT_TIMEOUT_S)
        self.socket.connect((host, int(port)))
        self.socket.setblocking(False)

    def send_more(self) -> bool:
        """Send as much as the connection takes now; return True if it took any bytes."""
        if self.is_closed or not self.unsent:
            return False
        try:
            count = self.socket.send(self.unsent)
        except BlockingIOError:
            return False
        except OSError:
            self.is_closed = True
            return False
        self.unsent = self.unsent[count:]
        return True

    def has_answer_or_end(self, wait_s: float = 0) -> bool:
        """Return True if there is something to read, or the connection has ended, within `wait_s`."""
        if self.is_closed:
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(1000 * wait_s))

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True
        self.socket.close()


class Crowd:
    """The connections of a scenario's misbehaving clients; those that the process refuses are dropped."""

    def __init__(self) -> None:
        self.connections: list[CrowdConnection] = []

    def connect(self, address: str, payload: bytes) -> CrowdConnection | None:
        """Open a connection that is to send a payload; return None if the process refuses it."""
        try:
            connection = CrowdConnection(address, payload)
        except OSError:
            return None
        self.connections.append(connection)
        connection.send_more()
        return connection

    def settle(self, processor_ticks: collections.abc.Callable[[], int]) -> None:
        """Send until everything is sent or refused, and the process rests: `processor_ticks()` hardly rises."""
        limit = time.monotonic() + SETTLE_LIMIT_S
        quiet_since, ticks = time.monotonic(), processor_ticks()
        while time.monotonic() - quiet_since < QUIET_S and time.monotonic() < limit:
            # A sum: each connection gets its turn.
            has_sent = sum(connection.send_more() for connection in self.connections) > 0
            ticks_now = processor_ticks()
            if has_sent or ticks_now - ticks > RESTING_TICKS:
                quiet_since, ticks = time.monotonic(), ticks_now
            else:
                time.sleep(POLL_S)

    def wait_for_answer(self, connection: CrowdConnection, limit_s: float) -> None:
        """Wait until a connection has a first byte of its answer, or has ended; the limit only guards against hanging."""
        limit = time.monotonic() + limit_s
        while not connection.has_answer_or_end(POLL_S) and time.monotonic() < limit:
            connection.send_more()

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.close()
