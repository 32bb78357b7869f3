"""Checks of a bundle's workspaces and of the withdrawal of their keys."""

import re
from collections.abc import Iterator

from ..settings.problem import Problem
from .model import Bundle, Workspace
from .shared_checks import NAME_EXPECTED, check_range, is_name

MAX_RANK = 1_000_000
MAX_RATE_PER_S = 1e9
MAX_AGE_MS = 3_600_000
_DIGEST = re.compile(r"[0-9a-f]{64}")
_DIGEST_EXPECTED = "the SHA-256 digest of a key, 64 lower-case hexadecimal digits"


def check_workspaces(bundle: Bundle) -> Iterator[Problem]:
    """Return an iterator of the problems of workspaces and keys.

    No problem shows a digest: a mistyped entry may be the key itself.
    """
    yield from _check_keys(bundle)
    owners: dict[str, str] = {}
    for name, workspace in bundle.workspaces.items():
        path = f"workspaces.{name}"
        if not is_name(name):
            yield Problem(path, NAME_EXPECTED, repr(name))
        yield from _check_numbers(path, workspace)
        for index, digest in enumerate(workspace.key_digests):
            digest_path = f"{path}.key_digests[{index}]"
            if not _DIGEST.fullmatch(digest):
                yield Problem(digest_path, _DIGEST_EXPECTED, "another text")
            owner = owners.setdefault(digest, name)
            if owner != name:
                expected = "a key of one workspace only"
                yield Problem(digest_path, expected, f"a key of {owner} too")


def _check_keys(bundle: Bundle) -> Iterator[Problem]:
    max_age_ms = bundle.keys.max_age_ms
    least_ms = bundle.readers.watch_ms + 1 if max_age_ms > 0 else 0
    reason = "0, or longer than readers.watch_ms, as a pending watch shows no age"
    yield from check_range("keys.max_age_ms", max_age_ms, least_ms, MAX_AGE_MS, reason)


def _check_numbers(path: str, workspace: Workspace) -> Iterator[Problem]:
    yield from check_range(f"{path}.rank", workspace.rank, 0, MAX_RANK)
    rate_per_s, burst = workspace.rate_per_s, workspace.burst
    yield from check_range(f"{path}.rate_per_s", rate_per_s, 0, MAX_RATE_PER_S)
    yield from check_range(f"{path}.burst", burst, 0, MAX_RATE_PER_S)
    if burst and not rate_per_s:
        yield Problem(f"{path}.burst", "0 without a rate_per_s", str(burst))
