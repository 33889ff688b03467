"""A soak of real processes: clients with long-lived connections, under series of disturbances that overlap.

records      what was observed: attempts of clients, executions at endpoints, exits of processes, lookups
endpoints    endpoints that execute requests for a while, and cancel them when the connection ends
clients      clients that use a connection until it ends, and sometimes disconnect
keepers      processes of the adapter, each restarted after it has exited
disturbances the seeded series: signals, restarts, changes, replaced endpoints
verdicts     checks of the records for violated guarantees
run          one soak from its start to its findings
"""
