"""Users of the system through the client library: endpoints, callers, operators and applications.

Each actor records only what it did and observed itself; simulation.checks judges
a scenario by these records.
"""
