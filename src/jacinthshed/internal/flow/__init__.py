"""The life of one request: at the node that routes it and at its target."""
