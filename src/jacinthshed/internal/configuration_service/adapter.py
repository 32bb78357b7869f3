"""Adapter to the platform's configuration service.

The rest of the system uses the platform only through ``read(key)`` and
``watch(key, after_revision, wait_ms)``. This adapter implements them with HTTP long
polling: ``GET /v1/KEY`` returns a JSON object with ``revision`` and ``value``. A watch
adds the parameters ``after`` and ``wait_ms``, and gets status 204 when no newer
revision appeared in time. To use another platform, replace this module.
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

# The largest value that the platform stores. A body may be twice as long, as it holds
# the value in JSON, with escapes.
MAX_VALUE_BYTES = 1_048_576
MAX_BODY_BYTES = 2 * MAX_VALUE_BYTES
READ_TIMEOUT_MS = 2_000

Connect = Callable[[Address], Awaitable[trio.abc.Stream]]


class PlatformErrorKind(StrEnum):
    """The kinds of failure of a call to the platform."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    MISSING = "missing"
    STATUS = "status"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"


class PlatformError(NamedTuple):
    """Why a call to the platform returned no value."""

    fault: PlatformErrorKind
    detail: str

    def __str__(self) -> str:
        return f"the platform's configuration service: {self.fault}: {self.detail}"


class VersionedValue(NamedTuple):
    """A value of the platform and its revision, which increases with each change."""

    revision: int
    value: bytes


class Platform(NamedTuple):
    """The functions through which the platform is used.

    ``read(key)`` returns the current value. ``watch(key, after_revision, wait_ms)``
    returns a value with a higher revision, or ``None`` when there is none within
    ``wait_ms``. Neither raises for an outage: both return a ``PlatformError``.
    """

    read: Callable[[str], Awaitable[Result[VersionedValue, PlatformError]]]
    watch: Callable[
        [str, int, int], Awaitable[Result[VersionedValue | None, PlatformError]]
    ]


class _Document(msgspec.Struct):
    revision: int
    value: str


def http_platform(
    *, address: Address, connect: Connect, timeout_ms: int = READ_TIMEOUT_MS
) -> Platform:
    """Return the platform at ``address``.

    ``connect`` opens a stream to an address and may raise ``OSError``. Each call opens
    a new connection, as a pooled one may be dead without notice. ``timeout_ms`` bounds
    a call; for a watch, ``wait_ms`` is added to it.
    """

    async def call(path: str, wait_ms: int) -> Result[HttpResponse, PlatformError]:
        with trio.move_on_after((timeout_ms + wait_ms) / 1_000):
            return await _exchange(connect, address, path)
        detail = f"no response within {timeout_ms + wait_ms} ms"
        return Failure(PlatformError(PlatformErrorKind.TIMEOUT, detail))

    async def read(key: str) -> Result[VersionedValue, PlatformError]:
        answer = await call(_value_path(key), 0)
        return answer.bind(lambda got: _parse_value(got, key))

    async def watch(
        key: str, after_revision: int, wait_ms: int
    ) -> Result[VersionedValue | None, PlatformError]:
        path = f"{_value_path(key)}?after={after_revision}&wait_ms={wait_ms}"
        answer = await call(path, wait_ms)
        return answer.bind(lambda got: _parse_value_or_none(got, key))

    return Platform(read, watch)


def _value_path(key: str) -> str:
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
        return Failure(PlatformError(PlatformErrorKind.TOO_LARGE, str(error)))
    except h11.ProtocolError as error:
        return Failure(PlatformError(PlatformErrorKind.MALFORMED, str(error)))
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
        detail = f"{address}: {str(error) or type(error).__name__}"
        return Failure(PlatformError(PlatformErrorKind.UNREACHABLE, detail))
    return Success(answer)


def _parse_value(
    answer: HttpResponse, key: str
) -> Result[VersionedValue, PlatformError]:
    if answer.status == 404:
        return Failure(
            PlatformError(
                PlatformErrorKind.MISSING,
                f"the key {key!r} does not exist; check the keys in the settings",
            )
        )
    if answer.status != 200:
        return Failure(
            PlatformError(
                PlatformErrorKind.STATUS,
                f"unexpected HTTP status {answer.status}; a value has status 200",
            )
        )
    try:
        document = msgspec.json.decode(answer.body, type=_Document)
        value = document.value.encode("utf-8")
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(PlatformError(PlatformErrorKind.MALFORMED, str(error)))
    if len(value) > MAX_VALUE_BYTES:
        detail = f"{len(value)} bytes at {key!r}; the limit is {MAX_VALUE_BYTES} bytes"
        return Failure(PlatformError(PlatformErrorKind.TOO_LARGE, detail))
    return Success(VersionedValue(document.revision, value))


def _parse_value_or_none(
    answer: HttpResponse, key: str
) -> Result[VersionedValue | None, PlatformError]:
    if answer.status == 204:
        return Success(None)
    return _parse_value(answer, key).map(lambda got: got)
