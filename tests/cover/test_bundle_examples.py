"""The example deployments are valid and consistent with each other."""

from pathlib import Path

import pytest

from jacinthshed.internal.bundle.document import parse_bundle
from jacinthshed.internal.settings.load import load_settings

EXAMPLES = Path(__file__).parents[2] / "examples"

# Slots and connections of one target, and the number of availability zones.
CAPACITIES = {
    "pampa": (
        4,
        {
            "clock-records": (50, 400),
            "repair-orders": (50, 400),
            "spare-parts": (50, 400),
            "crew-scheduling": (10, 170),
        },
    ),
    "western-lk": (
        3,
        {
            "slot-booking": (100, 750),
            "refund-ledger": (100, 750),
            "inventory": (100, 750),
            "refund-tracking": (35, 300),
        },
    ),
}


def load(deployment):
    path = EXAMPLES / deployment / "bundle.yaml"
    return parse_bundle(path.read_bytes(), source=str(path)).unwrap()


@pytest.mark.parametrize("deployment", CAPACITIES)
def test_the_bundle_has_the_capacities_of_the_deployment(deployment):
    bundle = load(deployment)
    zones, capacities = CAPACITIES[deployment]
    found = {n: (s.slots, s.connections) for n, s in bundle.services.items()}
    assert (len(bundle.availability_zones), found) == (zones, capacities)


@pytest.mark.parametrize("deployment", CAPACITIES)
def test_each_target_has_settings_that_match_the_bundle(deployment):
    bundle = load(deployment)
    paths = sorted((EXAMPLES / deployment / "nodes").glob("*.yaml"))
    nodes = [load_settings(path).unwrap() for path in paths]
    places = {(node.service, node.availability_zone) for node in nodes}
    zones = bundle.availability_zones
    assert places == {(s, z) for s in bundle.services for z in zones}
    assert {node.deployment for node in nodes} == {bundle.deployment}
    for side in ("entry", "peer"):
        assert len({getattr(node.listen, side) for node in nodes}) == len(nodes)


@pytest.mark.parametrize("deployment", CAPACITIES)
def test_refunds_and_repair_orders_are_shed_last_and_lookups_first(deployment):
    routes = load(deployment).routes
    first = {"pampa": "book-repair-order", "western-lk": "refund"}[deployment]
    for name in (first, *routes[first].calls):
        assert routes[name].rank == 1
    lookups = [route.rank for name, route in routes.items() if "lookup" in name]
    others = [route.rank for name, route in routes.items() if "lookup" not in name]
    assert min(lookups) > max(others)
