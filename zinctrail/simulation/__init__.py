"""Deterministic simulation of a whole fleet in virtual time from one seed: faults, checkers and measurements."""
