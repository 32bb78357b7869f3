"""The ``jacinthshed bundle`` commands."""

from pathlib import Path
from typing import Any

import cyclopts
import msgspec
from returns.result import Failure

from ..bundle.diff import diff_bundles
from .bundle_files import BundleFile, read_bundle_file
from .bundle_text import bundle_lines
from .exit_codes import EXIT_DONE
from .output import Json, print_json, refuse_bundle
from .signing_commands import keygen, sign_command, verify

bundle_app = cyclopts.App(
    name="bundle",
    help="Check, sign, compare and show policy bundles.",
    help_format="restructuredtext",
)
bundle_app.command(keygen)
bundle_app.command(sign_command, name="sign")
bundle_app.command(verify)


@bundle_app.command
def check(file: Path, /, *, as_json: Json = False) -> int:
    """Check a bundle, signed or not, and report every problem.

    Example: ``jacinthshed bundle check bundle.yaml``

    Parameters
    ----------
    file
        A bundle document or a signed bundle. Signatures are not verified.
    """
    read = read_bundle_file(file)
    if isinstance(read, Failure):
        return refuse_bundle(read.failure(), as_json=as_json)
    found = read.unwrap()
    if as_json:
        return print_json({"ok": True, **_summary(found), "problems": []})
    bundle = found.bundle
    sizes = f"{len(bundle.services)} services, {len(bundle.routes)} routes"
    print(f"{file}: version {bundle.version}, {sizes}: no problems")
    return EXIT_DONE


@bundle_app.command
def show(file: Path, /, *, as_json: Json = False) -> int:
    """Show a bundle with its defaults filled in and its routes sorted by rank.

    Example: ``jacinthshed bundle show bundle.yaml``

    Parameters
    ----------
    file
        A bundle document or a signed bundle.
    """
    read = read_bundle_file(file)
    if isinstance(read, Failure):
        return refuse_bundle(read.failure(), as_json=as_json)
    found = read.unwrap()
    if as_json:
        return print_json(
            {**_summary(found), "bundle": msgspec.to_builtins(found.bundle)}
        )
    print("\n".join(bundle_lines(found)))
    return EXIT_DONE


@bundle_app.command
def diff(old: Path, new: Path, /, *, as_json: Json = False) -> int:
    """Show the differences between two bundles and the effect of each.

    Example: ``jacinthshed bundle diff current.yaml next.yaml``

    Parameters
    ----------
    old
        The old bundle, signed or not.
    new
        The new bundle, signed or not.
    """
    read = [read_bundle_file(old), read_bundle_file(new)]
    for one in read:
        if isinstance(one, Failure):
            return refuse_bundle(one.failure(), as_json=as_json)
    before, after = (one.unwrap().bundle for one in read)
    changes = diff_bundles(before, after)
    if as_json:
        return print_json({"changes": [change._asdict() for change in changes]})
    print("\n".join(map(str, changes)) if changes else "no difference")
    return EXIT_DONE


def _summary(found: BundleFile) -> dict[str, Any]:
    return {
        "version": found.order.version,
        "digest": found.order.digest.hex(),
        "signed_by": [s.operator for s in found.envelope.signatures],
    }
