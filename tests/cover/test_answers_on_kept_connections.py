"""Answers that can't be matched, and bytes that stay on a connection."""

import pytest

from jacinthshed.internal.http.outcome import ExchangeFailed
from tests.common.stuttering_server import Turn, answer, is_own, outcomes_of

NOT_EXECUTED = b"Not-Executed: 1\r\n"
ZERO, ONE, TWO = ((b"id-%d" % number, b"GET") for number in range(3))


def test_an_answer_without_an_id_that_is_no_refusal_is_not_returned():
    turn = Turn((answer(None, b"zero", fields=b"Connection: close\r\n"),))
    (outcome,), _ = outcomes_of([turn], [ZERO])
    assert isinstance(outcome, ExchangeFailed) and outcome.sent


def test_a_refusal_without_an_id_is_not_taken_after_an_answer_to_another_request():
    refusal = answer(None, b"full", status=503, fields=NOT_EXECUTED)
    turn = Turn((answer(b"id-9", b"nine") + refusal,))
    (outcome,), _ = outcomes_of([turn], [ZERO])
    assert isinstance(outcome, ExchangeFailed) and outcome.sent


def test_a_late_answer_is_not_taken_for_that_to_an_id_used_some_requests_ago():
    late = answer(b"id-0", b"zero")
    turns = [
        Turn((late,)),
        Turn((answer(b"id-1", b"one"),)),
        Turn((answer(b"id-2", b"two"),), late=late),
        Turn((answer(b"id-0", b"again", status=500),)),
    ]
    *_, last = outcomes_of(turns, [ZERO, ONE, TWO, ZERO])[0]
    assert is_own(last, 500, b"again")


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("rest", [b"\r\n", b"HTTP/1.1 ", answer(b"id-0", b"zero")])
def test_a_connection_with_bytes_after_an_answer_is_not_used_again(framing, rest):
    whole = answer(b"id-0", b"zero", framing=framing)
    turns = [
        Turn((whole,), late=rest, late_with_answer=True),
        Turn((answer(b"id-1", b"one"),)),
    ]
    (first, second), connections = outcomes_of(turns, [ZERO, ONE])
    assert is_own(first, 200, b"zero")
    assert is_own(second, 200, b"one")
    assert connections == 2


@pytest.mark.parametrize("reason", [b"", b" "])
def test_a_part_of_a_late_answer_is_found_before_a_status_without_a_reason(reason):
    late = answer(b"id-0", b"zero")
    own = answer(b"id-1", b"one", status=500).replace(b" Any", reason, 1)
    for length in range(len(late) + 1):
        turns = [Turn((late,), late=late[:length]), Turn((own,))]
        (_, second), _ = outcomes_of(turns, [ZERO, ONE])
        is_failure = isinstance(second, ExchangeFailed)
        assert is_failure or is_own(second, 500, b"one"), late[:length]


def test_later_connections_are_kept_after_a_refusal_without_an_id():
    turns = [
        Turn((answer(None, b"full", status=503, fields=NOT_EXECUTED),)),
        Turn((answer(b"id-1", b"one"),)),
        Turn((answer(b"id-2", b"two"),)),
    ]
    outcomes, connections = outcomes_of(turns, [ZERO, ONE, TWO])
    assert [outcome.status for outcome in outcomes] == [503, 200, 200]
    assert connections == 2


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("body", [b"0123456789", b"x" * 300])
def test_an_answer_is_not_completed_by_a_late_one_to_an_earlier_request(framing, body):
    late = answer(b"id-0", b"zero")
    own = answer(b"id-1", body, framing=framing)
    for length in range(len(own)):
        turns = [Turn((late,)), Turn((own[:length], late, own[length:]))]
        (_, second), _ = outcomes_of(turns, [ZERO, ONE])
        is_failure = isinstance(second, ExchangeFailed)
        assert is_failure or is_own(second, 200, body), own[:length]
