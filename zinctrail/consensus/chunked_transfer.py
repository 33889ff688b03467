"""Transfers: a whole state, or many changes, sent to a member in chunks of bounded size.

The sender keeps a window of chunks on their way, so that heartbeats on the
same connection wait for few of them. The receiver tells how many chunks it
has; after a break the sender goes on from there. What was received counts
only once it is whole and its digest matches.
"""

import collections.abc
import dataclasses
import datetime
import hashlib
import json

import zinctrail.consensus.codec as codec
import zinctrail.consensus.replica as replica
import zinctrail.runtime.durations as durations

# The size of a chunk before compression: at 2 Mbit/s it holds up a heartbeat for 0.26 s at most.
CHUNK_BYTES = 64 << 10
# How many chunks may be on their way at first, and at most.
WINDOW_FIRST, WINDOW_MOST = 2, 16
# A chunk that is acknowledged sooner widens the window, one that takes longer than SLOW narrows it.
QUICK, SLOW = durations.ms(100), durations.ms(300)
# After how long without an acknowledgement the oldest unacknowledged chunk is sent again.
RESEND = durations.ms(2000)
# For how long a transfer to a member that is gone is kept for its return.
KEPT = durations.ms(60000)


def row_text(row: replica.Row) -> bytes:
    """The text of a row as the digest reads it, equal on both sides."""
    return json.dumps(row, separators=(',', ':')).encode()


class Content:
    """What a transfer brings: rows that lead from `base`, or from nothing, to `at`.

    Rows are never changed in place, so that the version stays as it is while
    the state goes on. Chunks are cut on demand and shared by all receivers.
    """

    def __init__(
        self, at: replica.Version, base: replica.Version | None, rows: collections.abc.Iterable[replica.Row]
    ) -> None:
        self.at = at
        self.base = base
        # The chunks that were cut so far.
        self.chunks: list[replica.Rows] = []
        # The frames made of them: {number: frame}.
        self.frames: dict[int, codec.Frame] = {}
        # The SHA-256 of all rows in hexadecimal; empty until the last chunk is cut.
        self.digest = ''
        self._rows = iter(rows)
        self._sum = hashlib.sha256()
        self._next_row = next(self._rows, None)

    @classmethod
    def whole(cls, at: replica.Version, tables: replica.Tables) -> 'Content':
        """The content of a transfer of a whole state."""
        rows = (
            [table, key, value]
            for table, values in tables.items()
            for key, value in values.items()
            if value is not None
        )
        return cls(at, None, rows)

    def chunk(self, number: int) -> replica.Rows | None:
        """The rows of a chunk; None if there are fewer chunks."""
        while len(self.chunks) <= number and self._next_row is not None:
            self._cut()
        return self.chunks[number] if number < len(self.chunks) else None

    def take_chunk(self, number: int) -> replica.Rows | None:
        """The rows of a chunk that nobody else will ask for."""
        rows = self.chunk(number)
        if rows is not None:
            self.chunks[number] = []
        return rows

    def is_last(self, number: int) -> bool:
        """Whether no chunk comes after this one, which must have been cut."""
        return number == len(self.chunks) - 1 and self._next_row is None

    def is_single(self) -> bool:
        """Whether it all fits in one chunk."""
        return self.chunk(1) is None

    def _cut(self) -> None:
        """Cut the next chunk; a row that is larger than a chunk has one for itself."""
        rows: replica.Rows = []
        size = 0
        while self._next_row is not None:
            text = row_text(self._next_row)
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
    """A transfer to one member, as the sender sees it."""

    def __init__(self, content: Content, now: datetime.timedelta) -> None:
        self.content = content
        # How many chunks the receiver has, by its own word, and how many were sent.
        self.acknowledged = 0
        self.sent = 0
        # How many chunks may be on their way now.
        self.window = WINDOW_FIRST
        # When each chunk that is on its way was sent, by its number.
        self.sent_at: dict[int, datetime.timedelta] = {}
        # When the receiver last made progress.
        self.last_seen_at = now

    def due(self, now: datetime.timedelta) -> list[int]:
        """The numbers of the chunks that may be sent now; they count as sent."""
        numbers = []
        while self.sent < self.acknowledged + self.window and self.content.chunk(self.sent) is not None:
            numbers.append(self.sent)
            self.sent_at[self.sent] = now
            self.sent += 1
        return numbers

    def acknowledge(self, received: int, now: datetime.timedelta) -> None:
        """The receiver has so many chunks."""
        took = now - self.sent_at.get(received - 1, now)
        if received > self.acknowledged:
            self.window = min(WINDOW_MOST, self.window + 1) if took < QUICK else self.window
            self.window = max(1, self.window // 2) if took > SLOW else self.window
        elif received < self.acknowledged:
            # It has lost what it had: it was started again, or took up another transfer meanwhile.
            self.sent = received
        else:
            return
        self.acknowledged = received
        self.sent = max(self.sent, received)
        self.sent_at = {number: at for number, at in self.sent_at.items() if number >= received}
        self.last_seen_at = now

    def resume(self, now: datetime.timedelta) -> None:
        """Begin again after what the receiver is known to have, with a single chunk until it answers."""
        self.sent = self.acknowledged
        self.window = 1
        self.last_seen_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class TransferKey:
    """What tells transfers apart for their receiver."""

    sender: str
    # The term of the sender.
    term: int
    # The version that it leads to, and the one that it builds on; None where it is a whole state.
    version: replica.Version
    base: replica.Version | None


class Incoming:
    """A transfer as its receiver sees it."""

    def __init__(self, key: TransferKey) -> None:
        self.key = key
        # How many chunks were received.
        self.received = 0
        # What was received of a whole state, or else of rows.
        self.tables: replica.Tables | None = {} if key.base is None else None
        self.rows: replica.Rows = []
        self._sum = hashlib.sha256()

    def add_chunk(self, rows: replica.Rows) -> None:
        """Add the next chunk."""
        for row in rows:
            self._sum.update(row_text(row))
        if self.tables is not None:
            replica.fold(self.tables, rows)
        else:
            self.rows.extend(rows)
        self.received += 1

    def matches(self, digest: str) -> bool:
        """Whether the rows received so far are all that the sender took the digest of."""
        return self._sum.hexdigest() == digest
