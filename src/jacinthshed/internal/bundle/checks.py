"""Validation of a bundle beyond the type of each value.

Each part of the bundle has its own checks. ``check_bundle`` runs all of them, so that
an operator sees every problem at once.
"""

from collections.abc import Iterator
from itertools import chain

from ..settings.problem import Problem
from .call_checks import check_calls
from .model import Bundle
from .policy_checks import check_policies
from .route_checks import check_routes
from .service_checks import check_services
from .shared_checks import NAME_EXPECTED, check_range, is_name
from .workspace_checks import check_workspaces

# The largest whole number that every JSON reader keeps exact.
MAX_VERSION = 2**53 - 1


def check_bundle(bundle: Bundle) -> Iterator[Problem]:
    """Return an iterator of all problems of ``bundle``."""
    return chain(
        _check_head(bundle),
        check_services(bundle),
        check_routes(bundle),
        check_calls(bundle),
        check_policies(bundle),
        check_workspaces(bundle),
    )


def _check_head(bundle: Bundle) -> Iterator[Problem]:
    if not is_name(bundle.deployment):
        yield Problem("deployment", NAME_EXPECTED, repr(bundle.deployment))
    yield from check_range("version", bundle.version, 1, MAX_VERSION)
    if not bundle.availability_zones:
        yield Problem("availability_zones", "at least one", "none")
    for index, zone in enumerate(bundle.availability_zones):
        path = f"availability_zones[{index}]"
        if not is_name(zone):
            yield Problem(path, NAME_EXPECTED, repr(zone))
        if zone in bundle.availability_zones[:index]:
            yield Problem(path, "each availability zone once", f"{zone} again")
