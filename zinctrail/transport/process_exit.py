"""The end of a process: its event loop stops once the answers to its clients were sent."""

import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.transport.client_connections as client_connections
import zinctrail.transport.clock as clock
import zinctrail.transport.twisted_types as twisted_types

# How often an exit checks whether anything is left to be sent.
CHECK_INTERVAL_S = 0.02
# How long an exit waits for connections of open traffic that have nothing to send: a request may not be read yet.
UNREAD_WAIT = durations.ms(200)
# How long the event loop still runs before the process exits, so that frames just written are sent.
EXIT_DELAY_S = 0.05


class ProcessExit:
    """Stops the event loop once no answer is being sent, or the time for it is over."""

    def __init__(
        self,
        reactor: twisted_types.Reactor,
        clients: client_connections.ClientConnections,
        has_open_connections: typing.Callable[[], bool],
        ended: typing.Callable[[], None],
    ) -> None:
        """
        :param has_open_connections: whether any client of open traffic is connected.
        :param ended: called once nothing more is sent, before the event loop stops.
        """
        self.reactor = reactor
        self.clients = clients
        self.has_open_connections = has_open_connections
        self.ended = ended
        # Until when the exit waits: for connections that have nothing to send, and for answers that are being sent.
        self.unread_until = durations.ZERO
        self.send_until = durations.ZERO

    def begin(self, send_until: datetime.timedelta) -> None:
        """Stop the event loop once everything was sent, or at `send_until` of the host's clock."""
        self.unread_until = clock.now() + UNREAD_WAIT
        self.send_until = send_until
        self._check()

    def at_once(self) -> None:
        """Stop the event loop, whatever is being sent."""
        self.ended()
        self.reactor.callLater(EXIT_DELAY_S, self.reactor.stop)

    def _check(self) -> None:
        if self._is_awaited():
            self.reactor.callLater(CHECK_INTERVAL_S, self._check)
        else:
            self.at_once()

    def _is_awaited(self) -> bool:
        """True if a client may still get an answer that would be cut by the exit."""
        now = clock.now()
        if now < self.send_until and self.clients.is_sending():
            return True
        return now < self.unread_until and self.has_open_connections()
