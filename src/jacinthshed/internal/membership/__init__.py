"""Membership of nodes: records, gossip, failure detection."""
