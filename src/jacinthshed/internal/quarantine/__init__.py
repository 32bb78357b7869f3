"""Requests suspected of crashing backend servers."""
