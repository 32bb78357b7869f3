"""Timers of many short waits."""
