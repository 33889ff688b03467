"""Faults of simulated scenarios: each registered function injects one kind of fault.

A fault begins at once, schedules its own end, and returns the time until
everything that it took away, and that comes back at all, is back. Modules whose
names begin with open_ contain the faults of scenarios of open traffic.
"""
