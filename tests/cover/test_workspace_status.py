"""The section of workspaces in the status of a node, and its text."""

import json

import msgspec
import pytest

from jacinthshed.internal.cli.app import run as run_command
from jacinthshed.internal.node.fetch_status import fetch_status
from jacinthshed.internal.workspace.key_ring import digest_of
from jacinthshed.internal.workspace.status import MAX_LISTED, workspace_statuses
from jacinthshed.internal.workspace.usage import ANSWER_TIMEOUT_MS
from jacinthshed.internal.workspace.usage_exchange import HOMES_TTL_MS
from tests.common.fleet import run_virtual, running_fleet
from tests.common.machines import desired_state, machines, request
from tests.common.policies import single_bundle, single_layout
from tests.common.status_peer import status_peer
from tests.common.usage_replay import Nodes, limit
from tests.common.workspace_status import (
    DOCUMENT,
    TEXT,
    document_with,
    share,
    usage_state,
    workspace,
)
from tests.common.workspaces import (
    KEY,
    LAYOUT,
    OTHER_KEY,
    state_with,
    tenant,
    workspace_machines,
)

ENTRY = "10.0.0.2"
LIMIT = limit(24.0, 24.0)
LIMITED_TENANTS = [
    tenant("one", KEY, rate_per_s=50.0, burst=50.0),
    tenant("other", OTHER_KEY),
]


def found_at(nodes, name):
    """Return the status of the workspace ``w`` at one node."""
    (found,) = nodes.nodes[name].statuses()
    return found


async def status_of(fleet, ip):
    answer = await fetch_status(fleet.network.connect, f"{ip}:3", timeout_ms=500)
    return answer.unwrap()


async def use_keys(fleet):
    """Send a request of each workspace."""
    for number, key in enumerate((KEY, OTHER_KEY)):
        sent = request("/lookup/1", f"l{number}", credential=key)
        assert (await fleet.send(ENTRY, sent)).status == 200


def test_the_share_that_the_home_told_is_shown():
    """Guards against a share of another workspace, node or moment."""
    nodes = Nodes(12, LIMIT)
    nodes.run(10, per_s=10 * LIMIT.rate_per_s)
    for name in nodes.names:
        found = found_at(nodes, name)
        assert found["workspace"] == "w"
        assert found["admitted_permille"] < 300
        assert 0 <= found["told_ago_ms"] < 500
        assert not found["is_on_its_own"]
        assert found["home"] == nodes.home()


def test_a_node_that_the_home_does_not_answer_is_on_its_own():
    """Guards against a share that looks in force while the node keeps to its part."""
    nodes = Nodes(12, LIMIT)
    nodes.run(5, per_s=10)
    alone = next(name for name in nodes.names if name != nodes.home())
    nodes.cut = {alone}
    nodes.run(5, per_s=10)
    found = found_at(nodes, alone)
    assert found["is_on_its_own"]
    assert found["told_ago_ms"] > ANSWER_TIMEOUT_MS
    connected = [name for name in nodes.names if name != alone]
    assert not any(found_at(nodes, name)["is_on_its_own"] for name in connected)


def test_a_share_that_no_home_has_told_has_no_age():
    """Guards against the age of a figure that is only assumed."""
    nodes = Nodes(12, LIMIT)
    node = nodes.nodes["n0"]
    assert node.statuses() == []
    assert node.admit("w") is None
    nodes.now_ms += 50
    found = found_at(nodes, "n0")
    assert (found["admitted_permille"], found["told_ago_ms"]) == (1_000, None)


@pytest.mark.parametrize("idle_ms", [0.0, HOMES_TTL_MS + 1])
def test_nothing_changes_when_the_status_is_read(idle_ms):
    """Guards against a status that moves homes, drops accounts or draws at random."""
    nodes = Nodes(12, LIMIT)
    nodes.run(5, per_s=10 * LIMIT.rate_per_s)
    nodes.now_ms += idle_ms
    for node in nodes.nodes.values():
        before = usage_state(node)
        assert node.statuses()
        assert usage_state(node) == before


@pytest.mark.parametrize("number", range(12))
def test_the_home_is_the_one_that_the_next_report_goes_to(number):
    """Guards against a home by other rules, or one that has left meanwhile."""
    name = f"workspace-{number}"
    nodes = Nodes(12, LIMIT)
    node = nodes.nodes["n0"]
    node.admit(name)
    (before,) = node.statuses()
    home = node._home_of(nodes.now_ms, name)
    assert before["home"] == home
    nodes.names.remove(home)
    assert node.statuses()[0]["home"] == node._home_of(nodes.now_ms, name)
    nodes.now_ms += HOMES_TTL_MS + 1
    (after,) = node.statuses()
    assert after["home"] in {"n0", *nodes.names}
    assert after["home"] == node._home_of(nodes.now_ms, name)


