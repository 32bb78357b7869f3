"""Simulation in virtual time of goodput of whole requests, and of recovery time."""
