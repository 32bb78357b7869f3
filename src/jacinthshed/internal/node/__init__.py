"""The node daemon: HTTP listeners, links to peers, and background tasks."""
