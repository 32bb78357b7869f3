"""Builders of bundles, operators and signed envelopes."""

from copy import deepcopy
from typing import Any, NamedTuple

import yaml
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from jacinthshed.internal.bundle.signing import Envelope, envelope_bytes, sign
from jacinthshed.internal.settings.keys import public_key_text
from jacinthshed.internal.settings.model import OperatorSettings

BASE: dict[str, Any] = {
    "deployment": "pampa",
    "version": 1,
    "availability_zones": ["pampa-a", "pampa-b"],
    "services": {
        "repair-orders": {"slots": 50, "connections": 400},
        "spare-parts": {"slots": 50, "connections": 400},
    },
    "routes": {
        "book": {
            "service": "repair-orders",
            "methods": ["POST"],
            "path": "/orders",
            "rank": 1,
            "idempotent": False,
            "deadline_ms": 3000,
            "calls": ["stock"],
        },
        "stock": {
            "service": "spare-parts",
            "path": "/stock",
            "rank": 50,
            "idempotent": True,
            "deadline_ms": 1000,
        },
    },
}

DELETE: Any = object()


class Operator(NamedTuple):
    """An operator's name and its private key, which is the same in every run."""

    name: str
    key: Ed25519PrivateKey


def operator(name: str) -> Operator:
    """Return the operator ``name`` with a key that is derived from the name."""
    seed = name.encode().ljust(32, b"-")
    return Operator(name, Ed25519PrivateKey.from_private_bytes(seed))


ANA = operator("ana")
BRUNO = operator("bruno")
CARLA = operator("carla")
STRANGER = operator("stranger")


def trusted_operators(*operators: Operator, threshold: int) -> OperatorSettings:
    """Return settings that trust ``operators``, ``threshold`` of whom have to sign."""
    keys = {o.name: public_key_text(o.key.public_key()) for o in operators}
    return OperatorSettings(keys=keys, threshold=threshold)


def bundle_document(edits: dict[str, Any] | None = None, *, version: int = 1) -> bytes:
    """Return the base bundle as YAML, with values set by dotted path.

    The value ``DELETE`` removes the key.
    """
    value = deepcopy(BASE) | {"version": version}
    for path, new in (edits or {}).items():
        *parents, last = path.split(".")
        parent = value
        for key in parents:
            parent = parent.setdefault(key, {})
        if new is DELETE:
            del parent[last]
        else:
            parent[last] = new
    return yaml.safe_dump(value, sort_keys=False).encode()


def signed_bundle(text: bytes, *operators: Operator) -> bytes:
    """Return the envelope of ``text`` with the signatures of ``operators``."""
    envelope = Envelope(document=text.decode())
    for one in operators:
        envelope = sign(envelope, one.name, one.key)
    return envelope_bytes(envelope)
