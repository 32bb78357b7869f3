"""Tests of settings that change while a node runs."""

import io
import json
import os
import signal

import pytest
import trio
import trio.testing
import yaml

from jacinthshed.internal.node.follow_settings import follow_settings, reload_settings
from jacinthshed.internal.settings.load import load_settings
from jacinthshed.internal.telemetry.log import configure_logging

BASE = {
    "host": "10.0.0.1",
    "availability_zone": "west-a",
    "service": "a",
    "listen": {"entry": "10.0.0.1:1", "peer": "10.0.0.1:3"},
    "backend": {"address": "10.0.0.1:4"},
    "store": {"address": "10.0.0.9:80"},
}


class SettingsHarness:
    """A settings file, the log lines, and how often the node was asked to leave."""

    def __init__(self, folder, stream):
        self.path = folder / "node.yaml"
        self.stream = stream
        self.leave_calls = 0
        self.write(BASE)
        self.settings = load_settings(self.path).unwrap()

    def write(self, document):
        self.path.write_text(yaml.safe_dump(document))

    def leave(self):
        self.leave_calls += 1

    def reload(self, **changes):
        self.write({**BASE, **changes})
        self.settings = reload_settings(self.settings, self.path, self.leave)

    @property
    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]


@pytest.fixture
def harness(tmp_path):
    stream = io.StringIO()
    configure_logging(stream=stream)
    yield SettingsHarness(tmp_path, stream)
    configure_logging()


def test_the_sampled_share_of_log_lines_is_applied(harness):
    harness.reload(logs={"sample": 0.5})
    (line,) = harness.lines
    assert (line["changed"], line["needs_restart"]) == (["logs"], [])
    assert harness.settings.logs.sample == 0.5
    assert not harness.leave_calls


def test_keys_that_need_a_restart_are_logged_and_a_new_service_makes_the_node_leave(
    harness,
):
    harness.reload(seeds=["10.0.0.7:3"])
    assert harness.lines[-1]["needs_restart"] == ["seeds"]
    assert not harness.leave_calls
    harness.reload(service="b")
    assert harness.lines[-1]["event"] == "leaving"
    assert harness.leave_calls == 1


def test_a_faulty_file_changes_nothing(harness):
    before = harness.settings
    harness.path.write_text("host: [")
    assert reload_settings(before, harness.path, harness.leave) is before
    assert harness.lines[-1]["event"] == "reload_refused"
    harness.path.unlink()
    assert reload_settings(before, harness.path, harness.leave) is before


def test_a_signal_and_a_changed_file_both_reload_the_settings(harness):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                follow_settings, harness.settings, harness.path, harness.leave
            )
            await trio.testing.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGHUP)
            while not harness.lines:
                await trio.sleep(0.01)
            harness.write({**BASE, "service": "c"})
            os.utime(harness.path, ns=(1, 1))
            while not harness.leave_calls:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)
    events = [line["event"] for line in harness.lines]
    assert events == ["settings_reloaded", "settings_reloaded", "leaving"]
