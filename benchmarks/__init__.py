"""Benchmarks, which are run by hand, and the deployments that they start."""
