"""Reloads the settings file while a node runs."""

import signal
from collections.abc import Callable
from pathlib import Path

import trio
from returns.result import Failure

from ..settings.load import load_settings
from ..settings.model import NodeSettings, changed_keys
from ..telemetry.log import log_decision, set_decision_share

# The file may change without a signal; reading its modification time is cheap.
POLL_S = 1.0
# A change of one of these makes it another node, so the process has to restart.
IDENTITY_KEYS = frozenset({"host", "service", "availability_zone", "backend", "listen"})


async def follow_settings(
    settings: NodeSettings, path: Path, leave: Callable[[], None]
) -> None:
    """Reload the settings on SIGHUP and when the file's modification time changes.

    ``leave`` begins a graceful shutdown, after which the process supervisor is expected
    to start the node again with the settings that need a restart.
    """
    modified_ns = _modified_ns(path)
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with trio.move_on_after(POLL_S) as waited:
                await anext(signals)
            if waited.cancelled_caught and _modified_ns(path) == modified_ns:
                continue
            modified_ns = _modified_ns(path)
            settings = reload_settings(settings, path, leave)


def reload_settings(
    settings: NodeSettings, path: Path, leave: Callable[[], None]
) -> NodeSettings:
    """Read the file again and return the settings in force.

    A faulty file is logged and changes nothing.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        log_decision("reload_refused", reason=str(loaded.failure()))
        return settings
    new = loaded.unwrap()
    changed = changed_keys(settings, new)
    set_decision_share(new.logs.sample)
    restart_keys = [key for key in changed if key != "logs"]
    log_decision("settings_reloaded", changed=changed, needs_restart=restart_keys)
    if not IDENTITY_KEYS.isdisjoint(changed):
        log_decision("leaving", reason="a setting that identifies the node has changed")
        leave()
    return new


def _modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file may be being replaced; the next poll checks it again.
        return 0
