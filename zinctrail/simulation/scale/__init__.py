"""Measures the control-plane overhead of each role by cluster size, on simulated links and virtual time.

The command is in `__main__` and the measured sizes are in `sweeps`. `point`
measures messages, bytes and processor time; `memory` measures resident memory.
"""
