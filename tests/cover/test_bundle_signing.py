"""Signatures of bundles: which envelopes are opened, and why others are refused."""

import base64

import yaml
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from jacinthshed.internal.bundle.signing import open_signed_bundle
from jacinthshed.internal.settings.model import OperatorSettings
from tests.common.bundles import (
    ANA,
    BRUNO,
    CARLA,
    STRANGER,
    bundle_document,
    signed_bundle,
    trusted_operators,
)

OPERATORS = (ANA, BRUNO, CARLA, STRANGER)
TEXT = bundle_document()


@settings(max_examples=60)
@given(
    signers=st.lists(st.sampled_from(OPERATORS), max_size=6),
    damaged=st.sets(st.sampled_from(OPERATORS)),
    threshold=st.integers(1, 3),
)
def test_an_envelope_opens_when_enough_distinct_trusted_operators_signed(
    signers, damaged, threshold
):
    envelope = yaml.safe_load(signed_bundle(TEXT, *signers))
    damaged_names = {one.name for one in damaged}
    for entry in envelope["signatures"]:
        if entry["operator"] in damaged_names:
            entry["signature"] = entry["signature"][::-1]
    # Every signature is present twice, and must count once.
    envelope["signatures"] += [dict(entry) for entry in envelope["signatures"]]
    trusted = trusted_operators(ANA, BRUNO, CARLA, threshold=threshold)

    opened = open_signed_bundle(yaml.safe_dump(envelope).encode(), trusted)

    valid_names = {one.name for one in signers} - damaged_names - {"stranger"}
    assert isinstance(opened, Success) == (len(valid_names) >= threshold)


def test_two_names_for_one_key_are_one_signer():
    ana = trusted_operators(ANA, threshold=1).keys["ana"]
    trusted = OperatorSettings(keys={"ana": ana, "bruno": ana}, threshold=2)
    data = signed_bundle(TEXT, ANA, ANA._replace(name="bruno"))
    assert isinstance(open_signed_bundle(data, trusted), Failure)


def test_a_signature_without_the_prefix_does_not_count():
    envelope = yaml.safe_load(signed_bundle(TEXT, ANA))
    raw = ANA.key.sign(TEXT)
    envelope["signatures"][0]["signature"] = base64.b64encode(raw).decode()
    data = yaml.safe_dump(envelope).encode()
    assert isinstance(
        open_signed_bundle(data, trusted_operators(ANA, threshold=1)), Failure
    )


def test_the_error_names_the_unknown_operator_and_the_bad_signature():
    data = signed_bundle(TEXT, ANA, STRANGER).replace(b"version: 1", b"version: 2")
    error = str(
        open_signed_bundle(data, trusted_operators(ANA, BRUNO, threshold=2)).failure()
    )
    assert "expected valid signatures of 2 trusted operators, found 0" in error
    assert "signatures[0].signature: expected a signature by ana" in error
    assert "signatures[1].operator: expected a trusted operator" in error
    assert "'stranger'" in error
    assert "jacinthshed bundle sign" in error


def test_the_envelope_preserves_any_document_text():
    text = b"a: 1  \n\tx: \xc3\xa9\r\n# end \xe2\x80\xa8 \n\n\n"
    envelope = yaml.safe_load(signed_bundle(text, ANA))
    assert envelope["document"].encode() == text
