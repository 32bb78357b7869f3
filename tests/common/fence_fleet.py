"""A fleet as a dict of processes and a list of frames, and the oracle over it."""

from typing import NamedTuple

from jacinthshed.internal.fence.fence import decode_fence, encode_fence
from jacinthshed.internal.verdict import Verdict

from .fence_entry import EntryCall, EntryProcess
from .fence_target import TargetProcess
from .fences import POLICY


class Sent(NamedTuple):
    """A frame on its way."""

    sender: str
    receiver: str
    frame: object
    sent_ms: int


class Resend(NamedTuple):
    """One call as its caller sees it.

    ``starts_before`` counts how often the key had started when the call began.
    """

    entry: str
    call: EntryCall
    starts_before: int
    token: str


class KeyState:
    """One key and what its caller holds for it."""

    def __init__(self, *, key, first_ms):
        self.key = key
        self.first_ms = first_ms
        self.resends = []
        self.token = ""
        self.key_first_used_ms = None
        self.lost = False

    @property
    def holds_fence(self):
        """Whether the caller has a fence, or the right to replace a refused one."""
        return not self.lost and bool(self.token or self.key_first_used_ms)

    def may_resend(self, now_ms):
        """Whether the key's lifetime leaves time for another call."""
        age_ms = now_ms - self.first_ms
        return age_ms < POLICY.key_lifetime_ms - POLICY.skew_ms


class Fleet:
    """Several targets and entry nodes; nothing happens but by a method call."""

    def __init__(self, *, hosts, entries):
        self.now_ms = 10 * POLICY.key_lifetime_ms
        self.starts = []
        self.sent = []
        self.keys = {}
        self.left = {}
        self.targets = {}
        for number, host in enumerate(hosts):
            self.targets[host] = self._target(host, 1, 0, skew_ms=40 * (number % 3))
        self.entries = {
            name: EntryProcess(name=name, skew_ms=-50 * (number % 2))
            for number, name in enumerate(entries)
        }
        for name in entries:
            self.hear(name)

    def send(self, sender, frames):
        """Put frames on their way."""
        for receiver, frame in frames:
            self.sent.append(Sent(sender, receiver, frame, self.now_ms))

    def deliver(self, sent, pick=0):
        """Hand a frame to its receiver; whether it stays on its way is up to others."""
        if sent.receiver in self.entries:
            entry = self.entries[sent.receiver]
            frames = entry.receive(self.now_ms, pick, sent.sender, sent.frame)
            self.send(sent.receiver, frames)
            self._note_results()
            return
        target = self.targets.get(sent.receiver)
        if target is None:
            target, left_ms = self.left[sent.receiver]
            if sent.sent_ms > left_ms:
                return
        frames = target.receive(self.now_ms, sent.sender, sent.frame)
        self.send(sent.receiver, frames)

    def deliver_all(self, pick=0, *, newest=False):
        """Deliver frames, the oldest or the newest first, until none is left."""
        while self.sent:
            self.deliver(self.sent.pop(-1 if newest else 0), pick)

    def work(self, host, step):
        """Let a target do ``dispatch``, ``shed``, ``finish`` or ``fail``."""
        self.send(host, getattr(self.process(host), step)(self.now_ms))

    def process(self, host):
        """Return a target's process, also one that the others believe gone."""
        return self.targets.get(host) or self.left[host][0]

    def call(self, key, entry, mode, pick=0, *, announced=False):
        """Send ``key`` through ``entry``: with its ``own`` fence, ``new`` or ``bare``.

        A caller that holds its key's fence gets another when that one was refused.
        """
        state = self.keys.setdefault(key, KeyState(key=key, first_ms=self.now_ms))
        if mode == "own" and not state.token:
            fence = self.entries[entry].mint(
                self.now_ms, pick, key_first_used_ms=state.key_first_used_ms
            )
            state.token = encode_fence(fence) if fence else ""
            if not state.token:
                return
        request_id = f"{key}.{len(state.resends)}"
        call = EntryCall(
            request_id=request_id,
            key=key,
            arrived_ms=self.now_ms,
            announced=announced,
        )
        token = state.token if mode == "own" else ""
        before = self.count(key)
        state.resends.append(Resend(entry, call, before, token))
        process = self.entries[entry]
        frames = process.start(self.now_ms, pick, call, mode, token)
        if mode == "new" and announced and call.fence and not state.lost:
            state.token = encode_fence(call.fence)
        self.send(entry, frames)

    def restart(self, host):
        """Replace a target's process by one that remembers nothing."""
        old = self.targets[host]
        self.targets[host] = self._target(
            host, old.incarnation + 1, self.now_ms, old.skew_ms
        )

    def join(self, host):
        """Start a target on a new host and tell the other targets of it."""
        self.targets[host] = self._target(host, 1, self.now_ms, skew_ms=80)
        self._change_lists()

    def leave(self, host):
        """Take a target off every list; its process may only be asleep."""
        self.left[host] = (self.targets.pop(host), self.now_ms)
        self._change_lists()

    def hear(self, entry):
        """Bring an entry node's view up to date."""
        process = self.entries[entry]
        process.heard_ms = self.now_ms
        process.live = {h: t.incarnation for h, t in self.targets.items()}
        for host in self.left:
            process.departed.setdefault(host, self.now_ms)

    @staticmethod
    def nth(things, index):
        """Return one of ``things``, whatever the index."""
        things = list(things)
        return things[index % len(things)]

    def newest_key(self):
        """Return the state of the key that was sent last, if any."""
        return next(reversed(self.keys.values()), None)

    def hosts_with(self, attribute):
        """Return the hosts whose ``queue`` or ``running`` isn't empty."""
        hosts = [*self.targets, *self.left]
        return [host for host in hosts if getattr(self.process(host), attribute)]

    def open_calls(self):
        """Return the calls that have no result yet."""
        calls = [r for state in self.keys.values() for r in state.resends]
        return [resend for resend in calls if resend.call.result is None]

    def count(self, key):
        """Return how often ``key`` started."""
        return sum(start.key == key for start in self.starts)

    def check(self):
        """Compare each verdict with what the backend servers noted."""
        for state in self.keys.values():
            starts = [start for start in self.starts if start.key == state.key]
            assert len(starts) <= 1, f"started twice: {starts}"
            refused = [r for r in state.resends if _verdict(r) is Verdict.NOT_RUN]
            for resend in refused:
                assert resend.starts_before == 0, "not run, though it had started"
            if len(refused) == len(state.resends):
                assert not starts, "every call was told not run, yet it started"
            for resend in state.resends:
                if _verdict(resend) is Verdict.RAN:
                    assert [resend.call.result[1]] == [s.answer for s in starts]

    def _note_results(self):
        for state in self.keys.values():
            held = [r for r in state.resends if r.token and r.token == state.token]
            if any(_verdict(resend) is Verdict.NOT_RUN for resend in held):
                state.key_first_used_ms = (
                    decode_fence(state.token).unwrap().key_first_used_ms
                )
                state.token = ""

    def _change_lists(self):
        for target in self.targets.values():
            target.list_changed_ms = self.now_ms

    def _target(self, host, incarnation, started_ms, skew_ms):
        return TargetProcess(
            host=host,
            incarnation=incarnation,
            started_ms=started_ms,
            skew_ms=skew_ms,
            starts=self.starts,
        )


def _verdict(resend):
    return resend.call.result[0] if resend.call.result else None
