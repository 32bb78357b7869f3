"""The caller library."""
