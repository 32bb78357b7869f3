"""Fences: at-most-once execution of non-idempotent requests."""
