"""Validation of the services of a bundle."""

from collections.abc import Iterator

from ..settings.problem import Problem
from .model import Bundle, Service
from .shared_checks import (
    NAME_EXPECTED,
    PATH_EXPECTED,
    check_range,
    is_name,
    is_plain_path,
)

MAX_SLOTS = 100_000
MAX_CONNECTIONS = 100_000
MAX_QUEUE = 100_000


def effective_prefix(name: str, service: Service) -> str:
    """Return the path prefix of the service ``name``, given or default."""
    return service.path_prefix or f"/{name}"


def check_services(bundle: Bundle) -> Iterator[Problem]:
    """Yield every problem of the services of ``bundle``."""
    if not bundle.services:
        yield Problem("services", "at least one service", "none")
    for name, service in bundle.services.items():
        path = f"services.{name}"
        if not is_name(name):
            yield Problem(path, NAME_EXPECTED, repr(name))
        yield from _check_capacity(path, service)
        if service.path_prefix and not is_plain_path(service.path_prefix):
            found = repr(service.path_prefix)
            yield Problem(f"{path}.path_prefix", PATH_EXPECTED, found)
    yield from _check_prefixes(bundle)


def _check_capacity(path: str, service: Service) -> Iterator[Problem]:
    yield from check_range(f"{path}.slots", service.slots, 1, MAX_SLOTS)
    reason = "at least the slots, as each running request has a connection"
    yield from check_range(
        f"{path}.connections",
        service.connections,
        service.slots,
        MAX_CONNECTIONS,
        reason,
    )
    yield from check_range(f"{path}.queue", service.queue, 0, MAX_QUEUE)


def _check_prefixes(bundle: Bundle) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for name, service in bundle.services.items():
        prefix = effective_prefix(name, service)
        if prefix in owners:
            expected = f"another prefix than that of {owners[prefix]}"
            yield Problem(f"services.{name}.path_prefix", expected, repr(prefix))
        owners.setdefault(prefix, name)
