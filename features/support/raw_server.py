"""A server over a real socket that sends just the bytes that a scenario wants."""

import collections.abc
import typing

import twisted.internet.protocol as protocol
import twisted.internet.reactor as reactor

import features.support.reactor_thread as reactor_thread


class RawConnection(protocol.Protocol):
    """Calls `answer(connection, head)` with the head of each request that came, without its empty line.

    `on_end(connection)` is called when the connection has ended.
    """

    def __init__(self, answer: 'Answer', on_end: 'OnEnd' = lambda connection: None):
        self.answer, self.on_end, self.data = answer, on_end, b''

    def dataReceived(self, data):
        """Take bytes, and call `answer` for each head that is whole."""
        self.data += data
        while b'\r\n\r\n' in self.data:
            head, _, self.data = self.data.partition(b'\r\n\r\n')
            self.answer(self, head)

    def connectionLost(self, reason=protocol.connectionDone):
        """The connection has ended."""
        self.on_end(self)


Answer = collections.abc.Callable[[RawConnection, bytes], None]
OnEnd = collections.abc.Callable[[RawConnection], typing.Any]


def listen(build_protocol: collections.abc.Callable[[], protocol.Protocol]):
    """The listening port, on loopback, whose connections get a protocol each."""
    factory = protocol.ServerFactory()
    factory.buildProtocol = lambda address: build_protocol()
    return reactor_thread.call(lambda: reactor.listenTCP(0, factory, interface='127.0.0.1'))


def address_of(port) -> str:
    """The address of a port that `listen` returned."""
    return f'127.0.0.1:{port.getHost().port}'
