"""Chunked transfers: a full state, or many changes, sent to a member in chunks of bounded size.

The sender limits the chunks in flight to a window, so that heartbeats on the
same connection wait for few of them. The receiver acknowledges the number of
chunks that it has; after an interruption the sender continues from there. The
receiver accepts a version only once it is complete and its digest matches.
"""

import collections.abc
import dataclasses
import datetime
import hashlib
import json

import zinctrail.consensus.codec as codec
import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations

# The size of a chunk before compression: at 2 Mbit/s it delays a heartbeat by 0.26 s at most.
CHUNK_BYTES = 64 << 10
# The window, the number of chunks that may be in flight: at first, and at most.
INITIAL_WINDOW, MAX_WINDOW = 2, 16
# A chunk acknowledged sooner than QUICK_ACK widens the window; one that takes longer than SLOW_ACK halves it.
QUICK_ACK, SLOW_ACK = durations.ms(100), durations.ms(300)
# The oldest unacknowledged chunk is sent again after this time without an acknowledgement.
RESEND = durations.ms(2000)
# For how long a transfer to an absent member is retained, in case the member returns.
RETENTION = durations.ms(60000)


def encode_row(row: replica.Row) -> bytes:
    """Encode a row for the digest, in the same way on both sides."""
    return json.dumps(row, separators=(',', ':')).encode()


class Content:
    """The content of a transfer: the rows that change version `base`, or an empty state, to `version`.

    Rows are never modified in place, so the content stays unchanged while the
    state advances. Chunks are cut on demand and shared by all receivers.
    """

    def __init__(
        self, version: replica.Version, base: replica.Version | None, rows: collections.abc.Iterable[replica.Row]
    ) -> None:
        self.version = version
        self.base = base
        # The chunks cut so far.
        self.chunks: list[replica.Rows] = []
        # The frames built from chunks: {number: frame}.
        self.frames: dict[int, codec.Frame] = {}
        # The SHA-256 of all rows in hexadecimal; empty until the last chunk is cut.
        self.digest = ''
        self._rows = iter(rows)
        self._sum = hashlib.sha256()
        self._next_row = next(self._rows, None)

    @classmethod
    def full_state(cls, version: replica.Version, tables: replica.Tables) -> 'Content':
        """Return the content of a transfer of the full state."""
        rows = (
            [table, key, value]
            for table, values in tables.items()
            for key, value in values.items()
            if value is not None
        )
        return cls(version, None, rows)

    def chunk(self, number: int) -> replica.Rows | None:
        """Return the rows of a chunk; None if there are fewer chunks."""
        while len(self.chunks) <= number and self._next_row is not None:
            self._cut()
        return self.chunks[number] if number < len(self.chunks) else None

    def take_chunk(self, number: int) -> replica.Rows | None:
        """Return the rows of a chunk as `chunk` does, and drop them, because no other receiver will need them."""
        rows = self.chunk(number)
        if rows is not None:
            self.chunks[number] = []
        return rows

    def is_last(self, number: int) -> bool:
        """True if this is the last chunk; it must have been cut already."""
        return number == len(self.chunks) - 1 and self._next_row is None

    def is_single(self) -> bool:
        """True if the content fits in one chunk."""
        return self.chunk(1) is None

    def _cut(self) -> None:
        """Cut the next chunk; a row larger than CHUNK_BYTES gets a chunk of its own."""
        rows: replica.Rows = []
        size = 0
        while self._next_row is not None:
            text = encode_row(self._next_row)
            if rows and size + len(text) > CHUNK_BYTES:
                break
            self._sum.update(text)
            rows.append(self._next_row)
            size += len(text)
            self._next_row = next(self._rows, None)
        self.chunks.append(rows)
        if self._next_row is None:
            self.digest = self._sum.hexdigest()
            self._rows = iter(())


class Outgoing:
    """The sender's side of a transfer to one member."""

    def __init__(self, content: Content, now: datetime.timedelta) -> None:
        self.content = content
        # How many chunks the receiver has acknowledged, and how many were sent.
        self.acknowledged = 0
        self.sent = 0
        # How many chunks may be in flight now.
        self.window = INITIAL_WINDOW
        # When each chunk in flight was sent: {number: time}.
        self.sent_at: dict[int, datetime.timedelta] = {}
        # When the number of acknowledged chunks last changed, or when the transfer was last started or resumed.
        self.last_progress_at = now

    def take_due(self, now: datetime.timedelta) -> list[int]:
        """Return the numbers of the chunks that the window allows to send now, and mark them as sent."""
        numbers = []
        while self.sent < self.acknowledged + self.window and self.content.chunk(self.sent) is not None:
            numbers.append(self.sent)
            self.sent_at[self.sent] = now
            self.sent += 1
        return numbers

    def acknowledge(self, received: int, now: datetime.timedelta) -> None:
        """Handle an acknowledgement: the receiver has `received` chunks."""
        took = now - self.sent_at.get(received - 1, now)
        if received > self.acknowledged:
            self.window = min(MAX_WINDOW, self.window + 1) if took < QUICK_ACK else self.window
            self.window = max(1, self.window // 2) if took > SLOW_ACK else self.window
        elif received < self.acknowledged:
            # The receiver has lost chunks: it was restarted, or began to receive another transfer meanwhile.
            self.sent = received
        else:
            return
        self.acknowledged = received
        self.sent = max(self.sent, received)
        self.sent_at = {number: at for number, at in self.sent_at.items() if number >= received}
        self.last_progress_at = now

    def resume(self, now: datetime.timedelta) -> None:
        """Continue after the acknowledged chunks, with a window of one chunk until the receiver responds."""
        self.sent = self.acknowledged
        self.window = 1
        self.last_progress_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class TransferKey:
    """Identifies a transfer at its receiver."""

    sender: str
    # The term of the sender.
    term: int
    # The version that is transferred, and the version that its rows build on; None if it is a full state.
    version: replica.Version
    base: replica.Version | None


class Incoming:
    """The receiver's side of a transfer."""

    def __init__(self, key: TransferKey) -> None:
        self.key = key
        # How many chunks were received.
        self.received = 0
        # The tables received so far of a full state; None if `rows` are received instead.
        self.tables: replica.Tables | None = {} if key.base is None else None
        self.rows: replica.Rows = []
        self._sum = hashlib.sha256()

    def add_chunk(self, rows: replica.Rows) -> None:
        """Add the next chunk."""
        for row in rows:
            self._sum.update(encode_row(row))
        if self.tables is not None:
            replica.apply_rows(self.tables, rows)
        else:
            self.rows.extend(rows)
        self.received += 1

    def matches(self, digest: str) -> bool:
        """True if the digest of the rows received so far is `digest`, so that they are complete and unaltered."""
        return self._sum.hexdigest() == digest
