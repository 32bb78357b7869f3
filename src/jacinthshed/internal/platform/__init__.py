"""Adapter between the users' platform and the product; holds no other logic."""
