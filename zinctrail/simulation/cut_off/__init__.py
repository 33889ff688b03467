"""Trials of a control node without contact to a majority for about twenty seconds, while callers call that node.

A trial (`trial`) injects one fault (`faults`) into a deployment of open traffic.
Callers (`callers`) send every kind of control call to the affected node and to
the others, each call once, and record the responses; the checkers (`checkers`)
judge the trial by these records alone.
"""
