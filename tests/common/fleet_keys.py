"""The operators of a fleet, their signing keys, and its wall clock."""

import yaml

from jacinthshed.internal.bundle.signing import (
    Envelope,
    envelope_bytes,
    generate_key,
    sign,
)
from jacinthshed.internal.node.clock import trio_now_ms
from jacinthshed.internal.settings.keys import public_key_text
from jacinthshed.internal.settings.model import (
    OperatorSettings,
)

EPOCH_MS = 1_800_000_000_000
KEYS = {"ops": generate_key(), "deputy": generate_key()}
OPERATORS = OperatorSettings(
    keys={name: public_key_text(key.public_key()) for name, key in KEYS.items()}
)


def virtual_wall_ms():
    """Return the virtual wall-clock time, which follows trio's clock, in ms."""
    return EPOCH_MS + int(trio_now_ms())


def signed(bundle, operator="ops"):
    """Return the signed envelope of a bundle given as plain data."""
    document = yaml.safe_dump(bundle, sort_keys=False)
    envelope = sign(Envelope(document=document), operator, KEYS[operator])
    return envelope_bytes(envelope)
