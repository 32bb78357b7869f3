"""Validation of settings beyond the type of each value."""

import re
from collections.abc import Iterator

from .address import Address
from .convert import short_repr
from .model import HttpSettings, LogSettings, NodeSettings
from .problem import Problem

NAME = re.compile(r"[a-z][a-z0-9-]{0,62}")
NAME_EXPECTED = (
    "a name of 1 to 63 lowercase letters, digits and hyphens that begins with a letter"
)
MAX_HEAD_BYTES = 1_048_576
# Less would refuse ordinary bodies, beside a few connections.
MIN_BUDGET_BYTES = 1_048_576


def is_name(text: str) -> bool:
    """Return whether ``text`` may name a service, route or availability zone."""
    return NAME.fullmatch(text) is not None


def check_settings(settings: NodeSettings) -> Iterator[Problem]:
    """Yield every problem of ``settings``."""
    yield from _check_names(settings)
    yield from _check_listeners(settings)
    yield from _check_backend(settings)
    yield from _check_source(settings)
    yield from _check_logs(settings.logs)
    yield from _check_http(settings.http)
    if settings.memory.budget_bytes < MIN_BUDGET_BYTES:
        found = short_repr(settings.memory.budget_bytes)
        expected = f"at least {MIN_BUDGET_BYTES}"
        yield Problem("memory.budget_bytes", expected, found)


def _check_source(settings: NodeSettings) -> Iterator[Problem]:
    if settings.store is not None and settings.platform is not None:
        remedy = "Keep the one that provides the policy of this deployment."
        yield Problem("store", "either store or platform", "both", remedy)
    if settings.operators is not None:
        # Imported here because the cryptography library, which the checks of keys need,
        # takes long to import.
        from .operator_checks import check_operators

        yield from check_operators(settings.operators)
    elif settings.store is None:
        remedy = "Add the operators whose signatures a bundle needs."
        yield Problem("operators", "a mapping", "nothing", remedy)


def _check_names(settings: NodeSettings) -> Iterator[Problem]:
    if not settings.host.strip():
        yield Problem("host", "the name of the host", short_repr(settings.host))
    if not is_name(settings.availability_zone):
        found = short_repr(settings.availability_zone)
        yield Problem("availability_zone", NAME_EXPECTED, found)
    for field in ("service", "deployment"):
        value = getattr(settings, field)
        if value and not is_name(value):
            yield Problem(field, NAME_EXPECTED, short_repr(value))


def _check_listeners(settings: NodeSettings) -> Iterator[Problem]:
    seen: dict[Address, str] = {}
    for name in ("entry", "egress", "peer", "ready", "metrics"):
        address: Address | None = getattr(settings.listen, name)
        if address is None:
            continue
        if address.port and address in seen:
            expected = f"an address other than that of listen.{seen[address]}"
            yield Problem(f"listen.{name}", expected, str(address))
        seen[address] = name


def _check_backend(settings: NodeSettings) -> Iterator[Problem]:
    backend = settings.backend
    if settings.service and backend is None:
        remedy = "Add it, or leave service empty on a node without a backend server."
        yield Problem("backend", "the backend server's address", "nothing", remedy)
    if backend is None:
        return
    if not settings.service:
        yield Problem("service", "the name of the backend server's service", "nothing")
    if backend.health_path is not None and not backend.health_path.startswith("/"):
        yield Problem("backend.health_path", "a path", short_repr(backend.health_path))
    if backend.health_interval_ms < 1:
        found = short_repr(backend.health_interval_ms)
        yield Problem("backend.health_interval_ms", "at least 1", found)


def _check_logs(logs: LogSettings) -> Iterator[Problem]:
    if not 0.0 <= logs.sample <= 1.0:
        yield Problem("logs.sample", "a fraction from 0 to 1", short_repr(logs.sample))


def _check_http(http: HttpSettings) -> Iterator[Problem]:
    if not 1_024 <= http.head_bytes <= MAX_HEAD_BYTES:
        expected = f"from 1024 to {MAX_HEAD_BYTES}"
        yield Problem("http.head_bytes", expected, short_repr(http.head_bytes))
    for name in ("idle_ms", "read_ms", "connections"):
        value = getattr(http, name)
        if value < 1:
            yield Problem(f"http.{name}", "at least 1", short_repr(value))
