"""Bundles over several nodes that lose, repeat and reorder messages.

The oracle knows each envelope's place from how the test built it, and never asks the
code under test which of two bundles is higher or valid.
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
    place: tuple[int, bytes]
    data: bytes

    def __repr__(self) -> str:
        return f"v{self.place[0]}-{self.place[1].hex()[:4]}"


def _sample(version: int, rank: int) -> Sample:
    text = bundle_document({"routes.stock.rank": rank}, version=version)
    signers = (ANA, BRUNO) if rank % 2 else (BRUNO, CARLA)
    return Sample(
        (version, hashlib.sha256(text).digest()), signed_bundle(text, *signers)
    )


# Two operators race: each version exists in three forms.
VALID = [_sample(version, rank) for version in range(1, 5) for rank in (41, 42, 43)]
PLACES = {sample.data: sample.place for sample in VALID}
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
anything = st.integers(0, 10**6)


class BundleSpread(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.stores = {
            name: BundleStore(open_bundle=signed_bundle_opener(TRUSTED))
            for name in NODES
        }
        self.highest = dict.fromkeys(NODES, (0, b""))
        self.bag: list[tuple[str, bytes]] = []
        self.parted = False
        self.published = VALID[0].data

    def offer(self, name: str, data: bytes) -> None:
        outcome = self.stores[name].offer(data, "test").outcome
        place = PLACES.get(data)
        if place is None:
            assert outcome is OfferOutcome.REFUSED
            return
        assert (outcome is OfferOutcome.ACCEPTED) == (place > self.highest[name])
        self.highest[name] = max(self.highest[name], place)

    def reachable(self, a: str, b: str) -> bool:
        return a[0] == b[0] or not self.parted

    def send(self, a: str, b: str) -> None:
        current = self.stores[a].current
        if current is not None and self.reachable(a, b):
            self.bag.append((b, current.data))

    @rule(sample=st.sampled_from(VALID))
    def publish_or_go_stale(self, sample: Sample) -> None:
        # The platform may serve anything it ever held, also an older version.
        self.published = sample.data

    @rule(name=nodes)
    def read_platform(self, name: str) -> None:
        self.offer(name, self.published)

    @rule(a=nodes, b=nodes)
    def gossip(self, a: str, b: str) -> None:
        self.send(a, b)

    @rule(name=nodes, data=st.sampled_from(INVALID))
    def forge(self, name: str, data: bytes) -> None:
        self.bag.append((name, data))

    @rule(pick=anything, keep=st.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        if self.bag:
            index = pick % len(self.bag)
            to, data = self.bag[index] if keep else self.bag.pop(index)
            self.offer(to, data)

    @rule(pick=anything)
    def drop(self, pick: int) -> None:
        if self.bag:
            self.bag.pop(pick % len(self.bag))

    @rule(name=nodes)
    def restart_empty(self, name: str) -> None:
        self.stores[name] = new_store()
        self.highest[name] = (0, b"")

    @rule(parted=st.booleans())
    def part_or_heal(self, parted: bool) -> None:
        self.parted = parted

    @rule()
    def heal_and_settle(self) -> None:
        self.parted = False
        while self.bag:
            self.offer(*self.bag.pop())
        highest = max(self.highest.values())
        for a in NODES:
            for b in NODES:
                self.send(a, b)
        while self.bag:
            self.offer(*self.bag.pop())
        assert set(self.highest.values()) == {highest}

    @invariant()
    def each_node_holds_the_highest_it_accepted(self) -> None:
        for name, store in self.stores.items():
            place = PLACES[store.current.data] if store.current else (0, b"")
            assert place == self.highest[name]
            assert store.order == place


TestBundleSpread = BundleSpread.TestCase
TestBundleSpread.settings = settings(max_examples=60, stateful_step_count=40)


def test_two_bundles_of_one_version_are_reported_wherever_both_were_seen():
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
