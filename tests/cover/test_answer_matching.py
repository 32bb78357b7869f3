"""Each request to a backend server gets its own whole answer, or a failure.

The servers here answer twice, too late, in part, or with bytes that are no answer.
"""

import socket
import struct
from contextlib import suppress

import pytest
import trio
from hypothesis import given, settings, strategies as st

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.outcome import ExchangeFailed
from jacinthshed.internal.platform.http_adapter import platform_http_adapter
from tests.common.stuttering_server import (
    End,
    Turn,
    answer,
    is_own,
    outcomes_of,
    submit_of,
)

NOT_EXECUTED = b"Not-Executed: 1\r\n"
TWO = ((b"id-0", b"GET"), (b"id-1", b"GET"))


def second_outcome(late, own, requests=TWO):
    """Return the outcome of a request before whose answer ``late`` arrives."""
    turns = [Turn((answer(b"id-0", b"zero"),), late=late), Turn((own,))]
    (first, second), _ = outcomes_of(turns, requests)
    assert is_own(first, 200, b"zero")
    return second


def test_a_part_of_a_late_answer_does_not_change_the_status_of_the_next():
    late = answer(b"id-0", b"zero")
    failure = answer(b"id-1", b"one", status=500)
    for length in range(len(late) + 1):
        outcome = second_outcome(late[:length], failure)
        failed = isinstance(outcome, ExchangeFailed)
        assert failed or is_own(outcome, 500, b"one"), late[:length]


def test_a_late_refusal_without_an_id_is_not_taken_for_the_next_answer():
    late = answer(None, b"zero", status=503, fields=NOT_EXECUTED)
    outcome = second_outcome(late, answer(b"id-1", b"one"))
    assert isinstance(outcome, ExchangeFailed) or is_own(outcome, 200, b"one")


def test_a_late_answer_is_not_taken_for_that_to_a_repeated_id():
    late = answer(b"id-0", b"zero")
    own = answer(b"id-0", b"one", status=500)
    outcome = second_outcome(late, own, (TWO[0], TWO[0]))
    assert isinstance(outcome, ExchangeFailed) or is_own(outcome, 500, b"one")


def test_a_head_with_bare_line_feeds_does_not_cut_the_body():
    head = b"HTTP/1.1 200 OK\nAttempt-Id: id-0\nContent-Length: 8\n\n"
    turn = Turn((head + b"ab\r\n\r\ncdHTTP/1.1 200 OK\r\n",))
    (outcome,), _ = outcomes_of([turn], TWO[:1])
    assert isinstance(outcome, ExchangeFailed) or outcome.body == b"ab\r\n\r\ncd"


def test_an_answer_with_two_ids_answers_neither_request():
    both = answer(b"id-1", b"one", fields=b"Attempt-Id: id-0\r\n")
    assert isinstance(second_outcome(b"", both), ExchangeFailed)


def test_a_refusal_without_an_id_is_taken_on_a_new_connection():
    refusal = answer(None, b"full", status=503, fields=NOT_EXECUTED)
    turns = [Turn((refusal,)), Turn((answer(b"id-1", b"one"),))]
    (first, second), connections = outcomes_of(turns, TWO)
    assert is_own(first, 503, b"full")
    assert is_own(second, 200, b"one")
    assert connections == 2


def test_an_answer_that_stops_inside_its_body_is_not_completed_by_its_copy():
    whole = answer(b"id-0", b"0123456789")
    for length in range(len(whole)):
        (outcome,), _ = outcomes_of([Turn((whole[:length], whole))], TWO[:1])
        failed = isinstance(outcome, ExchangeFailed)
        assert failed or is_own(outcome, 200, b"0123456789"), whole[:length]


@pytest.mark.parametrize("framing", ["length", "chunked", "until close"])
@pytest.mark.parametrize("end", [End.CLOSE, End.RESET])
@pytest.mark.parametrize("is_split", [False, True])
def test_an_answer_that_ends_early_is_a_failure(framing, end, is_split):
    whole = answer(b"id-0", b"zero", framing=framing)
    head_bytes = whole.index(b"\r\n\r\n") + 4
    for length in range(len(whole)):
        if framing == "until close" and end is End.CLOSE and length >= head_bytes:
            # The end of the connection is then the end of the answer.
            continue
        part = whole[:length]
        pieces = tuple(part[n : n + 1] for n in range(length)) if is_split else (part,)
        (outcome,), _ = outcomes_of([Turn(pieces or (b"",), end)], TWO[:1])
        assert isinstance(outcome, ExchangeFailed), part
        assert outcome.sent


@pytest.mark.parametrize("status", [200, 204, 304])
@pytest.mark.parametrize("rest", [b"", b"zero", b"\r\n", b"\r\n\r\n"])
def test_bytes_after_an_answer_without_a_body_belong_to_no_request(status, rest):
    head = b"HTTP/1.1 %d Any\r\nAttempt-Id: id-0\r\nContent-Length: 4\r\n\r\n" % status
    method = b"HEAD" if status == 200 else b"GET"
    for with_answer in (False, True):
        turns = [
            Turn((head,), late=rest, late_with_answer=with_answer),
            Turn((answer(b"id-1", b"one"),)),
        ]
        (first, second), _ = outcomes_of(turns, ((b"id-0", method), TWO[1]))
        assert (first.status, first.body) == (status, b"")
        assert isinstance(second, ExchangeFailed) or is_own(second, 200, b"one")


