"""Bodies of requests and responses that are held once, in segments, and counted while they are held."""

import collections
import typing

import zinctrail.runtime.effects as effects
import zinctrail.transport.byte_account as byte_account

# A body of at most this many bytes is passed on as bytes.
SHORT_BYTES = 16384
SEGMENT_BYTES = 65536


class Payload:
    """The segments of one body."""

    def __init__(self, account: byte_account.ByteAccount) -> None:
        self.holding = byte_account.Holding(account)
        self.segments: collections.deque[bytes | bytearray] = collections.deque()
        # The bytes that the segments contain.
        self.size = 0
        # How many attempts have yet to send this body, or are sending it.
        self.senders = 0
        # True if the bytes were dropped before whoever holds the payload was done with it.
        self.is_released = False

    @classmethod
    def from_bytes(cls, account: byte_account.ByteAccount, data: bytes) -> 'Payload | None':
        """Return a payload with these bytes, or None if there is no room for them."""
        payload = cls(account)
        if not payload.holding.grow(len(data)):
            return None
        for start in range(0, len(data), SEGMENT_BYTES):
            payload.add(data[start : start + SEGMENT_BYTES])
        return payload

    def __len__(self) -> int:
        return self.size

    def reserve(self, size: int) -> bool:
        """Make room for `size` bytes in all, before they are added; return False if there is none."""
        missing = size - self.holding.size
        return missing <= 0 or self.holding.grow(missing)

    def add(self, data: bytes) -> None:
        """Add bytes, whether there is room or not; short ones are joined, since each segment has a cost of its own."""
        self.size += len(data)
        if self.size > self.holding.size:
            self.holding.resize(self.size)
        last = self.segments[-1] if self.segments else None
        if isinstance(last, bytearray) and len(last) + len(data) <= SEGMENT_BYTES:
            last += data
        elif len(data) < SHORT_BYTES:
            self.segments.append(bytearray(data))
        else:
            self.segments.append(data)

    def take_segment(self) -> bytes:
        """Remove the first segment, give its bytes back to the account, and return it."""
        segment = bytes(self.segments.popleft())
        self.size -= len(segment)
        self.holding.resize(self.size)
        return segment

    def release_if_sent(self) -> bool:
        """Drop all bytes unless an attempt still has to send them; return True if they were dropped."""
        if self.senders or self.is_released:
            return False
        self.release()
        return True

    def release(self) -> None:
        """Drop all bytes, and give them back to the account."""
        self.is_released = True
        self.segments.clear()
        self.size = 0
        self.holding.release()

    def body(self) -> 'bytes | Payload':
        """Return the body: as bytes if it is short, and then nothing is held here any more; else this payload."""
        if self.size > SHORT_BYTES:
            return self
        data = b''.join(self.segments)
        self.release()
        return data


def release_body(body: effects.Body) -> None:
    """Give back the room of a body that nobody is going to read."""
    if isinstance(body, Payload):
        body.release()


class Sending:
    """One attempt that has a body to send, from its begin until the body is written or the attempt has ended."""

    def __init__(self, payload: Payload) -> None:
        self.payload = payload
        self.has_ended = False
        payload.senders += 1

    def end(self) -> None:
        """Need the body no more; further calls do nothing."""
        if not self.has_ended:
            self.has_ended = True
            self.payload.senders -= 1


class Pieces(typing.Protocol):
    """Yields the pieces of a body, one at a time, until it returns None."""

    def __call__(self) -> bytes | None:
        """Return the next piece."""


class PieceProducer:
    """Writes pieces to a consumer as fast as that takes them (an IPushProducer)."""

    def __init__(
        self, next_piece: Pieces, write: typing.Callable[[bytes], typing.Any], done: typing.Callable[[], typing.Any]
    ) -> None:
        self.next_piece = next_piece
        self.write = write
        self.done = done
        self.is_paused = False
        self.is_writing = False
        self.has_ended = False

    def resumeProducing(self) -> None:
        """Write pieces until the consumer pauses, or none is left."""
        self.is_paused = False
        # The consumer may call this from within `write`.
        if self.is_writing or self.has_ended:
            return
        self.is_writing = True
        try:
            while not self.is_paused and not self.has_ended:
                piece = self.next_piece()
                if piece is None:
                    self.has_ended = True
                    self.done()
                    return
                self.write(piece)
        finally:
            self.is_writing = False

    def pauseProducing(self) -> None:
        """Write no more until `resumeProducing` is called."""
        self.is_paused = True

    def stopProducing(self) -> None:
        """Write no more: the consumer is gone."""
        self.has_ended = True


def consuming(payload: Payload) -> Pieces:
    """Return a function that takes the segments of a payload out of it, one at a time."""
    return lambda: payload.take_segment() if payload.segments else None


def reading(payload: Payload) -> Pieces:
    """Return a function that reads the segments of a payload, one at a time, and leaves them there."""
    position = 0

    def next_piece() -> bytes | None:
        nonlocal position
        if position >= len(payload.segments):
            return None
        position += 1
        return bytes(payload.segments[position - 1])

    return next_piece
