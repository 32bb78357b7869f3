import json

import pytest
from hypothesis import given, settings, strategies as st

from jacinthshed.internal.configuration_service.hosts import HostState, parse_hosts
from jacinthshed.internal.settings.address import Address

VALID_RECORD = {
    "host": "h1",
    "service": "spare-parts",
    "availability_zone": "pampa-a",
    "peer_address": "10.0.0.1:7400",
    "state": "live",
}


def parse(*records):
    return parse_hosts(json.dumps(records).encode()).unwrap()


def test_unknown_keys_are_ignored():
    (host,) = parse(VALID_RECORD | {"rack": 4}).hosts
    assert host == ("h1", "spare-parts", "pampa-a", Address("10.0.0.1", 7400), "live")


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"state": "gone"}, "[1]: expected a host, found Invalid enum value 'gone'"),
        ({"host": ""}, "[1].host: expected a host's name, found nothing"),
        ({"host": 4}, "[1]: expected a host, found Expected `str`, got `int`"),
        ({"peer_address": "h2:1"}, "[1].peer_address: expected an IP address and no"),
        ({"peer_address": "1.1.1.1:x"}, "[1].peer_address: expected IP:PORT"),
        ({"availability_zone": ""}, "[1].availability_zone: expected a name"),
        ({"service": "A B"}, "[1].service: expected a name"),
    ],
)
def test_a_bad_record_is_left_out_and_reported(changes, message):
    found = parse(
        VALID_RECORD,
        VALID_RECORD | {"host": "h2"} | changes,
        VALID_RECORD | {"host": "h3"},
    )
    assert [host.host for host in found.hosts] == ["h1", "h3"]
    assert [str(problem)[: len(message)] for problem in found.problems] == [message]


@pytest.mark.parametrize("states", [("live", "leaving"), ("leaving", "live")])
def test_of_two_records_of_a_host_the_leaving_one_wins(states):
    found = parse(*(VALID_RECORD | {"state": state} for state in states))
    assert [host.state for host in found.hosts] == [HostState.LEAVING]
    assert len(found.problems) == 1


@settings(max_examples=60)
@given(st.binary(max_size=40) | st.sampled_from([b"{}", b"[" * 9_999, b'["\\ud800"]']))
def test_any_bytes_give_a_result(value):
    parse_hosts(value).value_or(None)
