"""Audit trail of operators' actions, as part of the replicated state. Pure.

The first application of each change and each action on the control group adds an entry; resends add
none. The trail is identical on every control node and survives the loss of a node.
"""

import collections

import msgspec

RETAINED_ENTRIES = 10_000
"""Default number of entries kept. About a week at 1,400 changes a day."""

MAX_SUBJECT_CHARACTERS = 200
"""Longer subjects are truncated, to bound memory."""

REPEAT_WINDOW_SECONDS = 600.0
"""An equal action within this time of an earlier one counts as a resend."""

REPEAT_WINDOW_ENTRIES = 32
"""Number of latest entries searched for an equal action."""


class AuditEntry(msgspec.Struct, frozen=True, array_like=True):
    """One action of an operator.

    Attributes
    ----------
    index
        Log index of the entry that recorded it.
    time
        Time of that entry in Unix seconds.
    action
        ``apply``, or the name of an operation on the control group.
    subject
        Object of the action; truncated to :data:`MAX_SUBJECT_CHARACTERS`.
    outcome
        Result of the action.
    """

    index: int
    time: float
    operator: str
    action: str
    subject: str
    outcome: str


class AuditTrail:
    """Bounded list of the latest entries, oldest first.

    Parameters
    ----------
    retention
        Number of entries kept; must be equal on every control node.
    """

    def __init__(self, retention: int = RETAINED_ENTRIES) -> None:
        self._entries: collections.deque[AuditEntry] = collections.deque(maxlen=retention)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: AuditEntry) -> None:
        """Add ``entry``; the oldest entry is dropped if the trail is full."""
        subject = entry.subject
        if len(subject) > MAX_SUBJECT_CHARACTERS:
            subject = subject[: MAX_SUBJECT_CHARACTERS - 1] + "…"
        self._entries.append(msgspec.structs.replace(entry, subject=subject))

    def add_unless_repeated(self, entry: AuditEntry) -> None:
        """Add ``entry`` unless it repeats a recent action of the same operator."""
        recent = list(self._entries)[-REPEAT_WINDOW_ENTRIES:]
        if not any(_is_repeat(entry, earlier) for earlier in recent):
            self.add(entry)

    def latest(self, limit: int) -> tuple[AuditEntry, ...]:
        """Return the last ``limit`` entries, newest first."""
        entries = list(self._entries)[-limit:] if limit > 0 else []
        return tuple(reversed(entries))

    def snapshot(self) -> tuple[AuditEntry, ...]:
        """Return all entries, oldest first."""
        return tuple(self._entries)

    def restore(self, entries: tuple[AuditEntry, ...]) -> None:
        """Replace all entries."""
        self._entries.clear()
        self._entries.extend(entries)


def _is_repeat(entry: AuditEntry, earlier: AuditEntry) -> bool:
    same = (entry.operator, entry.action, entry.subject) == (
        earlier.operator,
        earlier.action,
        earlier.subject,
    )
    return same and entry.time - earlier.time < REPEAT_WINDOW_SECONDS
