"""The node daemon: listeners, links and the tasks that move bytes."""
