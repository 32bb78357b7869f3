"""Records sessions of a fleet as text, in chronological order.

Each line begins with the virtual time in milliseconds and the name of the actor.
"""

from collections import Counter

import trio

TIME_WIDTH = 9
NAME_WIDTH = 12
INDENT = " " * (TIME_WIDTH + NAME_WIDTH + 3)


class SessionRecorder:
    """Records decision lines, starts at backend servers and callers' exchanges."""

    def __init__(self):
        self.lines = []
        self._connections = 0

    def note(self, name, text):
        """Record ``text`` for ``name`` at the current time."""
        time = f"{trio.current_time() * 1_000:{TIME_WIDTH}.1f}"
        self.lines.append(f"{time} {name:<{NAME_WIDTH}} {text}".rstrip())

    def on_decision(self, host, event, fields):
        """Record one decision line of a node."""
        shown = " ".join(
            f"{name}={_format_value(value)}" for name, value in fields.items()
        )
        self.note(host, f"{event} {shown}")

    def start_counter(self, host):
        """Return a counter of starts that records each of them."""
        return _RecordedStarts(self, host)

    def wrap_network(self, network, name):
        """Return ``network``, recording all data of its connections."""

        async def connect(address):
            self._connections += 1
            label = f"{name}#{self._connections}"
            self.note(label, f"connect {address}")
            return _RecordedStream(self, label, await network.connect(address))

        return network._replace(connect=connect)

    def note_message(self, label, mark, data):
        """Record bytes sent to (``>``) or received from (``<``) an entry."""
        first, *rest = data.decode("latin-1").replace("\r\n", "\n").split("\n")
        self.note(label, f"{mark} {first}")
        self.lines.extend(f"{INDENT}{line}" for line in rest if line)


class _RecordedStarts(Counter):
    def __init__(self, recorder, host):
        super().__init__()
        self._recorder = recorder
        self._host = host

    def __setitem__(self, key, count):
        super().__setitem__(key, count)
        self._recorder.note(self._host, f"(backend) start {count} of key {key or '-'}")


class _RecordedStream(trio.abc.Stream):
    def __init__(self, recorder, label, stream):
        self._recorder = recorder
        self._label = label
        self._stream = stream
        self.socket = stream.socket

    async def send_all(self, data):
        self._recorder.note_message(self._label, ">", bytes(data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self._stream.receive_some(max_bytes)
        if data:
            self._recorder.note_message(self._label, "<", bytes(data))
        else:
            self._recorder.note(self._label, "< (closed)")
        return data

    async def aclose(self):
        await self._stream.aclose()


def _format_value(value):
    if isinstance(value, tuple | list):
        return ",".join(map(str, value)) or "-"
    text = str(value)
    return repr(text) if " " in text else text or "-"
