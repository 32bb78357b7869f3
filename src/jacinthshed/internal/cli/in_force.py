"""Asking a node for the bundle in force."""

from returns.result import Failure, Result


def version_in_force(address: str) -> Result[int, str]:
    """Return the version of the bundle in force at the node ``address``."""
    return Failure(
        f"can't ask {address}: this command can't speak to nodes yet; "
        "give the bundle in force with --in-force FILE"
    )
