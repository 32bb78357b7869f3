"""Retry allowance that moves along the call chain and is never copied."""
