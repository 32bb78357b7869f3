import json
from pathlib import Path

import trio

from jacinthshed.internal.cli.app import run
from jacinthshed.internal.node.fetch_status import fetch_status
from tests.common.fleet import run_virtual, running_fleet
from tests.common.policies import single_bundle, single_layout

BUNDLE = str(Path(__file__).parents[2] / "examples" / "pampa" / "bundle.yaml")


def run_explain(capsys, *arguments):
    code = run(["explain", BUNDLE, *arguments, "--json"])
    printed = capsys.readouterr()
    return code, json.loads(printed.out) if printed.out else printed.err


def test_explain_shows_how_a_request_is_handled(capsys):
    order = ("POST", "/repair-orders/orders")
    code, explanation = run_explain(capsys, *order, "--key", "k", "--fence", "new")
    assert code == 0
    assert (explanation["rank"], explanation["idempotent"]) == (1, False)
    assert "new fence" in explanation["runs"]
    _, without_fence = run_explain(capsys, *order, "--key", "k")
    assert "asked first" in without_fence["runs"]
    _, keyless = run_explain(capsys, *order)
    assert keyless["runs"].startswith("refused, not-run")


def test_explain_refuses_a_request_without_a_route(capsys):
    code, error = run_explain(capsys, "GET", "/nothing")
    assert code == 1
    assert "unknown-route" in error


def test_status_works_on_nodes_and_fails_on_other_addresses():
    async def main():
        async with running_fleet(single_layout(2), single_bundle()) as fleet:
            connect = fleet.network_of(fleet["orders-1"]).connect
            status = (
                await fetch_status(connect, "10.0.0.1:3", timeout_ms=500)
            ).unwrap()
            assert status["host"] == "orders-0"
            assert status["bundle"]["version"] == 1
            assert status["members"]["orders"] == ["orders-0", "orders-1"]
            for address in ("10.0.0.1:1", "10.0.0.9:3"):
                answer = await fetch_status(connect, address, timeout_ms=500)
                assert answer.failure()
            await trio.sleep(1)
            assert len(fleet["orders-1"].node._components.state.view.hosts()) == 1

    run_virtual(main)
