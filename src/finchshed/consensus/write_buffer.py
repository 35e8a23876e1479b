"""Writes of a node: gathered during a step, then outstanding until they are durable.

Writes wanted during one step become one :class:`~finchshed.consensus.effects.PersistWrite`.
Messages that promise something are held back until the writes before them are durable.
"""

from collections import deque
from dataclasses import dataclass, field

from finchshed.consensus.effects import Effect, PersistWrite, SendEnvelope
from finchshed.storage.records import Entry, Vote, Write


@dataclass
class _OutstandingWrite:
    """A write asked for and not yet durable, and what waits for it."""

    ticket: int
    last_index: int
    holds_vote: bool
    sends: list[SendEnvelope] = field(default_factory=list)


class WriteBuffer:
    """What is to be written, and what waits for writes.

    Attributes
    ----------
    persisted_index
        Last entry of the present log that is durable.
    """

    def __init__(self, persisted_index: int) -> None:
        self.persisted_index = persisted_index
        self._last_ticket = 0
        self._outstanding: deque[_OutstandingWrite] = deque()
        self._vote_changed = False
        self._truncate_from: int | None = None
        self._entries: list[Entry] = []
        self._held: list[SendEnvelope] = []

    @property
    def holds_vote(self) -> bool:
        """Whether the present vote is not durable yet."""
        return self._vote_changed or any(write.holds_vote for write in self._outstanding)

    @property
    def held_sends(self) -> int:
        """Number of messages that wait for writes."""
        return len(self._held) + sum(len(write.sends) for write in self._outstanding)

    def change_vote(self) -> None:
        """Put the vote into the next write."""
        self._vote_changed = True

    def append(self, entry: Entry) -> None:
        """Put an entry into the next write."""
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Put the drop of entries into the next write."""
        self._entries = [entry for entry in self._entries if entry.index < index]
        earlier = self._truncate_from
        self._truncate_from = index if earlier is None else min(earlier, index)
        self.limit_persisted(index - 1)

    def limit_persisted(self, index: int) -> None:
        """Count nothing after ``index`` as durable on account of writes asked for so far."""
        self.persisted_index = min(self.persisted_index, index)
        for write in self._outstanding:
            write.last_index = min(write.last_index, index)

    def hold(self, send: SendEnvelope) -> None:
        """Keep a message back until every write asked for so far is durable."""
        self._held.append(send)

    def replace_stored(self, write: Write, last_index: int) -> PersistWrite:
        """Return a write that replaces all that is stored; it holds what was gathered too."""
        self._clear()
        return self._persist(write, last_index)

    def finish(self, ticket: int) -> list[SendEnvelope]:
        """Take note that writes up to ``ticket`` are durable; return what waited for them."""
        sends: list[SendEnvelope] = []
        while self._outstanding and self._outstanding[0].ticket <= ticket:
            write = self._outstanding.popleft()
            self.persisted_index = max(self.persisted_index, write.last_index)
            sends.extend(write.sends)
        return sends

    def flush(self, vote: Vote, last_index: int) -> list[Effect]:
        """End a step: return the gathered write, and messages that wait for nothing."""
        effects: list[Effect] = []
        if self._vote_changed or self._truncate_from is not None or self._entries:
            write = Write(
                vote=vote if self._vote_changed else None,
                truncate_from=self._truncate_from,
                entries=tuple(self._entries),
            )
            self._clear()
            effects.append(self._persist(write, last_index))
        held, self._held = self._held, []
        if not self._outstanding:
            return [*effects, *held]
        for send in held:
            _hold(self._outstanding[-1].sends, send)
        return effects

    def _clear(self) -> None:
        self._vote_changed = False
        self._truncate_from = None
        self._entries = []

    def _persist(self, write: Write, last_index: int) -> PersistWrite:
        self._last_ticket += 1
        holds_vote = write.vote is not None
        self._outstanding.append(_OutstandingWrite(self._last_ticket, last_index, holds_vote))
        return PersistWrite(self._last_ticket, write)


def _hold(sends: list[SendEnvelope], send: SendEnvelope) -> None:
    """Add a message to those that wait for a write; it stands for earlier ones of its kind.

    Only the last acknowledgement or vote to a node matters, so what waits stays small however
    long the disk has no room.
    """
    envelope = send.envelope
    for position, earlier in enumerate(sends):
        same_receiver = earlier.envelope.receiver == envelope.receiver
        if same_receiver and type(earlier.envelope.message) is type(envelope.message):
            sends[position] = send
            return
    sends.append(send)
