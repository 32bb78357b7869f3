"""Answers of backend servers that know no interface but HTTP, or copy one header."""

import pytest

from jacinthshed.internal.adapters.native import native_adapter
from jacinthshed.internal.http.outcome import ExchangeFailed
from tests.common.stuttering_server import Turn, answer, is_own, outcomes_of

TWO = ((b"id-0", b"GET"), (b"id-1", b"GET"))


def context(own_id):
    return b"Jacinthshed-Context: %s.1\r\n" % own_id


def test_a_second_answer_of_a_plain_backend_server_is_not_taken_for_the_next():
    copied = answer(None, b"zero")
    turns = [Turn((copied,), late=copied), Turn((answer(None, b"one"),))]
    (first, second), connections = outcomes_of(turns, TWO, native_adapter())
    assert is_own(first, 200, b"zero")
    assert is_own(second, 200, b"one")
    # Nothing but a connection of its own tells the answer to the second request.
    assert connections == 2


def test_a_backend_server_that_echoes_the_context_keeps_its_connection():
    turns = [Turn((answer(None, n, fields=context(n)),)) for n, _ in TWO]
    outcomes, connections = outcomes_of(turns, TWO, native_adapter())
    assert [outcome.body for outcome in outcomes] == [b"id-0", b"id-1"]
    assert connections == 1


@pytest.mark.parametrize("has_context", [True, False])
def test_a_second_answer_of_a_backend_server_that_echoes_the_context_is_dropped(
    has_context,
):
    first_answer = answer(None, b"zero", fields=context(b"id-0"))
    late = first_answer if has_context else answer(None, b"zero")
    turns = [
        Turn((first_answer,), late=late),
        Turn((answer(None, b"one", fields=context(b"id-1")),)),
    ]
    (first, second), _ = outcomes_of(turns, TWO, native_adapter())
    assert is_own(first, 200, b"zero")
    assert isinstance(second, ExchangeFailed) or is_own(second, 200, b"one")


def test_a_backend_server_that_echoes_the_context_on_some_answers_fails_one_request():
    requests = [(b"id-%d" % number, b"GET") for number in range(6)]
    # The error pages of a framework, for example, may lack the header.
    turns = [
        Turn((answer(None, own_id, status=404),))
        if number % 2
        else Turn((answer(None, own_id, fields=context(own_id)),))
        for number, (own_id, _) in enumerate(requests)
    ]
    outcomes, _ = outcomes_of(turns, requests, native_adapter())
    assert isinstance(outcomes[1], ExchangeFailed)
    expected = [(200, b"id-2"), (404, b"id-3"), (200, b"id-4"), (404, b"id-5")]
    for outcome, (status, body) in zip(outcomes[2:], expected, strict=True):
        assert is_own(outcome, status, body)


def test_connections_that_are_idle_when_an_id_is_missing_are_not_used_again():
    requests = [(b"id-%d" % number, b"GET") for number in range(4)]
    turns = [Turn((answer(None, n, fields=context(n)),)) for n, _ in requests]
    turns[2] = Turn((answer(None, b"id-2", status=404),))
    outcomes, connections = outcomes_of(turns, requests, native_adapter(), together=2)
    assert isinstance(outcomes[2], ExchangeFailed)
    assert is_own(outcomes[3], 200, b"id-3")
    assert connections == 3
