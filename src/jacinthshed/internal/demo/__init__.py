"""A demonstration deployment in one process, run with and without the layer."""
