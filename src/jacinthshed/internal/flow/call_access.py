"""The workspace of a request by the product's own headers."""

from collections.abc import Callable

from returns.result import Result

from ..bundle.model import Route
from ..http.message import Headers, header
from ..verdict import Refusal
from ..workspace.access import Caller, check_access
from ..workspace.fair_share import scaled_hash
from ..workspace.key_ring import KeyOwner, rank_in_workspace
from .call import Call
from .policy import Policy

WORKSPACE_KEY_HEADER = b"jacinthshed-key"
WORKSPACE_HEADER = b"jacinthshed-workspace"
# The caller of requests that arrive at the egress, which only the backend server beside
# the node can reach.
EGRESS_CALLER = "egress"


def find_owner(
    headers: Headers,
    policy: Policy,
    route: Route,
    *,
    is_local: bool,
    policy_age_ms: float,
) -> Result[KeyOwner | None, Refusal]:
    """Return the workspace whose key is in ``headers``, ``None``, or a refusal.

    ``is_local`` says that the backend server beside the node calls, which has no key.
    ``policy_age_ms`` is the age of the knowledge that the policy is the newest.
    """
    key = header(headers, WORKSPACE_KEY_HEADER)
    caller = Caller(key=key, is_local=is_local, policy_age_ms=policy_age_ms)
    return check_access(policy.keys, route, caller, policy.bundle.keys)


def in_workspace(
    call: Call, owner: KeyOwner, route: Route, use_permille: Callable[[str], int]
) -> Call:
    """Return ``call`` with the rank of its workspace, and its place among others.

    ``use_permille`` returns how much of its rate a workspace uses. A nested call keeps
    the hash of its root, so that every service sheds the calls of the same roots.
    """
    rank = rank_in_workspace(owner.workspace, route.rank)
    call = call._replace(rank=rank, workspace=owner.name)
    if call.parent_id:
        return call
    scaled = scaled_hash(call.root_hash, use_permille(owner.name))
    return call._replace(root_hash=scaled)


def with_workspace_name(call: Call, owner: KeyOwner) -> Call:
    """Return ``call`` with the name of its workspace for the backend server."""
    headers = (*call.headers, (WORKSPACE_HEADER, owner.name.encode()))
    return call._replace(headers=headers)
