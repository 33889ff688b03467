"""The base of every state machine and its host: effects, timers, durations, settings, logs and metrics."""
