"""What a process may hold for its clients, derived from the memory and the file descriptors of its machine."""

import resource
import typing

import zinctrail.runtime.settings as settings

MEGABYTE = 10**6
# The memory of the process itself: code, replicated state, connections to its peers.
PROCESS_BYTES = 64 * MEGABYTE
# The share of the remaining memory that may be held; the rest is lost to fragmentation and to short-lived copies.
HELD_SHARE = 0.9
# What may be held on however small a machine.
MIN_HELD_BYTES = 8 * MEGABYTE
# One part in this many of what may be held is kept for small requests and responses.
SMALL_DIVISOR = 8
# The share of the memory for the results of at-most-once requests, which a proxy stores, and the most of it.
STORED_SHARE = 0.05
MAX_STORED_BYTES = 64 * MEGABYTE
# The share of the memory that the configuration items in force may have, encoded: parsed they need several times that,
# and a read of them encodes and parses all of them once more.
CONFIGURATION_SHARE = 0.025
# A frame carries the configuration whole, beside other tables; it may fill one part of a frame in this many.
CONFIGURATIONS_PER_FRAME = 2
# The most that it may have on any machine.
MAX_CONFIGURATION_BYTES = 16 * MEGABYTE
# The descriptors that are kept for files: half of them, and at most this many.
FILE_DESCRIPTORS = 200
# The shares of the other descriptors that may be connections of clients, and connections to endpoints; the rest is
# for peers and for the disk.
CLIENT_SHARE = 0.58
ENDPOINT_SHARE = 0.27
# One part in this many of the pending requests may be for the same pool, so that others are served beside it.
POOL_DIVISOR = 2
# A hedged request has two connections.
CONNECTIONS_PER_REQUEST = 2


class ProcessLimits(typing.NamedTuple):
    """What a process may hold for its clients: bytes, and numbers of connections."""

    held_bytes: int
    # The part of `held_bytes` that only small requests and responses may use.
    small_bytes: int
    client_connections: int
    endpoint_connections: int


def process_limits(settings_: settings.Settings) -> ProcessLimits:
    """Return the limits of a process with these settings."""
    held_bytes = max(MIN_HELD_BYTES, int(HELD_SHARE * (settings_.memory_mb * MEGABYTE - PROCESS_BYTES)))
    sockets = settings_.file_descriptors - min(FILE_DESCRIPTORS, settings_.file_descriptors // 2)
    return ProcessLimits(
        held_bytes,
        held_bytes // SMALL_DIVISOR,
        max(1, int(CLIENT_SHARE * sockets)),
        max(1, int(ENDPOINT_SHARE * sockets)),
    )


def max_pending_requests(settings_: settings.Settings) -> int:
    """Return how many requests a proxy may have pending: each may need connections to endpoints."""
    connections = process_limits(settings_).endpoint_connections
    return max(1, min(settings_.queue_most, connections // CONNECTIONS_PER_REQUEST))


def max_pending_in_pool(settings_: settings.Settings) -> int:
    """Return how many of the pending requests of open traffic may be for the same pool."""
    return max(1, max_pending_requests(settings_) // POOL_DIVISOR)


def max_stored_bytes(settings_: settings.Settings) -> int:
    """Return how many bytes of results of at-most-once requests a proxy may store."""
    return min(MAX_STORED_BYTES, int(STORED_SHARE * settings_.memory_mb * MEGABYTE))


def max_configuration_bytes(settings_: settings.Settings) -> int:
    """Return how many bytes the configuration items in force may have, encoded as JSON."""
    by_memory = int(CONFIGURATION_SHARE * settings_.memory_mb * MEGABYTE)
    by_frame = settings_.frame_most // CONFIGURATIONS_PER_FRAME
    return min(MAX_CONFIGURATION_BYTES, by_frame, by_memory)


def within_system_limit(file_descriptors: int) -> int:
    """Return a number of file descriptors, at most the limit that the system sets for this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return file_descriptors if soft_limit == resource.RLIM_INFINITY else min(file_descriptors, soft_limit)
