"""Checkers: each verifies one rule against what callers, endpoints, operators and applications observed.

A checker takes a deployment and returns a list of violations as text.
Modules whose names begin with open_ check scenarios of open traffic.
"""
