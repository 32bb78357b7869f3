"""Settings of one process, read from YAML."""
