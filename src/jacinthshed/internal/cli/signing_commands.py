"""The ``jacinthshed bundle`` commands about keys and signatures."""

import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from returns.result import Failure, Result, Success

from ..bundle.document import BundleError
from ..bundle.opened_bundle import OpenedBundle
from ..bundle.order import BundleOrder
from ..bundle.signing import (
    Envelope,
    TrustedOperators,
    envelope_bytes,
    generate_key,
    open_signed_bundle,
    sign,
)
from ..settings.keys import public_key_text
from ..settings.load import load_settings
from ..settings.model import NodeSettings, OperatorSettings
from ..settings.operator_checks import check_operators
from .bundle_files import (
    BundleFile,
    read_bundle_file,
    read_bytes,
    read_private_key,
    write_output,
    write_private_key,
)
from .bundle_version import fetch_version_in_force
from .exit_codes import EXIT_DONE, EXIT_USAGE
from .output import Json, print_json, refuse, refuse_bundle


def keygen(operator: str, /, *, private_key: Path, as_json: Json = False) -> int:
    """Generate a key pair for an operator.

    The private key is written to a new file that only its owner may read. The public
    key is printed, for ``operators.keys`` in the settings of every node.

    Example: ``jacinthshed bundle keygen ana --private-key ana.pem``

    Parameters
    ----------
    operator
        The operator's name.
    private_key
        The file to write; it must not exist.
    """
    key = generate_key()
    written = write_private_key(private_key, key)
    if isinstance(written, Failure):
        return refuse(written.failure())
    public = public_key_text(key.public_key())
    if as_json:
        return print_json({"operator": operator, "public_key": public})
    print(f"{operator}: {public}")
    return EXIT_DONE


def sign_command(
    file: Path,
    /,
    *,
    operator: str,
    private_key: Path,
    output: Path,
    in_force: Path | None = None,
    in_force_address: str | None = None,
) -> int:
    """Sign a bundle, or add a signature to a signed one.

    The bundle is checked first. Pass the one in force, or a node, to compare versions.

    Example: ``jacinthshed bundle sign bundle.yaml --operator ana --private-key ana.pem
    --in-force current.yaml --output signed.yaml``

    Parameters
    ----------
    file
        A bundle document or a signed bundle.
    operator
        The operator's name in ``operators.keys`` of the nodes' settings.
    private_key
        The operator's private key, a PEM file.
    output
        The file to write the signed bundle to.
    in_force
        A file with the bundle in force.
    in_force_address
        The peer address of a node from which to fetch the version in force.
    """
    read = read_bundle_file(file)
    if isinstance(read, Failure):
        return refuse_bundle(read.failure())
    found = read.unwrap()
    above = _check_above_in_force(found, in_force, in_force_address)
    key = above.bind(lambda _: read_private_key(private_key))
    signed = key.map(lambda k: sign(found.envelope, operator, k))
    return _write_signed(output, signed, found)


def _write_signed(
    output: Path, signed: Result[Envelope, str], found: BundleFile
) -> int:
    written = signed.bind(
        lambda envelope: write_output(output, envelope_bytes(envelope))
    )
    if isinstance(written, Failure):
        return refuse(written.failure())
    signers = ", ".join(s.operator for s in signed.unwrap().signatures)
    print(f"{output}: version {found.bundle.version}, signed by {signers}")
    return EXIT_DONE


def _check_above_in_force(
    found: BundleFile, in_force: Path | None, address: str | None
) -> Result[None, str]:
    """Fail unless the version of ``found`` is above each version in force."""
    if in_force is None and address is None:
        hint = "no --in-force given: the version is not compared with the one in force"
        print(hint, file=sys.stderr)
        return Success(None)
    versions: list[Result[int, str]] = []
    if in_force is not None:
        read = read_bundle_file(in_force)
        versions.append(read.map(lambda f: f.bundle.version).alt(str))
    if address is not None:
        versions.append(fetch_version_in_force(address))
    for version in versions:
        above = version.bind(lambda v: _check_version_above(found.bundle.version, v))
        if isinstance(above, Failure):
            return above
    return Success(None)


def _check_version_above(version: int, in_force: int) -> Result[None, str]:
    if version > in_force:
        return Success(None)
    return Failure(
        f"version {version} is not above {in_force}, which is in force; "
        f"set version to {in_force + 1} or more"
    )


def verify(
    file: Path,
    /,
    *,
    settings: Path | None = None,
    key: Annotated[tuple[str, ...], cyclopts.Parameter(negative="")] = (),
    threshold: int = 1,
    as_json: Json = False,
) -> int:
    """Verify that enough trusted operators signed a bundle.

    The trusted operators come from a node's settings or from ``--key``.

    Example: ``jacinthshed bundle verify signed.yaml --settings node.yaml``

    Example: ``jacinthshed bundle verify signed.yaml --key ana=BASE64 --threshold 1``

    Parameters
    ----------
    file
        The signed bundle.
    settings
        Settings of a node, with its trusted operators.
    key
        A trusted operator as NAME=BASE64; may be given several times.
    threshold
        Number of operators that must have signed; only with ``--key``.
    """
    if (settings is None) == (not key):
        print("pass either --settings FILE or --key NAME=BASE64", file=sys.stderr)
        return EXIT_USAGE
    trusted = _read_trusted_operators(settings, key, threshold)
    if isinstance(trusted, Failure):
        return refuse(trusted.failure())
    opened = _open_signed_file(file, trusted.unwrap())
    if isinstance(opened, Failure):
        return refuse_bundle(opened.failure(), as_json=as_json)
    return _print_verified(file, opened.unwrap().order, as_json=as_json)


def _print_verified(file: Path, order: BundleOrder, *, as_json: bool) -> int:
    if as_json:
        head = {"version": order.version, "digest": order.digest.hex()}
        return print_json({"ok": True, **head})
    print(f"{file}: version {order.version}, digest {order.digest.hex()}: verified")
    return EXIT_DONE


def _read_trusted_operators(
    settings: Path | None, keys: tuple[str, ...], threshold: int
) -> Result[TrustedOperators, str]:
    if settings is not None:
        return load_settings(settings).alt(str).bind(_operators_from_settings)
    named = [key.partition("=") for key in keys]
    texts = {name: text for name, _, text in named}
    operators = OperatorSettings(keys=texts, threshold=threshold)
    problems = list(check_operators(operators))
    if problems:
        return Failure("\n".join(map(str, problems)))
    return Success(operators)


def _operators_from_settings(settings: NodeSettings) -> Result[TrustedOperators, str]:
    if settings.operators is None:
        return Failure(
            "the settings have no operators section; pass trusted operators with --key"
        )
    return Success(settings.operators)


def _open_signed_file(
    file: Path, trusted: TrustedOperators
) -> Result[OpenedBundle, BundleError]:
    data = read_bytes(file)
    return data.bind(lambda got: open_signed_bundle(got, trusted, source=str(file)))
