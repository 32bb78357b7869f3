"""Answers of faulty targets that other operators have reported."""

import h11
import pytest
import trio
import trio.testing

from jacinthshed.internal.http.get import http_get
from jacinthshed.internal.http.outcome import ExchangeFailed
from tests.common.fleet import run_virtual
from tests.common.stuttering_server import End, Turn, answer, is_own, outcomes_of

NOT_EXECUTED = b"Not-Executed: 1\r\n"
IDS = (b"id-0", b"id-1", b"id-2")
FRAMINGS = ("length", "chunked", "close")


def refusal(own_id, status):
    return answer(own_id, b"full", status=status, fields=NOT_EXECUTED)


@pytest.mark.parametrize("status", [429, 503, 421, 400])
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("with_answer", [True, False])
@pytest.mark.parametrize("method", [b"POST", b"GET"])
def test_an_earlier_refusal_written_again_says_not_run_of_a_request_that_ran(
    status, has_id, with_answer, method
):
    first = refusal(IDS[0] if has_id else None, status)
    # Whole, in part, and twice.
    for late in (first, first[:-2], first[:40], first[:15], first + first):
        turns = [
            Turn((first,), late=late, late_with_answer=with_answer),
            Turn((answer(IDS[1], b"one"),)),
            Turn((answer(IDS[2], b"two"),)),
        ]
        outcomes, _ = outcomes_of(turns, tuple((own_id, method) for own_id in IDS))
        for outcome, body in zip(outcomes[1:], (b"one", b"two"), strict=True):
            if isinstance(outcome, ExchangeFailed):
                assert outcome.sent
            else:
                assert is_own(outcome, 200, body)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("method", [b"GET", b"POST", b"HEAD"])
@pytest.mark.parametrize("pieces", [1, 2])
def test_an_answer_that_stops_inside_its_head_is_passed_on_as_whole(
    framing, end, method, pieces
):
    whole = answer(IDS[0], b"", framing=framing)
    head = whole[: whole.index(b"\r\n\r\n") + 4]
    for length in range(len(head)):
        cut = head[:length]
        parts = (cut,) if pieces == 1 else (cut[: length // 2], cut[length // 2 :])
        turn = Turn(tuple(part for part in parts if part) or (b"",), end=end)
        (outcome,), _ = outcomes_of([turn], ((IDS[0], method),))
        assert isinstance(outcome, ExchangeFailed), cut


def test_an_answer_of_the_store_that_stops_inside_its_head_is_read_as_empty():
    head = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\r\n"

    async def main():
        for length in range(len(head)):
            ours, theirs = trio.testing.memory_stream_pair()
            await theirs.send_all(head[:length])
            await theirs.send_eof()
            with pytest.raises(h11.RemoteProtocolError):
                await http_get(ours, host="x", path="/", max_body_bytes=9)

    run_virtual(main)
