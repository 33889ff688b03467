"""Steps of edge.feature: when a peer is reported as lost, tested without a network."""

import unittest.mock as mock

import behave
import twisted.internet.error as error
import twisted.internet.testing as testing
import twisted.python.failure as failure

import zinctrail.transport.peer_connections as peer_connections

PEER = '10.0.0.9:1'
MAX_FRAME_BYTES = 1 << 20
STEP_S = 0.1


class PeerEnd:
    """The local end of the connections to one peer, over a reactor that records the connections requested of it."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.lost = []
        self.connections = peer_connections.PeerConnections(
            self.reactor, MAX_FRAME_BYTES, lambda frame: None, self.lost.append
        )

    def accept(self):
        """Let a process at the peer's address connect and send a frame; return its connection."""
        self.reactor.advance(STEP_S)
        connection = peer_connections.InboundConnection(self.connections)
        connection.makeConnection(silent_transport())
        connection.dataReceived(b'29:{"t":"find","a":"10.0.0.9:1"},')
        return connection

    def send(self, is_accepted):
        """Send a frame, for which a connection is opened; return the factory of the connection."""
        self.reactor.advance(STEP_S)
        before = len(self.reactor.tcpClients)
        self.connections.send(PEER, {'t': 'chk'})
        assert len(self.reactor.tcpClients) == before + 1, 'no connection was opened for the frame'
        factory = self.reactor.tcpClients[-1][2]
        if is_accepted:
            factory.buildProtocol(None).makeConnection(silent_transport())
        return factory


def silent_transport():
    """Return a transport that stores the bytes written to it."""
    transport = testing.StringTransport()
    transport.setTcpNoDelay = lambda is_on: None
    transport.getHandle = lambda: mock.Mock()
    return transport


def end(connection):
    """End a connection that the peer made."""
    connection.connectionLost(failure.Failure(error.ConnectionDone()))


@behave.given('the local end of the connections to a peer')
def local_end_of_peer_connections(context):
    context.end = PeerEnd()


@behave.when('a process connects, and another one from the same address before the first connection has ended')
def process_reconnects_early(context):
    context.inbound = [context.end.accept(), context.end.accept()]


@behave.when('the first connection ends')
def first_connection_ends(context):
    end(context.inbound[0])


@behave.when('the second connection ends')
def second_connection_ends(context):
    end(context.inbound[1])


@behave.then('no address is reported as lost')
def no_address_is_lost(context):
    assert context.end.lost == [], context.end.lost


@behave.then('that address is reported as lost, once')
def address_is_lost_once(context):
    assert context.end.lost == [PEER], context.end.lost


@behave.when('a frame is sent to an address where no process accepts connections yet')
def frame_to_refusing_address(context):
    context.outbound = context.end.send(False)


@behave.when('a process connects from that address, and then the connection attempt fails')
def process_connects_and_attempt_fails(context):
    context.end.accept()
    context.outbound.clientConnectionFailed(None, failure.Failure(error.TimeoutError()))


@behave.when('a frame is sent to that address again, and the connection attempt fails')
def second_attempt_fails(context):
    context.end.send(False).clientConnectionFailed(None, failure.Failure(error.TimeoutError()))


@behave.when('a process connects and is sent a frame, and another one connects from the same address')
def process_replaces_connection(context):
    context.end.accept()
    context.outbound = context.end.send(True)
    context.end.accept()


@behave.when('the outbound connection to the first process ends')
def outbound_connection_to_first_ends(context):
    context.outbound.clientConnectionLost(None, failure.Failure(error.ConnectionLost()))


@behave.when('a frame is sent to that address again, and the connection ends')
def second_outbound_connection_ends(context):
    context.end.send(True).clientConnectionLost(None, failure.Failure(error.ConnectionLost()))


@behave.when('a frame is sent to an address that accepts connections, and a process connects from there')
def frame_to_accepting_address(context):
    context.outbound = context.end.send(True)
    context.end.accept()


@behave.when('the outbound connection to the process ends')
def outbound_connection_ends(context):
    context.outbound.clientConnectionLost(None, failure.Failure(error.ConnectionLost()))
