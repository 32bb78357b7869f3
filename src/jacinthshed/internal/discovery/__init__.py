"""Discovery of policies, hosts and targets from sources outside the nodes."""
