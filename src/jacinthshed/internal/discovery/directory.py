"""What a node knows of the directory of targets."""

from collections.abc import Iterable

from .target_entry import EntryChange, TargetEntry

# Targets that left are remembered so that an older change can't bring them back; this
# many are more than leave while any change is on its way.
MAX_REMOVED = 4_096


class Directory:
    """The entries as of ``revision``.

    Each entry follows the change with the highest revision, so that changes may come
    twice and in any order.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._changes: dict[str, EntryChange] = {}
        self._by_service: dict[str, tuple[TargetEntry, ...]] = {}
        self._by_address: dict[str, TargetEntry] = {}
        self._listed: dict[str, frozenset[TargetEntry]] = {}

    def replace(self, revision: int, entries: Iterable[EntryChange]) -> list[str]:
        """Take a full reading of the directory; return the services that changed.

        What it lacks has left, unless a later change is known.
        """
        listed = {change.key: change for change in entries}
        missing = [
            EntryChange(key, revision, None)
            for key, known in self._changes.items()
            if key not in listed and known.revision <= revision and known.entry
        ]
        return self.apply(revision, [*listed.values(), *missing])

    def apply(self, revision: int, changes: Iterable[EntryChange]) -> list[str]:
        """Take in ``changes``, complete up to ``revision``; return changed services."""
        is_changed = False
        for change in changes:
            known = self._changes.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            self._changes[change.key] = change
            is_changed |= change.entry != (known.entry if known else None)
        self.revision = max(self.revision, revision)
        self._forget_removed()
        return self._index() if is_changed else []

    def changes_above(self, revision: int) -> list[EntryChange]:
        """Return the changes that a node at ``revision`` lacks."""
        return [c for c in self._changes.values() if c.revision > revision]

    def services(self) -> tuple[str, ...]:
        """Return the services that have or had targets."""
        return tuple(self._by_service)

    def targets(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the targets of ``service`` that take new work, ordered by host."""
        return self._by_service.get(service, ())

    def target_at(self, address: str) -> TargetEntry | None:
        """Return the target at ``address``, leaving or not."""
        return self._by_address.get(address)

    def entries(self) -> list[TargetEntry]:
        """Return all targets, also those that are leaving."""
        return [change.entry for change in self._changes.values() if change.entry]

    def _forget_removed(self) -> None:
        """Bound what is kept of targets that left; the oldest go first."""
        removed = [c for c in self._changes.values() if c.entry is None]
        if len(removed) > MAX_REMOVED:
            removed.sort(key=lambda change: change.revision)
            for change in removed[: len(removed) - MAX_REMOVED]:
                del self._changes[change.key]

    def _index(self) -> list[str]:
        """Sort the entries; return the services with other targets than before."""
        before = self._listed
        by_service: dict[str, list[TargetEntry]] = {key: [] for key in self._by_service}
        self._by_address = {}
        # Of two targets at one address the later start holds it.
        for change in sorted(self._changes.values(), key=_start_order):
            if change.entry is not None:
                self._by_address[change.entry.address] = change.entry
        for entry in sorted(self._by_address.values(), key=lambda entry: entry.host):
            places = by_service.setdefault(entry.service, [])
            if not entry.leaving:
                places.append(entry)
        self._by_service = {key: tuple(found) for key, found in by_service.items()}
        self._listed = {
            service: frozenset(
                e for e in self._by_address.values() if e.service == service
            )
            for service in self._by_service
        }
        none: frozenset[TargetEntry] = frozenset()
        return sorted(
            service
            for service, listed in self._listed.items()
            if listed != before.get(service, none)
        )


def _start_order(change: EntryChange) -> tuple[int, int]:
    """Order by start; two that name the same start go by their entries' revisions."""
    started_ms = change.entry.started_wall_ms if change.entry else 0
    return started_ms, change.revision
