"""Calls and tools for driving flows without a node."""

from jacinthshed.internal.flow.call import Call, submit_frame
from jacinthshed.internal.flow.tools import CallTools

HOSTS = ("host-a", "host-b")


def idempotent_call():
    return Call(
        request_id="r",
        root_id="r",
        root_hash=0,
        rank=5,
        route="lookup",
        service="orders",
        services_below=frozenset({"orders"}),
        idempotent=True,
        method=b"GET",
        target=b"/lookup",
        headers=(),
        body=b"",
        deadline_at_ms=1_000.0,
        deadline_wall_ms=1_000,
        invested=0,
        key="",
        ledger_id="r",
        allowance=0,
        is_resend=False,
        parent_id="",
        caller="",
    )


def stub_tools(allowance):
    """Return tools that pick the hosts in order and allow ``allowance`` retries."""
    left = [allowance]

    def pick(call, tried):
        return next((host for host in HOSTS if host not in tried), None)

    def spend(call):
        left[0] -= 1
        return left[0] >= 0

    def frame(call, attempt, host):
        return submit_frame(call, attempt, now_ms=0.0, version=1, digest=b"")

    unused = dict.fromkeys(CallTools._fields)
    return CallTools(
        **{
            **unused,
            "now_ms": lambda: 0.0,
            "pick": pick,
            "split": lambda call, attempt_id: 0,
            "spend": spend,
            "give_back": lambda call, attempt_id, count: None,
            "may_retry": lambda call: True,
            "is_failed": lambda reply: False,
            "frame": frame,
            "log": lambda event, **fields: None,
        }
    )
