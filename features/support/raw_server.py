"""A server over a real socket that sends exactly the bytes that a scenario gives it."""

import collections.abc
import typing

import twisted.internet.protocol as protocol
import twisted.internet.reactor as reactor

import features.support.reactor_thread as reactor_thread


class RawConnection(protocol.Protocol):
    """Calls `respond(connection, head)` with the head of each request, without the empty line after it.

    `on_end(connection)` is called when the connection has ended.
    """

    def __init__(self, respond: 'Responder', on_end: 'OnEnd' = lambda connection: None):
        self.respond, self.on_end, self.data = respond, on_end, b''

    def dataReceived(self, data):
        """Append bytes, and call `respond` for each complete head."""
        self.data += data
        while b'\r\n\r\n' in self.data:
            head, _, self.data = self.data.partition(b'\r\n\r\n')
            self.respond(self, head)

    def connectionLost(self, reason=protocol.connectionDone):
        """Call `on_end`."""
        self.on_end(self)


Responder = collections.abc.Callable[[RawConnection, bytes], None]
OnEnd = collections.abc.Callable[[RawConnection], typing.Any]


def listen(build_protocol: collections.abc.Callable[[], protocol.Protocol]):
    """Listen on a free loopback port with a new protocol for each connection; return the listening port."""
    factory = protocol.ServerFactory()
    factory.buildProtocol = lambda address: build_protocol()
    return reactor_thread.call(lambda: reactor.listenTCP(0, factory, interface='127.0.0.1'))


def address_of(port) -> str:
    """Return the address of a port that `listen` returned."""
    return f'127.0.0.1:{port.getHost().port}'
