"""Timers for many short waits, cheaper than one trio deadline for each."""
