"""Users of the system over plain HTTP (open traffic); none of them uses the zinctrail library.

Endpoints return the request id and a stamp, and refuse requests for another
incarnation. Clients look up ingresses, send requests to them and retry by the
rules of PROTOCOL.md. Operators change configuration items. Applications make
coordination calls without ids. Each actor records only what it did and observed
itself; simulation.open_checks judges a scenario by these records.
"""
