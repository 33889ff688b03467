"""A fleet of real processes on loopback for tests, and the replay of recorded days."""
