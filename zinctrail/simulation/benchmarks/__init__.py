"""Figures for docs/measure.md; the command is in `__main__`."""
