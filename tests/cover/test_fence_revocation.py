"""Keys sent without their fence, with several targets and entry nodes."""

import itertools

import pytest
from hypothesis import given, strategies as st

from jacinthshed.internal.fence.ballot import BallotGenerator
from jacinthshed.internal.fence.fence import decode_fence, encode_fence
from jacinthshed.internal.fence.key_age import expired_key_refusal
from jacinthshed.internal.fence.strategy import (
    CallerFence,
    FirstUse,
    GenerateKey,
    Refused,
    RevokeFirst,
    Unfenced,
    choose_strategy,
)
from jacinthshed.internal.verdict import Verdict

from ..common.fence_fleet import Fleet
from ..common.fences import EPOCH_MS, POLICY, RETENTION_MS, make_fence

ORDER = st.lists(st.integers(0, 11), min_size=40, max_size=40)


def _fleet(hosts="abc", entries="xy"):
    return Fleet(hosts=list(hosts), entries=list(entries))


def _verdicts(fleet, key="key"):
    results = [resend.call.result for resend in fleet.keys[key].resends]
    return [result[0] if result else None for result in results]


def _run_all(fleet):
    fleet.deliver_all()
    while hosts := fleet.hosts_with("queue"):
        for host in hosts:
            fleet.work(host, "dispatch")
        fleet.deliver_all()
    fleet.check()


def _finish_all(fleet):
    for host in fleet.hosts_with("running"):
        fleet.work(host, "finish")
    fleet.deliver_all()
    fleet.check()


@given(order=ORDER, picks=ORDER, hosts=st.sampled_from(["ab", "abc"]))
def test_key_sent_without_fence_through_two_entry_nodes_starts_once(
    order, picks, hosts
):
    fleet = _fleet(hosts)
    fleet.call("key", "x", "bare")
    fleet.call("key", "y", "bare")
    for index, pick in zip(order, picks, strict=True):
        if fleet.sent:
            sent = fleet.nth(fleet.sent, index)
            fleet.sent.remove(sent)
            fleet.deliver(sent, pick)
    _run_all(fleet)
    _finish_all(fleet)
    assert fleet.count("key") <= 1


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
@pytest.mark.parametrize("picks", list(itertools.product(range(2), repeat=2)))
@pytest.mark.parametrize("newest", [False, True])
def test_concurrent_revocations_let_only_one_fence_run(order, picks, newest):
    fleet = _fleet("ab")
    fleet.call("key", "x", "bare")
    fleet.call("key", "y", "bare")
    revokes, fleet.sent = fleet.sent, []
    for index in order:
        fleet.deliver(revokes[index])
    answers, fleet.sent = fleet.sent, []
    for sent in answers:
        fleet.deliver(sent, picks[sent.receiver == "y"])
    fleet.deliver_all(picks[1], newest=newest)
    _run_all(fleet)
    _finish_all(fleet)
    assert fleet.count("key") <= 1


def test_resend_without_fence_finds_the_run_and_gets_its_answer():
    fleet = _fleet()
    fleet.call("key", "x", "new", 1)
    _run_all(fleet)
    fleet.call("key", "y", "bare")
    fleet.deliver_all()
    _finish_all(fleet)
    assert _verdicts(fleet) == [Verdict.RAN, Verdict.RAN]


def test_first_request_without_fence_runs_after_a_revocation():
    fleet = _fleet()
    fleet.call("key", "x", "bare")
    _run_all(fleet)
    _finish_all(fleet)
    assert _verdicts(fleet) == [Verdict.RAN]


@pytest.mark.parametrize("loss", ["restart", "leave", "unreachable"])
def test_resend_after_the_record_is_lost_may_have_run(loss):
    fleet = _fleet()
    fleet.call("key", "x", "new", 1)
    _run_all(fleet)
    fleet.work("b", "finish")
    fleet.sent.clear()
    if loss == "restart":
        fleet.restart("b")
    elif loss == "leave":
        fleet.leave("b")
    fleet.update_view("y")
    fleet.call("key", "y", "bare")
    if loss == "unreachable":
        fleet.sent = [sent for sent in fleet.sent if sent.receiver != "b"]
        call = fleet.keys["key"].resends[1].call
        call.revocation.on_unreachable("b")
    _run_all(fleet)
    assert _verdicts(fleet) == [None, Verdict.MAY_HAVE_RUN]


def test_departed_target_prevents_the_proof_before_other_targets_know():
    fleet = _fleet("ab")
    fleet.call("key", "x", "new", 1)
    _run_all(fleet)
    fleet.leave("b")
    fleet.targets["a"].list_changed_ms = 0
    fleet.update_view("y")
    fleet.call("key", "y", "bare")
    _run_all(fleet)
    assert _verdicts(fleet) == [None, Verdict.MAY_HAVE_RUN]


def test_process_resumed_after_its_departure_expired_starts_nothing():
    fleet = _fleet()
    fleet.call("key", "x", "own", 1)
    fleet.deliver_all()
    fleet.leave("b")
    fleet.now_ms += 2 * RETENTION_MS
    fleet.update_view("y")
    fleet.entries["y"].departed.clear()
    fleet.call("key", "y", "bare")
    _run_all(fleet)
    assert [start.host for start in fleet.starts] == ["a"]


