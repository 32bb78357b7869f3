"""Stand-ins for the systems around the nodes: backend servers and the platform."""