def outcomes_over_tcp(serve):
    """Return the outcomes of two requests, with a pause, to a server on a socket."""

    async def main():
        network = tcp_network()
        outcomes = []
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", serve)
            pool = BackendPool(
                connect=network.connect, address=address, max_connections=1
            )
            for own_id, method in TWO:
                submit = submit_of(own_id, method)
                outcomes.append(
                    await pool.request(
                        Request(method, b"/", submit.headers),
                        timeout_ms=5_000,
                        max_body_bytes=1_000,
                        matcher=platform_http_adapter("a").matcher(submit),
                    )
                )
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        return outcomes

    return trio.run(main)


def test_a_connection_on_which_a_late_answer_waits_is_not_used():
    connections = 0

    async def serve(stream):
        nonlocal connections
        own_id = TWO[connections][0]
        connections += 1
        # The client closes the first connection with unread bytes, which resets it.
        with suppress(trio.BrokenResourceError):
            async with stream:
                while await stream.receive_some():
                    await stream.send_all(answer(own_id, own_id))
                    await trio.sleep(0.02)
                    await stream.send_all(answer(own_id, own_id))

    first, second = outcomes_over_tcp(serve)
    assert is_own(first, 200, b"id-0")
    assert is_own(second, 200, b"id-1")
    assert connections == 2


@pytest.mark.parametrize("is_reset", [False, True])
def test_an_answer_that_ends_with_its_connection_is_whole_unless_that_is_reset(
    is_reset,
):
    async def serve(stream):
        async with stream:
            await stream.receive_some()
            await stream.send_all(answer(b"id-0", b"zero", framing="until close"))
            await trio.sleep(0.02)
            if is_reset:
                no_lingering = struct.pack("ii", 1, 0)
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, no_lingering
                )

    first = outcomes_over_tcp(serve)[0]
    assert (
        isinstance(first, ExchangeFailed) if is_reset else is_own(first, 200, b"zero")
    )


class Planned:
    """Draws the turns for some requests, and what each may be answered with."""

    def __init__(self, draw, count):
        self.draw = draw
        self.turns = []
        self.expected = []
        self.answers = []
        for number in range(count):
            self.add(number)

    def add(self, number):
        body = b"turn %d" % number
        status = self.draw(st.sampled_from([200, 200, 500, 503]))
        framing = self.draw(st.sampled_from(["length", "chunked", "until close"]))
        own_id = b"id-%d" % number
        fields = NOT_EXECUTED if status == 503 else b""
        if status == 503 and self.draw(st.booleans()):
            own_id = None
        whole = answer(own_id, body, status=status, framing=framing, fields=fields)
        self.answers.append(whole)
        end = self.draw(st.sampled_from([End.KEEP, End.KEEP, End.CLOSE, End.RESET]))
        if framing == "until close" and end is End.KEEP:
            end = End.CLOSE
        sent, is_whole = whole, True
        if framing == "until close":
            is_whole = end is End.CLOSE
        elif end is not End.KEEP and self.draw(st.booleans()):
            sent, is_whole = self.part_of(whole), False
        cut = self.draw(st.integers(0, len(sent)))
        late = b"".join(self.draw(st.lists(self.stray(), max_size=4)))
        with_answer = self.draw(st.booleans()) and end is End.KEEP
        self.turns.append(Turn((sent[:cut], sent[cut:]), end, late, with_answer))
        self.expected.append((status, body) if is_whole else None)

    def part_of(self, data):
        return data[: self.draw(st.integers(0, len(data) - 1))]

    def stray(self):
        """Return a strategy of bytes that belong to no request."""
        known = st.sampled_from(self.answers)
        return st.one_of(
            known,
            known.flatmap(lambda a: st.integers(0, len(a)).map(lambda n: a[:n])),
            known.flatmap(lambda a: st.integers(0, len(a)).map(lambda n: a[n:])),
            st.just(answer(None, b"stray", status=429, fields=NOT_EXECUTED)),
            st.sampled_from([b"\r\n", b"\n\n", b"\r\n\r\n", b"\0\xff", b"HTTP/1.1 "]),
            st.just(b"HTTP/1.1 103 Early\r\n\r\n"),
            st.binary(max_size=12),
        )


@settings(max_examples=400)
@given(st.data())
def test_each_request_gets_its_own_whole_answer_or_a_failure(data):
    count = data.draw(st.integers(1, 4))
    plan = Planned(data.draw, count)
    requests = tuple((b"id-%d" % number, b"GET") for number in range(count))
    outcomes, _ = outcomes_of(plan.turns, requests)
    for outcome, expected in zip(outcomes, plan.expected, strict=True):
        if isinstance(outcome, ExchangeFailed):
            assert outcome.sent
        else:
            assert expected is not None and is_own(outcome, *expected)
