"""The platform's headers of workspaces: the key of a caller, the name for a target."""

from returns.result import Result

from ..bundle.route_match import RouteMatch
from ..flow.call_reader import Arrival
from ..flow.policy import Policy
from ..http.message import Headers, Request, header
from ..verdict import Refusal
from ..workspace.access import Caller, check_access
from ..workspace.key_ring import KeyOwner
from .headers import CREDENTIAL, TENANT

_WORKSPACE_HEADERS = frozenset({CREDENTIAL, TENANT})


def find_workspace(
    request: Request, arrival: Arrival, policy: Policy, match: RouteMatch, own_ip: str
) -> Result[KeyOwner | None, Refusal]:
    """Return the workspace of a request, ``None`` for one without, or its refusal.

    The backend server beside the node calls without a key, from ``own_ip``.
    """
    # Without an address of its own, a node takes no caller for its backend server.
    is_own_host = bool(own_ip) and arrival.caller == own_ip
    is_local = arrival.parent is not None or is_own_host
    caller = Caller(
        key=header(request.headers, CREDENTIAL),
        is_local=is_local,
        policy_age_ms=arrival.policy_age_ms,
    )
    return check_access(policy.keys, match.route, caller, policy.bundle.keys)


def forwarded_headers(
    headers: Headers, policy: Policy, owner: KeyOwner | None
) -> Headers:
    """Return ``headers`` without the key, and with the name of the workspace.

    Where the policy has no workspaces, the headers have no meaning and are kept.
    """
    if not policy.keys.is_used:
        return headers
    kept = tuple(field for field in headers if field[0] not in _WORKSPACE_HEADERS)
    return kept if owner is None else (*kept, (TENANT, owner.name.encode()))
