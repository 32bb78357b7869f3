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
    """A checked bundle from a file, which may or may not be signed."""

    bundle: Bundle
    order: BundleOrder
    envelope: Envelope


def read_bytes(path: Path) -> Result[bytes, BundleError]:
    """Return what the file ``path`` holds, up to just above the size limit."""
    try:
        with path.open("rb") as file:
            return Success(file.read(MAX_ENVELOPE_BYTES + 1))
    except OSError as error:
        problem = Problem("", "a readable file", error.strerror or str(error))
        return Failure(BundleError(str(path), (problem,)))


def read_bundle_file(path: Path) -> Result[BundleFile, BundleError]:
    """Return the checked bundle in ``path``: a signed envelope or a plain document.

    Signatures are kept and not verified.
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
        # Created with its final mode: there is no moment at which others may read it.
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        descriptor = os.open(path, flags, PRIVATE_FILE_MODE)
        with os.fdopen(descriptor, "wb") as file:
            file.write(pem)
    except FileExistsError:
        return Failure(f"{path}: the file exists; give the name of a new one")
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
        return Failure(f"{path}: {expected}, found another kind of key")
    return Success(key)


def write_output(path: Path, data: bytes) -> Result[None, str]:
    """Write ``data`` to ``path`` in one step, so that no half file is ever seen."""
    partial = path.with_name(f"{path.name}.partial")
    try:
        partial.write_bytes(data)
        partial.replace(path)
    except OSError as error:
        return Failure(f"{path}: can't write: {error.strerror}")
    return Success(None)
