"""The keys of all workspaces of one policy."""

import hashlib
from collections.abc import Mapping
from typing import NamedTuple

from ..bundle.model import Workspace

# Ranks of routes are below this, so that the rank of the workspace goes first.
RANK_STEP = 10_000


class KeyOwner(NamedTuple):
    """The workspace that holds a key."""

    name: str
    workspace: Workspace


class KeyRing:
    """Finds the workspace that holds a key; built once for each policy."""

    def __init__(self, *, workspaces: Mapping[str, Workspace]) -> None:
        self._owners = {
            digest: KeyOwner(name, workspace)
            for name, workspace in workspaces.items()
            for digest in workspace.key_digests
        }
        self.is_used = bool(workspaces)

    def owner(self, key: bytes) -> KeyOwner | None:
        """Return the workspace that holds ``key``, or ``None``."""
        return self._owners.get(digest_of(key))


def digest_of(key: bytes) -> str:
    """Return the digest by which a policy names ``key``."""
    return hashlib.sha256(key).hexdigest()


def rank_in_workspace(workspace: Workspace, route_rank: int) -> int:
    """Return the rank of a request, in which the workspace goes before the route."""
    return workspace.rank * RANK_STEP + min(route_rank, RANK_STEP - 1)
