"""Early refusal: rejects a request whose headers announce a body above the limit, before the body is read."""

import typing

import twisted.web.http as http

# How long the connection stays open after the refusal. Closing it with unread bytes would reset it, and the client
# would never read the response.
LINGER_S = 1.0
# A client that sends more than this many times the limit is disconnected.
EXCESS_FACTOR = 16


class EarlyRefusal(http.Request):
    """Mix-in for a twisted.web Request that refuses bodies above `body_limit_bytes`."""

    # The type that Twisted declares lacks the channel's methods.
    channel: typing.Any
    body_limit_bytes = 1 << 20
    received_bytes = 0
    is_refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse the request if its announced body length is above the limit."""
        super().gotLength(min(length, self.body_limit_bytes) if length else length)
        if length and length > self.body_limit_bytes:
            self.refuse()

    def refuse(self) -> None:
        """Send 413 and ignore everything that still arrives on the connection."""
        self.is_refused = True
        self.channel.write(b'HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n')
        # The client may go on sending the body; none of that is a request, so none of it is parsed.
        self.channel.dataReceived = lambda data: None
        self.channel.callLater(LINGER_S, self.channel.loseConnection)

    def handleContentChunk(self, data: bytes) -> None:
        """Count a chunk of the body, and buffer it while the body is within the limit."""
        self.received_bytes += len(data)
        if self.received_bytes <= self.body_limit_bytes and not self.is_refused:
            super().handleContentChunk(data)
        elif self.received_bytes > EXCESS_FACTOR * self.body_limit_bytes:
            self.channel.loseConnection()

    def process(self) -> None:
        """Handle the request, unless it was refused."""
        if not self.is_refused:
            super().process()
