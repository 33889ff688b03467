"""Reads the body of an HTTP response to its end, up to a limit."""

import typing

import twisted.internet.defer as defer
import twisted.internet.protocol as protocol
import twisted.python.failure as failure
import twisted.web.client as client


class ResponseBody(protocol.Protocol):
    """Collects a body, and fires `done` with `(body, error)`; the error is empty only if the body is complete."""

    # Set by the response before any byte of its body. The type that Twisted declares has no abortConnection.
    transport: typing.Any

    def __init__(self, done: defer.Deferred[tuple[bytes, str]], max_bytes: int):
        self.done = done
        self.max_bytes = max_bytes
        self.chunks: list[bytes] = []
        self.size = 0

    def dataReceived(self, data: bytes) -> None:
        """Buffer a chunk, or abort the connection once the body is above its limit."""
        self.size += len(data)
        if self.size > self.max_bytes:
            self.transport.abortConnection()
        else:
            self.chunks.append(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Fire `done` with the received body and its error, if any."""
        if self.size > self.max_bytes:
            self.done.callback((b'', 'reply above the bound'))
        elif reason.check(client.ResponseDone):
            self.done.callback((b''.join(self.chunks), ''))
        else:
            # PotentialDataLoss is handled here too: a body without a declared end may have been truncated.
            self.done.callback((b''.join(self.chunks), 'reply cut short'))
