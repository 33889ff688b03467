"""A soak of real processes: clients that keep their connections, under series of disturbances that overlap.

notes        what was seen: attempts of clients, runs at endpoints, ends of processes, lookups
endpoints    endpoints that work for a while, and drop what nobody waits for
clients      clients that use a connection until it ends, and at times leave
keepers      processes of the adapter, each started again when it has ended
disturbances the seeded series: signals, restarts, changes, endpoints that come and go
verdicts     what must not have happened
run          one soak from its start to its verdicts
"""
