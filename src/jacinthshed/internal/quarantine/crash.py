"""One death of a backend server, as nodes tell each other of it."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

CRASH = "crash"
CLEAR = "clear"

SuspectReport = tuple[int, str, str, int]


class CrashId(NamedTuple):
    """Names one death; deaths at one host compare in the order they happened.

    ``number`` counts from 1 the deaths that the incarnation of the host's node saw.
    """

    incarnation: int
    number: int


NO_CRASH = CrashId(0, 0)


class SuspectUpdate(NamedTuple):
    """A death with ``fingerprint`` in flight, or that such deaths mean nothing.

    ``event`` is ``CRASH``, or ``CLEAR`` for all deaths at the host up to ``crash_id``.
    """

    fingerprint: int
    host: str
    event: str
    crash_id: CrashId


def encode_update(news: SuspectUpdate, age_ms: float) -> SuspectReport:
    """Return ``news`` as ``Gossip.suspects`` carries it; ages need no common clock."""
    event = f"{news.event}:{news.crash_id.incarnation}.{news.crash_id.number}"
    return (news.fingerprint, news.host, event, int(age_ms))


def decode_update(report: SuspectReport) -> Result[SuspectUpdate, str]:
    """Return the news in ``report``, or what is wrong with it."""
    fingerprint, host, text, _ = report
    event, _, number_text = text.partition(":")
    incarnation, _, number = number_text.partition(".")
    if event not in (CRASH, CLEAR) or not (
        incarnation.isdecimal() and number.isdecimal()
    ):
        return Failure(f"unknown event {text!r}; expected crash:N.N or clear:N.N")
    crash_id = CrashId(int(incarnation), int(number))
    return Success(SuspectUpdate(fingerprint, host, event, crash_id))
