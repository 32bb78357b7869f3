"""Decisions of one target's fence registry about copies of a request."""

import msgspec
import pytest
from hypothesis import given, strategies as st

from jacinthshed.internal.fence.decisions import (
    Accepted,
    Answered,
    Cancelled,
    Join,
    Rejected,
)
from jacinthshed.internal.fence.fence import encode_fence
from jacinthshed.internal.verdict import Reason, Verdict
from jacinthshed.internal.wire.frames import Revoke

from ..common.fences import (
    EPOCH_MS,
    POLICY,
    RETENTION_MS,
    SHED,
    answer,
    instant,
    make_fence,
    make_registry,
    make_token,
)

NOW_MS = 20_000
LATER_MS = st.integers(0, RETENTION_MS)


def _verdict(decision):
    assert isinstance(decision, Rejected), decision
    return decision.refusal.verdict


def _start(registry, key, token, at_ms=NOW_MS):
    at = instant(at_ms)
    assert registry.submit(at, key, token, "first") == Accepted()
    assert registry.may_dispatch(at, key, token)
    registry.mark_dispatched(key)


def _ballot(at_ms):
    return f"{EPOCH_MS + at_ms:015d}.entry"


@given(later_ms=LATER_MS, others=st.integers(0, 12), back_ms=st.integers(0, 10_000))
def test_refused_fence_never_runs(later_ms, others, back_ms):
    registry = make_registry(max_entries=8)
    token = make_token(NOW_MS)
    at = instant(NOW_MS)
    assert registry.submit(at, "key", token, "first") == Accepted()
    final = registry.refuse(at, "key", token, SHED)
    assert final.verdict is Verdict.NOT_RUN
    for number in range(others):
        registry.cancel(at, f"other{number}", make_token(NOW_MS))
    for copy_ms in (0, later_ms):
        late = instant(NOW_MS + copy_ms, skew_ms=-back_ms)
        assert isinstance(registry.submit(late, "key", token, "copy"), Rejected)


@given(later_ms=LATER_MS, shown_ms=st.integers(0, 2 * RETENTION_MS) | st.just(0))
def test_started_key_never_starts_again(later_ms, shown_ms):
    registry = make_registry()
    token = make_token(NOW_MS)
    _start(registry, "key", token)
    registry.record_reply(instant(NOW_MS), "key", answer("first", b"done"))
    for copy_ms in (later_ms, 2 * RETENTION_MS):
        # The wall clock may have stepped to any time at which the fence looks valid.
        at = instant(NOW_MS + copy_ms, skew_ms=shown_ms - copy_ms)
        decision = registry.submit(at, "key", token, "copy")
        assert not isinstance(decision, Accepted)
        assert isinstance(decision, Answered) or (
            _verdict(decision) is not Verdict.NOT_RUN
        )


@pytest.mark.parametrize("fields", [{"incarnation": 2}, {"host": "pampa-b-1"}])
def test_fence_of_another_host_or_incarnation_never_runs(fields):
    decision = make_registry().submit(
        instant(NOW_MS), "key", make_token(NOW_MS, **fields), "first"
    )
    assert decision.refusal.reason is Reason.FENCE_INCARNATION
    assert _verdict(decision) is Verdict.MAY_HAVE_RUN


def test_process_suspended_past_expiry_does_not_dispatch():
    registry = make_registry()
    token = make_token(NOW_MS)
    assert registry.submit(instant(NOW_MS), "key", token, "first") == Accepted()
    woken = instant(NOW_MS + POLICY.lifetime_ms - POLICY.skew_ms)
    assert not registry.may_dispatch(woken, "key", token)
    assert registry.refuse(woken, "key", token, SHED).verdict is Verdict.NOT_RUN
    decision = registry.submit(woken, "key", token, "copy")
    assert isinstance(decision, Rejected)


def test_two_fences_of_one_key_run_it_once():
    registry = make_registry()
    first, second = make_token(NOW_MS), make_token(NOW_MS)
    _start(registry, "key", first)
    assert registry.submit(instant(NOW_MS), "key", second, "copy") == Join("first")
    registry.record_reply(instant(NOW_MS), "key", answer("first", b"done"))
    decision = registry.submit(instant(NOW_MS), "key", second, "copy")
    assert decision.reply.body == b"done"


