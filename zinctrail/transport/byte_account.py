"""The account of the bytes that a process holds for its clients: bodies, responses, buffers of connections."""

import typing

# A holding of at most this many bytes is small.
SMALL_BYTES = 65536


class ByteAccount:
    """Counts the bytes that are held, and refuses more than the process has room for.

    A part of the capacity is kept for small holdings, so that ordinary requests
    are served while large ones fill the rest.
    """

    def __init__(self, capacity_bytes: int, small_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.bulk_bytes = capacity_bytes - small_bytes
        self.held_bytes = 0
        # Called when there is no room, to make some; returns False if it could not.
        self.make_room: typing.Callable[[], bool] = lambda: False

    def has_room(self, count: int, is_small: bool) -> bool:
        """True if `count` more bytes may be held."""
        return self.held_bytes + count <= (self.capacity_bytes if is_small else self.bulk_bytes)

    def take(self, count: int, is_small: bool) -> bool:
        """Count further bytes as held; return False, and count none, if there is no room for them."""
        while not self.has_room(count, is_small):
            if not self.make_room():
                return False
        self.held_bytes += count
        return True

    def may_ever_hold(self, count: int) -> bool:
        """True if `count` bytes have room while nothing else is held."""
        return count <= self.bulk_bytes


class Holding:
    """Bytes of an account that are held for one purpose; they are given back at the latest when it is deleted."""

    __slots__ = ('account', 'size')

    def __init__(self, account: ByteAccount) -> None:
        self.account = account
        self.size = 0

    def grow(self, count: int) -> bool:
        """Hold further bytes; return False, and hold none of them, if there is no room."""
        if not self.account.take(count, self.size + count <= SMALL_BYTES):
            return False
        self.size += count
        return True

    def resize(self, size: int) -> None:
        """Hold exactly `size` bytes, whether there is room or not: they are in memory already."""
        self.account.held_bytes += size - self.size
        self.size = size

    def release(self) -> None:
        """Give all bytes back."""
        self.resize(0)

    def __del__(self) -> None:
        self.release()
