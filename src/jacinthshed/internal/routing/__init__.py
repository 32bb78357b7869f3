"""Load balancing: the choice of a target for an attempt."""
