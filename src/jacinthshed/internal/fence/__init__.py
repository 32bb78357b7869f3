"""Fencing tokens that give non-idempotent requests at-most-once execution."""
