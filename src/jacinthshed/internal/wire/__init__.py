"""Frames between nodes."""
