"""Streams with the failures of a network."""

import trio


class SilenceableStream(trio.abc.HalfCloseableStream):
    """A stream that can go silent: what is sent is lost, and nothing comes.

    Neither end is told, as when something between them has lost the connection.
    """

    def __init__(self, stream, ends):
        self.ends = ends
        self.silent = False
        self._stream = stream

    @property
    def socket(self):
        """This stream, for whoever asks a socket if there is anything to read."""
        return self

    def is_readable(self):
        """Return whether the other end has closed or sent something."""
        incoming = self._stream.receive_stream._incoming
        return not self.silent and (incoming._closed or bool(incoming._data))

    def reset(self):
        """Close this end at once, as a reset does."""
        self._stream.send_stream.close()
        self._stream.receive_stream.close()

    async def send_all(self, data):
        if self.silent:
            await trio.lowlevel.checkpoint()
            return
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self):
        if not self.silent:
            await self._stream.send_eof()

    async def receive_some(self, max_bytes=None):
        data = await self._stream.receive_some(max_bytes)
        if self.silent:
            await trio.sleep_forever()
        return data

    async def aclose(self):
        if self.silent:
            # The other end must not hear of it.
            return
        await self._stream.aclose()
