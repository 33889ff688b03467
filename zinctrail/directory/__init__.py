"""The directory: a lightweight daemon on each machine that serves proxy lookups, relays calls, owns credit ledgers."""
