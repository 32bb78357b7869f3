"""Route matching, compared with a slow oracle and with other readings of paths."""

import posixpath
from urllib.parse import unquote_to_bytes

from hypothesis import example, given, settings, strategies as st

from jacinthshed.internal.bundle.document import parse_bundle
from jacinthshed.internal.bundle.routes import RouteTable
from tests.common.bundles import bundle_document

ROUTE = {"rank": 9, "idempotent": True, "deadline_ms": 100}
ROUTE_SPECS = {
    "orders": ("alpha", "/orders", ["GET", "POST"]),
    "open-orders": ("alpha", "/orders/open", ["GET"]),
    "alpha-rest": ("alpha", "/", ["GET"]),
    "nested": ("nested", "/orders", ["GET"]),
    "stock": ("beta", "/stock", ["GET"]),
}
PREFIXES = {"alpha": "/alpha", "nested": "/alpha/orders/nested", "beta": "/beta"}
SERVICES = {
    "alpha": {"slots": 1, "connections": 1},
    "nested": {"slots": 1, "connections": 1, "path_prefix": PREFIXES["nested"]},
    "beta": {"slots": 1, "connections": 1},
}
ROUTES = {
    name: ROUTE | {"service": service, "path": path, "methods": methods}
    for name, (service, path, methods) in ROUTE_SPECS.items()
}
ROUTES["open-orders"]["calls"] = ["nested", "alpha-rest"]
ROUTES["nested"]["calls"] = ["stock"]
BUNDLE = parse_bundle(
    bundle_document({"services": SERVICES, "routes": ROUTES}), source="b"
).unwrap()
ROUTE_TABLE = RouteTable(BUNDLE)


def is_below(path: str, prefix: str) -> bool:
    return prefix == "/" or path == prefix or path.startswith(prefix + "/")


def slow_service(path: str) -> str | None:
    found = [name for name, prefix in PREFIXES.items() if is_below(path, prefix)]
    return max(found, key=lambda name: len(PREFIXES[name]), default=None)


def slow_route(service: str, method: str, below: str) -> str | None:
    found = [
        name
        for name, (owner, path, methods) in ROUTE_SPECS.items()
        if owner == service and method in methods and is_below(below, path)
    ]
    return max(found, key=lambda name: len(ROUTE_SPECS[name][1]), default=None)


WORDS = st.sampled_from(
    ["alpha", "beta", "orders", "open", "nested", "stock", "alphab"]
)
STARTS = st.sampled_from([[], *(prefix[1:].split("/") for prefix in PREFIXES.values())])


@settings(max_examples=200)
@given(STARTS, st.lists(WORDS, max_size=3), st.sampled_from(["GET", "POST"]))
def test_a_plain_path_has_the_same_match_as_a_scan_of_all_routes(start, rest, method):
    words = start + rest
    path = "/" + "/".join(words)
    target = path + "?a=/../b%2f"
    match = ROUTE_TABLE.match(method.encode(), target.encode(), b"10.0.0.1:7300")

    service = slow_service(path)
    below = path.removeprefix(PREFIXES[service]) or "/" if service else ""
    expected = service and slow_route(service, method, below)
    assert (match and match.route_name) == expected
    if match is not None:
        assert match.service == service
        assert match.backend_target.startswith(below.encode())
        assert match.backend_target.endswith(b"?a=/../b%2f")


def readings(raw: bytes) -> set[str]:
    """Return the paths that different servers may understand from one path."""
    decoded = unquote_to_bytes(raw)
    cut = b"/".join(part.partition(b";")[0] for part in decoded.split(b"/"))
    slashes = decoded.replace(b"\\", b"/")
    fragment = raw.partition(b"#")[0], decoded.partition(b"#")[0]
    texts = [one.decode("latin-1") for one in (raw, decoded, cut, slashes, *fragment)]
    return {posixpath.normpath(text).replace("//", "/") for text in texts}


def slow_match(path: str) -> tuple[str | None, str | None]:
    service = slow_service(path)
    if service is None:
        return None, None
    below = path.removeprefix(PREFIXES[service]) or "/"
    return service, slow_route(service, "GET", below)


HEX = st.sampled_from("abdeknoprst./;\\%").map(lambda c: f"%{ord(c):02x}")
PIECES = (
    st.sampled_from(["/", "/", "/", ".", "..", "%", ";", "\\", "%2F", "%2e%2E", "%00"])
    | WORDS
    | HEX
)


@settings(max_examples=500)
@given(st.lists(PIECES, max_size=8).map("".join))
@example("../beta/stock")
@example("%2e%2e/beta/stock")
@example("/orders")
@example("%252e%252e/beta")
@example("%6frders")
@example("orders/%2e")
@example("orders;x/open")
@example("orders#x")
@example("orders%23x")
@example("orders%3bx")
@example("orders%5Copen")
@example("orders\\open")
@example("orders%2fopen")
def test_every_server_resolves_the_same_route_that_was_matched(text):
    match = ROUTE_TABLE.match(b"GET", b"/alpha/" + text.encode(), b"")
    if match is not None:
        path = (
            PREFIXES[match.service].encode() + match.backend_target.partition(b"?")[0]
        )
        read = {slow_match(reading) for reading in readings(path)}
        assert read == {(match.service, match.route_name)}


@settings(max_examples=200)
@given(st.binary(max_size=30), st.binary(max_size=10), st.binary(max_size=20))
def test_any_bytes_are_matched_or_refused(target, method, host):
    match = ROUTE_TABLE.match(method, target, host)
    assert match is None or (match.backend_target.isascii() and b" " not in target)


def test_the_host_selects_the_service_where_the_path_does_not():
    match = ROUTE_TABLE.match(b"GET", b"/stock/4", b"Beta.internal:80")
    assert match is not None
    assert (match.route_name, match.backend_target) == ("stock", b"/stock/4")
    assert ROUTE_TABLE.match(b"GET", b"/beta/stock", b"beta").route_name == "stock"


def test_a_path_and_a_host_of_different_services_are_refused():
    assert ROUTE_TABLE.match(b"GET", b"/beta/stock", b"alpha") is None


def test_services_below_include_those_of_all_calls():
    assert ROUTE_TABLE.services_below("open-orders") == {"alpha", "nested", "beta"}
    assert ROUTE_TABLE.services_below("stock") == {"beta"}
