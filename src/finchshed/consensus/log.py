"""In-memory part of the replicated log.

:class:`~finchshed.consensus.write_buffer.WriteBuffer` tracks which entries are durable.
"""

from finchshed.common.errors import InvariantError
from finchshed.consensus.membership import Membership, decode_membership
from finchshed.storage.records import Entry, EntryKind, Snapshot


class RaftLog:
    """Entries after a base index, and the memberships they set.

    Parameters
    ----------
    snapshot
        Snapshot that precedes the entries; None for a log that starts at index 1.
    entries
        Entries after the snapshot.
    """

    def __init__(self, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        self._base_index = 0
        self._base_term = 0
        self._entries: list[Entry] = []
        self._ends: list[int] = []
        self._base_end = 0
        self._memberships: list[tuple[int, Membership]] = [(0, Membership())]
        if snapshot is not None:
            self.reset(snapshot)
        for entry in entries:
            self.append(entry)

    @property
    def base_index(self) -> int:
        """Index of the last compacted entry."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Bytes of the entries in memory."""
        return self._last_end - self._base_end

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> Membership:
        """The latest membership, committed or not; a change takes effect when appended."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the latest membership."""
        return self._memberships[-1][0]

    @property
    def previous_membership(self) -> Membership:
        """The membership before the latest if still held, otherwise the latest.

        One of the two is committed, even while the commit index is unknown after a start, because
        a change is appended only after the previous change is committed.
        """
        return self._memberships[max(0, len(self._memberships) - 2)][1]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in effect at ``index``."""
        return next(m for at, m in reversed(self._memberships) if at <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self._base_index:
            return self._base_term
        position = index - self._base_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entry(self, index: int) -> Entry:
        """Return an entry that is in memory."""
        return self._entries[index - self._base_index - 1]

    def slice(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on within both limits; at least one if any exists."""
        start = first - self._base_index - 1
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def entries_after(self, index: int) -> tuple[Entry, ...]:
        """Return all entries after ``index``."""
        return tuple(self._entries[max(0, index - self._base_index) :])

    def bytes_after(self, index: int) -> int:
        """Return the bytes of the entries in memory after ``index``."""
        return self._last_end - self._end_of(max(index, self._base_index))

    def trailing_start(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the index up to which to compact, to keep entries up to ``index`` in both limits.

        ``index`` is that of a snapshot, so any number of the entries up to it may go.
        """
        start = max(self._base_index, index - max_entries)
        while start < index and self._end_of(index) - self._end_of(start) > max_bytes:
            start += 1
        return start

    def append(self, entry: Entry) -> None:
        """Append the next entry.

        Raises
        ------
        InvariantError
            The entry's index is not the next one.
        """
        if entry.index != self.last_index + 1:
            raise InvariantError(f"cannot append entry {entry.index} after entry {self.last_index}")
        self._entries.append(entry)
        self._ends.append(self._last_end + len(entry.data))
        if entry.kind is EntryKind.MEMBERSHIP:
            self._memberships.append((entry.index, decode_membership(entry.data)))

    def truncate_from(self, index: int) -> None:
        """Remove entries from ``index`` on, and the memberships they set."""
        position = index - self._base_index - 1
        del self._entries[position:]
        del self._ends[position:]
        self._memberships = [item for item in self._memberships if item[0] < index]

    def compact(self, index: int) -> None:
        """Discard entries up to and including ``index``."""
        if index <= self._base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise InvariantError(
                f"cannot compact to index {index}: last log index is {self.last_index}"
            )
        membership = self.membership_at(index)
        self._base_end = self._end_of(index)
        del self._entries[: index - self._base_index]
        del self._ends[: index - self._base_index]
        self._base_index = index
        self._base_term = term
        later = [item for item in self._memberships if item[0] > index]
        at = max(item[0] for item in self._memberships if item[0] <= index)
        self._memberships = [(at, membership), *later]

    def reset(self, snapshot: Snapshot) -> None:
        """Discard all entries and start after ``snapshot``."""
        self._entries = []
        self._ends = []
        self._base_end = 0
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._memberships = [(snapshot.index, decode_membership(snapshot.membership))]

    @property
    def _last_end(self) -> int:
        return self._ends[-1] if self._ends else self._base_end

    def _end_of(self, index: int) -> int:
        """Return the bytes of all entries up to ``index``, counted from some earlier entry."""
        position = index - self._base_index - 1
        return self._base_end if position < 0 else self._ends[position]
