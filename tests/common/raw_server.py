"""A server that breaks the exchange in one of many ways."""

from enum import Enum

import trio


class Conduct(Enum):
    """What the server does with one request."""

    ANSWER = "answers with a length"
    ANSWER_CHUNKED = "answers in chunks"
    ANSWER_UNTIL_CLOSE = "answers without a length and closes"
    INTERIM_FIRST = "sends an interim response, then answers"
    ANSWER_AND_JUNK = "answers and sends a second response unasked"
    ANSWER_AND_CLOSE = "answers and closes without saying so"
    LATE = "answers after the client's timeout"
    STALLED = "sends the last byte of the body after the client's timeout"
    PART = "closes inside the body"
    PART_OF_CHUNKS = "closes inside the last chunk"
    CLOSE = "closes without an answer"
    NONSENSE = "sends something else than HTTP"


def counted(token):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(token), token)


def chunked(token):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(token), token)


class RawServer:
    """Reads requests whose target is ``/TOKEN``; keeps the tokens in ``seen``."""

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
                conduct = next(self.script, Conduct.ANSWER)
                if not await self._answer(stream, token, conduct):
                    return

    async def _answer(self, stream, token, conduct):
        """Answer; return whether the connection stays open."""
        if conduct is Conduct.LATE:
            await trio.sleep(self.late_s)
        if conduct is Conduct.STALLED:
            await stream.send_all(counted(token)[:-1])
            await trio.sleep(self.late_s)
            await stream.send_all(token[-1:])
            return True
        data = {
            Conduct.ANSWER_CHUNKED: chunked(token),
            Conduct.ANSWER_UNTIL_CLOSE: b"HTTP/1.1 200 OK\r\n\r\n" + token,
            Conduct.INTERIM_FIRST: b"HTTP/1.1 103 \r\n\r\n" + counted(token),
            Conduct.ANSWER_AND_JUNK: counted(token) + counted(b"junk"),
            Conduct.PART: counted(token)[:-1],
            Conduct.PART_OF_CHUNKS: chunked(token)[:-2],
            Conduct.CLOSE: b"",
            Conduct.NONSENSE: b"220 ready\r\n\r\n",
        }.get(conduct, counted(token))
        await stream.send_all(data)
        return conduct in (
            Conduct.ANSWER,
            Conduct.ANSWER_CHUNKED,
            Conduct.INTERIM_FIRST,
            Conduct.ANSWER_AND_JUNK,
            Conduct.LATE,
        )


GOOD = (
    Conduct.ANSWER,
    Conduct.ANSWER_CHUNKED,
    Conduct.ANSWER_UNTIL_CLOSE,
    Conduct.INTERIM_FIRST,
    Conduct.ANSWER_AND_JUNK,
    Conduct.ANSWER_AND_CLOSE,
)
