"""Workspaces: keys of callers, their withdrawal, and limits of use."""
