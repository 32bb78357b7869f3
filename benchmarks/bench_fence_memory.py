"""Bytes of each record of fences and quarantine, and the time of each operation.

Run as ``python -m benchmarks.bench_fence_memory``; prints CSV. The bytes are what
``tracemalloc`` counts for COUNT records, so they hold for the tables and keys too.
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
AT = Instant(now_ms=10_000_000.0, wall_ms=1_800_000_000_000)
SHED = Refusal(Verdict.NOT_RUN, Reason.SHED)
REPLY = Reply("r", 200, (), bytes(BODY_BYTES), 0, "ran", "", "", 0, 0, 0, 0.0, 0, 0)


def make_registry() -> FenceRegistry:
    return FenceRegistry(
        host=HOST,
        incarnation=1,
        started_ms=0.0,
        policy=FencePolicy(),
        max_entries=10 * COUNT,
        max_bytes=1 << 30,
    )


def make_tokens() -> list[str]:
    source = random.Random(1)
    return [
        encode_fence(
            mint(
                host=HOST,
                incarnation=1,
                wall_ms=AT.wall_ms,
                lifetime_ms=60_000,
                ballot="",
                random=source,
            )
        )
        for _ in range(COUNT)
    ]


def make_keys() -> list[str]:
    # Formatted anew for each use, as the registry holds the only copy in a node.
    return [f"018f3c1a-0000-7000-8000-{number:012d}" for number in range(COUNT)]


def measure(name: str, step: Callable[[int], object]) -> None:
    """Print the bytes that COUNT steps leave behind, and the time of one."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(COUNT):
        step(number)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{name},bytes,{(after - before) / COUNT:.0f}")


def clock(name: str, step: Callable[[int], object]) -> None:
    """Print the time of one step in microseconds."""
    begin = time.perf_counter()
    for number in range(COUNT):
        step(number)
    span_us = (time.perf_counter() - begin) * 1e6
    print(f"{name},microseconds,{span_us / COUNT:.2f}")


def run_steps(registry: FenceRegistry, tokens: list[str], prefix: str) -> dict:
    keys = make_keys()

    def key(number: int) -> str:
        return f"{prefix}{number}-{keys[number]}"

    def submit(number: int) -> None:
        registry.submit(AT, key(number), tokens[number], "request-id-of-a-root")

    def dispatch(number: int) -> None:
        if registry.may_dispatch(AT, key(number), tokens[number]):
            registry.mark_dispatched(key(number))

    def answer(number: int) -> None:
        body = number.to_bytes(8, "big") + REPLY.body[8:]
        registry.record_reply(AT, key(number), REPLY._replace(body=body))

    def refuse(number: int) -> None:
        registry.submit(AT, key(number), tokens[number], "request-id-of-a-root")
        registry.refuse(AT, key(number), tokens[number], SHED)

    return {
        "submit": submit,
        "dispatch": dispatch,
        "answer": answer,
        "refuse": refuse,
        "resend": submit,
    }


def bench_registry() -> None:
    tokens = make_tokens()
    for report in (measure, clock):
        steps = run_steps(make_registry(), tokens, "a")
        report("key accepted", steps["submit"])
        report("key dispatched", steps["dispatch"])
        report(f"answer of {BODY_BYTES} bytes held", steps["answer"])
        report("resend answered", steps["resend"])
        refusing = run_steps(make_registry(), tokens, "b")
        report("key refused: tombstone", refusing["refuse"])
        report("promise of a revocation", revoker())
    clock("token decoded", lambda number: decode_fence(tokens[number]))


def revoker() -> Callable[[int], object]:
    registry, ballots, keys = (
        make_registry(),
        BallotGenerator(host=HOST, incarnation=1),
        make_keys(),
    )

    def revoke(number: int) -> None:
        ballot = ballots.generate(AT.wall_ms)
        registry.revoke(AT, Revoke("r", f"c{keys[number]}", ballot))

    return revoke


def bench_revocation() -> None:
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

    clock(f"revocation over {TARGETS} targets at the entry node", revoke)


def bench_quarantine() -> None:
    policy = QuarantinePolicy(max_entries=2 * COUNT)
    body = bytes(BODY_BYTES)
    for report in (measure, clock):
        suspects = Suspects(policy=policy)
        marks = [
            fingerprint(route="refund", method=b"POST", target=b"/%d" % n, body=body)
            for n in range(COUNT)
        ]
        report(
            "suspect",
            lambda n, s=suspects, m=marks: s.crashed(AT.now_ms, HOST, 1, [m[n]]),
        )
        report(
            "suspect cleared",
            lambda n, s=suspects, m=marks: s.succeeded(AT.now_ms, m[n]),
        )
        fresh = Suspects(policy=policy)
        report(
            "success remembered",
            lambda n, s=fresh, m=marks: s.succeeded(AT.now_ms, m[n]),
        )
        report("check", lambda n, s=suspects, m=marks: s.check(AT.now_ms, m[n]))
    clock(
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
