"""Adapter to the platform's configuration service."""
