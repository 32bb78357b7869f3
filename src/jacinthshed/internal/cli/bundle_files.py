"""The files that the ``bundle`` commands read and write."""

import os
from pathlib import Path
from typing import NamedTuple

from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)
from returns.result import Failure, Result, Success

from ..bundle.document import BundleError, bundle_order, parse_bundle
from ..bundle.model import Bundle
from ..bundle.order import BundleOrder
from ..bundle.signing import MAX_ENVELOPE_BYTES, Envelope, read_envelope
from ..settings.document import read_document
from ..settings.problem import Problem

PRIVATE_FILE_MODE = 0o600


class BundleFile(NamedTuple):
    """A checked bundle from a file, signed or not.

    ``envelope`` has no signatures if the file is a plain bundle document.
    """

    bundle: Bundle
    order: BundleOrder
    envelope: Envelope


def read_bytes(path: Path) -> Result[bytes, BundleError]:
    """Return the first ``MAX_ENVELOPE_BYTES + 1`` bytes of the file ``path``.

    The extra byte shows that a file exceeds the limit.
    """
    try:
        with path.open("rb") as file:
            return Success(file.read(MAX_ENVELOPE_BYTES + 1))
    except OSError as error:
        problem = Problem("", "a readable file", error.strerror or str(error))
        return Failure(BundleError(str(path), (problem,)))


def read_bundle_file(path: Path) -> Result[BundleFile, BundleError]:
    """Return the checked bundle in ``path``: a signed envelope or a plain document.

    Signatures are returned without being verified.
    """
    return read_bytes(path).bind(lambda data: _parse(data, str(path)))


def _parse(data: bytes, source: str) -> Result[BundleFile, BundleError]:
    value = read_document(data, max_bytes=MAX_ENVELOPE_BYTES)
    if isinstance(value, Failure):
        return Failure(BundleError(source, (value.failure(),)))
    mapping = value.unwrap()
    signed = isinstance(mapping, dict) and "document" in mapping
    envelope = _envelope(data, source, signed=signed)
    return envelope.bind(lambda opened: _checked(opened, source))


def _envelope(
    data: bytes, source: str, *, signed: bool
) -> Result[Envelope, BundleError]:
    if signed:
        return read_envelope(data, source=source)
    return Success(Envelope(document=data.decode("utf-8")))


def _checked(envelope: Envelope, source: str) -> Result[BundleFile, BundleError]:
    document = envelope.document.encode("utf-8")
    return parse_bundle(document, source=source).map(
        lambda bundle: BundleFile(bundle, bundle_order(bundle, document), envelope)
    )


def write_private_key(path: Path, key: Ed25519PrivateKey) -> Result[None, str]:
    """Write ``key`` as PEM to the new file ``path``, readable by its owner only."""
    pem = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    try:
        # The file is created with its final mode, so that others can never read it.
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        descriptor = os.open(path, flags, PRIVATE_FILE_MODE)
        with os.fdopen(descriptor, "wb") as file:
            file.write(pem)
    except FileExistsError:
        return Failure(f"{path}: the file exists; choose the name of a new file")
    except OSError as error:
        return Failure(f"{path}: can't write: {error.strerror}")
    return Success(None)


def read_private_key(path: Path) -> Result[Ed25519PrivateKey, str]:
    """Return the Ed25519 private key in the PEM file ``path``."""
    expected = "expected a PEM file made by `jacinthshed bundle keygen`"
    try:
        key = load_pem_private_key(path.read_bytes(), password=None)
    except OSError as error:
        return Failure(f"{path}: can't read: {error.strerror}")
    except (ValueError, TypeError, UnsupportedAlgorithm):
        return Failure(f"{path}: {expected}")
    if not isinstance(key, Ed25519PrivateKey):
        return Failure(f"{path}: {expected}, found a key of another type")
    return Success(key)


def write_output(path: Path, data: bytes) -> Result[None, str]:
    """Write ``data`` to ``path`` atomically: readers never see a partial file."""
    partial = path.with_name(f"{path.name}.partial")
    try:
        partial.write_bytes(data)
        partial.replace(path)
    except OSError as error:
        return Failure(f"{path}: can't write: {error.strerror}")
    return Success(None)
