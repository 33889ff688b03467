"""Early refusal: rejects a request whose headers announce a body above the limit, before the body is read."""

import io
import typing

import twisted.web.http as http

# A client that sends more than this many times the limit is disconnected.
EXCESS_FACTOR = 16


class EarlyRefusal(http.Request):
    """Mix-in for a twisted.web Request that refuses bodies above `body_limit_bytes`."""

    # The type that Twisted declares lacks the channel's methods.
    channel: typing.Any
    body_limit_bytes = 1 << 20
    received_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Refuse the request if its announced body length is above the limit."""
        # In memory, because the temporary folder counts as memory too.
        self.content = io.BytesIO()
        if length and length > self.body_limit_bytes:
            self.channel.refuse(413)

    def handleContentChunk(self, data: bytes) -> None:
        """Count a chunk of the body, and buffer it while the body is within the limit."""
        self.received_bytes += len(data)
        if self.received_bytes <= self.body_limit_bytes:
            super().handleContentChunk(data)
        elif self.received_bytes > EXCESS_FACTOR * self.body_limit_bytes:
            self.channel.loseConnection()
