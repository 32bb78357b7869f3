"""A node's copy of the directory of targets."""

from collections.abc import Container, Iterable

from .source_revision import from_ordinal
from .target_entry import EntryChange, TargetEntry

# Removed targets are retained so that an older change can't restore them. This is more
# than the targets that leave while a change is in transit.
MAX_REMOVED = 4_096


class Directory:
    """The entries of the directory as of ``revision``.

    Each entry is the one of the change with the highest revision, so changes may arrive
    repeatedly and in any order. Revisions are ordinals that include the generation of
    the source.

    A source that was restored from a copy may list targets that have left since the
    copy was made. This node withholds new work from those that it knows to have left,
    until their entries change or ``release_relisted`` is called.
    """

    def __init__(self) -> None:
        self.revision = 0
        # The revision of the first reading; removals up to it are not known here.
        self._first_revision = 0
        self._changes: dict[str, EntryChange] = {}
        self._available_by_service: dict[str, tuple[TargetEntry, ...]] = {}
        self._by_address: dict[str, TargetEntry] = {}
        self._all_by_service: dict[str, frozenset[TargetEntry]] = {}
        self._relisted: set[str] = set()
        # The latest start of each target; a change that removes it doesn't contain it.
        self._started_ms: dict[str, int] = {}

    @property
    def has_relisted(self) -> bool:
        """Whether work is withheld from a target that was listed again."""
        return bool(self._relisted)

    def release_relisted(self) -> list[str]:
        """Allow work for the targets that were listed again; return changed services.

        Call it when the entries of targets that don't run have expired.
        """
        self._relisted.clear()
        return self._index()

    def replace(self, revision: int, entries: Iterable[EntryChange]) -> list[str]:
        """Apply a full reading of the directory; return the services that changed.

        Targets that it doesn't contain are removed, unless a later change is known.
        """
        listed = {change.key: change for change in entries}
        missing = [
            EntryChange(key, revision, None)
            for key in self.missing_from(revision, listed)
        ]
        return self.apply(revision, [*listed.values(), *missing])

    def missing_from(self, revision: int, listed: Container[str]) -> list[str]:
        """Return the keys of targets that a full reading at ``revision`` lacks."""
        return [
            key
            for key, known in self._changes.items()
            if key not in listed and known.revision <= revision and known.entry
        ]

    def merge(self, changes: Iterable[EntryChange]) -> list[str]:
        """Apply changes that are not complete; return the services that changed.

        The revision stays, so that peers still send what is lacking.
        """
        return self.apply(self.revision, changes)

    def apply(self, revision: int, changes: Iterable[EntryChange]) -> list[str]:
        """Apply ``changes``, complete up to ``revision``; return changed services."""
        self._first_revision = self._first_revision or revision
        is_changed = False
        for change in changes:
            known = self._changes.get(change.key)
            if known is not None and known.revision >= change.revision:
                continue
            self._changes[change.key] = change
            started_later = self._record_start(change)
            was_relisted = change.key in self._relisted
            is_changed |= was_relisted
            self._relisted.discard(change.key)
            if (
                known is not None
                and not started_later
                and _relists(known, change, was_relisted)
            ):
                self._relisted.add(change.key)
            is_changed |= change.entry != (known.entry if known else None)
        self.revision = max(self.revision, revision)
        self._evict_removed()
        return self._index() if is_changed else []

    def has_all_changes_above(self, revision: int) -> bool:
        """Return whether ``changes_above`` completes a directory at ``revision``.

        A directory at revision 0 is empty, so removals are no changes to it.
        """
        return revision == 0 or revision >= self._first_revision

    def changes_above(self, revision: int) -> list[EntryChange]:
        """Return the changes that a node at ``revision`` lacks."""
        return [c for c in self._changes.values() if c.revision > revision]

    def services(self) -> tuple[str, ...]:
        """Return the services that have or had targets."""
        return tuple(self._available_by_service)

    def targets(self, service: str) -> tuple[TargetEntry, ...]:
        """Return the targets of ``service`` that take new work, ordered by host."""
        return self._available_by_service.get(service, ())

    def target_at(self, address: str) -> TargetEntry | None:
        """Return the target at ``address``, even if it is leaving, or ``None``."""
        return self._by_address.get(address)

    def entries(self) -> list[TargetEntry]:
        """Return all targets, including those that are leaving."""
        return [change.entry for change in self._changes.values() if change.entry]

    def listed_changes(self) -> list[EntryChange]:
        """Return the changes that list a target."""
        return [change for change in self._changes.values() if change.entry]

    def _record_start(self, change: EntryChange) -> bool:
        """Record when the target started; return whether that is a later start."""
        if change.entry is None:
            return False
        known_ms = self._started_ms.get(change.key)
        started_ms = change.entry.started_wall_ms
        if known_ms is not None and started_ms <= known_ms:
            return False
        self._started_ms[change.key] = started_ms
        return known_ms is not None

    def _evict_removed(self) -> None:
        """Limit the number of removed targets that are retained; drop the oldest."""
        removed = [c for c in self._changes.values() if c.entry is None]
        if len(removed) > MAX_REMOVED:
            removed.sort(key=lambda change: change.revision)
            for change in removed[: len(removed) - MAX_REMOVED]:
                del self._changes[change.key]
                self._started_ms.pop(change.key, None)

    def _index(self) -> list[str]:
        """Rebuild the indexes; return the services whose targets changed."""
        before = self._all_by_service
        by_service: dict[str, list[TargetEntry]] = {
            key: [] for key in self._available_by_service
        }
        self._by_address = {}
        # If two targets have the same address, the one that started later has it.
        for change in sorted(self._changes.values(), key=_start_order):
            entry = change.entry
            if entry is not None and change.key in self._relisted:
                entry = entry._replace(leaving=True)
            if entry is not None:
                self._by_address[entry.address] = entry
        for entry in sorted(self._by_address.values(), key=lambda entry: entry.host):
            targets_of_service = by_service.setdefault(entry.service, [])
            if not entry.leaving:
                targets_of_service.append(entry)
        self._available_by_service = {
            key: tuple(found) for key, found in by_service.items()
        }
        self._all_by_service = {
            service: frozenset(
                e for e in self._by_address.values() if e.service == service
            )
            for service in self._available_by_service
        }
        no_targets: frozenset[TargetEntry] = frozenset()
        return sorted(
            service
            for service, listed in self._all_by_service.items()
            if listed != before.get(service, no_targets)
        )


def _relists(known: EntryChange, change: EntryChange, was_relisted: bool) -> bool:
    """Return whether a restored source lists a target that is known to have left.

    ``was_relisted`` says that the known entry was listed in that way. An entry with a
    higher number than the known one was written after the restore.
    """
    known_at, changed_at = from_ordinal(known.revision), from_ordinal(change.revision)
    if changed_at.generation <= known_at.generation or change.entry is None:
        return False
    if changed_at.revision > known_at.revision or change.entry.leaving:
        return False
    return known.entry is None or known.entry.leaving or was_relisted


def _start_order(change: EntryChange) -> tuple[int, int]:
    """Return a key that orders changes by start time, then by revision."""
    started_ms = change.entry.started_wall_ms if change.entry else 0
    return started_ms, change.revision
