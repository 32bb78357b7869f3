"""A bundle of the largest size that the system must support."""

from typing import NamedTuple

import msgspec
import yaml
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from jacinthshed.internal.bundle.model import Bundle, Route, Service
from jacinthshed.internal.bundle.signing import (
    Envelope,
    envelope_bytes,
    sign,
    signed_bundle_opener,
)
from jacinthshed.internal.bundle.store import BundleStore
from jacinthshed.internal.settings.keys import public_key_text

SERVICES = 37
ROUTES_PER_SERVICE = 4
CALL_DEPTH = 23
OPERATOR = "operator"
RANKS = 10


class OneOperator(NamedTuple):
    """Operator settings that trust the key of one operator."""

    keys: dict[str, str]
    threshold: int = 1


def target_bundle(version: int) -> Bundle:
    """Return a bundle of ``SERVICES`` services with call paths of ``CALL_DEPTH``."""
    zones = tuple(f"region-{r}-zone-{z}" for r in "ab" for z in range(4))
    services = {
        f"service-{number:02d}": Service(slots=50, connections=400)
        for number in range(SERVICES)
    }
    routes = {}
    for number in range(SERVICES):
        for kind in range(ROUTES_PER_SERVICE):
            has_callee = number + 1 < CALL_DEPTH
            routes[f"route-{number:02d}-{kind}"] = Route(
                service=f"service-{number:02d}",
                path=f"/kind-{kind}",
                rank=1 + kind,
                idempotent=True,
                deadline_ms=5_000 - 100 * min(number, CALL_DEPTH),
                calls=(f"route-{number + 1:02d}-{kind}",) if has_callee else (),
            )
    return Bundle(
        deployment="target",
        version=version,
        availability_zones=zones,
        services=services,
        routes=routes,
    )


def signed_bundle(version: int, key: Ed25519PrivateKey) -> bytes:
    """Return a signed bundle, without the fields that operators leave at defaults."""
    bundle = msgspec.to_builtins(target_bundle(version))
    defaults = {"methods", "queue", "path_prefix"}
    for section in (*bundle["services"].values(), *bundle["routes"].values()):
        for name in defaults & section.keys():
            del section[name]
    text = yaml.safe_dump(bundle, sort_keys=False)
    return envelope_bytes(sign(Envelope(document=text, signatures=()), OPERATOR, key))


def new_store(key: Ed25519PrivateKey) -> BundleStore:
    """Return an empty bundle store that accepts bundles signed with ``key``."""
    trusted = OneOperator({OPERATOR: public_key_text(key.public_key())})
    return BundleStore(open_bundle=signed_bundle_opener(trusted))
