"""Tests of the platform adapter with in-memory streams and trio's mock clock."""

import json

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from jacinthshed.internal.configuration_service.adapter import (
    MAX_VALUE_BYTES,
    PlatformErrorKind,
    VersionedValue,
    http_platform,
)
from jacinthshed.internal.settings.address import Address

ADDRESS = Address("10.0.0.5", 8500)


def answer(status: int, body: bytes = b"", *, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, size, body)


def value(revision, text) -> bytes:
    return answer(200, json.dumps({"revision": revision, "value": text}).encode())


class FakePlatform:
    """Sends the same bytes on every connection; stores what it receives."""

    def __init__(self, reply: bytes, *, then_close: bool = True) -> None:
        self.reply = reply
        self.then_close = then_close
        self.received: list[bytes] = []
        self.open = 0

    async def connect(self, address):
        assert address == ADDRESS
        self.open += 1
        return _Connection(self)


class _Connection(trio.abc.Stream):
    def __init__(self, platform):
        self.platform = platform
        self.unread = platform.reply

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        self.platform.received.append(bytes(data))

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        if not self.unread and not self.platform.then_close:
            await trio.sleep_forever()
        chunk, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        return chunk

    async def aclose(self):
        self.platform.open -= 1
        await trio.lowlevel.checkpoint()


def run_with_clock(function):
    return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


def read(fake):
    platform = http_platform(address=ADDRESS, connect=fake.connect)
    return run_with_clock(lambda: platform.read("bundle"))


def test_read_and_watch_send_the_expected_requests():
    fake = FakePlatform(value(7, "text \u00e9"))
    platform = http_platform(address=ADDRESS, connect=fake.connect)

    async def both():
        return await platform.read("a b/c"), await platform.watch("hosts", 6, 900)

    got = run_with_clock(both)
    assert got == (Success(VersionedValue(7, "text \u00e9".encode())),) * 2
    lines = [received.partition(b"\r\n")[0] for received in fake.received]
    assert lines == [
        b"GET /v1/a%20b%2Fc HTTP/1.1",
        b"GET /v1/hosts?after=6&wait_ms=900 HTTP/1.1",
    ]
    assert fake.open == 0


def test_a_watch_without_a_new_revision_returns_none():
    fake = FakePlatform(b"HTTP/1.1 204 X\r\n\r\n")
    platform = http_platform(address=ADDRESS, connect=fake.connect)
    assert run_with_clock(lambda: platform.watch("k", 1, 10)) == Success(None)


FAULTS = {
    "missing": (answer(404), PlatformErrorKind.MISSING),
    "status": (answer(503, b"busy"), PlatformErrorKind.STATUS),
    "nothing to read": (answer(204), PlatformErrorKind.STATUS),
    "no HTTP": (b"hello\r\n\r\n", PlatformErrorKind.MALFORMED),
    "cut short": (answer(200, b"{", length=9), PlatformErrorKind.MALFORMED),
    "closed at once": (b"", PlatformErrorKind.MALFORMED),
    "no JSON": (answer(200, b"{"), PlatformErrorKind.MALFORMED),
    "other JSON": (answer(200, b'{"revision": "1"}'), PlatformErrorKind.MALFORMED),
    "deep JSON": (answer(200, b'{"x": ' + b"[" * 99_999), PlatformErrorKind.MALFORMED),
    "lone surrogate": (
        answer(200, b'{"revision": 1, "value": "\\ud800"}'),
        PlatformErrorKind.MALFORMED,
    ),
    "large value": (value(1, "x" * (MAX_VALUE_BYTES + 1)), PlatformErrorKind.TOO_LARGE),
    "large body": (answer(200, b" " * 3_000_000), PlatformErrorKind.TOO_LARGE),
    "endless head": (
        b"HTTP/1.1 200 X\r\nA: " + b"a" * 99_000,
        PlatformErrorKind.MALFORMED,
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_a_bad_answer_is_an_error_and_closes_the_stream(name):
    reply, fault = FAULTS[name]
    fake = FakePlatform(reply)
    assert read(fake).failure().fault is fault
    assert fake.open == 0


@pytest.mark.parametrize("reply", [b"", answer(200, b"{", length=9)])
def test_an_unresponsive_platform_is_a_timeout(reply):
    fake = FakePlatform(reply, then_close=False)
    platform = http_platform(address=ADDRESS, connect=fake.connect, timeout_ms=500)

    async def timed():
        started_s = trio.current_time()
        got = await platform.watch("bundle", 0, 1_000)
        return got, trio.current_time() - started_s

    got, elapsed_s = run_with_clock(timed)
    assert got.failure().fault is PlatformErrorKind.TIMEOUT
    assert elapsed_s == pytest.approx(1.5)
    assert fake.open == 0


@pytest.mark.parametrize("error", [ConnectionRefusedError("no"), OSError("gone")])
def test_an_unreachable_platform_is_an_error(error):
    async def connect(address):
        raise error

    platform = http_platform(address=ADDRESS, connect=connect)
    got = run_with_clock(lambda: platform.read("bundle"))
    assert isinstance(got, Failure)
    assert got.failure().fault is PlatformErrorKind.UNREACHABLE
    assert "10.0.0.5:8500" in str(got.failure())