def test_fence_that_joined_a_refused_run_is_refused_too():
    registry = make_registry()
    first, second = make_token(NOW_MS), make_token(NOW_MS)
    at = instant(NOW_MS)
    assert registry.submit(at, "key", first, "first") == Accepted()
    assert registry.submit(at, "key", second, "copy") == Join("first")
    registry.refuse(at, "key", first, SHED)
    assert _verdict(registry.submit(at, "key", second, "copy")) is Verdict.NOT_RUN


def test_fence_of_another_host_does_not_join_a_queued_run():
    registry = make_registry()
    at = instant(NOW_MS)
    registry.submit(at, "key", make_token(NOW_MS), "first")
    foreign = make_token(NOW_MS, host="pampa-b-1")
    assert _verdict(registry.submit(at, "key", foreign, "copy")) is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("end", ["answered", "failed"])
def test_refusal_after_the_run_ended_does_not_say_not_run(end):
    registry = make_registry()
    token = make_token(NOW_MS)
    _start(registry, "key", token)
    if end == "answered":
        registry.record_reply(instant(NOW_MS), "key", answer("first", b"done"))
    else:
        registry.record_failure(instant(NOW_MS), "key")
    final = registry.refuse(instant(NOW_MS), "key", token, SHED)
    assert final.verdict is Verdict.MAY_HAVE_RUN


def test_cancel_takes_effect_only_before_dispatch():
    registry = make_registry()
    at = instant(NOW_MS)
    queued, running, unseen = (make_token(NOW_MS) for _ in range(3))
    registry.submit(at, "queued", queued, "q")
    _start(registry, "running", running)
    assert registry.cancel(at, "queued", queued).request_id == "q"
    assert registry.cancel(at, "running", running) == Join("first")
    assert isinstance(registry.cancel(at, "unseen", unseen), Cancelled)
    for key, token in (("queued", queued), ("unseen", unseen)):
        assert not registry.may_dispatch(at, key, token)
        assert _verdict(registry.submit(at, key, token, "copy")) is Verdict.NOT_RUN


def test_full_table_refuses_new_keys_and_drops_none():
    registry = make_registry(max_entries=2)
    at = instant(NOW_MS)
    tokens = {f"k{number}": make_token(NOW_MS) for number in range(3)}
    _start(registry, "k0", tokens["k0"])
    registry.submit(at, "k1", tokens["k1"], "r")
    refusal = registry.submit(at, "k2", tokens["k2"], "r").refusal
    assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, Reason.SHED)
    registry.refuse(at, "k1", tokens["k1"], SHED)
    assert registry.submit(at, "k0", tokens["k0"], "copy") == Join("first")
    for key in ("k1", "k2"):
        assert (
            _verdict(registry.submit(at, key, tokens[key], "copy")) is Verdict.NOT_RUN
        )


@given(sizes=st.lists(st.integers(0, 1_200), min_size=1, max_size=8))
def test_dropped_answer_still_says_that_the_key_ran(sizes):
    registry = make_registry(max_bytes=1_000)
    tokens = [make_token(NOW_MS) for _ in sizes]
    for number, size in enumerate(sizes):
        _start(registry, str(number), tokens[number])
        reply = answer("first", bytes(size), allowance=2)
        registry.record_reply(instant(NOW_MS), str(number), reply)
    assert registry.sizes["answer_bytes"] <= 1_000
    for number, size in enumerate(sizes):
        copy = registry.submit(instant(NOW_MS), str(number), tokens[number], "copy")
        if isinstance(copy, Answered):
            assert copy.reply.body == bytes(size)
            assert copy.reply.allowance == 0
        else:
            assert _verdict(copy) is Verdict.RAN
    registry.submit(instant(NOW_MS + 2 * RETENTION_MS), "new", make_token(NOW_MS), "r")
    assert registry.sizes["answer_bytes"] == 0


