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


class _CallRequest(NamedTuple):
    """The request to send, without the fields that identify it."""

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotent: bool


class _CallIdentity(NamedTuple):
    """The idempotency key and fence that identify the request in repeated calls."""

    key: str | None
    fence: str | None
    first_use: bool


class _CallOutcome(NamedTuple):
    """The result of the call, and the key and fence to repeat it with."""

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
    """Send one HTTP request through the entry node at ENTRY and print its answer.

    Example: ``jacinthshed call 127.0.0.1:7000 POST /refunds/new --key kiosk-7-0041``

    :param entry: Address of an entry node, as IP:port.
    :param method: HTTP method.
    :param path: Path with its query.
    :param key: Idempotency key; reuse it to repeat the request after "may-have-run".
    :param fence: Fence printed by an earlier call with this key.
    :param first_use: Assert that this key was never sent; skips a search for it.
    :param deadline_ms: Time limit of the whole call, in milliseconds.
    :param idempotent: Whether the request may run twice; by default, set by the method.
    :param header: Additional header field as NAME:VALUE; may be given several times.
    :param body: Body of the request.
    """
    if idempotent is None:
        idempotent = is_idempotent_method(method)
    try:
        split_address(entry)
        fields = tuple(_parse_header(item) for item in header)
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    request = _CallRequest(method, path, fields, body.encode(), idempotent)
    ident = _CallIdentity(key, fence, first_use)
    return _report(trio.run(_send, entry, request, ident, deadline_ms), as_json=as_json)


async def _send(
    entry: str, request: _CallRequest, identity: _CallIdentity, deadline_ms: int
) -> _CallOutcome:
    caller = Caller(entries=[entry])
    key = identity.key
    if key is None and not request.idempotent:
        key = caller.new_key()
    if identity.fence is not None and key is not None:
        caller.hold_fence(key, identity.fence)
    result = await caller.request(
        request.method,
        request.path,
        headers=request.headers,
        body=request.body,
        key=key,
        first_use=identity.first_use,
        deadline_ms=deadline_ms,
        idempotent=request.idempotent,
    )
    used_fence = caller.fence(key) if key is not None else ""
    await caller.aclose()
    return _CallOutcome(result, key or "", used_fence)


def _report(outcome: _CallOutcome, *, as_json: bool) -> int:
    result = outcome.result
    document = _document(outcome)
    print(msgspec.json.encode(document).decode() if as_json else _text(document))
    if isinstance(result, Success) and result.unwrap().status < _FIRST_ERROR_STATUS:
        return EXIT_DONE
    return EXIT_REFUSED


def _parse_header(item: str) -> Header:
    name, colon, value = item.partition(":")
    if not name or not colon:
        raise ValueError(
            f"--header {item!r} is not a header field; write it as NAME:VALUE"
        )
    return name.strip().lower().encode(), value.strip().encode()


def _document(outcome: _CallOutcome) -> dict[str, Any]:
    document: dict[str, Any] = {"key": outcome.key, "fence": outcome.fence}
    if isinstance(outcome.result, Success):
        answer = outcome.result.unwrap()
        document["status"] = answer.status
        document["verdict"] = answer.verdict
        document["request"] = answer.request_id
        document["body"] = answer.body.decode(errors="replace")
    else:
        document.update(outcome.result.failure()._asdict())
    return document


def _text(document: dict[str, Any]) -> str:
    body = document.pop("body", None)
    lines = [f"{name}: {value}" for name, value in document.items() if value != ""]
    return "\n".join([*lines, "", body] if body else lines)
