"""A request at its entry node, and the frame that submits it to a target."""

from typing import NamedTuple

from ..wire.frames import Header, Submit


class Call(NamedTuple):
    """A completely received request that was matched to a route.

    - ``ledger_id`` names the allowance account that retries are paid from: the
      request's own for a root request, the parent's for a nested call.
    - ``services_below`` are the services that the declared calls of the route reach.
    - ``key`` is the idempotency key; it is empty for an idempotent request.
    - ``allowance`` is the number of retries granted to a root request and all calls
      nested below it.
    - ``invested`` is the number of calls already answered for the root request.
    - ``deadline_at_ms`` is monotonic time, ``deadline_wall_ms`` is wall-clock time.
    - ``target`` is the HTTP request target.
    - ``workspace`` is the name of the caller's workspace, or empty.
    """

    request_id: str
    root_id: str
    root_hash: int
    rank: int
    route: str
    service: str
    services_below: frozenset[str]
    idempotent: bool
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    deadline_at_ms: float
    deadline_wall_ms: int
    invested: int
    key: str
    ledger_id: str
    allowance: int
    is_resend: bool
    parent_id: str
    caller: str
    workspace: str = ""


class Attempt(NamedTuple):
    """The values that differ between the attempts of one call."""

    attempt_id: str
    allowance: int
    fence: str


def submit_frame(
    call: Call,
    attempt: Attempt,
    *,
    now_ms: float,
    version: int,
    digest: bytes,
    target_id: str = "",
) -> Submit:
    """Return the frame that carries ``attempt`` to its target."""
    return Submit(
        request_id=attempt.attempt_id,
        root_id=call.root_id,
        root_hash=call.root_hash,
        rank=call.rank,
        route=call.route,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        deadline_ms=int(call.deadline_at_ms - now_ms),
        deadline_wall_ms=call.deadline_wall_ms,
        allowance=attempt.allowance,
        invested=call.invested,
        key=call.key,
        fence=attempt.fence,
        bundle_version=version,
        bundle_digest=digest,
        target_id=target_id,
    )
