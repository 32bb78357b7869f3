"""``jacinthshed call``: send one request through an entry node."""

import sys
from typing import Any, NamedTuple

import msgspec
import trio
from returns.result import Result, Success

from ..caller.answer import Answer
from ..caller.caller import DEFAULT_DEADLINE_MS, Caller, is_idempotent_method
from ..http.message import Header
from ..http.network import split_address
from ..verdict import Refusal
from .exit_codes import EXIT_DONE, EXIT_REFUSED, EXIT_USAGE
from .output import Json

_FIRST_ERROR_STATUS = 400


class _Draft(NamedTuple):
    """The request to send."""

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotent: bool


class _Naming(NamedTuple):
    """What names the request among its copies."""

    key: str | None
    fence: str | None
    first_use: bool


class _Called(NamedTuple):
    """How the call ended, and what is needed to ask again."""

    result: Result[Answer, Refusal]
    key: str
    fence: str


def call(
    entry: str,
    method: str,
    path: str,
    *,
    key: str | None = None,
    fence: str | None = None,
    first_use: bool = False,
    deadline_ms: int = DEFAULT_DEADLINE_MS,
    idempotent: bool | None = None,
    header: tuple[str, ...] = (),
    body: str = "",
    as_json: Json = False,
) -> int:
    """Send one request through the entry node at ENTRY and print its answer.

    Example: ``jacinthshed call 127.0.0.1:7000 POST /refunds/new --key kiosk-7-0041``

    :param entry: Address of an entry node, as IP:port.
    :param method: HTTP method.
    :param path: Path with its query.
    :param key: Idempotency key; give the same one to ask again after "may-have-run".
    :param fence: Fence that an earlier call with this key printed.
    :param first_use: Promise that this key was never sent; saves a search for it.
    :param deadline_ms: Time that the whole call may take, in milliseconds.
    :param idempotent: Whether the request may run twice; else the method decides.
    :param header: A further header field as NAME:VALUE; may be given several times.
    :param body: Body of the request.
    """
    if idempotent is None:
        idempotent = is_idempotent_method(method)
    try:
        split_address(entry)
        fields = tuple(_header(item) for item in header)
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    draft = _Draft(method, path, fields, body.encode(), idempotent)
    naming = _Naming(key, fence, first_use)
    return _report(trio.run(_send, entry, draft, naming, deadline_ms), as_json=as_json)


async def _send(
    entry: str, draft: _Draft, naming: _Naming, deadline_ms: int
) -> _Called:
    caller = Caller(entries=[entry])
    key = naming.key
    if key is None and not draft.idempotent:
        key = caller.new_key()
    if naming.fence is not None and key is not None:
        caller.hold_fence(key, naming.fence)
    result = await caller.request(
        draft.method,
        draft.path,
        headers=draft.headers,
        body=draft.body,
        key=key,
        first_use=naming.first_use,
        deadline_ms=deadline_ms,
        idempotent=draft.idempotent,
    )
    held = caller.fence(key) if key is not None else ""
    await caller.aclose()
    return _Called(result, key or "", held)


def _report(called: _Called, *, as_json: bool) -> int:
    result = called.result
    document = _document(called)
    print(msgspec.json.encode(document).decode() if as_json else _text(document))
    if isinstance(result, Success) and result.unwrap().status < _FIRST_ERROR_STATUS:
        return EXIT_DONE
    return EXIT_REFUSED


def _header(item: str) -> Header:
    name, colon, value = item.partition(":")
    if not name or not colon:
        raise ValueError(f"{item!r} is no header field; write it as NAME:VALUE")
    return name.strip().lower().encode(), value.strip().encode()


def _document(called: _Called) -> dict[str, Any]:
    document: dict[str, Any] = {"key": called.key, "fence": called.fence}
    if isinstance(called.result, Success):
        answer = called.result.unwrap()
        document["status"] = answer.status
        document["verdict"] = answer.verdict
        document["request"] = answer.request_id
        document["body"] = answer.body.decode(errors="replace")
    else:
        document.update(called.result.failure()._asdict())
    return document


def _text(document: dict[str, Any]) -> str:
    body = document.pop("body", None)
    lines = [f"{name}: {value}" for name, value in document.items() if value != ""]
    return "\n".join([*lines, "", body] if body else lines)
