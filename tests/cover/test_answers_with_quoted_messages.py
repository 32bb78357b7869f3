"""Whole answers that resemble two: they quote a message, or end a line with LF only."""

import pytest

from tests.common.stuttering_server import End, Turn, answer, is_own, outcomes_of

TWO = ((b"id-0", b"GET"), (b"id-1", b"GET"))

# Bodies of servers such as echo services and log viewers.
QUOTING_BODIES = [
    b'{"headers": {"attempt-id": "id-0"}, "data": "HTTP/1.1 200 OK"}',
    b"id-0 HTTP/1.1 200 OK 4 ms\nid-1 HTTP/1.1 503 shed 1 ms\n",
    b"HTTP/1.1 204 No Content\r\nServer: x\r\n\r\nattempt-id: id-0\r\n",
    b"GET / HTTP/1.1\r\nAttempt-Id: id-0\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
    b"HTTP/1.1 200 OK\r\nAttempt-Id: id-00\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nParent-Attempt-Id: id-0\r\n\r\n",
]


@pytest.mark.parametrize("body", QUOTING_BODIES)
@pytest.mark.parametrize("framing", ["length", "chunked", "until close"])
def test_a_body_that_quotes_a_status_line_and_the_id_is_returned(body, framing):
    whole = answer(b"id-0", body, framing=framing, seal=b"seal")
    end = End.CLOSE if framing == "until close" else End.KEEP
    (outcome,), _ = outcomes_of([Turn((whole,), end)], TWO[:1])
    assert (outcome.status, outcome.body) == (200, body)


@pytest.mark.parametrize(
    "field",
    [
        b"Via: HTTP/1.1 192.0.2.7\r\n",
        b"Via: 1.1 first, HTTP/1.0 203.0.113.9:3128 (proxy)\r\n",
    ],
)
def test_a_field_that_names_a_protocol_and_an_address_is_returned(field):
    turns = [Turn((answer(own_id, own_id, fields=field),)) for own_id, _ in TWO]
    outcomes, connections = outcomes_of(turns, TWO)
    assert all(is_own(outcomes[n], 200, TWO[n][0]) for n in range(2))
    assert connections == 1


@pytest.mark.parametrize("body", [b"zero", b"ab\n\ncd\r\n\r\nef", b"\n\n", b""])
def test_a_head_with_a_line_that_ends_with_lf_only_is_returned(body):
    field = b"X-Script: value\n"
    turns = [
        Turn((answer(own_id, body, fields=field, seal=own_id),)) for own_id, _ in TWO
    ]
    outcomes, connections = outcomes_of(turns, TWO)
    assert [(outcome.status, outcome.body) for outcome in outcomes] == [(200, body)] * 2
    assert connections == 1


@pytest.mark.parametrize("body", [b"zero", b"ab\r\n\r\ncd"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_whole_answer_is_returned_if_its_copy_follows(body, framing):
    whole = answer(b"id-0", body, framing=framing, seal=b"seal")
    turn = Turn((whole,), late=whole, late_with_answer=True)
    (outcome,), _ = outcomes_of([turn], TWO[:1])
    assert (outcome.status, outcome.body) == (200, body)
