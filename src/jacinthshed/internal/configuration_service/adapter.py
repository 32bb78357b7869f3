"""The platform's configuration service, behind two functions.

``read(key)`` and ``watch(key, after_revision, wait_ms)`` are all that the rest of the
system knows of the platform. Here they speak HTTP long poll: ``GET /v1/KEY`` with
``after`` and ``wait_ms`` answers a JSON object of ``revision`` and ``value``, or 204
when nothing newer came in time. For another platform this file is the one to change.
"""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import quote

import h11
import msgspec
import trio
from returns.result import Failure, Result, Success

from ..http.get import BodyTooLargeError, HttpResponse, http_get
from ..settings.address import Address

# What the platform holds as one value, and the JSON around it with its escapes.
MAX_VALUE_BYTES = 1_048_576
MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
READ_TIMEOUT_MS = 2_000

Connect = Callable[[Address], Awaitable[trio.abc.Stream]]


class PlatformFault(StrEnum):
    """Kinds of failure of a call to the platform."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    MISSING = "missing"
    STATUS = "status"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"


class PlatformError(NamedTuple):
    """Why a call to the platform gave no value."""

    fault: PlatformFault
    detail: str

    def __str__(self) -> str:
        return f"the platform's configuration service: {self.fault}: {self.detail}"


class Versioned(NamedTuple):
    """A value of the platform and its revision, which grows with each change."""

    revision: int
    value: bytes


class Platform(NamedTuple):
    """The two functions that the platform is used through.

    ``watch`` gives ``None`` when no revision above ``after_revision`` came within
    ``wait_ms``. Neither raises for an outage.
    """

    read: Callable[[str], Awaitable[Result[Versioned, PlatformError]]]
    watch: Callable[[str, int, int], Awaitable[Result[Versioned | None, PlatformError]]]


class _Document(msgspec.Struct):
    revision: int
    value: str


def http_platform(
    *, address: Address, connect: Connect, timeout_ms: int = READ_TIMEOUT_MS
) -> Platform:
    """Return the platform at ``address``.

    ``connect`` opens a stream to an address and may raise ``OSError``. Each call uses
    a connection of its own, as a kept one may have gone silent. ``timeout_ms`` bounds
    a call beyond the time that a watch may wait.
    """

    async def call(path: str, wait_ms: int) -> Result[HttpResponse, PlatformError]:
        with trio.move_on_after((timeout_ms + wait_ms) / 1_000):
            return await _exchange(connect, address, path)
        within = f"no answer within {timeout_ms + wait_ms} ms"
        return Failure(PlatformError(PlatformFault.TIMEOUT, within))

    async def read(key: str) -> Result[Versioned, PlatformError]:
        answer = await call(_path(key), 0)
        return answer.bind(lambda got: _versioned(got, key))

    async def watch(
        key: str, after_revision: int, wait_ms: int
    ) -> Result[Versioned | None, PlatformError]:
        path = f"{_path(key)}?after={after_revision}&wait_ms={wait_ms}"
        answer = await call(path, wait_ms)
        return answer.bind(lambda got: _versioned_or_none(got, key))

    return Platform(read, watch)


def _path(key: str) -> str:
    return f"/v1/{quote(key, safe='')}"


async def _exchange(
    connect: Connect, address: Address, path: str
) -> Result[HttpResponse, PlatformError]:
    try:
        stream = await connect(address)
        answer = await http_get(
            stream, host=str(address), path=path, max_body_bytes=MAX_BODY_BYTES
        )
    except BodyTooLargeError as error:
        return Failure(PlatformError(PlatformFault.TOO_LARGE, str(error)))
    except h11.ProtocolError as error:
        return Failure(PlatformError(PlatformFault.MALFORMED, str(error)))
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
        detail = f"{address}: {str(error) or type(error).__name__}"
        return Failure(PlatformError(PlatformFault.UNREACHABLE, detail))
    return Success(answer)


def _versioned(answer: HttpResponse, key: str) -> Result[Versioned, PlatformError]:
    if answer.status == 404:
        return Failure(PlatformError(PlatformFault.MISSING, f"no key {key!r}"))
    if answer.status != 200:
        return Failure(PlatformError(PlatformFault.STATUS, f"status {answer.status}"))
    try:
        document = msgspec.json.decode(answer.body, type=_Document)
        value = document.value.encode("utf-8")
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(PlatformError(PlatformFault.MALFORMED, str(error)))
    if len(value) > MAX_VALUE_BYTES:
        detail = f"{len(value)} bytes of {key!r}; the limit is {MAX_VALUE_BYTES}"
        return Failure(PlatformError(PlatformFault.TOO_LARGE, detail))
    return Success(Versioned(document.revision, value))


def _versioned_or_none(
    answer: HttpResponse, key: str
) -> Result[Versioned | None, PlatformError]:
    if answer.status == 204:
        return Success(None)
    return _versioned(answer, key).map(lambda got: got)
