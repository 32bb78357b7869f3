"""Finds ports for listeners whose addresses are published before they start."""

import socket


def free_ports(count: int) -> list[int]:
    """Return ``count`` loopback ports that are free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
