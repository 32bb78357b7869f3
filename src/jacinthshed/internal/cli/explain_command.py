"""``jacinthshed explain``: how a bundle makes a node treat one request."""

from pathlib import Path
from typing import Any

from returns.result import Failure

from ..bundle.model import Bundle
from ..bundle.routes import RouteMatch, RouteTable
from ..fence.strategy import (
    CallerFence,
    FirstUse,
    GenerateKey,
    Refused,
    RevokeFirst,
    Unfenced,
    choose_strategy,
)
from .bundle_files import read_bundle_file
from .exit_codes import EXIT_DONE
from .output import Json, print_json, refuse, refuse_bundle

_EXECUTION_TEXTS = {
    Unfenced: "at any target, retried at others within the retry allowance",
    CallerFence: "only at the target that the fence names",
    FirstUse: "with a new fence from the key's home host, at most once",
    GenerateKey: "with a key made by the entry node and a new fence, at most once",
    RevokeFirst: "all targets are asked first whether the key ran, then at most once",
}


def explain(
    bundle: Path,
    method: str,
    path: str,
    *,
    host: str = "",
    key: str = "",
    fence: str = "",
    as_json: Json = False,
) -> int:
    """Print how a node treats a request under BUNDLE.

    Example: ``jacinthshed explain bundle.yaml POST /repair-orders/new --key order-7``

    :param bundle: A bundle document, signed or not.
    :param method: HTTP method.
    :param path: Path with its query.
    :param host: Value of the Host header, if it names the service.
    :param key: Value of the Idempotency-Key header.
    :param fence: Value of the Jacinthshed-Fence header: a fence or "new".
    """
    read = read_bundle_file(bundle)
    if isinstance(read, Failure):
        return refuse_bundle(read.failure(), as_json=as_json)
    policy = read.unwrap().bundle
    table = RouteTable(policy)
    match = table.match(method.encode(), path.encode(), host.encode())
    if match is None:
        return refuse("no route: a node would answer 404 unknown-route, not run")
    found = _explanation(policy, table, match, key, fence)
    if as_json:
        return print_json(found)
    for name, value in found.items():
        print(f"{name:<14}{value}")
    return EXIT_DONE


def _explanation(
    policy: Bundle, table: RouteTable, match: RouteMatch, key: str, fence: str
) -> dict[str, Any]:
    route = match.route
    service = policy.services[match.service]
    all_ranks = sorted({other.rank for other in policy.routes.values()})
    higher_ranks = [rank for rank in all_ranks if rank > route.rank]
    return {
        "route": match.route_name,
        "service": match.service,
        "path": match.backend_target.decode("latin-1"),
        "rank": route.rank,
        "shed": f"after ranks {higher_ranks}"
        if higher_ranks
        else "first, with its own rank",
        "deadline_ms": route.deadline_ms,
        "idempotent": route.idempotent,
        "runs": _execution_text(policy, match, key, fence),
        "retries": f"at most {policy.retry.allowance} over the whole call tree",
        "services": ", ".join(sorted(table.services_below(match.route_name))),
        "slots": f"{service.slots} at each target",
    }


def _execution_text(policy: Bundle, match: RouteMatch, key: str, fence: str) -> str:
    strategy = choose_strategy(
        idempotent=match.route.idempotent,
        require_key=policy.fence.require_key,
        key=key,
        fence=fence,
    )
    if isinstance(strategy, Refused):
        return f"refused, {strategy.refusal.verdict}: {strategy.refusal.detail}"
    return _EXECUTION_TEXTS[type(strategy)]
