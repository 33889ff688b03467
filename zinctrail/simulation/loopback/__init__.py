"""Load tests of one real process on the loopback interface; the command is in `__main__`."""
