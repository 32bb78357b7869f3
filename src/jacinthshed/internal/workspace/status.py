"""The section "workspaces" of a node's status document."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, TypedDict

# Bounds the size of the document where a policy has thousands of workspaces.
MAX_LISTED = 32


class KnownShare(NamedTuple):
    """What a node knows of the use of one workspace.

    ``told_ago_ms`` is the age of ``permille``, or None if no home has told it yet.
    """

    name: str
    permille: int
    told_ago_ms: float | None
    is_on_its_own: bool


class WorkspaceStatus(TypedDict):
    """The share of the requests of a workspace that a node admits.

    ``admitted_permille`` is what the home told last, or the whole while it has told
    nothing, and ``told_ago_ms`` its age or null. While the node ``is_on_its_own``, it
    admits its own part of the limit instead. ``home`` is the host to which the node
    reports the use.
    """

    workspace: str
    admitted_permille: int
    told_ago_ms: int | None
    is_on_its_own: bool
    home: str


def workspace_statuses(
    shares: Iterable[KnownShare], home_of: Callable[[str], str]
) -> list[WorkspaceStatus]:
    """Return the status of at most ``MAX_LISTED`` workspaces, most limited first.

    Of those with the same share, the ones for which the node is on its own go first.
    ``home_of`` takes the name of a workspace.
    """
    ordered = sorted(shares, key=lambda s: (s.permille, not s.is_on_its_own, s.name))
    return [_status(share, home_of) for share in ordered[:MAX_LISTED]]


def _status(share: KnownShare, home_of: Callable[[str], str]) -> WorkspaceStatus:
    told_ago_ms = share.told_ago_ms
    return {
        "workspace": share.name,
        "admitted_permille": share.permille,
        "told_ago_ms": None if told_ago_ms is None else round(told_ago_ms),
        "is_on_its_own": share.is_on_its_own,
        "home": home_of(share.name),
    }
