"""The soak of ``tests/cover/test_platform_soak.py`` with more seeds."""

import pytest

from tests.common.fleet import run_virtual
from tests.common.platform_soak import Soak


@pytest.mark.parametrize("seed", range(2, 60))
def test_promises_hold_under_overlapping_troubles(seed):
    soak = Soak(seed=seed)
    run_virtual(soak.run)
    assert soak.problems == []
