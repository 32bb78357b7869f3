"""Formats a bundle as text."""

from collections.abc import Iterator

import msgspec

from ..bundle.model import Bundle
from .bundle_files import BundleFile

_SECTIONS = (
    "retry",
    "fence",
    "admission",
    "routing",
    "membership",
    "drain",
    "quarantine",
    "readers",
    "sizes",
)


def bundle_lines(found: BundleFile) -> Iterator[str]:
    """Yield the lines that ``jacinthshed bundle show`` prints."""
    bundle = found.bundle
    signers = ", ".join(s.operator for s in found.envelope.signatures) or "nobody"
    yield f"{bundle.deployment}, version {bundle.version}, signed by {signers}"
    yield f"digest {found.order.digest.hex()}"
    yield f"availability zones: {', '.join(bundle.availability_zones)}"
    yield ""
    yield from _service_lines(bundle)
    yield ""
    yield from _route_lines(bundle)
    yield ""
    yield from _policy_lines(bundle)


def _service_lines(bundle: Bundle) -> Iterator[str]:
    yield "services, limits of each target"
    for name, service in bundle.services.items():
        queue = service.queue or service.slots
        sizes = f"{service.slots} slots, queue of {queue}, "
        yield f"  {name:<20} {sizes}{service.connections} connections"


def _route_lines(bundle: Bundle) -> Iterator[str]:
    yield "routes, in the reverse order of shedding"
    by_rank = sorted(bundle.routes.items(), key=lambda item: item[1].rank)
    for name, route in by_rank:
        kind = "idempotent" if route.idempotent else "at most once"
        methods = "|".join(route.methods)
        place = f"{methods} {route.service} {route.path}"
        yield f"  {route.rank:>3} {name:<24} {place}, {kind}, {route.deadline_ms} ms"
        if route.calls:
            yield f"      calls {', '.join(route.calls)}"


def _policy_lines(bundle: Bundle) -> Iterator[str]:
    yield "policies"
    for section in _SECTIONS:
        for key, value in msgspec.to_builtins(getattr(bundle, section)).items():
            yield f"  {section}.{key}: {value}"