@pytest.mark.parametrize(
    ("lag_ms", "starts"),
    [(POLICY.skew_ms, 1), (RETENTION_MS, 1), (2 * RETENTION_MS, 2)],
)
def test_resumed_process_starts_a_key_only_if_its_clock_lags_by_the_pause(
    lag_ms, starts
):
    fleet = _fleet("ab")
    fleet.call("key", "x", "own", 1)
    fleet.deliver_all()
    fleet.targets["b"].skew_ms = -lag_ms
    fleet.leave("b")
    fleet.now_ms += 2 * RETENTION_MS
    fleet.update_view("y")
    fleet.entries["y"].departed.clear()
    fleet.call("key", "y", "bare")
    fleet.deliver_all()
    for host in fleet.hosts_with("queue"):
        fleet.work(host, "dispatch")
    # In the last case the clock lags by the whole pause, far beyond the bound on skew,
    # and the key starts twice: this is what the bound prevents.
    assert fleet.count("key") == starts


def test_new_target_unknown_to_the_entry_node_prevents_the_proof():
    fleet = _fleet("a")
    fleet.join("d")
    fleet.update_view("x")
    fleet.call("key", "x", "new", 1)
    _run_all(fleet)
    assert fleet.starts[0].host == "d"
    fleet.call("key", "y", "bare")
    _run_all(fleet)
    assert _verdicts(fleet) == [None, Verdict.MAY_HAVE_RUN]


def test_entry_node_with_an_old_list_of_targets_proves_nothing():
    fleet = _fleet("a")
    fleet.join("d")
    fleet.update_view("x")
    fleet.now_ms += 2 * RETENTION_MS
    fleet.call("key", "x", "new", 1)
    _run_all(fleet)
    assert fleet.starts[0].host == "d"
    fleet.call("key", "y", "bare")
    _run_all(fleet)
    assert _verdicts(fleet) == [None, Verdict.MAY_HAVE_RUN]


def test_replacement_minted_after_a_revocation_is_refused_by_a_restarted_target():
    fleet = _fleet("ab")
    fleet.call("key", "x", "own", 0)
    fleet.deliver_all()
    fleet.work("a", "shed")
    fleet.deliver_all()
    fleet.call("key", "y", "bare", 0)
    _run_all(fleet)
    fleet.restart("b")
    fleet.update_view("x")
    fleet.call("key", "x", "own", 1)
    _run_all(fleet)
    _finish_all(fleet)
    assert fleet.count("key") == 1


def test_fence_that_its_caller_has_is_not_replaced():
    fleet = _fleet("ab")
    fleet.call("key", "x", "new", 0, announced=True)
    fleet.deliver_all()
    fleet.call("key", "y", "own")
    fleet.work("a", "shed")
    _run_all(fleet)
    _finish_all(fleet)
    assert _verdicts(fleet) == [Verdict.NOT_RUN, Verdict.NOT_RUN]


def test_revocation_waits_for_each_target_and_ignores_duplicate_answers():
    fleet = _fleet()
    fleet.call("key", "x", "bare")
    first = fleet.sent.pop(0)
    for _ in range(3):
        fleet.deliver(first)
    for sent in list(fleet.sent)[-3:]:
        fleet.deliver(sent)
    assert fleet.keys["key"].resends[0].call.fence is None


@given(st.binary(max_size=40), st.integers(0, 200))
def test_damaged_fence_is_refused(noise, cut):
    token = encode_fence(make_fence(0))
    assert decode_fence(token).unwrap() == decode_fence(token).unwrap()
    damaged = token[: cut % len(token)] + noise.hex()
    if damaged != token:
        assert decode_fence(damaged).failure().detail


def test_ballots_of_one_node_rise_and_exceed_the_given_ballot():
    ballots = BallotGenerator(host="x", incarnation=1)
    low = ballots.generate(EPOCH_MS)
    assert ballots.generate(EPOCH_MS) > low
    ahead = BallotGenerator(host="y", incarnation=9).generate(EPOCH_MS + 500)
    assert ballots.generate(EPOCH_MS, above=ahead) > ahead


@pytest.mark.parametrize(
    ("headers", "strategy"),
    [
        ({"key": "k", "fence": "new"}, FirstUse),
        ({"key": "k", "fence": ""}, RevokeFirst),
        ({"key": "k", "fence": "noise"}, Refused),
        ({"key": "", "fence": ""}, Refused),
        ({"key": "two words", "fence": "new"}, Refused),
        ({"key": "k" * 256, "fence": "new"}, Refused),
        ({"key": "k", "fence": encode_fence(make_fence(0))}, CallerFence),
    ],
)
def test_strategy_follows_from_the_headers(headers, strategy):
    chosen = choose_strategy(idempotent=False, require_key=True, **headers)
    assert isinstance(chosen, strategy)
    idempotent = choose_strategy(idempotent=True, require_key=True, **headers)
    assert idempotent == Unfenced()


@pytest.mark.parametrize(
    ("key", "refused"),
    [
        (f"{EPOCH_MS >> 16:08x}-{EPOCH_MS & 0xFFFF:04x}-7000-8000-000000000000", True),
        (f"{EPOCH_MS >> 16:08x}-{EPOCH_MS & 0xFFFF:04x}-4000-8000-000000000000", False),
        ("order 17", False),
    ],
)
def test_key_with_a_timestamp_is_refused_past_its_lifetime(key, refused):
    at_ms = EPOCH_MS + POLICY.key_lifetime_ms
    assert expired_key_refusal(key, at_ms, POLICY) is None
    refusal = expired_key_refusal(key, at_ms + 1, POLICY)
    assert (refusal is not None) == refused
    assert refusal is None or refusal.verdict is Verdict.MAY_HAVE_RUN


def test_key_is_generated_if_the_bundle_requires_none():
    strategy = choose_strategy(idempotent=False, require_key=False, key="", fence="")
    assert strategy == GenerateKey()
