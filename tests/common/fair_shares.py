"""Calls of workspaces as the platform's adapter reads them, and usage accounts."""

import random

from jacinthshed.internal.bundle.model import ReaderPolicy
from jacinthshed.internal.flow.call_reader import Arrival
from jacinthshed.internal.flow.context import ParentContext
from jacinthshed.internal.flow.policy import Policy
from jacinthshed.internal.platform.bounds import Bounds
from jacinthshed.internal.platform.http_adapter import platform_http_adapter
from jacinthshed.internal.platform.policy_document import policy_document_opener
from jacinthshed.internal.workspace.key_ring import KeyRing
from jacinthshed.internal.workspace.usage import UsageLimiter
from jacinthshed.internal.workspace.usage_exchange import UsageExchange
from tests.common.machines import request
from tests.common.usage_replay import limit
from tests.common.workspaces import state_with, tenant

LIMITED, UNLIMITED = "key-of-limited", "key-of-unlimited"
TENANTS = [
    tenant("limited", LIMITED, rate_per_s=100, burst=100),
    tenant("unlimited", UNLIMITED),
]
LIMIT = limit(100.0, 100.0)


def read_call(key, *, use_permille, path="/lookup/1", parent=None):
    """Return the call of a request with the key of a workspace, or without one."""
    opened = policy_document_opener(Bounds(), ReaderPolicy())(
        state_with(1, TENANTS), "test"
    ).unwrap()
    ring = KeyRing(workspaces=opened.bundle.workspaces)
    policy = Policy(opened.bundle, opened.order, opened.routes, ring)
    arrival = Arrival("root", 0.0, 0, parent, 0, "", use_permille=use_permille)
    sent = request(path, "root", credential=key)
    return platform_http_adapter("a").read_call(sent, arrival, policy).unwrap().call


def parent_with(root_hash):
    """Return the context of a request that makes calls."""
    return ParentContext("parent", "root", root_hash, 1, "lookup", 1e9, 0, "")


def limiter():
    """Return the limiter of a node that has heard nothing."""
    return UsageLimiter(nodes=lambda: 1, random=random.Random(1))


def exchange(limits):
    """Return the exchange of the only node, and a function that sets its time."""
    now_ms = [0.0]
    made = UsageExchange(
        own_host="a",
        hosts=lambda: ["a"],
        limits=limits.get,
        send=lambda host, frame: None,
        now_ms=lambda: now_ms[0],
        random=random.Random(1),
        log=lambda event, **fields: None,
    )

    def set_now(ms):
        now_ms[0] = ms

    return made, set_now
