"""Faults to inject into a fleet; ``which`` and ``pick`` are arbitrary indexes."""

from jacinthshed.internal.verdict import Verdict

MAX_HOSTS = 5


def cancel(fleet, which, pick):
    """Cancel the fence of an open call."""
    _send_again(fleet, which, "cancel")


def resend_request(fleet, which, pick):
    """Resend the request of an open call, as over a new link."""
    _send_again(fleet, which, "submit")


def give_up(fleet, which, pick):
    """End an open call with the verdict *may have run*."""
    if calls := fleet.open_calls():
        fleet.nth(calls, which).call.result = (Verdict.MAY_HAVE_RUN, b"")


def stop_waiting_for_target(fleet, which, pick):
    """Mark a target as unreachable in a revocation."""
    calls = [r for r in fleet.open_calls() if r.call.revocation is not None]
    if not calls:
        return
    resend = fleet.nth(calls, which)
    host = fleet.nth([*fleet.targets, *fleet.departed_targets], pick)
    resend.call.revocation.on_unreachable(host)
    entry = fleet.entries[resend.entry]
    fleet.send(resend.entry, entry.follow(fleet.now_ms, pick, resend.call))


def lose_fence(fleet, which, pick):
    """Drop the caller's fence; frames that it sent stay in transit."""
    if (state := fleet.newest_key()) is not None:
        state.token = ""
        state.lost = True


def restart(fleet, which, pick):
    """Replace a target's process by one without any records."""
    if fleet.targets:
        fleet.restart(fleet.nth(fleet.targets, which))


def leave(fleet, which, pick):
    """Remove a target from the lists; its process may only be suspended."""
    if len(fleet.targets) > 1:
        fleet.leave(fleet.nth(fleet.targets, which))


def join(fleet, which, pick):
    """Start a target on a new host."""
    hosts = len(fleet.targets) + len(fleet.departed_targets)
    if hosts < MAX_HOSTS:
        fleet.join(f"new{hosts}")


def update_view(fleet, which, pick):
    """Bring an entry node's view up to date."""
    fleet.update_view(fleet.nth(fleet.entries, which))


def update_all_views(fleet, which, pick):
    """Bring all entry nodes' views up to date."""
    for entry in fleet.entries:
        fleet.update_view(entry)


def _send_again(fleet, which, step):
    calls = [r for r in fleet.open_calls() if r.call.fence is not None]
    if not calls:
        return
    resend = fleet.nth(calls, which)
    entry = fleet.entries[resend.entry]
    fleet.send(resend.entry, getattr(entry, step)(resend.call))


FAULTS = [
    cancel,
    resend_request,
    give_up,
    stop_waiting_for_target,
    lose_fence,
    restart,
    leave,
    join,
    update_view,
    update_all_views,
    update_all_views,
    update_all_views,
]
