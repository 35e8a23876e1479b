"""Record types stored on the disk of a control node.

Later versions must be able to read these records.
"""

import enum
from typing import TypeAlias

import msgspec


class EntryKind(enum.StrEnum):
    """Kind of a log entry."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    NO_OP = "no_op"


class Entry(msgspec.Struct, frozen=True, omit_defaults=True, tag="entry"):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b""


class Vote(msgspec.Struct, frozen=True, omit_defaults=True, tag="vote"):
    """Current term, and the identity voted for in it, empty if none."""

    term: int = 0
    voted_for: str = ""


class Truncate(msgspec.Struct, frozen=True, tag="truncate"):
    """Entries from ``from_index`` on were removed because they conflict with the leader's log."""

    from_index: int


class JournalHeader(msgspec.Struct, frozen=True, tag="head"):
    """First record of a journal: the snapshot before its entries, index 0 if none."""

    snapshot_index: int
    snapshot_term: int


class Snapshot(msgspec.Struct, frozen=True):
    """Application state that replaces all entries up to ``index``.

    Attributes
    ----------
    index, term
        Index and term of the last included entry.
    membership
        Group membership at that entry, encoded by :mod:`finchshed.consensus.membership`.
    data
        Encoded application state.
    """

    index: int
    term: int
    membership: bytes
    data: bytes


class Write(msgspec.Struct, frozen=True):
    """A batch of changes to make durable, in this order: truncation, entries, vote.

    With ``snapshot`` the write replaces all stored state by the snapshot, the ``entries`` after
    it and ``vote``.
    """

    vote: Vote | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


class StoredState(msgspec.Struct, frozen=True):
    """State found on the disk at start.

    Attributes
    ----------
    incarnation
        Disk incarnation, see :mod:`finchshed.storage.incarnation`.
    vote, snapshot, entries
        Last durable values.
    torn_bytes
        Size of the torn tail that was truncated.
    """

    incarnation: str
    vote: Vote
    snapshot: Snapshot | None
    entries: list[Entry]
    torn_bytes: int = 0


JournalRecord: TypeAlias = JournalHeader | Entry | Vote | Truncate
