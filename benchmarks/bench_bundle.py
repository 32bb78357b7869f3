"""Time to match the route of a request and to open a signed bundle.

Uses an example bundle and one thread, and reports the best of several rounds. Run it
from the root of the project::

    python benchmarks/bench_bundle.py
"""

import timeit
from collections.abc import Callable
from pathlib import Path

from jacinthshed.internal.bundle.document import parse_bundle
from jacinthshed.internal.bundle.routes import RouteTable
from jacinthshed.internal.bundle.signing import (
    Envelope,
    envelope_bytes,
    generate_key,
    open_signed_bundle,
    sign,
    signed_bundle_opener,
)
from jacinthshed.internal.bundle.store import BundleStore
from jacinthshed.internal.settings.keys import public_key_text
from jacinthshed.internal.settings.model import OperatorSettings

EXAMPLE = Path(__file__).parent.parent / "examples/pampa/bundle.yaml"
REQUESTS = {
    "by path": (b"GET", b"/clock-records/history/clock-17?from=3", b"10.20.1.11:7300"),
    "by host": (b"GET", b"/internal/stations/17", b"clock-records:7300"),
    "with escapes": (b"GET", b"/spare-parts/stock/%C3%A9%2D7", b"10.20.1.11:7300"),
    "refused": (b"GET", b"/spare-parts/../stock", b"10.20.1.11:7300"),
}
ROUNDS = 5


def best_us(action: Callable[[], object], calls: int) -> float:
    """Return the time of one call of ``action`` in the best round, in microseconds."""
    return min(timeit.repeat(action, number=calls, repeat=ROUNDS)) / calls * 1e6


def main() -> None:
    """Print the time of each operation."""
    document = EXAMPLE.read_bytes()
    table = RouteTable(parse_bundle(document, source="example").unwrap())
    for name, request in REQUESTS.items():
        us = best_us(lambda request=request: table.match(*request), 20_000)
        print(f"route {name}: {us:.2f} us")
    keys = {name: generate_key() for name in ("ana", "bruno")}
    envelope = Envelope(document=document.decode())
    for name, key in keys.items():
        envelope = sign(envelope, name, key)
    data = envelope_bytes(envelope)
    public_keys = {
        name: public_key_text(key.public_key()) for name, key in keys.items()
    }
    trusted = OperatorSettings(keys=public_keys, threshold=2)
    print(f"open of {len(data)} bytes, 2 signatures: ", end="")
    print(f"{best_us(lambda: open_signed_bundle(data, trusted), 20):.0f} us")
    store = BundleStore(open_bundle=signed_bundle_opener(trusted))
    store.offer(data, "first")
    us = best_us(lambda: store.offer(data, "again"), 20_000)
    print(f"offer of the bundle in force: {us:.2f} us")


if __name__ == "__main__":
    main()
