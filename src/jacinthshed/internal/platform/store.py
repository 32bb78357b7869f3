"""Client of the platform's store, which is only read."""

import base64
import binascii
from collections.abc import Awaitable, Callable
from enum import StrEnum
from functools import partial
from typing import NamedTuple, Protocol, TypeVar
from urllib.parse import urlencode

import h11
import msgspec
import trio
from returns.result import Failure, Result, Success

from ..http.get import BodyTooLargeError, HttpResponse, http_get
from ..http.network import Connect

# Some five hundred items of a range, or 1 MB of them, with the text around them.
MAX_BODY_BYTES = 4 * 1024 * 1024
# An answer usually takes a few milliseconds; a silent connection is given up soon.
READ_TIMEOUT_MS = 1_500
# A directory of a thousand targets takes three pages.
MAX_PAGES = 64

_MS_PER_S = 1_000
_T = TypeVar("_T")
Query = dict[str, str | int]


class StoreErrorKind(StrEnum):
    """Kinds of failure of a call to the store."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    MISSING = "missing"
    COMPACTED = "history-gone"
    BUSY = "busy"
    STATUS = "status"
    MALFORMED = "malformed"


class StoreError(NamedTuple):
    """Why a call gave nothing."""

    fault: StoreErrorKind
    detail: str

    def __str__(self) -> str:
        return f"the store: {self.fault}: {self.detail}"


class Item(NamedTuple):
    """A key as it was at ``revision``; ``value`` is ``None`` once it is deleted."""

    key: str
    revision: int
    value: bytes | None


class StoreSnapshot(NamedTuple):
    """Items, complete up to ``revision``."""

    revision: int
    items: tuple[Item, ...]


class Store(NamedTuple):
    """The three calls. None raises for an outage.

    ``read`` takes a key and ``read_prefix`` a prefix. ``watch`` takes a prefix, the
    revision to go on from and the longest wait in milliseconds, and returns the changes
    since.
    """

    read: Callable[[str], Awaitable[Result[StoreSnapshot, StoreError]]]
    read_prefix: Callable[[str], Awaitable[Result[StoreSnapshot, StoreError]]]
    watch: Callable[[str, int, int], Awaitable[Result[StoreSnapshot, StoreError]]]


class _Item(msgspec.Struct):
    """An item or a change on the wire; ``rev`` is the revision of its last change."""

    key: str
    rev: int
    value: str = ""
    tombstone: bool = False


class _ItemAnswer(_Item):
    store_revision: int = 0


class _RangeAnswer(msgspec.Struct):
    items: list[_Item]
    store_revision: int
    has_more: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[_Item]
    store_revision: int


class _Call(Protocol):
    """Makes one call and decodes its answer."""

    async def __call__(
        self, path: str, query: Query, type_: type[_T], wait_ms: int = 0
    ) -> Result[_T, StoreError]: ...


def http_store_client(*, address: str, connect: Connect) -> Store:
    """Return the store at ``address``.

    Each call uses a connection of its own, as a kept one may have gone silent.
    """

    async def call(
        path: str, query: Query, type_: type[_T], wait_ms: int = 0
    ) -> Result[_T, StoreError]:
        timeout_ms = READ_TIMEOUT_MS + wait_ms
        with trio.move_on_after(timeout_ms / _MS_PER_S):
            answer = await _get(connect, address, f"{path}?{urlencode(query)}")
            return answer.bind(lambda got: _decode(got, type_))
        return Failure(
            StoreError(StoreErrorKind.TIMEOUT, f"nothing in {timeout_ms} ms")
        )

    async def read(key: str) -> Result[StoreSnapshot, StoreError]:
        answer = await call("/kv-key", {"key": key}, _ItemAnswer)
        return answer.bind(lambda got: _reading(got.store_revision, [got]))

    async def watch(
        prefix: str, after: int, wait_ms: int
    ) -> Result[StoreSnapshot, StoreError]:
        query: Query = {"prefix": prefix, "after": after, "wait_ms": wait_ms}
        answer = await call("/kv-watch", query, _WatchAnswer, wait_ms)
        return answer.bind(lambda got: _reading(got.store_revision, got.events))

    return Store(read, partial(_read_prefix, call), watch)


async def _read_prefix(call: _Call, prefix: str) -> Result[StoreSnapshot, StoreError]:
    items: list[_Item] = []
    revision = 0
    query: Query = {"prefix": prefix}
    for _ in range(MAX_PAGES):
        answer = await call("/kv-range", query, _RangeAnswer)
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        page = answer.unwrap()
        # Pages are read at different moments: what changed after the first one was
        # read is told again by a watch from there.
        revision = revision or page.store_revision
        items += page.items
        if not page.has_more or not page.items:
            return _reading(revision, items)
        query["after"] = page.items[-1].key
    return Failure(StoreError(StoreErrorKind.MALFORMED, f"over {MAX_PAGES} pages"))


async def _get(
    connect: Connect, address: str, path: str
) -> Result[HttpResponse, StoreError]:
    try:
        stream = await connect(address)
        answer = await http_get(
            stream, host=address, path=path, max_body_bytes=MAX_BODY_BYTES
        )
    except (BodyTooLargeError, h11.ProtocolError) as error:
        return Failure(StoreError(StoreErrorKind.MALFORMED, str(error)))
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
        detail = str(error) or type(error).__name__
        return Failure(StoreError(StoreErrorKind.UNREACHABLE, f"{address}: {detail}"))
    return Success(answer)


_FAULTS = {
    404: StoreErrorKind.MISSING,
    410: StoreErrorKind.COMPACTED,
    429: StoreErrorKind.BUSY,
    503: StoreErrorKind.BUSY,
}


def _decode(answer: HttpResponse, type_: type[_T]) -> Result[_T, StoreError]:
    if answer.status != 200:
        fault = _FAULTS.get(answer.status, StoreErrorKind.STATUS)
        return Failure(StoreError(fault, f"status {answer.status}"))
    try:
        return Success(msgspec.json.decode(answer.body, type=type_))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(StoreError(StoreErrorKind.MALFORMED, str(error)))


def _reading(revision: int, items: list[_Item]) -> Result[StoreSnapshot, StoreError]:
    return Success(StoreSnapshot(revision, tuple(_item(item) for item in items)))


def _item(item: _Item) -> Item:
    if item.tombstone:
        return Item(item.key, item.rev, None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Bytes that can't be read are taken for a value that decodes to nothing.
        value = b""
    return Item(item.key, item.rev, value)
