"""Builders of work and policies for the admission tests."""

from hypothesis import strategies as st

from jacinthshed.internal.admission import ROOT_HASH_SPAN, Work
from jacinthshed.internal.bundle.model import AdmissionPolicy

FAR_MS = 1e12

ranks = st.integers(1, 4)
invested_counts = st.integers(0, 2)
root_hashes = st.sampled_from([0, 1, ROOT_HASH_SPAN // 2, ROOT_HASH_SPAN - 1])


def fixed_limit_policy(slots):
    """Return a policy under which the limit always equals ``slots``."""
    return AdmissionPolicy(min_limit=slots)


def work(ticket, *, rank=1, invested=0, root_hash=0, deadline_at_ms=FAR_MS):
    """Return work of the highest rank with a far deadline, unless overridden."""
    return Work(ticket, rank, invested, root_hash, deadline_at_ms)