def test_a_workspace_whose_limit_was_removed_is_not_listed():
    """Guards against the last share of a limit that is no longer in the policy."""
    nodes = Nodes(12, LIMIT)
    nodes.run(5, per_s=10 * LIMIT.rate_per_s)
    nodes.limit = None
    assert [node.statuses() for node in nodes.nodes.values()] == [[]] * 12


def test_the_most_limited_are_listed_first():
    """Guards against a limited workspace that is cut from a long list."""
    whole = [share(f"whole-{number:02}") for number in range(MAX_LISTED)]
    alone = share("alone", is_on_its_own=True)
    limited = [share("half", 500), share("none", 0), share("half-alone", 500, 9, True)]
    found = workspace_statuses([*whole, alone, *limited], lambda name: f"home-{name}")
    assert len(found) == MAX_LISTED
    names = [entry["workspace"] for entry in found]
    assert names[:5] == ["none", "half-alone", "half", "alone", "whole-00"]
    assert names[5:] == sorted(names[5:])
    assert found[0]["home"] == "home-none"


def test_the_status_of_a_node_has_the_workspaces_and_no_key():
    """Guards against a section that isn't wired, and against keys in a status."""

    async def scenario():
        state = state_with(tenants=LIMITED_TENANTS)
        async with workspace_machines(state=state) as fleet:
            await use_keys(fleet)
            return [await status_of(fleet, ip) for ip in LAYOUT]

    statuses = run_virtual(scenario)
    entry = dict(zip(LAYOUT, statuses, strict=True))[ENTRY]
    # The workspace without a limit has no share.
    (one,) = entry["workspaces"]
    assert (one["workspace"], one["admitted_permille"]) == ("one", 1_000)
    assert one["home"] in LAYOUT
    for status in statuses:
        assert 0 <= status["bundle"]["policy_age_ms"] <= 5_000
        text = json.dumps(status)
        for key in (KEY, OTHER_KEY):
            assert key not in text
            assert digest_of(key.encode()) not in text


def test_an_age_that_nodes_do_not_exchange_is_not_shown():
    """Without a bound of the age, nodes that don't read the store know nothing."""

    async def scenario():
        async with workspace_machines(bounds={}) as fleet:
            return [await status_of(fleet, ip) for ip in LAYOUT]

    ages = [status["bundle"]["policy_age_ms"] for status in run_virtual(scenario)]
    assert ages == [None] * len(LAYOUT)


def test_the_status_is_as_before_without_workspaces():
    """Guards against new fields where the policy has no workspaces."""

    async def on_platform():
        async with machines({"10.0.0.1": "a"}, state=desired_state()) as fleet:
            return await status_of(fleet, "10.0.0.1")

    async def with_bundle():
        async with running_fleet(single_layout(2), single_bundle()) as fleet:
            connect = fleet.network_of(fleet["orders-1"]).connect
            answer = await fetch_status(connect, "10.0.0.1:3", timeout_ms=500)
            return answer.unwrap()

    for scenario in (on_platform, with_bundle):
        status = run_virtual(scenario)
        assert "workspaces" not in status
        assert status["bundle"].keys() == {"version", "digest", "age_ms", "clashes"}


@pytest.fixture
def printed_status(capsys):
    """Function that returns what the command prints of a document."""

    def run(document, *arguments):
        with status_peer(msgspec.json.encode(document)) as address:
            assert run_command(["status", address, *arguments]) == 0
        return capsys.readouterr().out

    return run


def test_the_command_prints_the_workspaces(printed_status):
    """Guards against a share shown as in force while the node is on its own."""
    document = document_with(
        workspace("tenant-a", 432),
        workspace("tenant-b", 1_000, 2_300, is_on_its_own=True),
        workspace("tenant-c", told_ago_ms=None),
        policy_age_ms=80,
    )
    lines = printed_status(document).splitlines()
    assert lines[3] == (
        "bundle        version 7, abababababab, known to be the newest 80 ms ago"
    )
    assert lines[-3:] == [
        "workspace     tenant-a: 43.2% admitted, told 120 ms ago, home orders-1",
        "workspace     tenant-b: on its own, no answer of the home; last 100.0% "
        "admitted, told 2300 ms ago, home orders-1",
        "workspace     tenant-c: 100.0% admitted, home told nothing yet, home orders-1",
    ]
    assert json.loads(printed_status(document, "--json")) == document


@pytest.mark.parametrize("document", [DOCUMENT, document_with()])
def test_the_command_prints_the_same_text_without_workspaces(printed_status, document):
    """Guards against lines of a section that is empty or that the node doesn't send."""
    assert printed_status(document) == TEXT
