"""Writes the tables and plots of docs/CAPACITY.md from measured figures; the command is in `__main__`."""
