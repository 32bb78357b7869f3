"""What may go wrong in a fleet, each as a function of it and of two free numbers."""

from jacinthshed.internal.verdict import Verdict

MAX_HOSTS = 5


def cancel(fleet, which, pick):
    """Ask for the tombstone of an open call's fence."""
    _send_again(fleet, which, "cancel")


def rejoin(fleet, which, pick):
    """Send an open call's request again, as over a new link."""
    _send_again(fleet, which, "submit")


def give_up(fleet, which, pick):
    """Stop waiting for a call's answer."""
    if calls := fleet.open_calls():
        fleet.nth(calls, which).call.result = (Verdict.MAY_HAVE_RUN, b"")


def stop_waiting_for_target(fleet, which, pick):
    """Count a target as unreachable in a revocation."""
    calls = [r for r in fleet.open_calls() if r.call.revocation is not None]
    if not calls:
        return
    resend = fleet.nth(calls, which)
    host = fleet.nth([*fleet.targets, *fleet.left], pick)
    resend.call.revocation.on_unreachable(host)
    entry = fleet.entries[resend.entry]
    fleet.send(resend.entry, entry.follow(fleet.now_ms, pick, resend.call))


def lose_fence(fleet, which, pick):
    """Let the caller forget its fence; what it sent is still on its way."""
    if (state := fleet.newest_key()) is not None:
        state.token = ""
        state.lost = True


def restart(fleet, which, pick):
    """Replace a target's process by one that remembers nothing."""
    if fleet.targets:
        fleet.restart(fleet.nth(fleet.targets, which))


def leave(fleet, which, pick):
    """Take a target off the lists; its process may only be asleep."""
    if len(fleet.targets) > 1:
        fleet.leave(fleet.nth(fleet.targets, which))


def join(fleet, which, pick):
    """Start a target on a new host."""
    hosts = len(fleet.targets) + len(fleet.left)
    if hosts < MAX_HOSTS:
        fleet.join(f"new{hosts}")


def hear(fleet, which, pick):
    """Bring an entry node's view up to date."""
    fleet.hear(fleet.nth(fleet.entries, which))


def hear_everywhere(fleet, which, pick):
    """Bring all entry nodes' views up to date."""
    for entry in fleet.entries:
        fleet.hear(entry)


def _send_again(fleet, which, step):
    calls = [r for r in fleet.open_calls() if r.call.fence is not None]
    if not calls:
        return
    resend = fleet.nth(calls, which)
    entry = fleet.entries[resend.entry]
    fleet.send(resend.entry, getattr(entry, step)(resend.call))


FAULTS = [
    cancel,
    rejoin,
    give_up,
    stop_waiting_for_target,
    lose_fence,
    restart,
    leave,
    join,
    hear,
    hear_everywhere,
    hear_everywhere,
    hear_everywhere,
]
