"""Crashes of backend servers, and how they are encoded in gossip frames."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

CRASH = "crash"
CLEAR = "clear"

# A ``SuspectUpdate`` in a gossip frame: fingerprint, host, event with crash id, and the
# age of the event in milliseconds.
SuspectReport = tuple[int, str, str, int]


class CrashId(NamedTuple):
    """Identifies a crash at a host; crashes of one host compare in order of time.

    ``incarnation`` is that of the host's node, and ``number`` counts the crashes that
    this incarnation observed, from 1.
    """

    incarnation: int
    number: int


NO_CRASH = CrashId(0, 0)


class SuspectUpdate(NamedTuple):
    """A crash with ``fingerprint`` in flight, or the clearing of such crashes.

    ``event`` is ``CRASH`` for the crash ``crash_id`` at ``host``, or ``CLEAR`` for all
    crashes at ``host`` up to ``crash_id``.
    """

    fingerprint: int
    host: str
    event: str
    crash_id: CrashId


def encode_update(update: SuspectUpdate, age_ms: float) -> SuspectReport:
    """Return ``update`` in the form of an entry of ``Gossip.suspects``.

    It carries the age of the event and not its time, as hosts share no clock.
    """
    event = f"{update.event}:{update.crash_id.incarnation}.{update.crash_id.number}"
    return (update.fingerprint, update.host, event, int(age_ms))


def decode_update(report: SuspectReport) -> Result[SuspectUpdate, str]:
    """Return the update in ``report``, or a ``Failure`` with the reason."""
    fingerprint, host, text, _ = report
    event, _, number_text = text.partition(":")
    incarnation, _, number = number_text.partition(".")
    if event not in (CRASH, CLEAR) or not (
        incarnation.isdecimal() and number.isdecimal()
    ):
        return Failure(
            f"invalid event {text!r} in suspect report; expected crash:N.N or clear:N.N"
        )
    crash_id = CrashId(int(incarnation), int(number))
    return Success(SuspectUpdate(fingerprint, host, event, crash_id))
