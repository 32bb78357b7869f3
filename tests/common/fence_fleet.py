"""A model fleet of processes and frames in transit, with its oracle."""

from typing import NamedTuple

from jacinthshed.internal.fence.fence import decode_fence, encode_fence
from jacinthshed.internal.verdict import Verdict

from .fence_entry import EntryCall, EntryProcess
from .fence_target import TargetProcess
from .fences import POLICY


class Sent(NamedTuple):
    """A frame in transit."""

    sender: str
    receiver: str
    frame: object
    sent_ms: int


class Resend(NamedTuple):
    """One call from the caller's point of view.

    ``starts_before`` is how often the key had started when the call began.
    """

    entry: str
    call: EntryCall
    starts_before: int
    token: str


class KeyState:
    """One key, its calls, and the fence that its caller holds for it."""

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
    """Several targets and entry nodes; each event is one method call."""

    def __init__(self, *, hosts, entries):
        self.now_ms = 10 * POLICY.key_lifetime_ms
        self.starts = []
        self.sent = []
        self.keys = {}
        self.departed_targets = {}
        self.targets = {}
        for number, host in enumerate(hosts):
            self.targets[host] = self._target(host, 1, 0, skew_ms=40 * (number % 3))
        self.entries = {
            name: EntryProcess(name=name, skew_ms=-50 * (number % 2))
            for number, name in enumerate(entries)
        }
        for name in entries:
            self.update_view(name)

    def send(self, sender, frames):
        """Put frames in transit."""
        for receiver, frame in frames:
            self.sent.append(Sent(sender, receiver, frame, self.now_ms))

    def deliver(self, sent, pick=0):
        """Deliver a copy of a frame; the frame itself stays in transit."""
        if sent.receiver in self.entries:
            entry = self.entries[sent.receiver]
            frames = entry.receive(self.now_ms, pick, sent.sender, sent.frame)
            self.send(sent.receiver, frames)
            self._note_results()
            return
        target = self.targets.get(sent.receiver)
        if target is None:
            target, left_ms = self.departed_targets[sent.receiver]
            if sent.sent_ms > left_ms:
                return
        frames = target.receive(self.now_ms, sent.sender, sent.frame)
        self.send(sent.receiver, frames)

    def deliver_all(self, pick=0, *, newest=False):
        """Deliver frames, oldest or newest first, until none is in transit."""
        while self.sent:
            self.deliver(self.sent.pop(-1 if newest else 0), pick)

    def work(self, host, step):
        """Perform ``dispatch``, ``shed``, ``finish`` or ``fail`` at a target."""
        self.send(host, getattr(self.process(host), step)(self.now_ms))

    def process(self, host):
        """Return a target's process, even if the others consider it gone."""
        return self.targets.get(host) or self.departed_targets[host][0]

    def call(self, key, entry, mode, pick=0, *, announced=False):
        """Send ``key`` through ``entry`` in the mode ``own``, ``new`` or ``bare``.

        ``own`` sends the caller's fence, or a replacement when that was refused;
        ``new`` states that the key is new, and ``bare`` sends no fence.
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
        """Replace a target's process by one without any records."""
        old = self.targets[host]
        self.targets[host] = self._target(
            host, old.incarnation + 1, self.now_ms, old.skew_ms
        )

    def join(self, host):
        """Start a target on a new host and update the lists of the other targets."""
        self.targets[host] = self._target(host, 1, self.now_ms, skew_ms=80)
        self._change_lists()

    def leave(self, host):
        """Remove a target from every list; its process may only be suspended."""
        self.departed_targets[host] = (self.targets.pop(host), self.now_ms)
        self._change_lists()

    def update_view(self, entry):
        """Bring an entry node's view up to date."""
        process = self.entries[entry]
        process.view_updated_ms = self.now_ms
        process.live = {h: t.incarnation for h, t in self.targets.items()}
        for host in self.departed_targets:
            process.departed.setdefault(host, self.now_ms)

    @staticmethod
    def nth(things, index):
        """Return one of ``things``, with ``index`` wrapped to its length."""
        things = list(things)
        return things[index % len(things)]

    def newest_key(self):
        """Return the state of the key that was sent last, if any."""
        return next(reversed(self.keys.values()), None)

    def hosts_with(self, attribute):
        """Return the hosts whose ``queue`` or ``running`` isn't empty."""
        hosts = [*self.targets, *self.departed_targets]
        return [host for host in hosts if getattr(self.process(host), attribute)]

    def open_calls(self):
        """Return the calls that have no result yet."""
        calls = [r for state in self.keys.values() for r in state.resends]
        return [resend for resend in calls if resend.call.result is None]

    def count(self, key):
        """Return how often ``key`` started."""
        return sum(start.key == key for start in self.starts)

    def check(self):
        """Compare each verdict with the starts that the backend servers recorded."""
        for state in self.keys.values():
            starts = [start for start in self.starts if start.key == state.key]
            assert len(starts) <= 1, f"started twice: {starts}"
            refused = [r for r in state.resends if _verdict(r) is Verdict.NOT_RUN]
            for resend in refused:
                assert resend.starts_before == 0, (
                    "a call got not run, though the key had started"
                )
            if len(refused) == len(state.resends):
                assert not starts, "every call got not run, yet the key started"
            for resend in state.resends:
                if _verdict(resend) is Verdict.RAN:
                    assert [resend.call.result[1]] == [s.answer for s in starts]

    def _note_results(self):
        for state in self.keys.values():
            matching = [r for r in state.resends if r.token and r.token == state.token]
            if any(_verdict(resend) is Verdict.NOT_RUN for resend in matching):
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
