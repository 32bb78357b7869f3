"""Interface between HTTP messages and calls, with its native implementation."""