def test_key_reused_for_another_request_is_malformed():
    registry = make_registry()
    token = make_token(NOW_MS)
    at = instant(NOW_MS)
    registry.submit(at, "key", token, "first", fingerprint=1)
    decision = registry.submit(at, "key", token, "other", fingerprint=2)
    assert decision.refusal.reason is Reason.MALFORMED


def test_replacement_of_a_key_older_than_the_process_does_not_run():
    registry = make_registry(started_ms=NOW_MS)
    at = instant(NOW_MS + 500)
    older = make_token(NOW_MS + 500, key_first_used_ms=NOW_MS - 1)
    younger = make_token(NOW_MS + 500, key_first_used_ms=NOW_MS + POLICY.skew_ms)
    assert _verdict(registry.submit(at, "old", older, "r")) is Verdict.MAY_HAVE_RUN
    assert registry.submit(at, "young", younger, "r") == Accepted()


@given(ahead_ms=st.integers(POLICY.skew_ms + 1, 10 * RETENTION_MS))
def test_fence_minted_in_the_future_is_refused_and_refuses_no_other(ahead_ms):
    registry = make_registry(max_entries=1)
    at = instant(NOW_MS)
    early = make_token(NOW_MS + ahead_ms)
    assert _verdict(registry.submit(at, "early", early, "r")) is Verdict.MAY_HAVE_RUN
    for number in range(3):
        registry.cancel(at, f"k{number}", make_token(NOW_MS + ahead_ms))
    assert registry.submit(at, "key", make_token(NOW_MS), "r") == Accepted()


def test_tombstone_of_a_fence_with_a_late_expiry_is_kept_for_a_key_lifetime():
    registry = make_registry()
    long = make_fence(NOW_MS)._replace(expires_ms=EPOCH_MS * 2)
    registry.cancel(instant(NOW_MS), "key", encode_fence(long))
    assert registry.sizes["tombstones"] == 1
    registry.cancel(instant(NOW_MS + RETENTION_MS), "other", "noise")
    assert registry.sizes["tombstones"] == 0


@given(ballots=st.permutations([1, 2, 3]), asked=st.integers(1, 3))
def test_only_the_highest_promised_ballot_runs(ballots, asked):
    registry = make_registry()
    at = instant(NOW_MS)
    for number in ballots:
        registry.revoke(at, Revoke("r", "key", _ballot(number + NOW_MS)))
    token = make_token(NOW_MS, ballot=_ballot(asked + NOW_MS))
    runs = registry.submit(at, "key", token, "r") == Accepted()
    assert runs == (asked == 3)
    bare = make_token(NOW_MS)
    assert not isinstance(registry.submit(at, "key", bare, "r"), Accepted)


def test_delayed_revocation_is_not_promised():
    registry = make_registry()
    ballot = _ballot(NOW_MS)
    late = instant(NOW_MS + 2 * RETENTION_MS)
    assert registry.revoke(late, Revoke("r", "key", ballot)).outcome == "superseded"


@given(
    age_ms=st.integers(0, 3 * RETENTION_MS),
    list_age_ms=st.integers(0, 3 * RETENTION_MS),
)
def test_records_are_complete_since_the_start_and_the_last_list_change(
    age_ms, list_age_ms
):
    registry = make_registry(started_ms=NOW_MS)
    at_ms = NOW_MS + age_ms
    revoke = Revoke("r", "key", _ballot(at_ms))
    revoked = registry.revoke(instant(at_ms), revoke, list_age_ms=list_age_ms)
    assert revoked.records_complete_ms == min(age_ms, list_age_ms, RETENTION_MS)


@pytest.mark.parametrize("longer", ["lifetime_ms", "key_lifetime_ms"])
def test_records_are_complete_for_the_old_lifetime_after_a_change(longer):
    registry = make_registry()
    at = instant(10 * RETENTION_MS)
    registry.set_policy(at, msgspec.structs.replace(POLICY, **{longer: 50_000}))
    revoked = registry.revoke(at, Revoke("r", "key", _ballot(10 * RETENTION_MS)))
    assert revoked.records_complete_ms == RETENTION_MS
