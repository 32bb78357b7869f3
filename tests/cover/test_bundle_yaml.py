"""Malicious and malformed YAML gives one error, little work and no exception."""

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure

from jacinthshed.internal.bundle.signing import open_signed_bundle, signed_bundle_opener
from jacinthshed.internal.bundle.store import BundleStore, OfferOutcome
from jacinthshed.internal.settings.document import MAX_DEPTH, MAX_VALUES, read_document
from tests.common.bundles import (
    ANA,
    BRUNO,
    bundle_document,
    signed_bundle,
    trusted_operators,
)

TRUSTED = trusted_operators(ANA, BRUNO, threshold=1)
LIMIT = 65_536

ALIAS_BOMB = b"a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\nd: [*c, *c]\n"
REFUSED = {
    "anchor": (ALIAS_BOMB, "line 1: expected plain values, found an anchor"),
    "alias": (b"a: *gone\n", "line 1: expected plain values, found an alias"),
    "merge": (b"a: {<<: {x: 1}}\n", "line 1: expected a text key, found <<"),
    "tag": (
        b"a: !!python/object:os.system x\n",
        "expected plain values, found the tag",
    ),
    "own tag": (b"a: !x 1\n", "found the tag !x"),
    "deep": (b"[" * 17 + b"]" * 17, f"expected at most {MAX_DEPTH} levels"),
    "very deep": (b"[" * 20_000, "expected a YAML document"),
    "wide": (b"[" + b"1," * MAX_VALUES + b"]", "expected at most"),
    "large": (b"#" * (LIMIT + 1), f"expected at most {LIMIT} bytes"),
    "twice": (b"a: 1\nb: 2\na: 3\n", "line 3: expected each key once, found a again"),
    "twice below": (b"x: {a: 1, a: 1}\n", "expected each key once, found a again"),
    "number key": (b"1: a\n", "line 1: expected a text key, found 1"),
    "truth key": (b"on: a\n", "line 1: expected a text key, found on"),
    "list key": (b"[a]: b\n", "line 1: expected a text key"),
    "two documents": (b"a: 1\n---\nb: 2\n", "expected a YAML document"),
    "broken": (b"a: [1\n", "expected a YAML document"),
    "bytes": (b"a: \xff\n", "expected text in UTF-8"),
    "control": (b"a: \x01\n", "expected a YAML document"),
    "date": (b"a: 2024-99-99\n", "expected plain YAML values"),
    "digits": (b"a: " + b"9" * 5_000 + b"\n", "expected plain YAML values"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_a_document_is_refused_with_a_reason(name):
    data, reason = REFUSED[name]
    assert reason in str(read_document(data, max_bytes=LIMIT).failure())


SPLICES = st.binary(max_size=6) | st.sampled_from(
    [b"&a ", b"*a", b"!!binary ", b"{", b"]", b"\n- ", b": ", b"\0", b"|\n", b"9" * 99]
)


@settings(max_examples=150)
@given(st.lists(st.tuples(st.integers(0, 900), SPLICES), min_size=1, max_size=4))
def test_a_damaged_bundle_never_replaces_the_one_in_force(splices):
    good = signed_bundle(bundle_document(version=3), ANA)
    store = BundleStore(open_bundle=signed_bundle_opener(TRUSTED))
    store.offer(good, "platform")
    before = store.current
    damaged = signed_bundle(bundle_document(version=4), ANA)
    for index, splice in splices:
        damaged = damaged[:index] + splice + damaged[index + len(splice) :]
    outcome = store.offer(damaged, "peer").outcome
    # The document may be unchanged by the splices; then it is the signed version 4.
    assert outcome is OfferOutcome.REFUSED or store.order.version == 4
    assert store.current == before or store.order.version == 4


def test_an_envelope_is_limited_to_the_values_that_signatures_need():
    data = b"document: x\n" + b"".join(b"k%d: 1\n" % i for i in range(9_999))
    error = str(open_signed_bundle(data, TRUSTED).failure())
    assert "expected at most 1000 values, found more" in error


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"null",
        b"[]",
        b"document: 3\n",
        b"document: x\nsignatures: {}\n",
        b"document: x\nsignatures: [3]\n",
        b"document: x\nsignatures: [{operator: ana}]\n",
        b"document: x\nother: 1\n",
    ],
)
def test_an_envelope_of_another_shape_is_refused(data):
    assert isinstance(open_signed_bundle(data, TRUSTED), Failure)
