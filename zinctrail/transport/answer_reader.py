"""Reads the body of an endpoint's response into a payload, only as fast as the process has room for it."""

import collections
import typing

import twisted.internet.defer as defer
import twisted.internet.protocol as protocol
import twisted.python.failure as failure
import twisted.web.client as client
import twisted.web.iweb as iweb

import zinctrail.runtime.effects as effects
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.payload as payload
import zinctrail.transport.twisted_types as twisted_types

# How often readers that wait for room look for it.
POLL_S = 0.02
TOO_LONG = 'reply above the bound'
CUT_SHORT = 'reply cut short'


class WaitingReaders:
    """The readers that wait for room, served in the order in which they began to wait."""

    def __init__(self, reactor: twisted_types.Reactor) -> None:
        self.reactor = reactor
        self.readers: collections.deque[AnswerReader] = collections.deque()
        self.is_polling = False

    def add(self, reader: 'AnswerReader') -> None:
        """Let a reader wait."""
        self.readers.append(reader)
        self.poll_later()

    def poll_later(self) -> None:
        """Look for room after `POLL_S`, while readers wait."""
        if self.readers and not self.is_polling:
            self.is_polling = True
            self.reactor.callLater(POLL_S, self.poll)

    def poll(self) -> None:
        """Let the readers go on for which there is room; a long response isn't passed by another long one."""
        self.is_polling = False
        waiting, self.readers = self.readers, collections.deque()
        is_blocked = False
        for reader in waiting:
            if reader.has_ended or (reader.is_small() or not is_blocked) and reader.resume():
                continue
            is_blocked = is_blocked or not reader.is_small()
            self.readers.append(reader)
        self.poll_later()


class AnswerReader(protocol.Protocol):
    """Collects a body, and fires `done` with `(body, error)`; the error is empty only if the body is complete."""

    # Set by the response before any byte of its body. The type that Twisted declares has no pauseProducing.
    transport: typing.Any

    def __init__(
        self,
        done: defer.Deferred[tuple[effects.Body, str]],
        account: byte_account.ByteAccount,
        waiting: WaitingReaders,
        announced_bytes: typing.Any,
        max_bytes: int,
        release_request: typing.Callable[[], bool] = lambda: False,
    ) -> None:
        """
        :param release_request: drops the body of the request if it is not needed to read on; returns False if it is
            needed, or there is none.
        :param announced_bytes: the announced length, or `iweb.UNKNOWN_LENGTH`.
        :param max_bytes: a longer body is an error.
        """
        self.done = done
        self.waiting = waiting
        self.payload = payload.Payload(account)
        self.max_bytes = max_bytes
        self.release_request = release_request
        # The size for which room is needed next.
        self.wanted_bytes = 0 if announced_bytes is iweb.UNKNOWN_LENGTH else int(announced_bytes)
        self.is_too_long = self.wanted_bytes > max_bytes
        self.is_waiting = False
        self.has_ended = False

    def connectionMade(self) -> None:
        """Make room for the announced length, or wait for it."""
        if self.is_too_long:
            self.transport.abortConnection()
        elif not self.has_room(self.wanted_bytes):
            self.wait()

    def has_room(self, size: int) -> bool:
        """Make room for `size` bytes in all; return False if there is none."""
        return self.payload.reserve(size) or (self.release_request() and self.payload.reserve(size))

    def wait(self) -> None:
        """Read no more until there is room."""
        self.is_waiting = True
        self.waiting.add(self)
        # Later, because the response resumes its transport once it has delivered what it has.
        self.waiting.reactor.callLater(0, self.pause)

    def is_small(self) -> bool:
        """True if the response is so short that room is kept for it."""
        return self.wanted_bytes <= byte_account.SMALL_BYTES

    def pause(self) -> None:
        """Stop reading, unless room was found meanwhile."""
        if self.is_waiting and not self.has_ended:
            self.transport.pauseProducing()

    def resume(self) -> bool:
        """Go on reading if there is room; return False if there is none."""
        if not self.has_room(self.wanted_bytes):
            return False
        self.is_waiting = False
        self.transport.resumeProducing()
        return True

    def dataReceived(self, data: bytes) -> None:
        """Hold a chunk, or abort the connection once the body is above its limit."""
        size = len(self.payload) + len(data)
        if self.is_too_long or size > self.max_bytes:
            self.is_too_long = True
            self.payload.release()
            self.transport.abortConnection()
            return
        has_room = self.has_room(size)
        self.payload.add(data)
        if not has_room and not self.is_waiting:
            self.wanted_bytes = max(self.wanted_bytes, size + payload.SEGMENT_BYTES)
            self.wait()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Fire `done` with the received body and its error, if any."""
        self.has_ended = True
        if self.is_too_long:
            self.done.callback((b'', TOO_LONG))
        elif reason.check(client.ResponseDone):
            self.done.callback((self.payload.body(), ''))
        else:
            # PotentialDataLoss is handled here too: a body without a declared end may have been truncated.
            self.payload.release()
            self.done.callback((b'', CUT_SHORT))
