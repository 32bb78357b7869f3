"""Memory of each fence and quarantine record, and the time of each operation.

Run as ``python -m benchmarks.bench_fence_memory``; prints CSV. The bytes are those that
``tracemalloc`` counts for ``COUNT`` records, so they include the tables and keys.
"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from jacinthshed.internal.bundle.model import FencePolicy, QuarantinePolicy
from jacinthshed.internal.fence.ballot import BallotGenerator
from jacinthshed.internal.fence.fence import decode_fence, encode_fence, mint
from jacinthshed.internal.fence.instant import Instant
from jacinthshed.internal.fence.registry import FenceRegistry
from jacinthshed.internal.fence.revocation import Revocation, RevocationTarget
from jacinthshed.internal.quarantine.fingerprint import fingerprint
from jacinthshed.internal.quarantine.suspects import Suspects
from jacinthshed.internal.verdict import Reason, Refusal, Verdict
from jacinthshed.internal.wire.frames import Reply, Revoke, Revoked

COUNT = 20_000
BODY_BYTES = 200
TARGETS = 27
HOST = "10.0.0.1"
NOW = Instant(now_ms=10_000_000.0, wall_ms=1_800_000_000_000)
SHED_REFUSAL = Refusal(Verdict.NOT_RUN, Reason.SHED)
REPLY = Reply("r", 200, (), bytes(BODY_BYTES), 0, "ran", "", "", 0, 0, 0, 0.0, 0, 0)


def make_registry() -> FenceRegistry:
    """Return an empty registry that has room for all records."""
    return FenceRegistry(
        host=HOST,
        incarnation=1,
        started_ms=0.0,
        policy=FencePolicy(),
        max_entries=10 * COUNT,
        max_bytes=1 << 30,
    )


def make_tokens() -> list[str]:
    """Return ``COUNT`` encoded fences."""
    rng = random.Random(1)
    return [
        encode_fence(
            mint(
                host=HOST,
                incarnation=1,
                wall_ms=NOW.wall_ms,
                lifetime_ms=60_000,
                ballot="",
                random=rng,
            )
        )
        for _ in range(COUNT)
    ]


def make_keys() -> list[str]:
    """Return ``COUNT`` idempotency keys."""
    # New strings for each use: in a node the registry holds the only copy.
    return [f"018f3c1a-0000-7000-8000-{number:012d}" for number in range(COUNT)]


def measure_memory(name: str, step: Callable[[int], object]) -> None:
    """Print the bytes that one step leaves allocated, as the mean of ``COUNT``."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(COUNT):
        step(number)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{name},bytes,{(after - before) / COUNT:.0f}")


def measure_time(name: str, step: Callable[[int], object]) -> None:
    """Print the time of one step in microseconds, as the mean of ``COUNT``."""
    start_s = time.perf_counter()
    for number in range(COUNT):
        step(number)
    elapsed_us = (time.perf_counter() - start_s) * 1e6
    print(f"{name},microseconds,{elapsed_us / COUNT:.2f}")


def registry_steps(registry: FenceRegistry, tokens: list[str], prefix: str) -> dict:
    """Return the steps to measure by name.

    Their keys start with ``prefix``, so that two sets of steps share no key.
    """
    keys = make_keys()

    def key(number: int) -> str:
        return f"{prefix}{number}-{keys[number]}"

    def submit(number: int) -> None:
        registry.submit(NOW, key(number), tokens[number], "request-id-of-a-root")

    def dispatch(number: int) -> None:
        if registry.may_dispatch(NOW, key(number), tokens[number]):
            registry.mark_dispatched(key(number))

    def answer(number: int) -> None:
        body = number.to_bytes(8, "big") + REPLY.body[8:]
        registry.record_reply(NOW, key(number), REPLY._replace(body=body))

    def refuse(number: int) -> None:
        registry.submit(NOW, key(number), tokens[number], "request-id-of-a-root")
        registry.refuse(NOW, key(number), tokens[number], SHED_REFUSAL)

    return {
        "submit": submit,
        "dispatch": dispatch,
        "answer": answer,
        "refuse": refuse,
        "resend": submit,
    }


def bench_registry() -> None:
    """Print the memory and time of the fence registry's operations."""
    tokens = make_tokens()
    for report in (measure_memory, measure_time):
        steps = registry_steps(make_registry(), tokens, "a")
        report("key accepted", steps["submit"])
        report("key dispatched", steps["dispatch"])
        report(f"answer of {BODY_BYTES} bytes stored", steps["answer"])
        report("resend answered", steps["resend"])
        refusing = registry_steps(make_registry(), tokens, "b")
        report("key refused: tombstone", refusing["refuse"])
        report("promise of a revocation", revoke_step())
    measure_time("token decoded", lambda number: decode_fence(tokens[number]))


def revoke_step() -> Callable[[int], object]:
    """Return a step that revokes one key at a registry."""
    registry, ballots, keys = (
        make_registry(),
        BallotGenerator(host=HOST, incarnation=1),
        make_keys(),
    )

    def revoke(number: int) -> None:
        ballot = ballots.generate(NOW.wall_ms)
        registry.revoke(NOW, Revoke("r", f"c{keys[number]}", ballot))

    return revoke


def bench_revocation() -> None:
    """Print the time of a revocation over ``TARGETS`` targets."""
    targets = tuple(RevocationTarget(f"10.0.0.{n}", False) for n in range(TARGETS))

    def revoke(number: int) -> None:
        revocation = Revocation(
            request_id="r",
            key="k",
            ballot="b",
            targets=targets,
            key_lifetime_ms=600_000,
        )
        for host, _ in revocation.frames():
            revocation.on_revoked(host, Revoked("r", "tombstone", "", 600_000))
        revocation.outcome()

    measure_time(f"revocation over {TARGETS} targets at the entry node", revoke)


def bench_quarantine() -> None:
    """Print the memory and time of the operations of quarantine."""
    policy = QuarantinePolicy(max_entries=2 * COUNT)
    body = bytes(BODY_BYTES)
    for report in (measure_memory, measure_time):
        suspects = Suspects(policy=policy)
        fingerprints = [
            fingerprint(route="refund", method=b"POST", target=b"/%d" % n, body=body)
            for n in range(COUNT)
        ]
        report(
            "suspect",
            lambda n, s=suspects, m=fingerprints: s.crashed(
                NOW.now_ms, HOST, 1, [m[n]]
            ),
        )
        report(
            "suspect cleared",
            lambda n, s=suspects, m=fingerprints: s.succeeded(NOW.now_ms, m[n]),
        )
        empty_suspects = Suspects(policy=policy)
        report(
            "success recorded",
            lambda n, s=empty_suspects, m=fingerprints: s.succeeded(NOW.now_ms, m[n]),
        )
        report("check", lambda n, s=suspects, m=fingerprints: s.check(NOW.now_ms, m[n]))
    measure_time(
        f"fingerprint of {BODY_BYTES} bytes",
        lambda n: fingerprint(route="r", method=b"POST", target=b"/", body=body),
    )


def main() -> None:
    """Print all figures."""
    print("operation,unit,value")
    bench_registry()
    bench_revocation()
    bench_quarantine()


if __name__ == "__main__":
    main()
