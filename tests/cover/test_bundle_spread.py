"""Distribution of bundles among nodes when messages are lost, repeated and reordered.

The oracle knows the order of each envelope from how the test built it. The code under
test is never asked which of two bundles is higher, or whether one is valid.
"""

import hashlib
from typing import NamedTuple

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jacinthshed.internal.bundle.signing import signed_bundle_opener
from jacinthshed.internal.bundle.store import BundleStore, OfferOutcome
from tests.common.bundles import (
    ANA,
    BRUNO,
    CARLA,
    STRANGER,
    bundle_document,
    signed_bundle,
    trusted_operators,
)

TRUSTED = trusted_operators(ANA, BRUNO, CARLA, threshold=2)
NODES = ("a1", "a2", "b1", "b2")


def new_store() -> BundleStore:
    return BundleStore(open_bundle=signed_bundle_opener(TRUSTED))


class Sample(NamedTuple):
    order: tuple[int, bytes]
    data: bytes

    def __repr__(self) -> str:
        return f"v{self.order[0]}-{self.order[1].hex()[:4]}"


def _sample(version: int, rank: int) -> Sample:
    text = bundle_document({"routes.stock.rank": rank}, version=version)
    signers = (ANA, BRUNO) if rank % 2 else (BRUNO, CARLA)
    return Sample(
        (version, hashlib.sha256(text).digest()), signed_bundle(text, *signers)
    )


# Operators signed different documents concurrently: each version exists in three forms.
VALID = [_sample(version, rank) for version in range(1, 5) for rank in (41, 42, 43)]
ORDERS = {sample.data: sample.order for sample in VALID}
HIGH = bundle_document(version=9)
INVALID = [
    HIGH,
    signed_bundle(HIGH),
    signed_bundle(HIGH, ANA),
    signed_bundle(HIGH, ANA, STRANGER),
    signed_bundle(HIGH, ANA, BRUNO).replace(b"rank: 50", b"rank: 51"),
    signed_bundle(HIGH, ANA, BRUNO)[:-40],
    signed_bundle(
        bundle_document({"routes.book.calls": ["book"]}, version=9), ANA, BRUNO
    ),
    signed_bundle(bundle_document({"extra": 1}, version=9), ANA, BRUNO),
]

nodes = st.sampled_from(NODES)
any_index = st.integers(0, 10**6)


class BundleSpread(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.stores = {
            name: BundleStore(open_bundle=signed_bundle_opener(TRUSTED))
            for name in NODES
        }
        self.highest = dict.fromkeys(NODES, (0, b""))
        self.messages: list[tuple[str, bytes]] = []
        self.is_partitioned = False
        self.published = VALID[0].data

    def offer(self, name: str, data: bytes) -> None:
        outcome = self.stores[name].offer(data, "test").outcome
        order = ORDERS.get(data)
        if order is None:
            assert outcome is OfferOutcome.REFUSED
            return
        assert (outcome is OfferOutcome.ACCEPTED) == (order > self.highest[name])
        self.highest[name] = max(self.highest[name], order)

    def reachable(self, a: str, b: str) -> bool:
        return a[0] == b[0] or not self.is_partitioned

    def send(self, a: str, b: str) -> None:
        current = self.stores[a].current
        if current is not None and self.reachable(a, b):
            self.messages.append((b, current.data))

    @rule(sample=st.sampled_from(VALID))
    def publish_any_version(self, sample: Sample) -> None:
        # The platform may return anything that it ever stored, also an older version.
        self.published = sample.data

    @rule(name=nodes)
    def read_platform(self, name: str) -> None:
        self.offer(name, self.published)

    @rule(a=nodes, b=nodes)
    def gossip(self, a: str, b: str) -> None:
        self.send(a, b)

    @rule(name=nodes, data=st.sampled_from(INVALID))
    def send_invalid(self, name: str, data: bytes) -> None:
        self.messages.append((name, data))

    @rule(pick=any_index, is_repeated=st.booleans())
    def deliver(self, pick: int, is_repeated: bool) -> None:
        if self.messages:
            index = pick % len(self.messages)
            to, data = self.messages[index] if is_repeated else self.messages.pop(index)
            self.offer(to, data)

    @rule(pick=any_index)
    def drop(self, pick: int) -> None:
        if self.messages:
            self.messages.pop(pick % len(self.messages))

    @rule(name=nodes)
    def restart_empty(self, name: str) -> None:
        self.stores[name] = new_store()
        self.highest[name] = (0, b"")

    @rule(is_partitioned=st.booleans())
    def partition_or_heal(self, is_partitioned: bool) -> None:
        self.is_partitioned = is_partitioned

    @rule()
    def heal_and_settle(self) -> None:
        self.is_partitioned = False
        while self.messages:
            self.offer(*self.messages.pop())
        highest = max(self.highest.values())
        for a in NODES:
            for b in NODES:
                self.send(a, b)
        while self.messages:
            self.offer(*self.messages.pop())
        assert set(self.highest.values()) == {highest}

    @invariant()
    def each_node_holds_the_highest_it_accepted(self) -> None:
        for name, store in self.stores.items():
            order = ORDERS[store.current.data] if store.current else (0, b"")
            assert order == self.highest[name]
            assert store.order == order


TestBundleSpread = BundleSpread.TestCase
TestBundleSpread.settings = settings(max_examples=60, stateful_step_count=40)


def test_two_bundles_of_one_version_are_reported_by_each_store_offered_both():
    first, second, third = sorted(VALID[:3])
    store = new_store()
    assert not store.offer(first.data, "platform").is_conflict
    assert store.offer(second.data, "peer").is_conflict
    assert store.offer(first.data, "peer").is_conflict
    assert [clash.version for clash in store.version_conflicts] == [1]
    assert store.offer(VALID[3].data, "peer").outcome is OfferOutcome.ACCEPTED
    assert len(store.version_conflicts) == 1


def test_a_bundle_of_another_deployment_is_refused():
    store = BundleStore(
        open_bundle=signed_bundle_opener(TRUSTED), deployment="western-lk"
    )
    offer = store.offer(VALID[0].data, "platform")
    assert offer.outcome is OfferOutcome.REFUSED
    assert "made for pampa" in offer.reason
