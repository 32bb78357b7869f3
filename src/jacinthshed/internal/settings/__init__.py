"""Settings of one node process, read from a YAML file."""
