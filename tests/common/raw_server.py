"""A server that disturbs an HTTP exchange in a scripted way."""

from enum import Enum

import trio


class ServerAction(Enum):
    """What the server does with one request."""

    ANSWER = "answers with a length"
    ANSWER_CHUNKED = "answers in chunks"
    ANSWER_UNTIL_CLOSE = "answers without a length and closes"
    INTERIM_FIRST = "sends an interim response, then answers"
    ANSWER_AND_JUNK = "answers, then sends an unsolicited second response"
    ANSWER_AND_CLOSE = "answers and closes without announcing it"
    LATE = "answers after the client's timeout"
    STALLED = "sends the last byte of the body after the client's timeout"
    PART = "closes inside the body"
    PART_OF_CHUNKS = "closes inside the last chunk"
    CLOSE = "closes without an answer"
    NONSENSE = "sends bytes that are not HTTP"


def counted(token):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(token), token)


def chunked(token):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(token), token)


class RawServer:
    """Answers requests for ``/TOKEN`` as ``script`` says, then with ``ANSWER``.

    ``seen`` holds the tokens received, in order. ``late_s`` delays ``LATE`` and
    ``STALLED`` responses.
    """

    def __init__(self, *, script, late_s):
        self.script = iter(script)
        self.late_s = late_s
        self.seen = []

    async def serve(self, stream):
        received = b""
        while True:
            data = await stream.receive_some()
            if not data:
                return
            received += data
            while b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                token = head.split(b" ")[1].removeprefix(b"/")
                self.seen.append(token)
                action = next(self.script, ServerAction.ANSWER)
                if not await self._answer(stream, token, action):
                    return

    async def _answer(self, stream, token, action):
        """Respond to one request; return whether the connection stays open."""
        if action is ServerAction.LATE:
            await trio.sleep(self.late_s)
        if action is ServerAction.STALLED:
            await stream.send_all(counted(token)[:-1])
            await trio.sleep(self.late_s)
            await stream.send_all(token[-1:])
            return True
        data = {
            ServerAction.ANSWER_CHUNKED: chunked(token),
            ServerAction.ANSWER_UNTIL_CLOSE: b"HTTP/1.1 200 OK\r\n\r\n" + token,
            ServerAction.INTERIM_FIRST: b"HTTP/1.1 103 \r\n\r\n" + counted(token),
            ServerAction.ANSWER_AND_JUNK: counted(token) + counted(b"junk"),
            ServerAction.PART: counted(token)[:-1],
            ServerAction.PART_OF_CHUNKS: chunked(token)[:-2],
            ServerAction.CLOSE: b"",
            ServerAction.NONSENSE: b"220 ready\r\n\r\n",
        }.get(action, counted(token))
        await stream.send_all(data)
        return action in (
            ServerAction.ANSWER,
            ServerAction.ANSWER_CHUNKED,
            ServerAction.INTERIM_FIRST,
            ServerAction.ANSWER_AND_JUNK,
            ServerAction.LATE,
        )


COMPLETE_RESPONSES = (
    ServerAction.ANSWER,
    ServerAction.ANSWER_CHUNKED,
    ServerAction.ANSWER_UNTIL_CLOSE,
    ServerAction.INTERIM_FIRST,
    ServerAction.ANSWER_AND_JUNK,
    ServerAction.ANSWER_AND_CLOSE,
)
