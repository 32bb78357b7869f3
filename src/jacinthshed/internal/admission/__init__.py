"""Admission at a target: adaptive limit, ordered queue, shed level."""
