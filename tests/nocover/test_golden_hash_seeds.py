"""Runs the golden sessions in subprocesses with different hash seeds.

This finds sessions whose order depends on the hashes of strings.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 60


@pytest.mark.parametrize("hash_seed", [0, 1, 2, 3])
def test_sessions_do_not_depend_on_hashes(hash_seed):
    environment = {**os.environ, "PYTHONHASHSEED": str(hash_seed)}
    environment.pop("JACINTHSHED_WRITE_GOLDEN", None)
    command = [
        sys.executable,
        "-m",
        "pytest",
        "tests/cover/test_golden_node_sessions.py",
    ]
    ended = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, timeout=TIMEOUT_S
    )
    assert ended.returncode == 0, ended.stdout.decode()
