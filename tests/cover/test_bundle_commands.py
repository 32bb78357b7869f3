"""The ``bundle`` commands, run through the command line."""

import json
import stat

import pytest
import yaml

from jacinthshed.internal.bundle.diff import diff_bundles
from jacinthshed.internal.bundle.document import parse_bundle
from jacinthshed.internal.cli.app import run
from tests.common.bundles import (
    ANA,
    BRUNO,
    DELETE,
    bundle_document,
    signed_bundle,
    trusted_operators,
)


@pytest.fixture
def bundle(tmp_path):
    def write(name, data):
        path = tmp_path / name
        path.write_bytes(data)
        return str(path)

    return write


def test_an_operator_signs_and_verifies(tmp_path, bundle, capsys):
    plain = bundle("plain.yaml", bundle_document(version=2))
    old = bundle("old.yaml", signed_bundle(bundle_document(version=1), ANA))
    out = str(tmp_path / "signed.yaml")
    keys = []
    for name in ("ana", "bruno"):
        pem = tmp_path / f"{name}.pem"
        assert run(["bundle", "keygen", name, "--private-key", str(pem)]) == 0
        assert stat.S_IMODE(pem.stat().st_mode) == 0o600
        keys += ["--key", capsys.readouterr().out.strip().replace(": ", "=")]
    verify = ["bundle", "verify", out, *keys, "--threshold", "2"]
    for name, source, code in (("ana", plain, 1), ("bruno", out, 0)):
        pem = str(tmp_path / f"{name}.pem")
        sign = ["bundle", "sign", source, "--operator", name, "--private-key", pem]
        assert run([*sign, "--in-force", old, "--output", out]) == 0
        assert run(verify) == code
    captured = capsys.readouterr()
    assert "version 2, signed by ana, bruno" in captured.out
    assert "found 1. Sign it with `jacinthshed bundle sign`" in captured.err


@pytest.mark.parametrize("version", [3, 4])
def test_sign_refuses_a_version_that_is_not_above_the_one_in_force(
    version, tmp_path, bundle, capsys
):
    pem = str(tmp_path / "ana.pem")
    out = tmp_path / "out.yaml"
    run(["bundle", "keygen", "ana", "--private-key", pem])
    sign = ["bundle", "sign", bundle("new.yaml", bundle_document(version=3))]
    sign += ["--operator", "ana", "--private-key", pem, "--output", str(out)]
    force = bundle("force.yaml", bundle_document(version=version))
    assert run([*sign, "--in-force", force]) == 1
    assert f"set version to {version + 1} or more" in capsys.readouterr().err
    assert not out.exists()


def test_keygen_never_replaces_a_key(tmp_path, capsys):
    pem = tmp_path / "ana.pem"
    pem.write_text("kept")
    assert run(["bundle", "keygen", "ana", "--private-key", str(pem)]) == 1
    assert pem.read_text() == "kept"
    assert "the file exists" in capsys.readouterr().err


def test_check_prints_text_and_json(bundle, capsys):
    good = bundle("good.yaml", bundle_document())
    bad = bundle("bad.yaml", bundle_document({"routes.stock.rank": 0, "version": 0}))
    assert run(["bundle", "check", good]) == 0
    assert "1, 2 services, 2 routes: no problems" in capsys.readouterr().out
    assert run(["bundle", "check", bad, "--json"]) == 1
    printed = json.loads(capsys.readouterr().out)
    assert [problem["path"] for problem in printed["problems"]] == [
        "version",
        "routes.stock.rank",
    ]


def test_show_fills_in_the_defaults(bundle, capsys):
    path = bundle("signed.yaml", signed_bundle(bundle_document(), BRUNO))
    assert run(["bundle", "show", path, "--json"]) == 0
    captured = json.loads(capsys.readouterr().out)
    assert captured["signed_by"] == ["bruno"]
    assert captured["bundle"]["retry"]["allowance"] == 2
    assert run(["bundle", "show", path]) == 0
    lines = capsys.readouterr().out.splitlines()
    ranked = [
        line.split()[1] for line in lines if " ms" in line and "deadline" not in line
    ]
    assert ranked[:2] == ["book", "stock"]


def test_diff_states_the_effect_of_each_change(bundle, capsys):
    edits = {"routes.stock.rank": 60, "routes.book": DELETE, "retry.allowance": 1}
    old, new = (
        bundle("old.yaml", bundle_document()),
        bundle("new.yaml", bundle_document(edits)),
    )
    assert run(["bundle", "diff", old, new]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.partition(": {")[0] for line in lines] == [
        "routes.book",
        "routes.stock.rank: 50 -> 60  (shed earlier)",
        "retry.allowance: 2 -> 1  (fewer retries of a request)",
    ]
    assert "(route removed: its requests are refused)" in lines[0]
    assert run(["bundle", "diff", old, old, "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == {"changes": []}


def test_a_reversed_diff_swaps_old_and_new():
    edits = {
        "routes.stock.deadline_ms": 5,
        "services.x": {"slots": 1, "connections": 1},
    }
    old, new = (
        parse_bundle(text, source="b").unwrap()
        for text in (bundle_document(), bundle_document(edits))
    )
    forward = {
        (c.path, c.old, c.new) for c in map(_with_text_values, diff_bundles(old, new))
    }
    backward = {
        (c.path, c.new, c.old) for c in map(_with_text_values, diff_bundles(new, old))
    }
    assert forward == backward
    assert len(forward) == 2


def _with_text_values(change):
    return change._replace(old=str(change.old), new=str(change.new))


@pytest.mark.parametrize(
    "arguments",
    [
        ["bundle", "check"],
        ["bundle", "nonsense"],
        ["bundle", "check", "x", "--nonsense"],
        ["bundle", "verify", "x"],
        ["bundle", "verify", "x", "--key", "a=b", "--settings", "c"],
    ],
)
def test_usage_errors_exit_with_2(arguments, capsys):
    assert run(arguments) == 2


@pytest.mark.parametrize(
    "arguments",
    [
        ["bundle", "check", "/nowhere"],
        ["bundle", "diff", "/nowhere", "/nowhere"],
        ["bundle", "verify", "/nowhere", "--key", "ana=short"],
        ["bundle", "verify", "/nowhere", "--settings", "/nowhere"],
    ],
)
def test_unreadable_input_exits_with_1_and_a_reason(arguments, capsys):
    assert run(arguments) == 1
    assert "expected" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["check", "keygen", "sign", "verify", "show", "diff"])
def test_every_command_has_help_with_an_example(name, capsys):
    assert run(["bundle", name, "--help"]) == 0
    assert f"Example: jacinthshed bundle {name}" in capsys.readouterr().out


def test_verify_reads_the_operators_from_a_nodes_settings(tmp_path, bundle, capsys):
    settings = tmp_path / "node.yaml"
    trusted = trusted_operators(ANA, threshold=1)
    listen = {"entry": "127.0.0.1:0", "egress": "127.0.0.1:0", "peer": "127.0.0.1:0"}
    value = {"host": "h", "availability_zone": "a", "listen": listen}
    value["operators"] = {"threshold": 1, "keys": trusted.keys}
    settings.write_text(yaml.safe_dump(value))
    verify = ["bundle", "verify", "--settings", str(settings), "--json"]
    assert (
        run([*verify, bundle("by-ana.yaml", signed_bundle(bundle_document(), ANA))])
        == 0
    )
    assert json.loads(capsys.readouterr().out)["version"] == 1
    assert (
        run([*verify, bundle("by-bruno.yaml", signed_bundle(bundle_document(), BRUNO))])
        == 1
    )
