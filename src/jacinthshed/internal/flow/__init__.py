"""Processing of one request: at its entry node and at its target."""
