"""The control plane: configuration, endpoint registry, routing table, coordination and their HTTP API."""
