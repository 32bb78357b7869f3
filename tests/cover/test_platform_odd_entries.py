"""Entries of another writer among those of the targets."""

import json

import pytest
import trio

from tests.common.fleet import run_virtual
from tests.common.machines import desired_state, entry_of, machines, request
from tests.common.restored_store import SIX, directory_of, hosts_of, write_entry

DEEP = 100_000
ODD = json.loads(entry_of("odd", "10.0.0.9", "b"))


def odd(**changes):
    """Return an entry with changed fields."""
    return json.dumps({**ODD, **changes}).encode()


def with_raw(field, raw):
    """Return an entry in which the value of ``field`` is the text ``raw``."""
    return odd(**{field: "RAW"}).replace(b'"RAW"', raw)


ENTRIES = {
    "nested lists": b"[" * DEEP,
    "nested closed lists": b"[" * DEEP + b"]" * DEEP,
    "nested tables": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "nested in an unknown field": with_raw("more", b"[" * DEEP + b"]" * DEEP),
    "nested in a known field": with_raw("slots", b"[" * DEEP + b"]" * DEEP),
    "start above 64 bits": odd(born=10**30),
    "start below 64 bits": odd(born=-(10**30)),
    "start that is infinite": with_raw("born", b"1e400"),
    "start in the far future": odd(born=2**63 - 1),
    "slots above 64 bits": odd(slots=10**30),
    "slots above 63 bits": odd(slots=2**64 - 1),
    "many digits": with_raw("slots", b"9" * 5_000),
    "warming that overflows": odd(cold_left_s=1e308),
    "warming above 64 bits": odd(cold_left_s=1e300),
    "negative warming": odd(cold_left_s=-1e308),
    "port above 65535": odd(address="10.0.0.9:65536"),
    "port with many digits": odd(address="10.0.0.9:" + "9" * 5_000),
    "port 0": odd(address="10.0.0.9:0"),
    "negative port": odd(address="10.0.0.9:-1"),
    "port in other digits": odd(address="10.0.0.9:\u0664"),
    "address that is none": odd(address="10.0.0.999:4"),
    "name instead of an address": odd(address="a.example:4"),
    "address of a group": odd(address="224.0.0.1:4"),
    "long service": odd(service="b" * 900_000),
    "long zone": odd(zone="z" * 900_000),
    "half a surrogate pair": with_raw("service", b'"b\\ud800"'),
    "half a pair as zone": with_raw("zone", b'"\\udfff"'),
    "null bytes": odd(zone="\x00", service="\x00"),
    "bytes that are no text": b"\xff\xfe\x00",
}


async def assert_followed(fleet):
    """Change the entries and the policy; check that all nodes follow and serve."""
    write_entry(fleet, "10.0.0.1", state="draining")
    fleet.store.put("op/config", desired_state(2))
    await trio.sleep(1.9)
    for ip, node in fleet.nodes.items():
        assert node._components.holder.order.version == 2
        assert directory_of(fleet, ip).target_at("10.0.0.1:4").leaving
        assert set(hosts_of(fleet, ip)) - {"10.0.0.9"} == {"10.0.0.3", "10.0.0.5"}
        answer = await fleet.send(ip, request("/lookup/1", f"l-{ip}"))
        assert answer.status == 200


@pytest.mark.parametrize("name", ENTRIES)
def test_an_odd_entry_stops_nodes_from_following_the_others(name, capfd):
    async def main():
        async with machines(SIX) as fleet:
            fleet.store.put("servers/odd", ENTRIES[name])
            await trio.sleep(2)
            await assert_followed(fleet)
            await fleet.start_node("10.0.0.7", "a", seeds=["10.0.0.1"])
            write_entry(fleet, "10.0.0.1", state="draining", slots=9)
            await trio.sleep(1.5)
            for ip in (*SIX, "10.0.0.7"):
                assert directory_of(fleet, ip).target_at("10.0.0.1:4").slots == 9

    run_virtual(main)
    written = "".join(capfd.readouterr())
    for text in ("reading failed", "frame handler failed", "frame can't be sent"):
        assert text not in written


@pytest.mark.parametrize(
    "target_id", ["x\r\nevil: 1", "x y", "\u20ac", "", "x" * 190, "x/y", "\x00"]
)
def test_a_target_with_an_odd_id_stops_nodes_from_following_the_others(target_id):
    async def main():
        async with machines(SIX) as fleet:
            entry = entry_of("odd", "10.0.0.9", "b")
            fleet.store.put(f"servers/{target_id}", entry)
            await trio.sleep(2)
            await assert_followed(fleet)

    run_virtual(main)
