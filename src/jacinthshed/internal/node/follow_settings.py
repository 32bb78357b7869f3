"""Follows the settings file while a node runs."""

import signal
from collections.abc import Callable
from pathlib import Path

import trio
from returns.result import Failure

from ..settings.load import load_settings
from ..settings.model import NodeSettings, changed_keys
from ..telemetry.log import decision, set_decision_share

# The file may change without a signal; a look at its time costs next to nothing.
POLL_S = 1.0
# With another of these the node is no longer the one that it was started as.
RESTART_KEYS = frozenset({"host", "service", "availability_zone", "backend", "listen"})


async def follow_settings(
    settings: NodeSettings, path: Path, leave: Callable[[], None]
) -> None:
    """Take over what changes, on SIGHUP and when the file's time changes.

    ``leave`` begins a graceful end, so that whoever started the process starts it again
    with what it can't take over while it runs.
    """
    changed_ns = _changed_ns(path)
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with trio.move_on_after(POLL_S) as waited:
                await anext(signals)
            if waited.cancelled_caught and _changed_ns(path) == changed_ns:
                continue
            changed_ns = _changed_ns(path)
            settings = reload_settings(settings, path, leave)


def reload_settings(
    settings: NodeSettings, path: Path, leave: Callable[[], None]
) -> NodeSettings:
    """Return the settings in force after the file was read again."""
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        decision("reload_refused", reason=str(loaded.failure()))
        return settings
    new = loaded.unwrap()
    changed = changed_keys(settings, new)
    set_decision_share(new.logs.sample)
    waiting = [key for key in changed if key != "logs"]
    decision("settings_reloaded", changed=changed, needs_restart=waiting)
    if not RESTART_KEYS.isdisjoint(changed):
        decision("leaving", reason="the settings make this another node")
        leave()
    return new


def _changed_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # A file that is being replaced is looked at again the next time.
        return 0
