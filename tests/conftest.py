"""Makes every test deterministic and deselects the known failures."""

from pathlib import Path

import hypothesis
import pytest
import trio

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
SCHEDULING_SEED = 7

hypothesis.settings.register_profile(
    "deterministic", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("deterministic")


def _known_red():
    lines = KNOWN_RED_PATH.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split(" | ")[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    known = _known_red()
    config.known_red_seen = [
        known[item.nodeid] for item in items if item.nodeid in known
    ]
    config.hook.pytest_deselected(items=[i for i in items if i.nodeid in known])
    items[:] = [item for item in items if item.nodeid not in known]


def pytest_terminal_summary(terminalreporter, config):
    """Print the entries of the deselected tests, so that they stay visible."""
    for entry in getattr(config, "known_red_seen", []):
        terminalreporter.write_line(f"KNOWN RED: {entry}")


@pytest.fixture(autouse=True)
def seeded_scheduling(monkeypatch):
    """Make the order of trio's run queue repeatable."""
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
    trio._core._run._r.seed(SCHEDULING_SEED)
