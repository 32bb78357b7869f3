"""Sessions of real nodes, compared with those recorded in ``tests/golden``."""

import pytest

from tests.common.golden import check_golden
from tests.common.node_sessions import SESSIONS, run_session


@pytest.mark.parametrize("name", SESSIONS)
def test_sessions_of_nodes(name):
    lines = run_session(SESSIONS[name])
    assert run_session(SESSIONS[name]) == lines
    check_golden(f"node_{name}.txt", lines)
