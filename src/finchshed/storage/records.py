"""What a control node keeps on its disk, as typed records.

Owns no state; what is written here stays readable by later versions.
"""

import enum
from typing import TypeAlias

import msgspec


class EntryKind(enum.StrEnum):
    """What an entry of the replicated log holds."""

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
    """Highest term seen, and the identity voted for in it (empty: none)."""

    term: int = 0
    voted_for: str = ""


class Truncate(msgspec.Struct, frozen=True, tag="truncate"):
    """Entries from ``from_index`` on were dropped: another leader's log replaced them."""

    from_index: int


class Head(msgspec.Struct, frozen=True, tag="head"):
    """First record of a journal: the snapshot on which its entries build (index 0: none)."""

    snapshot_index: int
    snapshot_term: int


class Snapshot(msgspec.Struct, frozen=True):
    """State that stands for all entries up to ``index``.

    Attributes
    ----------
    index, term
        Last entry included.
    membership
        Membership of the group after that entry, encoded by the consensus package.
    data
        State of the application.
    """

    index: int
    term: int
    membership: bytes
    data: bytes


class Write(msgspec.Struct, frozen=True):
    """Something to be made durable, in this order: truncation, entries, vote.

    With ``snapshot`` the write replaces all that is stored: the snapshot, ``entries`` after it
    and ``vote``.
    """

    vote: Vote | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


class StoredState(msgspec.Struct, frozen=True):
    """What a restart finds on the disk.

    Attributes
    ----------
    incarnation
        Identity of the disk, see :mod:`finchshed.storage.incarnation`.
    vote, snapshot, entries
        The last written.
    torn_bytes
        Size of the unsynced end that was cut off.
    """

    incarnation: str
    vote: Vote
    snapshot: Snapshot | None
    entries: list[Entry]
    torn_bytes: int = 0


JournalRecord: TypeAlias = Head | Entry | Vote | Truncate
