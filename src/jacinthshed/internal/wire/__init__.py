"""The wire protocol between nodes: frames and their encoding."""
