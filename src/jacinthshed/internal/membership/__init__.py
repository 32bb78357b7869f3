"""Membership of nodes: records, gossip and failure detection."""
