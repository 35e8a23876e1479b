"""Buffers the writes of a step and tracks them until they are durable.

All writes of one step are combined into one :class:`~finchshed.consensus.effects.PersistWrite`.
Messages that depend on durable state are deferred until the preceding writes are durable.
"""

from collections import deque
from dataclasses import dataclass, field

from finchshed.consensus.effects import Effect, PersistWrite, SendEnvelope
from finchshed.storage.records import Entry, Vote, Write


@dataclass
class _OutstandingWrite:
    """A requested write that is not yet durable, and the messages that wait for it.

    ``changes_vote`` is False for a snapshot that only repeats a vote written before.
    """

    ticket: int
    last_index: int
    changes_vote: bool
    sends: list[SendEnvelope] = field(default_factory=list)


class WriteBuffer:
    """Pending writes and the messages deferred until they are durable.

    Attributes
    ----------
    persisted_index
        Index of the last durable entry of the current log.
    """

    def __init__(self, persisted_index: int) -> None:
        self.persisted_index = persisted_index
        self._last_ticket = 0
        self._outstanding: deque[_OutstandingWrite] = deque()
        self._vote_changed = False
        self._truncate_from: int | None = None
        self._entries: list[Entry] = []
        self._deferred: list[SendEnvelope] = []

    @property
    def has_unsaved_vote(self) -> bool:
        """Whether the current vote is not yet durable."""
        return self._vote_changed or any(write.changes_vote for write in self._outstanding)

    @property
    def deferred_sends(self) -> int:
        """Number of messages waiting for writes."""
        return len(self._deferred) + sum(len(write.sends) for write in self._outstanding)

    def mark_vote_changed(self) -> None:
        """Include the vote in the next write."""
        self._vote_changed = True

    def append(self, entry: Entry) -> None:
        """Include an entry in the next write."""
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Include a truncation from ``index`` in the next write."""
        self._entries = [entry for entry in self._entries if entry.index < index]
        earlier = self._truncate_from
        self._truncate_from = index if earlier is None else min(earlier, index)
        self.limit_persisted(index - 1)

    def limit_persisted(self, index: int) -> None:
        """Cap the durable index of all writes requested so far at ``index``."""
        self.persisted_index = min(self.persisted_index, index)
        for write in self._outstanding:
            write.last_index = min(write.last_index, index)

    def defer(self, send: SendEnvelope) -> None:
        """Defer a message until all writes requested so far are durable."""
        self._deferred.append(send)

    def replace_stored(self, write: Write, last_index: int) -> PersistWrite:
        """Return a write that replaces all stored state and supersedes the buffered changes."""
        changes_vote = self._vote_changed
        self._clear()
        return self._persist(write, last_index, changes_vote=changes_vote)

    def finish(self, ticket: int) -> list[SendEnvelope]:
        """Mark writes up to ``ticket`` as durable; return the messages that waited for them."""
        sends: list[SendEnvelope] = []
        while self._outstanding and self._outstanding[0].ticket <= ticket:
            write = self._outstanding.popleft()
            self.persisted_index = max(self.persisted_index, write.last_index)
            sends.extend(write.sends)
        return sends

    def flush(self, vote: Vote, last_index: int) -> list[Effect]:
        """End a step: return the buffered write and the messages that can be sent now."""
        effects: list[Effect] = []
        if self._vote_changed or self._truncate_from is not None or self._entries:
            write = Write(
                vote=vote if self._vote_changed else None,
                truncate_from=self._truncate_from,
                entries=tuple(self._entries),
            )
            changes_vote = self._vote_changed
            self._clear()
            effects.append(self._persist(write, last_index, changes_vote=changes_vote))
        held, self._deferred = self._deferred, []
        if not self._outstanding:
            return [*effects, *held]
        for send in held:
            _defer(self._outstanding[-1].sends, send)
        return effects

    def _clear(self) -> None:
        self._vote_changed = False
        self._truncate_from = None
        self._entries = []

    def _persist(self, write: Write, last_index: int, *, changes_vote: bool) -> PersistWrite:
        self._last_ticket += 1
        self._outstanding.append(_OutstandingWrite(self._last_ticket, last_index, changes_vote))
        return PersistWrite(self._last_ticket, write)


def _defer(sends: list[SendEnvelope], send: SendEnvelope) -> None:
    """Add a deferred message, replacing an earlier one of the same type to the same receiver.

    Only the latest acknowledgement or vote per receiver matters, and this bounds the queue while
    the disk is full.
    """
    envelope = send.envelope
    for position, earlier in enumerate(sends):
        same_receiver = earlier.envelope.receiver == envelope.receiver
        if same_receiver and type(earlier.envelope.message) is type(envelope.message):
            sends[position] = send
            return
    sends.append(send)
