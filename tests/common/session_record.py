"""Sessions of a fleet as text, in the order in which things happened.

Each line begins with the virtual time in milliseconds and who did it.
"""

from collections import Counter

import trio

TIME_WIDTH = 9
NAME_WIDTH = 12
INDENT = " " * (TIME_WIDTH + NAME_WIDTH + 3)


class SessionRecord:
    """Notes decision lines, starts at backend servers and callers' exchanges."""

    def __init__(self):
        self.lines = []
        self._connections = 0

    def note(self, name, text):
        """Note that ``name`` did ``text`` now."""
        time = f"{trio.current_time() * 1_000:{TIME_WIDTH}.1f}"
        self.lines.append(f"{time} {name:<{NAME_WIDTH}} {text}".rstrip())

    def decided(self, host, event, fields):
        """Note one decision line of a node."""
        shown = " ".join(f"{name}={_shown(value)}" for name, value in fields.items())
        self.note(host, f"{event} {shown}")

    def starts(self, host):
        """Return a count of starts that notes each of them."""
        return _NotedStarts(self, host)

    def network(self, network, name):
        """Return ``network`` with all that its connections carry noted."""

        async def connect(address):
            self._connections += 1
            label = f"{name}#{self._connections}"
            self.note(label, f"connect {address}")
            return _NotedStream(self, label, await network.connect(address))

        return network._replace(connect=connect)

    def message(self, label, mark, data):
        """Note bytes on the way to (``>``) or from (``<``) an entry."""
        first, *rest = data.decode("latin-1").replace("\r\n", "\n").split("\n")
        self.note(label, f"{mark} {first}")
        self.lines.extend(f"{INDENT}{line}" for line in rest if line)


class _NotedStarts(Counter):
    def __init__(self, record, host):
        super().__init__()
        self._record = record
        self._host = host

    def __setitem__(self, key, count):
        super().__setitem__(key, count)
        self._record.note(self._host, f"(backend) start {count} of key {key or '-'}")


class _NotedStream(trio.abc.Stream):
    def __init__(self, record, label, stream):
        self._record = record
        self._label = label
        self._stream = stream
        self.socket = stream.socket

    async def send_all(self, data):
        self._record.message(self._label, ">", bytes(data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self._stream.receive_some(max_bytes)
        if data:
            self._record.message(self._label, "<", bytes(data))
        else:
            self._record.note(self._label, "< (closed)")
        return data

    async def aclose(self):
        await self._stream.aclose()


def _shown(value):
    if isinstance(value, tuple | list):
        return ",".join(map(str, value)) or "-"
    text = str(value)
    return repr(text) if " " in text else text or "-"
