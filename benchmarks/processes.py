"""Start and terminate the child processes of a deployment on loopback."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

END_TIMEOUT_S = 10


class Process:
    """A child process whose first line of output is a JSON document."""

    def __init__(self, *, arguments: list[str], log: Path) -> None:
        self._log_file = log.open("w")
        self.child = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log_file,
            text=True,
        )

    def first_line(self) -> dict[str, Any]:
        """Wait for the first line of output and return its JSON document.

        Raises ``RuntimeError`` when the process exits without output.
        """
        assert self.child.stdout is not None
        line = self.child.stdout.readline()
        if not line:
            raise RuntimeError(
                f"process {self.child.args} exited before it printed its first line;"
                f" see its log {self._log_file.name}"
            )
        return json.loads(line)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.child.send_signal(number)

    def end(self) -> int:
        """Terminate the process, wait for it and return its exit code.

        Kills it when it still runs ``END_TIMEOUT_S`` after ``SIGTERM``.
        """
        if self.child.poll() is None:
            self.child.terminate()
        try:
            return self.child.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()
        finally:
            self._log_file.close()


class Processes:
    """All child processes of one run; their logs are in ``folder``."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self._running: list[Process] = []

    def start(self, name: str, *arguments: str) -> Process:
        """Start ``python -m`` with ``arguments``; its log is ``{name}.log``."""
        process = Process(arguments=list(arguments), log=self.folder / f"{name}.log")
        self._running.append(process)
        return process

    def end_all(self) -> None:
        """Terminate every process that still runs and wait for all of them.

        ``SIGCONT`` goes first, as a stopped process doesn't handle ``SIGTERM``.
        """
        for process in self._running:
            if process.child.poll() is None:
                process.signal(signal.SIGCONT)
                process.child.terminate()
        for process in self._running:
            process.end()


@contextmanager
def processes(folder: Path) -> Iterator[Processes]:
    """Yield a ``Processes``; terminate all its processes when the block ends."""
    os.makedirs(folder, exist_ok=True)
    running = Processes(folder=folder)
    try:
        yield running
    finally:
        running.end_all()
