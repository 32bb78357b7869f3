"""Records HTTP sessions as text, one marked line for each line sent or received."""

import trio


def marked_lines(mark, data):
    """Return the lines of ``data``, each prefixed with ``mark``."""
    text = data.decode("latin-1").replace("\r\n", "\n")
    return [f"{mark} {line}".rstrip() for line in text.split("\n")]


class RecordingStream(trio.abc.Stream):
    """Records the data sent and received on another stream."""

    def __init__(self, *, stream, lines):
        self._stream = stream
        self._lines = lines

    async def send_all(self, data):
        self._lines.extend(marked_lines(">", data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self._stream.receive_some(max_bytes)
        self._lines.extend(marked_lines("<", bytes(data)) if data else ["< (closed)"])
        return data

    async def aclose(self):
        await self._stream.aclose()


def recording_network(network, lines):
    """Return ``network``, recording all data of its connections in ``lines``."""

    async def connect(address):
        lines.append(f"connect to {address}")
        return RecordingStream(stream=await network.connect(address), lines=lines)

    return network._replace(connect=connect)
