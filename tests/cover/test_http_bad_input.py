import re

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Request, Response
from jacinthshed.internal.http.server import serve_connection
from tests.common.bad_requests import (
    BAD_REQUESTS,
    BODY_LIMIT,
    HEAD_LIMIT,
    STATUS_BY_NAME,
)
from tests.common.http import receive_all

LIMITS = HttpLimits(head_bytes=HEAD_LIMIT, body_bytes=BODY_LIMIT, read_ms=1_000)

tokens = st.text("abcXYZ019-_", min_size=1, max_size=8).map(str.encode)
values = st.text("abc XYZ:/=,;\t", max_size=8).map(lambda v: v.strip().encode())
fields = st.tuples(tokens.map(lambda name: b"x-" + name.lower()), values)
requests = st.builds(
    Request,
    method=st.sampled_from([b"GET", b"POST", b"PUT"]),
    target=tokens.map(lambda path: b"/" + path),
    headers=st.lists(fields, max_size=3).map(lambda f: ((b"host", b"h"), *f)),
    body=st.binary(max_size=BODY_LIMIT),
)


def encode(request, chunk_bytes):
    """Return ``request`` as bytes, chunked when ``chunk_bytes`` is above 0."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % field for field in request.headers]
    body = request.body
    if chunk_bytes:
        lines.append(b"Transfer-Encoding: chunked")
        starts = range(0, len(body), chunk_bytes)
        chunks = [body[start : start + chunk_bytes] for start in starts]
        body = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in [*chunks, b""])
    elif body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


def serve_bytes(data, split_points=()):
    """Return the requests that the handler received and the bytes sent back.

    ``data`` is sent in pieces, split at the offsets ``split_points``.
    """
    seen = []

    async def handler(request, send_interim):
        seen.append(request)
        return Response(200)

    async def main():
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, client)
            await serve_connection(server, handler, limits=LIMITS, drain=Drain())
            received.append(await receive_all(client))
            nursery.cancel_scope.cancel()

    async def send(client):
        boundaries = sorted(
            {0, *(cut % (len(data) + 1) for cut in split_points), len(data)}
        )
        try:
            for start, end in zip(boundaries, boundaries[1:], strict=False):
                await client.send_all(data[start:end])
                await trio.testing.wait_all_tasks_blocked()
            await client.send_stream.aclose()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    received = []
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return seen, received[0]


def statuses(data):
    return [int(code) for code in re.findall(rb"^HTTP/1\.1 (\d+) ", data, re.MULTILINE)]


@settings(max_examples=150)
@given(
    sent=st.lists(st.tuples(requests, st.integers(0, 3)), max_size=4),
    bad=st.sampled_from([*BAD_REQUESTS, ""]),
    split_points=st.lists(st.integers(0, 2_000), max_size=5),
)
def test_the_handler_sees_exactly_the_valid_requests(sent, bad, split_points):
    data = b"".join(encode(request, chunk_bytes) for request, chunk_bytes in sent)
    seen, received = serve_bytes(data + BAD_REQUESTS.get(bad, b""), split_points)
    assert seen == [request for request, _ in sent]
    refused = [STATUS_BY_NAME.get(bad, 400)] if bad else []
    assert statuses(received) == [200] * len(sent) + refused


@settings(max_examples=100)
@given(request=requests, chunk_bytes=st.integers(0, 3), data=st.data())
def test_a_truncated_request_is_never_seen(request, chunk_bytes, data):
    encoded = encode(request, chunk_bytes)
    length = data.draw(st.integers(1, len(encoded) - 1))
    seen, received = serve_bytes(encoded[:length])
    assert seen == []
    assert statuses(received) == [400]


@settings(max_examples=150)
@given(request=requests, place=st.integers(0, 500), junk=st.binary(max_size=4))
def test_junk_in_a_request_is_answered_or_refused(request, place, junk):
    encoded = encode(request, 0)
    place %= len(encoded)
    seen, received = serve_bytes(encoded[:place] + junk + encoded[place:])
    answers = statuses(received)
    assert answers.count(200) == len(seen)
    assert all(status == 200 or 400 <= status < 500 for status in answers)


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_a_bad_request_gets_a_problem_document(name):
    seen, received = serve_bytes(BAD_REQUESTS[name])
    assert seen == []
    head, _, body = received.partition(b"\r\n\r\n")
    assert statuses(head) == [STATUS_BY_NAME.get(name, 400)]
    assert b"connection: close" in head
    assert b"content-type: application/problem+json" in head
    problem = msgspec.json.decode(body)
    assert problem["verdict"] == "not-run"
    assert problem["detail"]


def test_a_request_that_takes_too_long_is_refused():
    async def handler(request, send_interim):
        raise AssertionError("the handler saw a partial request")

    async def main():
        client, server = trio.testing.memory_stream_pair()
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, server)
            await client.send_all(b"GET / HTTP/1.1\r\n")
            assert statuses(await receive_all(client)) == [408]
            await client.aclose()
        return trio.current_time() - started_s

    async def serve(stream):
        await serve_connection(stream, handler, limits=LIMITS, drain=Drain())

    elapsed_s = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert elapsed_s == LIMITS.read_ms / 1_000
