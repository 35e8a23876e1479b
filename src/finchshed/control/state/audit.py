"""Who did what, as part of the replicated state. Pure.

Every first application of a change and every action on the control group itself leaves an entry,
so the trail is the same on every control node, outlives each of them, and can't be written by
anyone who isn't a declared operator. Resends leave none.
"""

import collections

import msgspec

RETENTION = 10_000
"""Entries kept: about a week at 1,400 changes a day."""

MAX_SUBJECT_CHARACTERS = 200
"""Longest subject kept: bounds the memory. Chosen, not measured."""

REPEAT_SECONDS = 600.0
"""Longest time after which an equal action counts as a resend. Chosen, not measured."""

REPEATS_LOOKED_AT = 32
"""An action equal to one of the last so many, within :data:`REPEAT_SECONDS`, is a resend. Chosen,
not measured."""


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """One thing an operator did.

    Attributes
    ----------
    index
        Entry of the log it came with.
    time
        Unix seconds of that entry.
    action
        ``apply`` or the name of the operation on the control group.
    subject
        What it was done to; cut at :data:`MAX_SUBJECT_CHARACTERS`.
    outcome
        What came of it.
    """

    index: int
    time: float
    operator: str
    action: str
    subject: str
    outcome: str


class AuditTrail:
    """The latest entries, oldest first.

    Parameters
    ----------
    retention
        Entries kept; equal on every control node.
    """

    def __init__(self, retention: int = RETENTION) -> None:
        self._entries: collections.deque[AuditEntry] = collections.deque(maxlen=retention)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: AuditEntry) -> None:
        """Keep ``entry``; the oldest makes room."""
        subject = entry.subject
        if len(subject) > MAX_SUBJECT_CHARACTERS:
            subject = subject[: MAX_SUBJECT_CHARACTERS - 1] + "…"
        self._entries.append(msgspec.structs.replace(entry, subject=subject))

    def add_unless_repeated(self, entry: AuditEntry) -> None:
        """Keep ``entry`` unless the same action of the same operator was kept just before."""
        recent = list(self._entries)[-REPEATS_LOOKED_AT:]
        if not any(_is_repeat(entry, earlier) for earlier in recent):
            self.add(entry)

    def latest(self, limit: int) -> tuple[AuditEntry, ...]:
        """Return the last ``limit`` entries, newest first."""
        entries = list(self._entries)[-limit:] if limit > 0 else []
        return tuple(reversed(entries))

    def snapshot(self) -> tuple[AuditEntry, ...]:
        """Return every entry kept."""
        return tuple(self._entries)

    def restore(self, entries: tuple[AuditEntry, ...]) -> None:
        """Replace every entry."""
        self._entries.clear()
        self._entries.extend(entries)


def _is_repeat(entry: AuditEntry, earlier: AuditEntry) -> bool:
    same = (entry.operator, entry.action, entry.subject) == (
        earlier.operator,
        earlier.action,
        earlier.subject,
    )
    return same and entry.time - earlier.time < REPEAT_SECONDS
