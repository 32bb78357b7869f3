"""Builders of what is known of workspaces, and of the status of a node with them."""

import copy

from jacinthshed.internal.workspace.status import KnownShare

DOCUMENT = {
    "host": "orders-0",
    "availability_zone": "zone-a",
    "service": "orders",
    "state": "live",
    "serving": True,
    "bundle": {"version": 7, "digest": "ab" * 32, "age_ms": 12_340, "clashes": []},
    "admission": {"running": 1, "waiting": 2, "limit": 10},
    "calls_in_flight": 3,
    "suspects": 0,
    "members": {"orders": ["orders-0", "orders-1"]},
}
TEXT = """\
host          orders-0 (zone-a)
service       orders
state         live, serving
bundle        version 7, abababababab
admission     1 running, 2 waiting, limit 10
calls         3 in flight
suspects      0
members       orders: orders-0, orders-1
"""


def document_with(*workspaces, policy_age_ms=None):
    """Return the status of a node whose policy has workspaces."""
    bundle = {**DOCUMENT["bundle"], "policy_age_ms": policy_age_ms}
    return {**DOCUMENT, "bundle": bundle, "workspaces": list(workspaces)}


def workspace(name, permille=1_000, told_ago_ms=120, is_on_its_own=False):
    """Return one entry of the section."""
    return {
        "workspace": name,
        "admitted_permille": permille,
        "told_ago_ms": told_ago_ms,
        "is_on_its_own": is_on_its_own,
        "home": "orders-1",
    }


def share(name, permille=1_000, told_ago_ms=120.0, is_on_its_own=False):
    """Return what a node knows of a workspace."""
    return KnownShare(name, permille, told_ago_ms, is_on_its_own)


def usage_state(exchange):
    """Return a copy of all that a ``UsageExchange`` decides by."""
    limiter, home = exchange._limiter, exchange._home
    accounts = {name: vars(account) for name, account in home._accounts.items()}
    return copy.deepcopy(
        (
            {name: vars(usage) for name, usage in limiter._usage.items()},
            accounts,
            exchange._homes,
            exchange._homes_at_ms,
            exchange._active.is_set(),
            exchange._random.getstate(),
        )
    )
