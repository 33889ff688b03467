"""zinctrail: a global load balancer whose nodes act as one."""

__version__ = '0.2.0'
# Why a level apart from the release: neighbours one level apart must work together.
WIRE_LEVEL = 2
