"""The connections of clients to all listeners of a process: how many there may be, and which of them make room."""

import typing

import twisted.internet.task as task

import zinctrail.runtime.process_limits as process_limits
import zinctrail.runtime.settings as settings
import zinctrail.transport.byte_account as byte_account
import zinctrail.transport.twisted_types as twisted_types

if typing.TYPE_CHECKING:
    import zinctrail.transport.client_channel as client_channel

# At the limit, one part in this many of the connections is closed at once: finding them takes a look at all.
EVICTION_DIVISOR = 64
# How often room is made at most, in seconds: while there is none to be made, a look at all connections is in vain.
RELIEF_INTERVAL_S = 0.1
# How often the time limits of connections are checked.
SWEEP_S = 0.25


class ClientConnections:
    """All connections of clients, with the account of what they hold."""

    def __init__(self, limits: process_limits.ProcessLimits, reactor: twisted_types.Reactor) -> None:
        self.reactor = reactor
        self.account = byte_account.ByteAccount(limits.held_bytes, limits.small_bytes)
        self.account.make_room = self.relieve
        self.max_connections = limits.client_connections
        self.channels: set[client_channel.ClientChannel] = set()
        # When `relieve` found nothing to close.
        self.unrelieved_at = float('-inf')
        # The numbers of connections that were closed to make room, and of clients that were refused for lack of it.
        self.evicted = 0
        self.refused = 0

    def now(self) -> float:
        """Return the reactor's time in seconds."""
        return self.reactor.seconds()

    def admit(self, channel: 'client_channel.ClientChannel') -> None:
        """Register a new connection; make room for it, or refuse it, if there are too many."""
        self.channels.add(channel)
        has_room = len(self.channels) <= self.max_connections or self.evict(channel)
        if not has_room or not channel.holding.grow(channel.BASE_BYTES):
            channel.refuse(503)

    def remove(self, channel: 'client_channel.ClientChannel') -> None:
        """Unregister a connection that has ended."""
        self.channels.discard(channel)

    def evict(self, newcomer: 'client_channel.ClientChannel') -> bool:
        """Close the connections that are needed least; return False if all are needed."""
        ranked = [(channel.eviction_rank(), channel) for channel in self.channels if channel is not newcomer]
        candidates = sorted(((rank, id(channel), channel) for rank, channel in ranked if rank is not None))
        wanted = 1 + self.max_connections // EVICTION_DIVISOR
        closed = 0
        for _, _, channel in candidates:
            # A request that has arrived and waits to be read would be lost.
            if channel.is_idle() and channel.has_unread_input():
                continue
            self.close(channel)
            closed += 1
            if closed == wanted:
                break
        return bool(closed)

    def close(self, channel: 'client_channel.ClientChannel') -> None:
        """Close a connection to make room."""
        self.evicted += 1
        self.channels.discard(channel)
        channel.evict()

    def is_sending(self) -> bool:
        """True if a part of any response has not left the process."""
        return any(channel.is_sending() for channel in self.channels)

    def relieve(self) -> bool:
        """Close the stalled connection that holds most bytes; return False if there is none."""
        now = self.now()
        if now - self.unrelieved_at < RELIEF_INTERVAL_S:
            return False
        for channel in self.channels:
            channel.observe_progress(now)
        stalled = [channel for channel in self.channels if channel.is_stalled(now)]
        if not stalled:
            self.unrelieved_at = now
            return False
        channel = max(stalled, key=lambda channel: channel.held_bytes())
        self.close(channel)
        return True

    def sweep(self) -> None:
        """Enforce the time limits of all connections."""
        now = self.now()
        for channel in list(self.channels):
            channel.observe_progress(now)
            channel.enforce_time_limits(now)


def default_connections(reactor: twisted_types.Reactor) -> ClientConnections:
    """Return the connections of a process with default settings."""
    return ClientConnections(process_limits.process_limits(settings.Settings()), reactor)


class Sweep:
    """Enforces the time limits of connections, from `start` to `stop`."""

    def __init__(self, clients: ClientConnections) -> None:
        self.loop = task.LoopingCall.withCount(lambda count: clients.sweep())
        self.loop.clock = clients.reactor

    def start(self) -> None:
        """Check the connections every `SWEEP_S`."""
        self.loop.start(SWEEP_S, now=False)

    def stop(self) -> None:
        """Check no more."""
        if self.loop.running:
            self.loop.stop()
