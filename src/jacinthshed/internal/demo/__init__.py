"""The demonstration deployment in one process."""
