"""What a change of a bundle means to the users of a deployment."""

from typing import Any

# By the last key of the path: what a greater and what a smaller value does.
_GREATER_SMALLER: dict[str, tuple[str, str]] = {
    "rank": ("shed earlier", "shed later"),
    "deadline_ms": ("requests may take longer", "requests are given up earlier"),
    "slots": ("more requests run at once", "fewer requests run at once"),
    "connections": ("more connections to a target", "fewer connections to a target"),
    "queue": ("more requests wait for a slot", "fewer requests wait for a slot"),
    "allowance": ("more retries of a request", "fewer retries of a request"),
    "ratio": ("callers may resend more", "callers may resend less"),
    "burst": ("callers may resend more at once", "callers may resend less at once"),
    "lifetime_ms": ("fences live longer", "fences expire sooner"),
    "key_lifetime_ms": ("keys may be resent longer", "keys may be resent shorter"),
    "skew_ms": ("clocks may differ more", "clocks may differ less"),
    "latency_tolerance": ("limits go down later", "limits go down earlier"),
    "level_ttl_ms": ("shed levels last longer", "shed levels age out sooner"),
    "min_limit": ("limits stay higher", "limits may go lower"),
    "subset": ("more links of each node", "fewer links of each node"),
    "slow_start_ms": ("new targets warm up longer", "new targets warm up faster"),
    "headroom": ("other zones are used earlier", "other zones are used later"),
    "silent_after_ms": (
        "silent links are noticed later",
        "silent links are noticed sooner",
    ),
    "limit_ms": ("a leaving server waits longer", "a leaving server waits less"),
    "crashes": ("quarantine after more crashes", "quarantine after fewer crashes"),
    "quarantine_ttl_ms": ("quarantine lasts longer", "quarantine ends sooner"),
    "per_zone": ("more readers of the platform", "fewer readers of the platform"),
    "reads_per_s": ("more reads at the platform", "fewer reads at the platform"),
    "request_bytes": ("larger requests are taken", "large requests are refused"),
    "answer_bytes": ("larger answers are taken", "large answers are refused"),
}


def meaning_of(path: str, old: Any, new: Any) -> str:
    """Return the meaning of the change at ``path``, or nothing when it is plain."""
    if path.count(".") == 1 and path.startswith(("services.", "routes.")):
        return _entry_meaning(path, old, new)
    key = path.rpartition(".")[2]
    if key == "idempotent":
        return "may be retried" if new else "runs at most once, needs a fence"
    if key == "require_key":
        return (
            "requests without a key are refused"
            if new
            else "requests without a key are given one"
        )
    if key in _GREATER_SMALLER and _are_numbers(old, new):
        greater, smaller = _GREATER_SMALLER[key]
        return greater if new > old else smaller
    return ""


def _entry_meaning(path: str, old: Any, new: Any) -> str:
    kind = path.partition(".")[0].removesuffix("s")
    if old is None:
        return f"{kind} added"
    if new is None:
        return f"{kind} removed: its requests are refused"
    return ""


def _are_numbers(*values: Any) -> bool:
    return all(
        isinstance(value, int | float) and not isinstance(value, bool)
        for value in values
    )
