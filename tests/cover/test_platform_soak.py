"""Overlapping troubles of the platform, drawn by a seed."""

import pytest

from tests.common.fleet import run_virtual
from tests.common.platform_soak import Soak


@pytest.mark.parametrize("seed", range(2))
def test_promises_hold_under_overlapping_troubles(seed):
    soak = Soak(seed=seed)
    run_virtual(soak.run)
    assert soak.problems == []
