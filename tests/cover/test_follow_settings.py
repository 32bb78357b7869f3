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


class Followed:
    """A settings file, the log lines, and how often the node was asked to leave."""

    def __init__(self, folder, stream):
        self.path = folder / "node.yaml"
        self.stream = stream
        self.left = 0
        self.write(BASE)
        self.settings = load_settings(self.path).unwrap()

    def write(self, document):
        self.path.write_text(yaml.safe_dump(document))

    def leave(self):
        self.left += 1

    def reload(self, **changes):
        self.write({**BASE, **changes})
        self.settings = reload_settings(self.settings, self.path, self.leave)

    @property
    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]


@pytest.fixture
def followed(tmp_path):
    stream = io.StringIO()
    configure_logging(stream=stream)
    yield Followed(tmp_path, stream)
    configure_logging()


def test_the_sampled_share_of_log_lines_is_applied(followed):
    followed.reload(logs={"sample": 0.5})
    (line,) = followed.lines
    assert (line["changed"], line["needs_restart"]) == (["logs"], [])
    assert followed.settings.logs.sample == 0.5
    assert not followed.left


def test_keys_that_need_a_restart_are_logged_and_a_new_service_makes_the_node_leave(
    followed,
):
    followed.reload(seeds=["10.0.0.7:3"])
    assert followed.lines[-1]["needs_restart"] == ["seeds"]
    assert not followed.left
    followed.reload(service="b")
    assert followed.lines[-1]["event"] == "leaving"
    assert followed.left == 1


def test_a_faulty_file_changes_nothing(followed):
    before = followed.settings
    followed.path.write_text("host: [")
    assert reload_settings(before, followed.path, followed.leave) is before
    assert followed.lines[-1]["event"] == "reload_refused"
    followed.path.unlink()
    assert reload_settings(before, followed.path, followed.leave) is before


def test_a_signal_and_a_changed_file_both_reload_the_settings(followed):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                follow_settings, followed.settings, followed.path, followed.leave
            )
            await trio.testing.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGHUP)
            while not followed.lines:
                await trio.sleep(0.01)
            followed.write({**BASE, "service": "c"})
            os.utime(followed.path, ns=(1, 1))
            while not followed.left:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)
    events = [line["event"] for line in followed.lines]
    assert events == ["settings_reloaded", "settings_reloaded", "leaving"]
