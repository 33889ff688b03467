"""The consensus layer: membership, elections, replication, leases and snapshots; independent of load balancing."""
