"""Descriptions of the effects that changes of a bundle have."""

from typing import Any

# The last key of the path to the effect of a greater and of a smaller value.
_EFFECTS: dict[str, tuple[str, str]] = {
    "rank": ("shed earlier", "shed later"),
    "deadline_ms": ("requests may take longer", "requests time out earlier"),
    "slots": ("more requests run at once", "fewer requests run at once"),
    "connections": ("more connections to a target", "fewer connections to a target"),
    "queue": ("more requests wait for a slot", "fewer requests wait for a slot"),
    "allowance": ("more retries of a request", "fewer retries of a request"),
    "ratio": ("callers may resend more", "callers may resend less"),
    "burst": ("callers may resend more at once", "callers may resend less at once"),
    "lifetime_ms": ("fences expire later", "fences expire sooner"),
    "key_lifetime_ms": (
        "keys may be resent for longer",
        "keys may be resent for less time",
    ),
    "skew_ms": ("clocks may differ more", "clocks may differ less"),
    "latency_tolerance": ("limits decrease later", "limits decrease earlier"),
    "level_ttl_ms": ("shed levels expire later", "shed levels expire sooner"),
    "min_limit": ("limits stay higher", "limits may go lower"),
    "subset": ("more links of each node", "fewer links of each node"),
    "slow_start_ms": ("new targets warm up longer", "new targets warm up faster"),
    "headroom": ("other zones are used earlier", "other zones are used later"),
    "silent_after_ms": (
        "silent links are detected later",
        "silent links are detected sooner",
    ),
    "limit_ms": ("a leaving node waits longer", "a leaving node waits less"),
    "crashes": ("quarantine after more crashes", "quarantine after fewer crashes"),
    "quarantine_ttl_ms": ("quarantine lasts longer", "quarantine ends sooner"),
    "per_zone": ("more readers of the platform", "fewer readers of the platform"),
    "reads_per_s": ("more reads at the platform", "fewer reads at the platform"),
    "request_bytes": ("larger requests are accepted", "large requests are refused"),
    "answer_bytes": ("larger answers are accepted", "large answers are refused"),
}


def meaning_of(path: str, old: Any, new: Any) -> str:
    """Return the effect of the change at ``path``, or ``""`` if it is self-explanatory.

    ``old`` or ``new`` is ``None`` for a value that one of the bundles lacks.
    """
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
    if key in _EFFECTS and _are_numbers(old, new):
        greater, smaller = _EFFECTS[key]
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
